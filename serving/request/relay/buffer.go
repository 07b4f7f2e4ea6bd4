package relay

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/process/memory"
	"github.com/pkg/errors"
)

const (
	// maxAnswerBytes limits the answer of a plain service.
	maxAnswerBytes = 8 << 20
	// maxBufferedBytes limits what all answers together hold beyond their first chunk.
	maxBufferedBytes = 24 << 20
	// firstChunkBytes and answerChunkBytes are the sizes in which answers are read. Usual
	// ones fit into the first.
	firstChunkBytes  = 4 << 10
	answerChunkBytes = 32 << 10
)

var (
	errAnswerTooLong = errors.Errorf("the answer exceeds %d bytes", maxAnswerBytes)
	errBuffersFull   = errors.Errorf("long answers hold %d bytes already", maxBufferedBytes)
)

// buffers counts the bytes of all answers that are read completely before they are passed on.
type buffers struct {
	held atomic.Int64
	// grow is Deps.GrowAnswers, and unread is Deps.AnswerUnread.
	grow   func(bytes int64) bool
	unread func()

	// mu guards writing, and the fields of a buffer that are guarded by it.
	mu sync.Mutex
	// writing are the answers of more than one chunk that are being written to callers.
	writing map[*buffer]struct{}
}

// take reports whether there is room for another chunk, and counts it. An answer that its
// caller does not read gives way.
func (b *buffers) take() bool { return b.count() || b.breakOff() && b.count() }

func (b *buffers) count() bool {
	if b.held.Add(answerChunkBytes) > maxBufferedBytes || b.grow != nil && !b.grow(answerChunkBytes) {
		b.held.Add(-answerChunkBytes)
		return false
	}
	return true
}

// breakOff ends the answer that its caller has not read for longest, and reports whether there
// was one.
func (b *buffers) breakOff() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*buffer
	var unread []memory.Unread
	for answer := range b.writing {
		list = append(list, answer)
		unread = append(unread, memory.Unread{Bytes: int64(answer.counted) * answerChunkBytes, ReadAt: answer.readAt})
	}
	i := memory.LongestUnread(unread, time.Now())
	if i < 0 {
		return false
	}
	answer := list[i]
	delete(b.writing, answer)
	_ = http.NewResponseController(answer.to).SetWriteDeadline(time.Unix(1, 0)) // without deadlines it goes on
	b.release(answer.counted)
	answer.counted = 0
	if b.unread != nil {
		b.unread()
	}
	return true
}

// release subtracts chunks.
func (b *buffers) release(chunks int) {
	b.held.Add(-int64(chunks) * answerChunkBytes)
	if b.grow != nil && chunks > 0 {
		b.grow(-int64(chunks) * answerChunkBytes)
	}
}

// buffer holds one answer. It must be released.
type buffer struct {
	of     *buffers
	chunks [][]byte
	size   int

	// counted is the number of chunks that count towards the sum, to is where the answer
	// is written, and readAt is when some of it was last written. The lock of the buffers
	// guards them while the answer is written.
	counted int
	to      http.ResponseWriter
	readAt  time.Time
}

// read reads an answer. It returns errAnswerTooLong or errBuffersFull if there is no room for
// it, and the buffer also with an error.
func (b *buffers) read(from io.Reader) (*buffer, error) {
	a := &buffer{of: b}
	for bytes := firstChunkBytes; ; bytes = answerChunkBytes {
		if len(a.chunks) > 0 {
			if !b.take() {
				return a, errBuffersFull
			}
			a.counted++
		}
		chunk, err := readChunk(from, bytes)
		a.chunks = append(a.chunks, chunk)
		a.size += len(chunk)
		switch {
		case a.size > maxAnswerBytes:
			return a, errAnswerTooLong
		case errors.Is(err, io.EOF):
			return a, nil
		case err != nil:
			return a, err
		}
	}
}

// readChunk reads a chunk that is shorter than size only with an error: io.EOF at the end
// of the answer.
func readChunk(from io.Reader, size int) ([]byte, error) {
	chunk := make([]byte, size)
	n := 0
	for n < size {
		read, err := from.Read(chunk[n:])
		n += read
		if err != nil {
			return chunk[:n], err //nolint:wrapcheck // the caller asks what kind of error the body ended with
		}
	}
	return chunk, nil
}

// writeTo writes the answer to a caller, and releases what is written: a caller that reads
// slowly holds only the rest, until it is broken off. An error means that the caller has
// disconnected.
func (a *buffer) writeTo(w http.ResponseWriter) {
	if a.counted > 0 {
		a.of.begin(a, w)
		defer a.of.end(a)
	}
	for len(a.chunks) > 0 {
		if _, err := w.Write(a.chunks[0]); err != nil {
			return
		}
		a.chunks[0] = nil
		a.chunks = a.chunks[1:]
		a.of.written(a)
	}
}

// begin records that an answer is being written to w, and end that it is not any more.
func (b *buffers) begin(a *buffer, w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.to, a.readAt = w, time.Now()
	if b.writing == nil {
		b.writing = make(map[*buffer]struct{})
	}
	b.writing[a] = struct{}{}
}

func (b *buffers) end(a *buffer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.writing, a)
}

// written records that a chunk of an answer was written.
func (b *buffers) written(a *buffer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.readAt = time.Now()
	if a.counted > 0 {
		a.counted--
		b.release(1)
	}
}

// release gives up the answer. It is not being written any more.
func (a *buffer) release() {
	a.of.release(a.counted)
	a.chunks, a.counted = nil, 0
}

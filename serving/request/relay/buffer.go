package relay

import (
	"io"
	"net/http"
	"sync/atomic"

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
	// grow is Deps.GrowAnswers.
	grow func(bytes int64) bool
}

// take reports whether there is room for another chunk, and counts it.
func (b *buffers) take() bool {
	if b.held.Add(answerChunkBytes) > maxBufferedBytes || b.grow != nil && !b.grow(answerChunkBytes) {
		b.held.Add(-answerChunkBytes)
		return false
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
}

// read reads an answer. It returns errAnswerTooLong or errBuffersFull if there is no room for
// it, and the buffer also with an error.
func (b *buffers) read(from io.Reader) (*buffer, error) {
	a := &buffer{of: b}
	for bytes := firstChunkBytes; ; bytes = answerChunkBytes {
		if len(a.chunks) > 0 && !b.take() {
			return a, errBuffersFull
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
// slowly holds only the rest. An error means that the caller has disconnected.
func (a *buffer) writeTo(w http.ResponseWriter) {
	for len(a.chunks) > 0 {
		if _, err := w.Write(a.chunks[0]); err != nil {
			return
		}
		a.chunks[0] = nil
		if a.chunks = a.chunks[1:]; len(a.chunks) > 0 {
			a.of.release(1) // one chunk of an answer is not counted
		}
	}
}

func (a *buffer) release() {
	a.of.release(max(len(a.chunks)-1, 0))
	a.chunks = nil
}

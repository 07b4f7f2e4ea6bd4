package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEvent bounds one event, in bytes.
const maxEvent = 256 << 10

// eventReader splits a stream into whole events. An event ends with an empty
// line; what follows the last one is not delivered.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

// event is one whole event with its ID, which may be empty.
type event struct {
	raw []byte
	id  string
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next whole event. The result is valid until the next call.
// It returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF if the
// stream ends within an event.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	begins := 0 // of the line that is read, in the buffer
	var found event
	for {
		piece, err := e.reader.ReadSlice('\n')
		e.buffer = append(e.buffer, piece...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.buffer) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		if len(e.buffer) > maxEvent {
			return event{}, errors.New("an event is too long")
		}
		if err != nil {
			continue // a line longer than the reader's buffer comes in pieces
		}
		line := e.buffer[begins:]
		begins = len(e.buffer)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			found.id = string(bytes.TrimSpace(id))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(e.buffer) > len(line) {
			found.raw = e.buffer
			return found, nil
		}
	}
}

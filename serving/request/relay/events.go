package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes limits one event, including its final empty line.
const maxEventBytes = 256 << 10

// eventReader splits a stream of server-sent events into complete events. An
// event ends with an empty line. An incomplete event at the end of the stream
// is not returned.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

// event is a complete event and its ID, which may be empty.
type event struct {
	raw []byte
	id  string
	// comment is true if the event has neither an ID nor data.
	comment bool
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// partial reports whether the stream ended within an event. It is called after next has
// returned an error.
func (e *eventReader) partial() bool { return len(bytes.Trim(e.buffer, "\r\n")) > 0 }

// next returns the next complete event. The result is valid until the next
// call. It returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF if
// the stream ends within an event.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	lineStart := 0 // offset of the current line in the buffer
	found := event{comment: true}
	for {
		piece, err := e.reader.ReadSlice('\n')
		e.buffer = append(e.buffer, piece...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && e.partial():
			return event{}, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) && len(e.buffer) > 0: // empty lines, which end no event
			found.raw = e.buffer
			return found, nil
		case err != nil:
			return event{}, err
		}
		if len(e.buffer) > maxEventBytes {
			return event{}, errors.New("event exceeds the size limit")
		}
		if err != nil {
			continue // ReadSlice returns a line that exceeds its buffer in pieces
		}
		line := e.buffer[lineStart:]
		lineStart = len(e.buffer)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			found.id = string(bytes.TrimSpace(id))
			found.comment = false
		}
		if bytes.HasPrefix(line, []byte("data")) {
			found.comment = false
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(e.buffer) > len(line) {
			found.raw = e.buffer
			return found, nil
		}
	}
}

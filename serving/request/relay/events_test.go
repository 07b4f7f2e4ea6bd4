package relay

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// TestEventsWithLongLines uses lines of about the size of the reader's buffer,
// with text in them that looks like an ID field.
func TestEventsWithLongLines(t *testing.T) {
	const buffer = 2 << 10
	for _, length := range []int{buffer - 1, buffer, buffer + 1, 2 * buffer, 2*buffer + 1} {
		text := "data: " + strings.Repeat("x", length-len("data: "))
		stream := ""
		for i := range 3 {
			stream += "id: " + strconv.Itoa(i) + "\n" + text + "id: 77\n\n" + text + "\n\n"
		}
		events := newEventReader(strings.NewReader(stream))
		for i := range 6 {
			next, err := events.next()
			want := ""
			if i%2 == 0 {
				want = strconv.Itoa(i / 2)
			}
			if err != nil || next.id != want || !bytes.HasSuffix(next.raw, []byte("\n\n")) {
				t.Fatalf("lines of %d bytes, event %d: ID %q, %d bytes, %v", length, i, next.id, len(next.raw), err)
			}
		}
		if _, err := events.next(); !errors.Is(err, io.EOF) {
			t.Fatalf("lines of %d bytes: error %v after the last event", length, err)
		}
	}
}

// FuzzEvents checks for any stream that its events are a prefix of it, and that
// each event ends with an empty line.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"))
	f.Add([]byte("\n\nid: 1\r\n\r\ndata"))
	f.Add([]byte("id: 1\n" + strings.Repeat("x", 2<<10) + "\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		events := newEventReader(bytes.NewReader(stream))
		var all []byte
		for {
			next, err := events.next()
			if err != nil {
				break
			}
			all = append(all, next.raw...)
			lines := bytes.Split(next.raw, []byte("\n"))
			if len(lines) < 3 || len(bytes.TrimRight(lines[len(lines)-2], "\r")) != 0 {
				t.Fatalf("event %q does not end with an empty line", next.raw)
			}
		}
		if !bytes.HasPrefix(stream, all) {
			t.Fatalf("events %q are no prefix of stream %q", all, stream)
		}
	})
}

package targetapi

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// arrivals is a body whose reads return one piece each.
type arrivals struct{ pieces []string }

func (a *arrivals) Read(p []byte) (int, error) {
	if len(a.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, a.pieces[0])
	a.pieces = a.pieces[1:]
	return n, nil
}

func (a *arrivals) Close() error { return nil }

func reader(pieces ...string) *frameReader {
	return newFrameReader(&http.Response{Header: http.Header{}, Body: &arrivals{pieces: pieces}})
}

// TestBuffered has frames arrive together, in parts and alone: a frame is
// buffered only if it is there to its last byte.
func TestBuffered(t *testing.T) {
	r := reader("{\"a\":1,\"o\":0,\"t\":\"x\"}\n{\"a\":1,\"o\":1}\n{\"a\":1,", "\"o\":2}\n", "{\"a\":1,\"o\":3}\n{\"a\":1,\"o\":4,\"end\":true}\n")
	want := []struct {
		frame    target.Frame
		buffered bool
	}{
		{target.Frame{Attempt: 1, Text: "x"}, true},
		{target.Frame{Attempt: 1, Offset: 1}, false},
		{target.Frame{Attempt: 1, Offset: 2}, false},
		{target.Frame{Attempt: 1, Offset: 3}, true},
		{target.Frame{Attempt: 1, Offset: 4, End: true}, false},
	}
	for i, w := range want {
		frame, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if frame != w.frame || r.Buffered() != w.buffered {
			t.Fatalf("frame %d: %+v, buffered %v", i, frame, r.Buffered())
		}
	}
	if _, err := r.Next(); err == nil || r.Buffered() {
		t.Fatalf("after the end: %v, buffered %v", err, r.Buffered())
	}
}

// TestLinesThatAreNotFrames refuses what is not one frame to a line, and keeps
// no field of the frame before.
func TestLinesThatAreNotFrames(t *testing.T) {
	for _, line := range []string{"", "{}{}", "{\"a\":1} 2", "{\"a\":", "[]", strings.Repeat(" ", MaxFrameBytes) + "{}"} {
		r := reader("{\"a\":7,\"t\":\"x\"}\r\n {} \n", line+"\n")
		first, _ := r.Next()
		second, err := r.Next()
		if err != nil || first != (target.Frame{Attempt: 7, Text: "x"}) || second != (target.Frame{}) {
			t.Fatalf("%+v, %+v, %v", first, second, err)
		}
		if frame, err := r.Next(); err == nil {
			t.Fatalf("line %.20q was read as %+v", line, frame)
		}
	}
}

// endless repeats one line.
type endless struct {
	line string
	at   int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.line[e.at:])
	e.at = (e.at + n) % len(e.line)
	return n, nil
}

func (e *endless) Close() error { return nil }

func BenchmarkNext(b *testing.B) {
	line := "{\"a\":1,\"o\":123,\"t\":\" petition\"}\n"
	r := newFrameReader(&http.Response{Header: http.Header{}, Body: &endless{line: line}})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// TestCutInALine has an answer end in the middle of a frame: it was cut, which
// leaves the stream to be resumed.
func TestCutInALine(t *testing.T) {
	r := reader("{\"a\":1,\"o\":0,\"t\":\"x\"}\n{\"a\":1,\"o\"")
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Next(); verdict.From(err).Reason != verdict.AnswerCut {
		t.Fatalf("%v", err)
	}
}

package targetapi

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// chunkedBody is a response body of which each read returns one chunk.
type chunkedBody struct{ chunks []string }

func (b *chunkedBody) Read(p []byte) (int, error) {
	if len(b.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.chunks[0])
	b.chunks = b.chunks[1:]
	return n, nil
}

func (b *chunkedBody) Close() error { return nil }

func newReader(chunks ...string) *frameReader {
	return newFrameReader(&http.Response{Header: http.Header{}, Body: &chunkedBody{chunks: chunks}})
}

// TestBuffered receives several frames in one chunk, a frame split over two
// chunks and single frames. A frame counts as buffered only if it has arrived
// completely.
func TestBuffered(t *testing.T) {
	r := newReader("{\"a\":1,\"o\":0,\"t\":\"x\"}\n{\"a\":1,\"o\":1}\n{\"a\":1,", "\"o\":2}\n", "{\"a\":1,\"o\":3}\n{\"a\":1,\"o\":4,\"end\":true}\n")
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

// TestLinesThatAreNotFrames checks that lines which do not contain exactly one
// frame are rejected, and that a frame does not inherit fields of the previous
// one.
func TestLinesThatAreNotFrames(t *testing.T) {
	for _, line := range []string{"", "{}{}", "{\"a\":1} 2", "{\"a\":", "[]", strings.Repeat(" ", MaxFrameBytes) + "{}"} {
		r := newReader("{\"a\":7,\"t\":\"x\"}\r\n {} \n", line+"\n")
		first, _ := r.Next()
		second, err := r.Next()
		if err != nil || first != (target.Frame{Attempt: 7, Text: "x"}) || second != (target.Frame{}) {
			t.Fatalf("first frame %+v, second frame %+v, error %v", first, second, err)
		}
		if frame, err := r.Next(); err == nil {
			t.Fatalf("line %.20q was decoded as %+v", line, frame)
		}
	}
}

// repeatingBody is an endless response body that repeats one line.
type repeatingBody struct {
	line   string
	offset int
}

func (b *repeatingBody) Read(p []byte) (int, error) {
	n := copy(p, b.line[b.offset:])
	b.offset = (b.offset + n) % len(b.line)
	return n, nil
}

func (b *repeatingBody) Close() error { return nil }

func BenchmarkNext(b *testing.B) {
	line := "{\"a\":1,\"o\":123,\"t\":\" petition\"}\n"
	r := newFrameReader(&http.Response{Header: http.Header{}, Body: &repeatingBody{line: line}})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// TestCutInALine checks that an answer which ends in the middle of a frame has
// the reason AnswerCut, with which the stream can be resumed.
func TestCutInALine(t *testing.T) {
	r := newReader("{\"a\":1,\"o\":0,\"t\":\"x\"}\n{\"a\":1,\"o\"")
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Next(); verdict.From(err).Reason != verdict.AnswerCut {
		t.Fatalf("error %v, want the reason AnswerCut", err)
	}
}

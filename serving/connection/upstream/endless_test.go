package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// Limits that an answer without end must not exceed at this daemon.
const (
	// endlessAnswerTime is the time within which the connection must be closed,
	// far below the callers' deadlines.
	endlessAnswerTime = 5 * time.Second
	// maxEndlessHeap is the growth of the heap in bytes.
	maxEndlessHeap = 8 << 20
	// endlessBytes is what the target tries to send.
	endlessBytes = 1 << 30
	// maxEndlessBytes is what the sockets' buffers and the daemon may take of it.
	maxEndlessBytes = 32 << 20
)

// endless is a target that sends a prefix and then repeats a text, until the
// connection is closed or endlessBytes are sent.
type endless struct {
	prefix, text string
	sent         atomic.Int64
	closed       chan struct{}
}

func (e *endless) respond(conn net.Conn, _ *http.Request, _ []byte, _ int64) bool {
	defer close(e.closed)
	_, _ = io.WriteString(conn, e.prefix) // the next write returns the error
	block := []byte(strings.Repeat(e.text, 1+(64<<10)/len(e.text)))
	for e.sent.Load() < endlessBytes {
		n, err := conn.Write(block)
		e.sent.Add(int64(n))
		if err != nil {
			return false
		}
	}
	return false
}

// wantBounded checks that the target was cut off early and that the heap stayed flat.
func (e *endless) wantBounded(t *testing.T, heapBefore uint64) {
	t.Helper()
	select {
	case <-e.closed:
	case <-time.After(endlessAnswerTime):
		t.Fatalf("the connection is still open after %d bytes", e.sent.Load())
	}
	if sent := e.sent.Load(); sent > maxEndlessBytes {
		t.Errorf("the target could send %d bytes", sent)
	}
	if after := heapInUse(); after > heapBefore+maxEndlessHeap {
		t.Errorf("heap grew from %d to %d bytes", heapBefore, after)
	}
}

// heapInUse returns the heap's size without a collection, so that garbage counts.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Targets send each part of an answer without end, at full speed. Guards against
// http.ReadResponse, which bounds neither status line nor header nor the number of
// interim answers: some seconds of it exceed the memory of a host.
func TestHeadsWithoutEndAreCutOff(t *testing.T) {
	cases := map[string]*endless{
		"status line":        {prefix: "HTTP/1.1 200 ", text: "x"},
		"garbage":            {text: "\x00\x01garbage"},
		"one field":          {prefix: "HTTP/1.1 200 OK\r\nField: ", text: "x"},
		"fields":             {prefix: "HTTP/1.1 200 OK\r\n", text: "Field: value\r\n"},
		"interim answers":    {text: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"stale answers":      {text: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"stale body":         {prefix: "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", text: "x"},
		"stale chunked body": {prefix: "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", text: "1\r\nx\r\n"},
	}
	for name, target := range cases {
		t.Run(name, func(t *testing.T) {
			target.closed = make(chan struct{})
			s := startTarget(t, target.respond)
			runtime.GC()
			before := heapInUse()
			ctx, cancel := context.WithTimeout(t.Context(), 2*endlessAnswerTime)
			defer cancel()
			_, err := NewPool().Do(ctx, s.newAttempt(t, "1", ""))
			failure := verdict.From(err)
			if failure == nil || failure.Verdict != verdict.MayHaveRun || failure.Reason != verdict.AnswerMismatch {
				t.Errorf("error %v", err)
			}
			target.wantBounded(t, before)
		})
	}
}

// A chunk header and a trailer have no end. The body's reader must fail.
func TestChunkHeadersAndTrailersWithoutEndAreCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]*endless{
		"chunk extension":  {prefix: head + "1;", text: "x"},
		"chunk extensions": {prefix: head, text: "1;" + strings.Repeat("x", 2000) + "\r\ny\r\n"},
		"trailer":          {prefix: head + "1\r\nx\r\n0\r\n", text: "Field: value\r\n"},
	}
	for name, target := range cases {
		t.Run(name, func(t *testing.T) {
			target.closed = make(chan struct{})
			s := startTarget(t, target.respond)
			runtime.GC()
			before := heapInUse()
			x, err := NewPool().Do(t.Context(), s.newAttempt(t, "1", ""))
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, x.Response.Body)
			x.Abort()
			failure := verdict.From(x.BodyError(t.Context(), err))
			if err == nil || failure.Reason != verdict.AnswerMismatch || failure.Verdict != verdict.MayHaveRun {
				t.Errorf("error %v", err)
			}
			target.wantBounded(t, before)
		})
	}
}

// After a whole answer the target goes on sending. The answer counts, and the
// connection is not used again.
func TestBytesWithoutEndAfterAnAnswerEndTheConnection(t *testing.T) {
	target := &endless{prefix: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi", text: "garbage", closed: make(chan struct{})}
	s := startTarget(t, target.respond)
	pool := NewPool()
	x, err := pool.Do(t.Context(), s.newAttempt(t, "1", ""))
	if err != nil {
		t.Fatal(err)
	}
	if got := finish(t, x); got != "hi" {
		t.Fatalf("body %q", got)
	}
	for target.sent.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // the bytes are on their way
	if conn := pool.take("t"); conn != nil && conn.usable(time.Now()) {
		t.Fatal("the connection is kept")
	}
	pool.Sweep(func(names.Target) bool { return false }, time.Now())
}

// The head comes a byte now and then, and does not end. The request's deadline must
// end it.
func TestHeadThatTricklesEndsWithTheDeadline(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, _ *http.Request, _ []byte, _ int64) bool {
		for {
			if _, err := io.WriteString(conn, "H"); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := NewPool().Do(ctx, s.newAttempt(t, "1", ""))
	if failure := verdict.From(err); failure == nil || failure.Reason != verdict.DeadlineExceeded || failure.Verdict != verdict.MayHaveRun {
		t.Fatalf("error %v", err)
	}
	if took := time.Since(began); took > endlessAnswerTime {
		t.Fatalf("ended after %s", took)
	}
}

// A head as large as targets send must still be accepted.
func TestLargeHeadIsAccepted(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ []byte, _ int64) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nField: %s\r\nContent-Length: 2\r\n\r\nhi",
			r.Header.Get("Id"), strings.Repeat("x", 32<<10))
		return true
	})
	pool := NewPool()
	for range 2 {
		x, err := pool.Do(t.Context(), s.newAttempt(t, "1", ""))
		if err != nil {
			t.Fatal(err)
		}
		if got := finish(t, x); got != "hi" {
			t.Fatalf("body %q", got)
		}
	}
	if s.connCount.Load() != 1 {
		t.Fatalf("%d connections", s.connCount.Load())
	}
}

// A second copy of an answer comes late, without the ID that tells to which request it
// belongs, on a connection that is in use again. Guards against forwarding it to the
// next caller, or telling that caller that its request did not run.
func TestAnswerWithoutIDOnReusedConnectionIsNotTaken(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ []byte, number int64) bool {
		if number == 1 {
			respondOK(conn, r, "first")
			return true
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	pool := NewPool()
	attempt := func(id string) *Attempt {
		a := s.newAttempt(t, id, "")
		a.IsOwnAnswer = func(r *http.Response, reused bool) bool {
			echo := r.Header.Get("Id")
			return echo == id || echo == "" && !reused
		}
		return a
	}
	x, err := pool.Do(t.Context(), attempt("1"))
	if err != nil {
		t.Fatal(err)
	}
	finish(t, x)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	x, err = pool.Do(ctx, attempt("2"))
	if err == nil {
		t.Fatalf("took an answer with status %d", x.Response.StatusCode)
	}
	if failure := verdict.From(err); failure.Verdict != verdict.MayHaveRun {
		t.Fatalf("error %v", err)
	}
}

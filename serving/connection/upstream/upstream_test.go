package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// testTarget is a server that reads requests and answers them with a function
// that writes to the raw connection.
type testTarget struct {
	listener     net.Listener
	requestCount atomic.Int64
	connCount    atomic.Int64
}

// answerFunc answers the request with the given number on a connection, and
// reports whether the connection stays open.
type answerFunc func(conn net.Conn, r *http.Request, body []byte, number int64) bool

func startTarget(t *testing.T, respond answerFunc) *testTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testTarget{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connCount.Add(1)
			go s.handle(conn, respond)
		}
	}()
	return s
}

func (s *testTarget) handle(conn net.Conn, respond answerFunc) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !respond(conn, r, body, s.requestCount.Add(1)) {
			return
		}
	}
}

func (s *testTarget) newAttempt(t *testing.T, id, body string) *Attempt {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://host.example/a%2fb/c?x=1&y", nil)
	if err != nil {
		t.Fatal(err)
	}
	return &Attempt{
		Target: "t", Address: s.listener.Addr().String(), Request: r, Header: http.Header{"Id": {id}}, Body: []byte(body),
		IsOwnAnswer: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id },
	}
}

func respondOK(conn net.Conn, r *http.Request, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
}

func finish(t *testing.T, x *Exchange) string {
	t.Helper()
	body, err := io.ReadAll(x.Response.Body)
	if err != nil {
		t.Fatal(err)
	}
	x.Release()
	return string(body)
}

func TestRequestsArriveUnchangedAndReuseTheConnection(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, body []byte, _ int64) bool {
		respondOK(conn, r, r.Method+" "+r.RequestURI+" "+r.Host+" "+string(body)+" "+r.Header.Get("User-Agent"))
		return true
	})
	pool := NewPool()
	for i := range 3 {
		x, err := pool.Do(t.Context(), s.newAttempt(t, fmt.Sprint(i), "hello"))
		if err != nil {
			t.Fatal(err)
		}
		if got := finish(t, x); got != "POST /a%2fb/c?x=1&y host.example hello " {
			t.Fatalf("the target received %q", got)
		}
	}
	if s.connCount.Load() != 1 || pool.Opened() != 1 {
		t.Fatalf("%d connections, want 1", s.connCount.Load())
	}
}

// TestARequestIsNeverResent checks that a request is not resent if the target
// reads it on a reused connection and closes the connection without an answer.
// net/http's Transport would resend it.
func TestARequestIsNeverResent(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ []byte, number int64) bool {
		if number == 1 {
			respondOK(conn, r, "first")
			return true
		}
		return false
	})
	pool := NewPool()
	x, err := pool.Do(t.Context(), s.newAttempt(t, "1", ""))
	if err != nil {
		t.Fatal(err)
	}
	finish(t, x)
	_, err = pool.Do(t.Context(), s.newAttempt(t, "2", ""))
	if failure := verdict.From(err); failure == nil || failure.Verdict != verdict.MayHaveRun || failure.Reason != verdict.AnswerCut {
		t.Fatalf("error %v", err)
	}
	if got := s.requestCount.Load(); got != 2 {
		t.Fatalf("the target received %d requests, want 2", got)
	}
}

func TestAnUnreachableTargetProvesNotRun(t *testing.T) {
	s := startTarget(t, nil)
	_ = s.listener.Close()
	_, err := NewPool().Do(t.Context(), s.newAttempt(t, "1", ""))
	if failure := verdict.From(err); failure.Verdict != verdict.NotRun || failure.Reason != verdict.TargetUnreachable {
		t.Fatalf("error %v", err)
	}
}

func TestALateAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ []byte, _ int64) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong")
		respondOK(conn, r, "right")
		return true
	})
	x, err := NewPool().Do(t.Context(), s.newAttempt(t, "mine", ""))
	if err != nil {
		t.Fatal(err)
	}
	if got := finish(t, x); got != "right" {
		t.Fatalf("answer %q", got)
	}
}

// TestConnectionWithExtraAnswerIsNotReused answers each request twice. The next
// request must not receive the second answer.
func TestConnectionWithExtraAnswerIsNotReused(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ []byte, _ int64) bool {
		respondOK(conn, r, "once")
		time.Sleep(5 * time.Millisecond)
		respondOK(conn, r, "twice")
		return true
	})
	pool := NewPool()
	for i := range 3 {
		x, err := pool.Do(t.Context(), s.newAttempt(t, fmt.Sprint(i), ""))
		if err != nil {
			t.Fatal(err)
		}
		if got := finish(t, x); got != "once" {
			t.Fatalf("answer %q", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if s.connCount.Load() != 3 {
		t.Fatalf("a connection with unread data was reused: %d connections, want 3", s.connCount.Load())
	}
}

// TestAnEarlyAnswerEndsTheConnection answers before a long body has been read.
// The connection, on which the request is incomplete, must not be reused.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	s := &testTarget{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connCount.Add(1)
			go func() {
				_, _ = bufio.NewReaderSize(conn, 16).ReadString('\n')
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(time.Second)
				_ = conn.Close()
			}()
		}
	}()
	pool := NewPool()
	for range 2 {
		x, err := pool.Do(t.Context(), s.newAttempt(t, "1", strings.Repeat("x", 16<<20)))
		if err != nil {
			t.Fatal(err)
		}
		finish(t, x)
	}
	if s.connCount.Load() != 2 {
		t.Fatalf("%d connections, want 2: a request was sent after an incomplete body", s.connCount.Load())
	}
}

func TestAResetDoesNotEndAnAnswerWithoutLength(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ []byte, _ int64) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\npart", r.Header.Get("Id"))
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	x, err := NewPool().Do(t.Context(), s.newAttempt(t, "1", ""))
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(x.Response.Body); err == nil {
		t.Fatalf("%q was accepted as a complete answer", body)
	}
	x.Abort()
}

func TestTheEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := startTarget(t, func(conn net.Conn, _ *http.Request, _ []byte, _ int64) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := NewPool().Do(ctx, s.newAttempt(t, "1", ""))
	if failure := verdict.From(err); failure.Reason != verdict.DeadlineExceeded || failure.Verdict != verdict.MayHaveRun {
		t.Fatalf("error %v", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection to the target was not closed")
	}
}

func TestAConnectionThatItsPeerClosedIsNotUsed(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ []byte, _ int64) bool {
		respondOK(conn, r, "")
		return false
	})
	pool := NewPool()
	for i := range 3 {
		x, err := pool.Do(t.Context(), s.newAttempt(t, fmt.Sprint(i), ""))
		if err != nil {
			t.Fatal(err)
		}
		finish(t, x)
		time.Sleep(20 * time.Millisecond)
	}
	if s.requestCount.Load() != 3 {
		t.Fatalf("%d requests, want 3", s.requestCount.Load())
	}
}

func TestIdleTimeoutFromKeepAliveHeader(t *testing.T) {
	cases := map[string]time.Duration{"timeout=4, max=9": 3500 * time.Millisecond, "max=9": defaultIdleTimeout, "timeout=x": 0, "timeout=0": 0}
	for header, want := range cases {
		if got := idleTimeout(&http.Response{Header: http.Header{"Keep-Alive": {header}}}); got != want {
			t.Errorf("%q: %s, want %s", header, got, want)
		}
	}
}

func TestIdleConnectionLimits(t *testing.T) {
	cases := []struct{ limit, daemons, want int }{
		{0, 9, maxIdlePerTarget}, {344, 9, maxIdlePerTarget}, {298, 77, 1}, {298, 12, 12}, {4, 100, 1}, {100, 0, maxIdlePerTarget},
	}
	for _, c := range cases {
		if got := MaxIdlePerDaemon(c.limit, c.daemons); got != c.want {
			t.Errorf("limit %d, %d daemons: %d idle, want %d", c.limit, c.daemons, got, c.want)
		}
	}
	p := NewPool()
	p.MaxIdle = func(names.Target) int { return 2 }
	for range 3 {
		client, server := net.Pipe()
		defer server.Close() //nolint:errcheck // the test is over
		p.put("a", &Conn{Conn: client, idleUntil: time.Now().Add(time.Hour)})
	}
	if got := len(p.idle["a"]); got != 2 {
		t.Fatalf("%d idle connections, want 2", got)
	}
}

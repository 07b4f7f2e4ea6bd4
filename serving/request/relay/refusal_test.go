package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
)

// place is the point at which a target repeats an earlier refusal.
type place string

const (
	beforeNextRequest place = "before the next request"
	beforeAnswer      place = "before the answer"
	insteadOfAnswer   place = "in place of the answer"
	afterAnswer       place = "after the answer"
)

// repeatingServer refuses the first request that it reads, of all or of each connection, runs
// all others, and writes the refusal once more at a place. It counts the runs.
type repeatingServer struct {
	listener net.Listener
	place    place
	// refusesOnce is true if it refuses the first request of all.
	refusesOnce bool
	refused     atomic.Bool
	// repeatedID returns the ID of the repeated refusal.
	repeatedID func(earlier, own string) string
	runs       atomic.Int32
}

func newRepeatingServer(t *testing.T, p place, id func(earlier, own string) string, refusesOnce bool) *repeatingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &repeatingServer{listener: listener, place: p, repeatedID: id, refusesOnce: refusesOnce}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	const first = "request-0"
	earlier := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a broken request ends the loop
		own := r.Header.Get("Id")
		if s.refusesOnce && s.refused.Swap(true) {
			earlier = first
		}
		if earlier == "" {
			earlier = own
			s.refuse(conn, own)
			if s.place == beforeNextRequest {
				time.Sleep(5 * time.Millisecond)
				s.refuse(conn, s.repeatedID(earlier, own))
			}
			continue
		}
		s.runs.Add(1)
		if s.place == beforeAnswer || s.place == insteadOfAnswer {
			s.refuse(conn, s.repeatedID(earlier, own))
		}
		if s.place == insteadOfAnswer {
			continue
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 3\r\n\r\nran", own)
		if s.place == afterAnswer {
			s.refuse(conn, s.repeatedID(earlier, own))
		}
	}
}

func (s *repeatingServer) refuse(conn net.Conn, id string) {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\n%sNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy", id)
}

// A faulty target writes an earlier refusal once more on a kept connection. Guards against a
// request that is said not to have run although it has, and against a call that must not
// run twice and does.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	earlierID := func(earlier, _ string) string { return earlier }
	noID := func(_, _ string) string { return "" }
	for _, p := range []place{beforeNextRequest, beforeAnswer, insteadOfAnswer, afterAnswer} {
		for _, c := range []struct {
			path, name string
			id         func(earlier, own string) string
		}{
			{"/read/x", "ID of the earlier request", earlierID},
			{"/read/x", "no ID", noID},
			{"/order/x", "ID of the earlier request", earlierID}, // without an ID it answers the call on its new connection
		} {
			t.Run(fmt.Sprint(p, ", ", c.name, ", ", c.path), func(t *testing.T) {
				t.Parallel()
				s := newRepeatingServer(t, p, c.id, c.path == "/order/x")
				f := newFixture(t, &fakeServer{listener: s.listener})
				for n := range 4 {
					s.check(t, f, c.path, n)
				}
				if s.runs.Load() == 0 && (c.path == "/order/x" || p != beforeNextRequest) {
					t.Fatal("no request ran")
				}
			})
		}
	}
}

// check sends the n-th request, and compares what the caller is told with what ran.
func (s *repeatingServer) check(t *testing.T, f *fixture, path string, n int) {
	t.Helper()
	before := s.runs.Load()
	head, body, err := f.call(path, func(r *http.Request) {
		r.Header.Set("Id", fmt.Sprint("request-", n))
		r.Header.Set("Timeout", "500ms")
	})
	ran := s.runs.Load() - before
	switch {
	case err != nil:
	case head.StatusCode == http.StatusOK && (body != "ran" || ran == 0):
		t.Errorf("request %d: %q, runs %d", n, body, ran)
	case head.Header.Get("Verdict") == verdict.NotRun.String() && ran > 0:
		t.Errorf("request %d: said not to have run, ran %d times", n, ran)
	}
	if path == "/order/x" && ran > 1 {
		t.Errorf("request %d ran %d times", n, ran)
	}
}

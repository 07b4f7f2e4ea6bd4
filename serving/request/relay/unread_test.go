package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/process/memory"
)

// askAndStall sends a request on a connection that reads nothing.
func (f *fixture) askAndStall(path string) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: host.example\r\nId: r1\r\nKey: key\r\n\r\n", path)
}

// answersLong answers with 7 MB, and streams without end.
func answersLong(conn net.Conn, r *http.Request, _ int) {
	if strings.HasPrefix(r.URL.Path, "/once/") {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\n", r.Header.Get("Id"))
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000)); err != nil {
				return
			}
		}
	}
	writeAnswer(conn, r, http.StatusOK, "Seal: s\r\n", strings.Repeat("x", longAnswerBytes))
}

const longAnswerBytes = 7 << 20

// TestAnswerThatIsNotReadEnds guards against requests that never end since their callers do
// not read: nothing may be accounted for them some time after their deadline.
func TestAnswerThatIsNotReadEnds(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x"} {
		f, guard := boundedFixture(t, memory.ForHost(184<<20), newFakeServer(t, answersLong))
		f.relay.unreadTime = 100 * time.Millisecond
		f.askAndStall(path)
		began := time.Now()
		for used := int64(1); used > 0; time.Sleep(10 * time.Millisecond) {
			if time.Since(began) > 15*time.Second {
				t.Fatalf("%s: the request of a caller that does not read has not ended", path)
			}
			u, _ := guard.Usage()
			used = u[memory.Heads] + u[memory.Answers]
			if time.Since(began) < 500*time.Millisecond {
				used = 1 // it may not have begun yet
			}
		}
	}
}

// TestUnreadAnswersGiveWay has callers that do not read long answers, until there is no room
// for another one. It guards against failures of the requests of others, which have run.
func TestUnreadAnswersGiveWay(t *testing.T) {
	f, guard := boundedFixture(t, memory.ForHost(184<<20), newFakeServer(t, answersLong))
	f.relay.unreadTime = time.Minute
	for range 4 {
		f.askAndStall("/read/x")
	}
	for until := time.Now().Add(10 * time.Second); f.relay.answers.held.Load() < 20<<20 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(1200 * time.Millisecond) // beyond the time from which an answer gives way
	for range 3 {
		head, body, err := f.call("/read/x", func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader("")) })
		if err != nil || head.StatusCode != http.StatusOK || len(body) != longAnswerBytes {
			t.Fatalf("the caller that reads got %+v, %d bytes, %v", head, len(body), err)
		}
	}
	if used, _ := guard.Usage(); used[memory.Answers] > maxBufferedBytes {
		t.Errorf("%d bytes of answers are held", used[memory.Answers])
	}
}

// TestRefusalsThatAreNotReadEnd has a caller that sends requests without reading their
// refusals, until a refusal cannot be written. It guards against connections that stay open
// for good: one that gives way is only ended by the goroutine that writes, and too many that
// do not end keep all others out.
func TestRefusalsThatAreNotReadEnd(t *testing.T) {
	f, guard := boundedFixture(t, memory.ForHost(184<<20))
	f.relay.unreadTime = 100 * time.Millisecond
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	requests := strings.Repeat("GET /read/x HTTP/1.1\r\nHost: host.example\r\nId: r1\r\nKey: unknown\r\n\r\n", 100)
	for err == nil {
		_, err = conn.Write([]byte(requests))
	}
	for until := time.Now().Add(10 * time.Second); guard.Connections(memory.Callers) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the connection of a caller that does not read has not ended")
		}
	}
}

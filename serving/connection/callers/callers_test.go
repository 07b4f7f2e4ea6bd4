package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/process/memory"
	"github.com/pkg/errors"
)

// daemon is a server behind a Listener, whose handler counts the requests that it got.
type daemon struct {
	t       *testing.T
	guard   *Guard
	address string
	served  atomic.Int64
}

const mb = 1 << 20

func newDaemon(t *testing.T, limit int64, connections int, handler http.HandlerFunc) *daemon {
	t.Helper()
	d := &daemon{t: t, guard: NewGuard(memory.Config{Limit: limit, Large: limit / 2, Answers: limit / 4})}
	inner, err := Listen(t.Context(), "127.0.0.1:0", 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	d.address = inner.Addr().String()
	listener := d.guard.NewListener(inner, Options{
		Connections: connections, ConnectionBytes: 1 << 10, HTTP: true, HeadBytes: func() int { return 16 << 10 }, MaxHeadBytes: 256 << 10,
	})
	server := &http.Server{ConnState: StateChanged, MaxHeaderBytes: 256 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.served.Add(1)
		if handler != nil {
			handler(w, r)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return d
}

func (d *daemon) dial() net.Conn {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// send sends text on a new connection, and returns the statuses of the answers until the end.
func (d *daemon) send(text string) []int {
	d.t.Helper()
	conn := d.dial()
	go func() { _, _ = io.WriteString(conn, text) }()
	var statuses []int
	for reader := bufio.NewReader(conn); ; {
		status, _ := readAnswer(reader)
		if status == 0 {
			return statuses
		}
		statuses = append(statuses, status)
	}
}

// readAnswer reads an answer and returns its status, zero if there is none.
func readAnswer(reader *bufio.Reader) (status int, retryAfter string) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Retry-After")
}

func (d *daemon) eventually(what string, holds func() bool) {
	d.t.Helper()
	for until := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			d.t.Fatalf("not within 10 s: %s (%+v)", what, d.guard.Counts())
		}
	}
}

const last = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// lines returns a number of different lines of a head.
func lines(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "a%x:\r\n", i)
	}
	return text.String()
}

// TestHeads guards against heads that are parsed beyond the limit or the account, and against
// refusals of legal ones. Answers come in the order of the requests.
func TestHeads(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: h\r\n"
	for name, test := range map[string]struct {
		text   string
		want   string
		served int64
	}{
		"ordinary":                     {last, "[200]", 1},
		"pipelined":                    {head + "\r\n" + head + "\r\n" + last, "[200 200 200]", 3},
		"line feeds only":              {strings.ReplaceAll(last, "\r", ""), "[200]", 1},
		"largest legal, short lines":   {head + "Connection: close\r\n" + lines(2700) + "\r\n", "[200]", 1},
		"over the limit":               {head + "X: " + strings.Repeat("x", 30<<10) + "\r\n\r\n", "[431]", 0},
		"without end":                  {head + lines(100_000), "[431]", 0},
		"a line without end":           {strings.Repeat("x", mb), "[431]", 0},
		"second one over the limit":    {head + "\r\n" + head + lines(100_000), "[200 431]", 1},
		"empty lines without end":      {strings.Repeat("\r\n", mb), "[400]", 0},
		"empty lines after a request":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + strings.Repeat("\r\n", mb), "[200 400]", 1},
		"body in place of a head":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("\n", 60_000) + last, "[200 200]", 2},
		"trailers":                     {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: b\r\n\r\n" + last, "[200 200]", 2},
		"trailers without end":         {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + lines(100_000), "[200]", 1},
		"chunk extensions without end": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", mb), "[200]", 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(t, 32*mb, 10, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			if got := fmt.Sprint(d.send(test.text)); got != test.want || d.served.Load() != test.served {
				t.Errorf("answers %s, want %s; %d served, want %d", got, test.want, d.served.Load(), test.served)
			}
			d.eventually("nothing is accounted", func() bool { used, _ := d.guard.Usage(); return used[memory.Heads] == 0 })
		})
	}
}

// TestConnectionsBeyondBound guards against connections that use up the descriptors: an idle
// one gives way to a new one, and one whose request is being served never does.
func TestConnectionsBeyondBound(t *testing.T) {
	release := make(chan struct{})
	d := newDaemon(t, 32*mb, 3, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	slow := d.dial()
	_, _ = io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	d.eventually("the slow request is served", func() bool { return d.served.Load() == 1 })
	for range 20 {
		d.dial()
	}
	d.eventually("connections were closed", func() bool { return d.guard.Counts().ClosedConnections >= 18 })
	if n := d.guard.Connections(memory.Callers); n > 3 {
		t.Errorf("%d connections are open, want at most 3", n)
	}
	d.eventually("another request is answered", func() bool { return fmt.Sprint(d.send(last)) == "[200]" })
	close(release)
	if status, _ := readAnswer(bufio.NewReader(slow)); status != http.StatusOK {
		t.Errorf("the request that was being served got %d", status)
	}
}

// TestUnfinishedHeadsGiveWay has more heads that stop before their end than the account
// holds. It guards against refusals of small requests beside them, and against a connection
// that ends without an answer although a head was read.
func TestUnfinishedHeadsGiveWay(t *testing.T) {
	d := newDaemon(t, 2*mb, 100, nil)
	answered := make(chan int, 20)
	for range cap(answered) {
		conn := d.dial()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+lines(700))
		go func() {
			if status, retryAfter := readAnswer(bufio.NewReader(conn)); retryAfter != "" {
				answered <- status
			}
		}()
	}
	if status := <-answered; status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if got := fmt.Sprint(d.send(last)); got != "[200]" {
		t.Errorf("the small request got %s", got)
	}
	if used, limit := d.guard.Usage(); used[memory.Heads] > limit {
		t.Errorf("%d bytes of heads, the limit is %d", used[memory.Heads], limit)
	}
}

// TestRequestThatMeetsEvictionIsRefused guards against a reset of a connection that gives way
// while it is idle, when a request has just arrived on it: its caller could not tell that the
// request did not run.
func TestRequestThatMeetsEvictionIsRefused(t *testing.T) {
	inner, err := Listen(t.Context(), "127.0.0.1:0", 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	guard := NewGuard(memory.Config{Limit: mb, Large: mb / 2, Answers: mb / 4})
	listener := guard.NewListener(inner, Options{Connections: 10, ConnectionBytes: 1 << 10, HTTP: true, MaxHeadBytes: 16 << 10})
	t.Cleanup(func() { _ = listener.Close() })
	for request, want := range map[string]int{last: http.StatusServiceUnavailable, "": 0} {
		caller, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = caller.Close() })
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(caller, request)
		time.Sleep(50 * time.Millisecond) // the request is in the buffer of the socket
		guard.spare(memory.Callers)
		if n, err := conn.Read(make([]byte, 4<<10)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("request %q: read %d bytes, %v", request, n, err)
		}
		_ = conn.Close()
		if status, retryAfter := readAnswer(bufio.NewReader(caller)); status != want || (retryAfter != "") != (want > 0) {
			t.Errorf("request %q: status %d, retry after %q, want %d", request, status, retryAfter, want)
		}
	}
}

// TestEarlyErrorThatIsNotReadEnds has a caller that reads nothing, so that an answer of net/http
// to a head which it cannot parse does not fit into the socket. It guards against connections
// that stay open for good after they gave way.
func TestEarlyErrorThatIsNotReadEnds(t *testing.T) {
	for name, sent := range map[string]string{"complete head": "bad\r\n\r\n", "no head": ""} {
		t.Run(name, func(t *testing.T) {
			inner, err := Listen(t.Context(), "127.0.0.1:0", 64<<10)
			if err != nil {
				t.Fatal(err)
			}
			guard := NewGuard(memory.Config{Limit: mb, Large: mb / 2, Answers: mb / 4})
			listener := guard.NewListener(inner, Options{Connections: 10, ConnectionBytes: 1 << 10, HTTP: true, MaxHeadBytes: 16 << 10})
			defer func() { _ = listener.Close() }()
			caller, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = caller.Close() }()
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			for err == nil {
				_, err = conn.Write(make([]byte, 64<<10))
			}
			_ = conn.SetWriteDeadline(time.Time{})
			if _, _ = io.WriteString(caller, sent); sent != "" {
				_, _ = conn.Read(make([]byte, 4<<10))
			}
			ended := make(chan struct{})
			go func() {
				_, _ = conn.Write(make([]byte, 64<<10))
				close(ended)
			}()
			time.Sleep(50 * time.Millisecond)
			guard.spare(memory.Callers)
			select {
			case <-ended:
			case <-time.After(20 * time.Second):
				t.Error("the answer is still being written")
			}
		})
	}
}

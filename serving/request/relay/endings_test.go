package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/version/routing"
)

// newEarlyServer returns a target that answers before it has read a long body, with
// neither length nor chunks. end ends the answer, and is followed by a reset.
func newEarlyServer(t *testing.T, body string, end func(*net.TCPConn)) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarly(conn.(*net.TCPConn), body, end)
		}
	}()
	return &fakeServer{listener: listener}
}

func answerEarly(conn *net.TCPConn, body string, end func(*net.TCPConn)) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn)) // leaves the body unread
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Id"), body)
	end(conn)
	_ = conn.SetLinger(0)
}

// longBodyBytes is above what the sockets buffer.
const longBodyBytes = 4 << 20

func withLongBody(r *http.Request) {
	r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", longBodyBytes)))
	r.ContentLength = longBodyBytes
}

// limitBodies sets the maximum size of a request's body.
func (f *fixture) limitBodies(bytes int64) {
	f.t.Helper()
	table, err := routing.NewTable(&routing.Config{
		Version: 1, Routes: f.routes, Services: []routing.Service{{Name: "s"}},
		Customers: []routing.Customer{{Name: "customer", Keys: []string{"key"}}},
		Limits:    routing.Limits{BodyBytes: bytes, HeaderBytes: 4 << 10},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.relay.Configuration = func() Configuration { return Configuration{Table: table, Recent: f.recent} }
}

// TestResetDuringLongBodyNeverEndsAsComplete has a reset while the body is still being
// written. The kernel reports the error of a socket once; if the write gets it, the read
// gets the end of the connection.
func TestResetDuringLongBodyNeverEndsAsComplete(t *testing.T) {
	const runs = 8 // the read may get the error first
	reset := func(*net.TCPConn) {
		time.Sleep(20 * time.Millisecond) // lets the relay read what was sent
	}
	for path, part := range map[string]string{"/read/x": "hal", "/order/x": "hal", "/stream/x": events(0, 2), "/once/x": events(0, 2)} {
		for _, w := range []way{direct, throughPeer} {
			t.Run(path+" "+string(w), func(t *testing.T) {
				for range runs {
					f := newFixture(t, newEarlyServer(t, part, reset), newEarlyServer(t, part, reset))
					f.limitBodies(longBodyBytes)
					f.reach(w, openGate{})
					response, body, err := f.call(path, withLongBody)
					if err == nil && response.StatusCode < http.StatusMultipleChoices {
						t.Fatalf("the caller got %q as a complete answer", body)
					}
				}
			})
		}
	}
}

// TestEarlyAnswerReachesCallerWhole has a target that ends its answer in order while the body
// is still being written, and then resets the connection.
func TestEarlyAnswerReachesCallerWhole(t *testing.T) {
	const runs = 8
	for name, pause := range map[string]time.Duration{"reset at once": 0, "reset later": 20 * time.Millisecond} {
		for _, w := range []way{direct, throughPeer} {
			t.Run(name+" "+string(w), func(t *testing.T) {
				for range runs {
					f := newFixture(t, newEarlyServer(t, "whole", func(conn *net.TCPConn) {
						_ = conn.CloseWrite()
						time.Sleep(pause)
					}))
					f.limitBodies(longBodyBytes)
					f.reach(w, openGate{})
					response, body, err := f.call("/order/x", withLongBody)
					if err != nil || response.StatusCode != http.StatusOK || body != "whole" {
						t.Fatalf("%+v %q %v", response, body, err)
					}
				}
			})
		}
	}
}

// TestTimeoutOfUnnumberedStreamDoesNotRace has a target that goes silent after an event
// without an ID. The watchdog asks whether the request is repeatable while the event is
// being forwarded. It fails with -race only.
func TestTimeoutOfUnnumberedStreamDoesNotRace(t *testing.T) {
	s := script{framing: untilClose, ending: silent, body: "data: e0\n\n"}
	f := newFixture(t, newFakeServer(t, s.respond), newFakeServer(t, s.respond))
	f.board.unresponsive = true
	if body, complete := f.ask(askers()[0], "/stream/x", ""); complete {
		t.Fatalf("the caller got %q as a complete answer", body)
	}
}

// TestEmptyLineAfterLastEventReachesCallerWhole has streams with more than one empty line
// behind an event, which ends no event.
func TestEmptyLineAfterLastEventReachesCallerWhole(t *testing.T) {
	var rows []row
	for _, f := range []framing{chunked, withLength, untilClose} {
		rows = append(rows, sound(f.String(), "/stream/x", script{framing: f, body: events(0, 2) + "\n"}))
	}
	wantWhole(t, allAskers(), rows)
}

// TestRefusalWithoutEndIsRetriedAtOnce has a target that refuses a request and then sends
// no end of the refusal's body. Its head alone says that the request did not run.
func TestRefusalWithoutEndIsRetriedAtOnce(t *testing.T) {
	for _, framing := range []framing{untilClose, withLength, chunked} {
		t.Run(framing.String(), func(t *testing.T) {
			refusal := script{status: http.StatusServiceUnavailable, framing: framing, ending: silent, unsealed: true, notRun: true}
			f := newFixture(t, newFakeServer(t, refusal.respond), newFakeServer(t, answersOK("done")))
			started := time.Now()
			response, body, err := f.call("/order/x", nil)
			if took := time.Since(started); err != nil || response.StatusCode != http.StatusOK || body != "done" || took > f.routes[1].Timeout/2 {
				t.Fatalf("%+v %q %v after %s", response, body, err, took)
			}
		})
	}
}

// TestLastEventIDOfRouteWithoutResumptionIsIgnored has a caller that sends the header on a
// route whose streams cannot be resumed. The target streams from the start.
func TestLastEventIDOfRouteWithoutResumptionIsIgnored(t *testing.T) {
	onceRow := func(name, body string) row {
		return row{name: name, path: "/once/x", header: "Last-Event-Id: 2\r\n", answers: []script{{body: body}}, want: body}
	}
	wantWhole(t, askers(), []row{onceRow("with IDs", events(0, 4)), onceRow("without IDs", "data: e0\n\ndata: e1\n\n")})
}

// TestSlowHTTP10CallerGetsWholeStream has a caller that reads only after the daemon has
// closed the connection. The close must not discard what is pending.
func TestSlowHTTP10CallerGetsWholeStream(t *testing.T) {
	answer := script{framing: untilClose, body: events(0, 20_000)}
	f := newFixture(t, newFakeServer(t, answer.respond))
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /stream/x HTTP/1.0\r\nHost: host.example\r\nId: r1\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
	<-f.timings // the relay has completed the answer
	_ = f.server.Config.Close()
	time.Sleep(time.Second) // net/http closes half a second after its last write
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != answer.body {
		t.Fatalf("%d of %d bytes, %v", len(body), len(answer.body), err)
	}
}

// TestEmptyResumeAfterPartOfEventNeverEndsAsComplete has a stream that breaks off inside
// event 3, and a resumption that ends in order without an event. Event 3 is missing.
func TestEmptyResumeAfterPartOfEventNeverEndsAsComplete(t *testing.T) {
	wantNeverComplete(t, allAskers(), []row{
		resumes("empty, chunked", script{framing: chunked}),
		resumes("empty, with length", script{framing: withLength}),
	})
}

// TestEmptyResumeAfterLastEventReachesCallerWhole has a stream that breaks off between
// events, and a resumption that ends in order without an event.
func TestEmptyResumeAfterLastEventReachesCallerWhole(t *testing.T) {
	var rows []row
	for _, f := range []framing{chunked, withLength} {
		first := script{ending: closed, body: events(0, 2)}
		rows = append(rows, row{name: f.String(), path: "/stream/x", answers: []script{first, {framing: f}}, want: events(0, 2)})
	}
	wantWhole(t, allAskers(), rows)
}

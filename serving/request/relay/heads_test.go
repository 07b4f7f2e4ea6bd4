package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
)

// badHead is the start of an answer that HTTP does not have.
type badHead struct{ protocol, status string }

func badHeads() []badHead {
	var list []badHead
	for _, status := range []string{"000", "001", "042", "099", "101", "600", "700", "999"} {
		list = append(list, badHead{"HTTP/1.1", status})
	}
	for _, protocol := range []string{"HTTP/0.0", "HTTP/0.9", "HTTP/2.0", "HTTP/9.9"} {
		list = append(list, badHead{protocol, "200"}, badHead{protocol, "503"})
	}
	return list
}

// kindsOfBadHeads returns one head of each kind, which are tried in all ways. Doing so with all
// heads would use a quarter of the host's ports.
func kindsOfBadHeads() []badHead {
	return []badHead{{"HTTP/1.1", "000"}, {"HTTP/1.1", "101"}, {"HTTP/1.1", "600"}, {"HTTP/9.9", "200"}}
}

// What follows an answer on its connection.
const (
	keptOpen       = "nothing, the connection stays open"
	closedAfter    = "its end"
	anotherFollows = "a sound answer"
	endlessFollows = "bytes without end"
)

// respond answers with the head, which states that the target is leaving and that the request
// has not run, and with a body.
func (b badHead) respond(f framing, follows string) responder {
	return func(conn net.Conn, r *http.Request, _ int) {
		head := fmt.Sprintf("%s %s X\r\nId: %s\r\nSeal: s\r\nLeaving: 1\r\nNot-Run: 1\r\n", b.protocol, b.status, r.Header.Get("Id"))
		const body = "id: 0\ndata: no answer\n\n"
		switch f {
		case chunked:
			_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"+chunkOf(body)+"0\r\n\r\n")
		case withLength:
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		case untilClose:
			_, _ = io.WriteString(conn, head+"\r\n"+body)
		}
		switch follows {
		case keptOpen:
			_, _ = conn.Read(make([]byte, 1)) // until the relay closes it
		case anotherFollows:
			writeAnswer(conn, r, http.StatusOK, "Seal: s\r\n", "later")
		case endlessFollows:
			for {
				if _, err := io.WriteString(conn, body); err != nil {
					return
				}
			}
		}
	}
}

// TestHeadThatHTTPDoesNotHaveIsNoAnswer has targets answer with statuses that HTTP does not have,
// with 101, which nobody asked for, and with other versions of HTTP. Guards against passing
// such an answer on, against waiting for another one behind it, and against believing what
// it states.
func TestHeadThatHTTPDoesNotHaveIsNoAnswer(t *testing.T) {
	for _, w := range []way{direct, throughPeer} {
		for _, path := range []string{"/read/x", "/order/x", "/stream/x", "/once/x"} {
			t.Run(string(w)+" "+path, func(t *testing.T) {
				t.Parallel()
				for _, head := range badHeads() {
					if !slices.Contains(kindsOfBadHeads(), head) {
						checkBadHead(t, head, withLength, keptOpen, path, w)
						continue
					}
					for _, framing := range []framing{chunked, withLength, untilClose} {
						for _, follows := range []string{keptOpen, closedAfter, anotherFollows, endlessFollows} {
							checkBadHead(t, head, framing, follows, path, w)
						}
					}
				}
			})
		}
	}
}

func checkBadHead(t *testing.T, head badHead, framing framing, follows, path string, w way) {
	t.Helper()
	respond := head.respond(framing, follows)
	servers := []*fakeServer{newFakeServer(t, respond), newFakeServer(t, respond)}
	f := newFixture(t, servers...)
	defer f.server.Close()
	heads := make(chan int, 10)
	f.reach(w, openGate{heads: heads})
	what := fmt.Sprintf("%s %s, %s, followed by %s", head.protocol, head.status, framing, follows)
	began := time.Now()
	response, body, err := f.call(path, nil)
	if took := time.Since(began); took > time.Second {
		t.Errorf("%s: answered after %s", what, took)
	}
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Verdict") != verdict.MayHaveRun.String() {
		t.Errorf("%s: %+v %q %v", what, response, body, err)
	}
	sends := len(servers[0].receivedHeaders()) + len(servers[1].receivedHeaders())
	if path == "/order/x" && sends != 1 {
		t.Errorf("%s: sent %d times", what, sends)
	}
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	if f.board.completed > 0 || len(f.board.statements) > 0 || len(f.board.failed) != sends {
		t.Errorf("%s: %d sound requests, statements %q, %d failures of %d sends", what, f.board.completed, f.board.statements, len(f.board.failed), sends)
	}
	select {
	case status := <-heads:
		t.Errorf("%s: the peer has observed the status %d", what, status)
	default:
	}
}

// TestInterimAnswersAreSkipped has targets announce their answers by interim ones, as HTTP
// allows. Guards against taking these for broken answers.
func TestInterimAnswersAreSkipped(t *testing.T) {
	for _, w := range []way{direct, throughPeer} {
		for _, status := range []int{http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints, 199} {
			f := newFixture(t, newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n\r\n", status, r.Header.Get("Id"))
				writeAnswer(conn, r, http.StatusOK, "Seal: s\r\n", "whole")
			}))
			f.reach(w, openGate{})
			if response, body, err := f.call("/order/x", nil); err != nil || response.StatusCode != http.StatusOK || body != "whole" {
				t.Errorf("%d, %s: %+v %q %v", status, w, response, body, err)
			}
		}
	}
	for status := http.StatusOK; status <= 599; status++ {
		if status == http.StatusNoContent || status == http.StatusResetContent || status == http.StatusNotModified || status == http.StatusMisdirectedRequest {
			continue // have no body, or another meaning
		}
		f := newFixture(t, newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) { writeAnswer(conn, r, status, "Seal: s\r\n", "whole") }))
		if response, body, err := f.call("/order/x", nil); err != nil || response.StatusCode != status || body != "whole" {
			t.Errorf("%+v %q %v, want status %d", response, body, err, status)
		}
	}
}

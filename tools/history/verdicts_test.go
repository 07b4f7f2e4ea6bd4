package history

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
)

// TestVerdictsOfTheTargetClient lets a target fail in each way after it read the
// call. The verdict is not_run only if the target's reply states that the call did
// not run; every other failure is may_have_run.
func TestVerdictsOfTheTargetClient(t *testing.T) {
	completeReply := `{"id":"1","attempt":1,"status":200,"body":""}`
	cases := []struct {
		name string
		// reply is written after the call was read, before the target closes.
		reply string
		// keepOpen keeps the connection open until the client gives up.
		keepOpen bool
		want     verdict.Verdict
		reason   verdict.Reason
	}{
		{name: "closes", want: verdict.MayHaveRun, reason: verdict.TargetFailed},
		{name: "cuts the headers", reply: "HTTP/1.1 200 OK\r\nContent-Le", want: verdict.MayHaveRun, reason: verdict.TargetFailed},
		{name: "cuts the body", reply: "HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n" + completeReply[:20], want: verdict.MayHaveRun, reason: verdict.AnswerCut},
		{name: "dies with a 502", reply: "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", want: verdict.MayHaveRun, reason: verdict.TargetFailed},
		{name: "is busy, without a Not-Run header", reply: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", want: verdict.MayHaveRun, reason: verdict.TargetFailed},
		{name: "refuses", reply: "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", want: verdict.NotRun, reason: verdict.TargetRefused},
		{name: "redirects", reply: "HTTP/1.1 307 Elsewhere\r\nLocation: /v1/calls\r\nContent-Length: 0\r\n\r\n", want: verdict.MayHaveRun, reason: verdict.TargetFailed},
		{name: "answers another call", reply: "HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n" + `{"id":"2","attempt":1,"status":200,"body":""}`, want: verdict.MayHaveRun, reason: verdict.AnswerMismatch},
		{name: "does not answer", keepOpen: true, want: verdict.MayHaveRun, reason: verdict.DeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls := make(chan struct{}, 10)
			address := failingTarget(t, c.reply, c.keepOpen, calls)
			transport := targetapi.NewTransport()
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.keepOpen {
				ctx, cancel = context.WithTimeout(ctx, 50*time.Millisecond)
				defer cancel()
			}
			_, err := targetapi.NewClient(address, transport).Call(ctx, target.Call{ID: "1", Attempt: 1, Body: []byte("end")})
			e := verdict.From(err)
			if err == nil || e.Verdict != c.want || e.Reason != c.reason {
				t.Errorf("%v", err)
			}
			if n := len(calls); n != 1 {
				t.Errorf("the target read %d calls", n)
			}
		})
	}
}

// failingTarget starts a server that reads one call of each connection, reports it
// on calls and fails as the case demands. It returns the server's address.
func failingTarget(t *testing.T, reply string, keepOpen bool, calls chan<- struct{}) string {
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
			go func() {
				defer conn.Close() //nolint:errcheck // the client only needs the close itself
				if !readRequest(conn) {
					return
				}
				calls <- struct{}{}
				_, _ = io.WriteString(conn, reply)
				if keepOpen {
					_, _ = conn.Read(make([]byte, 1))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

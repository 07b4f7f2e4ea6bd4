package history

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
)

// actor is a server over raw connections. It answers the first request of a
// connection; the second it reads, acts upon, and closes without an answer.
type actor struct {
	listener net.Listener
	actions  atomic.Int32
}

func newActor(t *testing.T) *actor {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &actor{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a
}

func (a *actor) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the client sees it closed
	const reply = `{"id":"1","attempt":1,"status":200,"body":""}`
	for request := range 2 {
		if !readRequest(conn) {
			return
		}
		a.actions.Add(1)
		if request == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 45\r\n\r\n"+reply)
		}
	}
}

// readRequest reads one request, whose body holds the word "end".
func readRequest(conn net.Conn) bool {
	var text strings.Builder
	buffer := make([]byte, 4096)
	for !strings.Contains(text.String(), "ZW5k") && !strings.Contains(text.String(), "end") {
		n, err := conn.Read(buffer)
		if err != nil {
			return false
		}
		text.Write(buffer[:n])
	}
	return true
}

// TestPlainClientRepeatsAnAction shows the failure that the target client is
// built to avoid: two POSTs with an Idempotency-Key act three times, and no
// error is seen.
func TestPlainClientRepeatsAnAction(t *testing.T) {
	a := newActor(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for send := range 2 {
		request, err := http.NewRequest(http.MethodPost, "http://"+a.listener.Addr().String(), strings.NewReader("end"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "k")
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("send %d: %v", send, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if n := a.actions.Load(); n != 3 {
		t.Fatalf("%d actions: net/http has changed", n)
	}
}

// TestTargetClientActsOnce sends two calls over a kept connection that closes
// after it acted upon the second: two actions, and the second may have run.
func TestTargetClientActsOnce(t *testing.T) {
	a := newActor(t)
	transport := targetapi.NewTransport()
	defer transport.CloseIdleConnections()
	client := targetapi.NewClient(a.listener.Addr().String(), transport)
	call := target.Call{ID: "1", Attempt: 1, Key: "k", Body: []byte("end"), Deadline: time.Now().Add(time.Minute)}
	if _, err := client.Call(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	_, err := client.Call(t.Context(), call)
	if e := verdict.From(err); err == nil || e.Verdict != verdict.MayHaveRun {
		t.Fatalf("%v", err)
	}
	if n := a.actions.Load(); n != 2 {
		t.Fatalf("%d actions", n)
	}
}

// TestUnreachableTargetIsProvenNotRun closes the port before the call.
func TestUnreachableTargetIsProvenNotRun(t *testing.T) {
	a := newActor(t)
	if err := a.listener.Close(); err != nil {
		t.Fatal(err)
	}
	client := targetapi.NewClient(a.listener.Addr().String(), targetapi.NewTransport())
	_, err := client.Call(t.Context(), target.Call{ID: "1", Attempt: 1, Body: []byte("end")})
	if e := verdict.From(err); err == nil || e.Verdict != verdict.NotRun {
		t.Fatalf("%v", err)
	}
}

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

// closingServer is an HTTP server over raw connections. It answers the first
// request of a connection; it executes the second and closes the connection
// without an answer.
type closingServer struct {
	listener   net.Listener
	executions atomic.Int32
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &closingServer{listener: listener}
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

func (a *closingServer) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the client only needs the close itself
	const reply = `{"id":"1","attempt":1,"status":200,"body":""}`
	for request := range 2 {
		if !readRequest(conn) {
			return
		}
		a.executions.Add(1)
		if request == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 45\r\n\r\n"+reply)
		}
	}
}

// readRequest reads until the end of a request, whose body holds the word "end"
// ("ZW5k" in base64), and reports whether it was read.
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

// TestPlainClientRepeatsExecution shows the failure that the target client avoids:
// net/http resends a POST with an Idempotency-Key when a reused connection is
// closed, so that two POSTs are executed three times and no error is returned.
func TestPlainClientRepeatsExecution(t *testing.T) {
	a := newClosingServer(t)
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
	if n := a.executions.Load(); n != 3 {
		t.Fatalf("%d executions: net/http no longer resends the request", n)
	}
}

// TestTargetClientExecutesOnce sends two calls over a reused connection that the target
// closes after it executed the second call. It checks for two executions and the
// verdict may_have_run of the second call.
func TestTargetClientExecutesOnce(t *testing.T) {
	a := newClosingServer(t)
	transport := targetapi.NewTransport()
	defer transport.CloseIdleConnections()
	client := targetapi.NewClient(a.listener.Addr().String(), transport)
	call := target.Call{ID: "1", Attempt: 1, Key: "k", Body: []byte("end"), Deadline: time.Now().Add(time.Minute)}
	if _, err := client.Call(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	_, err := client.Call(t.Context(), call)
	if e := verdict.From(err); err == nil || e.Verdict != verdict.MayHaveRun {
		t.Fatalf("second call: %v", err)
	}
	if n := a.executions.Load(); n != 2 {
		t.Fatalf("%d executions", n)
	}
}

// TestUnreachableTargetIsProvenNotRun checks that a call to a closed port has the
// verdict not_run.
func TestUnreachableTargetIsProvenNotRun(t *testing.T) {
	a := newClosingServer(t)
	if err := a.listener.Close(); err != nil {
		t.Fatal(err)
	}
	client := targetapi.NewClient(a.listener.Addr().String(), targetapi.NewTransport())
	_, err := client.Call(t.Context(), target.Call{ID: "1", Attempt: 1, Body: []byte("end")})
	if e := verdict.From(err); err == nil || e.Verdict != verdict.NotRun {
		t.Fatalf("call to a closed port: %v", err)
	}
}

package targetapi

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// TestHeadThatHTTPDoesNotHaveIsNoRefusal has a target answer with statuses and versions that
// HTTP does not have, and state that the request has not run. Guards against taking that for
// a proof.
func TestHeadThatHTTPDoesNotHaveIsNoRefusal(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 000", "HTTP/1.1 099", "HTTP/1.1 101", "HTTP/1.1 600", "HTTP/9.9 200", "HTTP/2.0 503"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprintf(conn, "%s X\r\n%s: 1\r\nContent-Length: 2\r\n\r\n{}", start, NotRunHeader)
			}
		}()
		_, err = NewClient(listener.Addr().String(), NewTransport()).Call(t.Context(), target.Call{ID: "c"})
		if failure := verdict.From(err); err == nil || failure.Verdict != verdict.MayHaveRun {
			t.Errorf("%s: %v", start, err)
		}
	}
}

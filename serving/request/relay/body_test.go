package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/memory"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/serving/connection/callers"
)

// boundedFixture returns a fixture whose server accounts for the memory of callers.
func boundedFixture(t *testing.T, c memory.Config, targets ...*fakeServer) (*fixture, *callers.Guard) {
	t.Helper()
	f := newFixture(t, targets...)
	f.limitBodies(longBodyBytes)
	guard := callers.NewGuard(c)
	f.relay.answers.grow = guard.GrowAnswers
	f.relay.Budget = &lockedBudget{Budget: f.relay.Budget}
	inner, err := callers.Listen(t.Context(), "127.0.0.1:0", 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(f.relay.ServeHTTP))
	_ = server.Listener.Close()
	server.Listener = guard.NewListener(inner, callers.Options{Connections: 100, ConnectionBytes: 1, HTTP: true, MaxHeadBytes: 256 << 10})
	server.Config.ConnContext, server.Config.ConnState = ConnContext, callers.StateChanged
	server.Start()
	t.Cleanup(server.Close)
	f.server = server
	return f, guard
}

// lockedBudget is a Budget for several requests at once.
type lockedBudget struct {
	mu sync.Mutex
	Budget
}

func (b *lockedBudget) Decide(service names.Service, p retry.Policy, a retry.Attempt) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Budget.Decide(service, p, a)
}

// echo answers with the body of the request.
func echo(conn net.Conn, r *http.Request, _ int) {
	body, _ := io.ReadAll(r.Body)
	writeAnswer(conn, r, http.StatusOK, "Seal: s\r\n", string(body))
}

// TestBodiesReachTargetUnchanged sends bodies of the sizes at which the buffer grows, with
// and without a stated length. It guards against bodies that are cut or doubled there, and
// against bytes that stay accounted.
func TestBodiesReachTargetUnchanged(t *testing.T) {
	f, guard := boundedFixture(t, memory.ForHost(184<<20), newFakeServer(t, echo))
	for _, size := range []int{0, 1, 511, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, 120_000, 5 * chunkBytes, longBodyBytes - 1, longBodyBytes, longBodyBytes + 1} {
		for _, stated := range []bool{true, false} {
			body := strings.Repeat("0123456789abcdefg", size/17+1)[:size]
			head, answer, err := f.call("/order/x", func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), -1
				if stated {
					r.ContentLength = int64(size)
				}
				if size == 0 {
					r.Body, r.ContentLength = http.NoBody, 0
				}
			})
			switch {
			case err != nil:
				t.Errorf("%d bytes, stated %t: %v", size, stated, err)
			case size > longBodyBytes:
				if head.Header.Get("Reason") != "body_too_large" {
					t.Errorf("%d bytes, stated %t: %+v, want body_too_large", size, stated, head)
				}
			case head.StatusCode != http.StatusOK || answer != body:
				t.Errorf("%d bytes, stated %t: status %d and %d bytes", size, stated, head.StatusCode, len(answer))
			}
		}
	}
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		used, _ := guard.Usage()
		if used[memory.SmallBodies]+used[memory.LargeBodies]+used[memory.Heads]+used[memory.Answers] == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("bytes are still accounted: %v", used)
		}
	}
}

// TestUnfinishedBodyGivesWay has a body that stops one byte short of its end and fills the
// account, and another one that needs the room. The first must be refused with a proof that it
// did not run, and never reach the target. It guards against bodies that are kept for callers
// which never complete them.
func TestUnfinishedBodyGivesWay(t *testing.T) {
	var requests atomic.Int64
	target := newFakeServer(t, func(conn net.Conn, r *http.Request, n int) { requests.Add(1); echo(conn, r, n) })
	f, guard := boundedFixture(t, memory.Config{Limit: 4 << 20, Large: 2 << 20, Answers: 1 << 20}, target)
	rest, unfinished := io.Pipe()
	defer func() { _ = unfinished.Close() }()
	refused := make(chan *answerHead, 1)
	const size = 800 << 10
	go func() {
		head, _, _ := f.call("/order/x", func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(rest), size })
		refused <- head
	}()
	_, _ = unfinished.Write(make([]byte, size-1))
	time.Sleep(50 * time.Millisecond)
	head, _, err := f.call("/order/x", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), size
	})
	if err != nil || head.StatusCode != http.StatusOK {
		t.Errorf("the whole body got %+v, %v", head, err)
	}
	if first := <-refused; first == nil || first.Header.Get("Reason") != "queue_full" || requests.Load() != 1 {
		t.Errorf("the unfinished body got %+v after %d requests at the target", first, requests.Load())
	}
	if counts := guard.Counts(); counts.RefusedMemory != 1 {
		t.Errorf("%+v, want one refusal", counts)
	}
}

// TestBodyThatDoesNotComeEnds has bodies of which the last byte never comes. It guards against
// connections that stay open for good: that of a request which is refused by its head, while
// the server waits for the rest before it sends the refusal, and that of one whose time is over.
func TestBodyThatDoesNotComeEnds(t *testing.T) {
	f, _ := boundedFixture(t, memory.ForHost(184<<20), newFakeServer(t, echo))
	for key, want := range map[string]string{"unknown": "HTTP/1.1 503", "key": ""} {
		conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(4 * unreadBodyTime))
		_, _ = io.WriteString(conn, "POST /order/x HTTP/1.1\r\nHost: host.example\r\nId: r\r\nKey: "+key+"\r\nContent-Length: 2\r\n\r\nx")
		if answer, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(answer), want) {
			t.Errorf("key %s: %q, %v", key, answer, err)
		}
		_ = conn.Close()
	}
}

package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
)

// endlessTarget answers with a head, then repeats a text until the connection is
// closed or 1 GB is sent.
type endlessTarget struct {
	head, text string
	pause      time.Duration
	sent       atomic.Int64
	closed     chan struct{}
}

const chunkedHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"

func newEndlessTarget(t *testing.T, head, text string, pause time.Duration) (*endlessTarget, *fakeServer) {
	e := &endlessTarget{head: head, text: text, pause: pause, closed: make(chan struct{})}
	return e, newFakeServer(t, func(conn net.Conn, _ *http.Request, n int) {
		if n == 1 {
			defer close(e.closed)
		}
		_, _ = io.WriteString(conn, e.head) // the next write returns the error
		for e.sent.Load() < 1<<30 {
			written, err := io.WriteString(conn, e.text)
			e.sent.Add(int64(written))
			if err != nil {
				return
			}
			time.Sleep(e.pause)
		}
	})
}

func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Targets send bodies without end at full speed. Each must be cut off after a bounded
// number of bytes, and the request must be answered by the other target or fail with a
// verdict that does not claim that it has not run.
func TestBodiesWithoutEndAreCutOff(t *testing.T) {
	const maxSent = 64 << 20 // 8 MB of an answer and the sockets' buffers
	answer := newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 2\r\n\r\nhi", r.Header.Get("Id"))
	})
	cases := map[string]struct {
		path, head, text string
		wantBody         string // of the answer by another target; empty if none may follow
	}{
		"body of a call":       {"/read/x", "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n", strings.Repeat("x", 64<<10), "hi"},
		"body of a call, once": {"/order/x", "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n", strings.Repeat("x", 64<<10), ""},
		"refusal":              {"/order/x", "HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\n\r\n", strings.Repeat("x", 64<<10), "hi"},
		"line of an event":     {"/once/x", chunkedHead, chunkOf("data: " + strings.Repeat("x", 64<<10)), ""},
		"lines of an event":    {"/once/x", chunkedHead, chunkOf(strings.Repeat("data: x\n", 4<<10)), ""},
		"comments":             {"/once/x", chunkedHead, chunkOf(strings.Repeat(": x\n\n", 4<<10)), ""},
		"garbage lines":        {"/once/x", chunkedHead, chunkOf(strings.Repeat("\x00\xff\n\n", 4<<10)), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			target, server := newEndlessTarget(t, c.head, c.text, 0)
			f := newFixture(t, server, answer)
			for i := range f.routes {
				f.routes[i].Timeout = 20 * time.Second
			}
			f.build()
			began := time.Now()
			response, body, err := f.call(c.path, nil)
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("answered after %s", took)
			}
			switch {
			case c.wantBody != "":
				if err != nil || body != c.wantBody {
					t.Errorf("body of %d bytes, %v", len(body), err)
				}
			case err == nil && (response.StatusCode == http.StatusOK || response.Header.Get("Verdict") == verdict.NotRun.String()):
				t.Errorf("status %d, verdict %q, body of %d bytes", response.StatusCode, response.Header.Get("Verdict"), len(body))
			}
			select {
			case <-target.closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
			if sent := target.sent.Load(); sent > maxSent {
				t.Errorf("the target could send %d bytes", sent)
			}
		})
	}
}

// A target answers many requests at a time with bodies without end. Guards against keeping each
// of them up to the limit of one answer, for which the daemon has no memory, and against failing
// the sound answers beside them.
func TestBodiesWithoutEndOfManyRequestsAreBounded(t *testing.T) {
	const (
		requests = 60
		most     = 96 << 20 // beside which the smallest host, of 184 MB, serves its other load
	)
	_, endless := newEndlessTarget(t, "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n", strings.Repeat("x", 32<<10), time.Millisecond)
	f := newFixture(t, endless)
	for i := range f.routes {
		f.routes[i].Timeout = 20 * time.Second
	}
	f.build()
	sound := newFixture(t, newFakeServer(t, answersOK("sound")))
	sound.relay.answers.held.Store(maxBufferedBytes) // the same daemon
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() {
			if response, _, err := f.call("/order/x", nil); err == nil && response.StatusCode == http.StatusOK {
				t.Error("an answer without end is passed on as a success")
			}
		})
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	peak := uint64(0)
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-time.After(5 * time.Millisecond):
		}
		var now runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc))
	}
	t.Logf("%d MB at most for %d answers without end", peak>>20, requests)
	if peak > most {
		t.Errorf("%d MB are kept, want %d at most", peak>>20, most>>20)
	}
	if held := f.relay.answers.held.Load(); held != 0 {
		t.Errorf("%d bytes are held after all requests", held)
	}
	if response, body, err := sound.call("/order/x", nil); err != nil || response.StatusCode != http.StatusOK || body != "sound" {
		t.Errorf("a sound answer beside them: %v, body %q", err, body)
	}
}

// A target sends events for more tokens than the caller asked for.
func TestEventsBeyondTheAnswersLengthAreCutOff(t *testing.T) {
	limit := streamLimit{answerTokens: 10}
	numbered := event{id: "1", raw: []byte("id: 1\n\n")}
	for i := range 10 + extraEvents {
		if err := limit.add(&numbered); err != nil {
			t.Fatalf("event %d: %v", i, err)
		}
	}
	if failure := verdict.From(limit.add(&numbered)); failure == nil || failure.Verdict != verdict.Ran {
		t.Fatalf("error %v for one event too many", failure)
	}
	unknown := streamLimit{}
	for range 1000 {
		if err := unknown.add(&numbered); err != nil {
			t.Fatal(err)
		}
	}
}

// A stream stalls, but its target sends a comment now and then. Guards against taking
// that for progress: the stream must be resumed at another target.
func TestCommentsDoNotKeepAStalledStreamAlive(t *testing.T) {
	_, stalled := newEndlessTarget(t, chunkedHead+chunkOf("id: 0\ndata: e0\n\n"), chunkOf(": ping\n\n"), 50*time.Millisecond)
	second := newFakeServer(t, streamsEvents(1, 2, true))
	f := newFixture(t, stalled, second)
	for i := range f.routes {
		f.routes[i].Timeout = 20 * time.Second
	}
	f.build()
	began := time.Now()
	_, body, err := f.call("/stream/x", nil)
	if err != nil || !strings.HasSuffix(body, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n") || strings.Count(body, "id: 0\n") != 1 {
		t.Fatalf("%v %q", err, body)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("answered after %s", took)
	}
}

// Events arrive in pieces with pauses shorter than the callers accept: a slow but sound
// stream must not be cut, however long it lasts.
func TestSlowStreamIsNotCut(t *testing.T) {
	const events = 12
	slow := newFakeServer(t, func(conn net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(conn, chunkedHead)
		for i := range events {
			writeChunk(conn, fmt.Sprintf("id: %d\nda", i))
			time.Sleep(200 * time.Millisecond)
			writeChunk(conn, fmt.Sprintf("ta: e%d\n\n", i))
			time.Sleep(200 * time.Millisecond)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	other := newFakeServer(t, streamsEvents(1, 2, true))
	f := newFixture(t, slow, other)
	for i := range f.routes {
		f.routes[i].Timeout = 20 * time.Second
	}
	f.build()
	_, body, err := f.call("/stream/x", nil)
	if err != nil || strings.Count(body, "\n\n") != events || len(other.receivedHeaders()) != 0 {
		t.Fatalf("%v %q, %d sends to another target", err, body, len(other.receivedHeaders()))
	}
}

// A stream with an event that has no ID breaks. Guards against a resumption: no ID says
// which events the caller already has, so that it would get some again.
func TestStreamWithUnnumberedEventsIsNotResumed(t *testing.T) {
	cases := map[string]string{
		"no event has an ID":    "data: e0\n\ndata: e1\n\n",
		"one event has no ID":   "id: 0\ndata: e0\n\ndata: between\n\n",
		"a comment has none":    "id: 0\ndata: e0\n\n: comment\n\n",
		"a comment comes first": ": comment\n\n",
	}
	resumable := map[string]int{"a comment has none": 1, "a comment comes first": 0}
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			first := newFakeServer(t, func(conn net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(conn, chunkedHead)
				writeChunk(conn, events)
			})
			from, resumed := resumable[name]
			second := newFakeServer(t, streamsEvents(from, 2, true))
			f := newFixture(t, first, second)
			_, body, err := f.call("/stream/x", nil)
			if !resumed {
				if err == nil || len(second.receivedHeaders()) != 0 {
					t.Fatalf("%v %q, %d sends to the second target", err, body, len(second.receivedHeaders()))
				}
				return
			}
			if err != nil || strings.Count(body, "id: 0\n") != 1 || !strings.HasSuffix(body, "id: 2\ndata: e2\n\n") {
				t.Fatalf("%v %q", err, body)
			}
		})
	}
}

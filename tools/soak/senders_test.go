package soak

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"testing"
	"time"

	"carobspoke.example/core/process/replicas"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
	"carobspoke.example/tools/emulator"
)

// startTarget starts a target that ends with the test.
func startTarget(t *testing.T, checker *emulator.Checker) *emulator.Target {
	t.Helper()
	target, err := emulator.StartTarget(replicas.Target{ID: "t-1", Address: anyPort, Slots: 8}, checker)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Crash)
	return target
}

// startNaiveDaemon starts a daemon that passes all requests and answers on, and
// returns it with callers. It takes the end of a connection for the end of an answer
// and ignores what the target states about itself.
func startNaiveDaemon(t *testing.T, target *emulator.Target, checker *emulator.Checker) (*callers, *host) {
	t.Helper()
	daemon := httptest.NewServer(&httputil.ReverseProxy{FlushInterval: -1, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: target.Address})
		r.Out.Header.Del(platform.HeaderKey)
		r.Out.Header.Set(platform.HeaderCustomer, customer)
		r.Out.Header.Set(platform.HeaderTarget, string(target.ID))
	}, ErrorHandler: func(w http.ResponseWriter, r *http.Request, _ error) {
		w.Header().Set(platform.HeaderAttempt, r.Header.Get(platform.HeaderAttempt))
		w.WriteHeader(http.StatusBadGateway)
	}, ErrorLog: log.New(io.Discard, "", 0)})
	t.Cleanup(daemon.Close)
	address := netip.MustParseAddrPort(daemon.Listener.Addr().String())
	h := &host{settings: &edge.Settings{Name: "host-0", CallerAddress: address}, store: startProxy(t, target.Address)}
	target.Identify = func(string) emulator.Sender { return emulator.Sender{Incarnation: h.incarnation(), InTouch: true} }
	return &callers{testbed: &testbed{checker: checker, store: emulator.NewStore()}}, h
}

func startProxy(t *testing.T, server string) *emulator.Proxy {
	t.Helper()
	proxy, err := emulator.StartProxy(anyPort, server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

// TestCutOffStreamsPassedOnAsCompleteAreDetected sends streams through a daemon that
// takes each end of a connection for the end of an answer.
func TestCutOffStreamsPassedOnAsCompleteAreDetected(t *testing.T) {
	for want, unframed := range map[string]bool{"": false, "incomplete at the end of the stream": true} {
		checker := emulator.NewChecker(time.Second)
		target := startTarget(t, checker)
		if unframed {
			defer target.Begin(emulator.Unframed)()
		}
		all, h := startNaiveDaemon(t, target, checker)
		const streams = 60
		done := make(chan struct{}, streams)
		for i := range streams {
			go func() {
				all.send(&http.Client{}, h, &request{kind: kindStream, attempt: fmt.Sprintf("attempt-%d", i), tokens: shortTokens})
				done <- struct{}{}
			}()
			time.Sleep(20 * time.Millisecond) // the target's queue is short
		}
		for range streams {
			<-done
		}
		checkViolations(t, checker, want)
	}
}

// TestDaemonThatKeepsLeavingTargetIsDetected sends requests through a daemon that
// ignores that the target leaves. A start or a signal since then excuses it.
func TestDaemonThatKeepsLeavingTargetIsDetected(t *testing.T) {
	const bound = 20 * time.Millisecond
	for want, restarts := range map[string]bool{"": true, "had passed on that the target leaves": false} {
		checker := emulator.NewChecker(bound)
		target := startTarget(t, checker)
		defer target.Begin(emulator.Leaving)()
		all, h := startNaiveDaemon(t, target, checker)
		all.send(&http.Client{}, h, &request{kind: kindRead, attempt: "attempt-1"})
		time.Sleep(2 * bound)
		if restarts {
			h.disturbedAt = time.Now()
		}
		all.send(&http.Client{}, h, &request{kind: kindRead, attempt: "attempt-2"})
		checkViolations(t, checker, want)
	}
}

// TestDaemonThatExceedsTheLimitOfATargetIsDetected sends requests through a daemon that
// ignores the limit that the target names: more than it allows, or just as many.
func TestDaemonThatExceedsTheLimitOfATargetIsDetected(t *testing.T) {
	for want, requests := range map[string]int{"": 11, "which has named a limit of 1 a second, got 12 requests": 12} {
		checker := emulator.NewChecker(time.Second)
		target := startTarget(t, checker)
		defer target.Limit(1)()
		all, h := startNaiveDaemon(t, target, checker)
		send := func(i int) {
			all.send(&http.Client{}, h, &request{kind: kindRead, attempt: fmt.Sprintf("attempt-%d", i)})
		}
		send(0)
		time.Sleep(emulator.StableTime + 100*time.Millisecond)
		for i := range requests {
			send(i + 1)
		}
		checkViolations(t, checker, want)
	}
}

// TestDaemonIsIdentifiedByItsSocket sends requests from this process, which stands for
// a daemon, through the proxy of a target.
func TestDaemonIsIdentifiedByItsSocket(t *testing.T) {
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	addresses := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { addresses <- r.RemoteAddr }))
	defer server.Close()
	proxy := startProxy(t, server.Listener.Addr().String())
	h := &host{settings: &edge.Settings{Name: "host-1"}, store: proxy}
	h.command = &exec.Cmd{Process: self}
	b := &testbed{store: emulator.NewStore(), hosts: []*host{{settings: &edge.Settings{Name: "host-0"}}, h}}
	for _, c := range []struct {
		disturbedAt time.Time
		inTouch     bool
	}{{time.Time{}, true}, {time.Now(), false}} {
		h.disturbedAt = c.disturbedAt
		response, err := http.Get("http://" + proxy.Address())
		if err != nil {
			t.Fatal(err)
		}
		want := emulator.Sender{Incarnation: h.incarnation(), InTouch: c.inTouch}
		address := <-addresses
		if got := b.identify(func() string { return proxy.Client(address) }); got != want {
			t.Errorf("sender %+v, want %+v", got, want)
		}
		_ = response.Body.Close() // its connection must be open until here
	}
	if got := b.lookUp("127.0.0.1:1"); got.Incarnation != "" {
		t.Errorf("sender %+v of an address without a socket", got)
	}
}

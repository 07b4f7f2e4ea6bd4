package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/process/replicas"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
	"carobspoke.example/tools/emulator"
)

// TestBrokenDaemonsAreCaught gives the callers a daemon that breaks one promise
// each time; the checks must name it, and must find nothing in a good one.
func TestBrokenDaemonsAreCaught(t *testing.T) {
	stream := func(w io.Writer, attempt string, events int) {
		for i := range events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, attempt, i)
		}
	}
	cases := []struct {
		name, kind string
		answer     func(w http.ResponseWriter, attempt string)
		want       string
	}{
		{"good stream", kindStream, func(w http.ResponseWriter, a string) { stream(w, a, emulator.StreamLength(a)) }, ""},
		{"good call", kindRead, func(w http.ResponseWriter, a string) { _, _ = io.WriteString(w, emulator.CallAnswer(a)) }, ""},
		{"short stream", kindStream, func(w http.ResponseWriter, a string) { stream(w, a, emulator.StreamLength(a)-1) }, "ends as complete"},
		{"joined streams", kindStream, func(w http.ResponseWriter, a string) {
			stream(w, a, 2)
			stream(w, a, emulator.StreamLength(a))
		}, "event 2 is"},
		{"another's answer", kindRead, func(w http.ResponseWriter, _ string) {
			_, _ = io.WriteString(w, emulator.CallAnswer("other"))
		}, "was answered"},
		{"another's header", kindRead, func(w http.ResponseWriter, _ string) {
			w.Header().Set(platform.HeaderAttempt, "other")
		}, "got an answer of"},
		{"cut by planned work", kindRead, func(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }, "was cut"},
		{"failed by planned work", kindOrder, func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusBadGateway) }, "was answered 502"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				attempt := r.Header.Get(platform.HeaderAttempt)
				w.Header().Set(platform.HeaderAttempt, attempt)
				c.answer(w, attempt)
			}))
			defer daemon.Close()
			checker := emulator.NewChecker(time.Second)
			all := &callers{world: &world{config: Config{Planned: true}, checker: checker}}
			h := &host{settings: &edge.Settings{Callers: netip.MustParseAddrPort(daemon.Listener.Addr().String())}}
			all.send(http.DefaultClient, h, &sent{kind: c.kind, attempt: "attempt-1", tokens: shortTokens})
			check(t, checker, c.want)
		})
	}
}

func check(t *testing.T, checker *emulator.Checker, want string) {
	t.Helper()
	broken := strings.Join(checker.Violations(), "\n")
	if want == "" && broken != "" || !strings.Contains(broken, want) {
		t.Errorf("broken: %q, want %q", broken, want)
	}
}

// TestTargetsCatchWhatTheyAreTold sends a target what no daemon may send.
func TestTargetsCatchWhatTheyAreTold(t *testing.T) {
	cases := []struct {
		name string
		send func(checker *emulator.Checker, target *emulator.Target)
		want string
	}{
		{"once", func(_ *emulator.Checker, target *emulator.Target) { post(t, target, nil) }, ""},
		{"twice", func(_ *emulator.Checker, target *emulator.Target) {
			post(t, target, nil)
			post(t, target, nil)
		}, "ran 2 times"},
		{"twice, repeatable", func(_ *emulator.Checker, target *emulator.Target) {
			again := map[string]string{emulator.HeaderRepeatable: "1"}
			post(t, target, again)
			post(t, target, again)
		}, ""},
		{"a key", func(_ *emulator.Checker, target *emulator.Target) {
			post(t, target, map[string]string{platform.HeaderKey: "secret"})
		}, "with its key"},
		{"another customer", func(_ *emulator.Checker, target *emulator.Target) {
			post(t, target, map[string]string{platform.HeaderCustomer: "other"})
		}, "was forwarded as customer"},
		{"no time", func(_ *emulator.Checker, target *emulator.Target) {
			post(t, target, map[string]string{platform.HeaderDeadline: "0"})
		}, "ms left"},
		{"after a promise", func(checker *emulator.Checker, target *emulator.Target) {
			checker.ReportedNotRun("attempt-1")
			post(t, target, nil)
		}, "ran after its caller was told"},
		{"before a promise", func(checker *emulator.Checker, target *emulator.Target) {
			post(t, target, nil)
			checker.ReportedNotRun("attempt-1")
		}, "had run when"},
		{"after its leaving", func(checker *emulator.Checker, target *emulator.Target) {
			checker.TargetDraining(target.ID)
			time.Sleep(20 * time.Millisecond)
			post(t, target, nil)
		}, "published as draining"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := emulator.NewChecker(10 * time.Millisecond)
			target, err := emulator.StartTarget(replicas.Target{ID: "t-1", Address: "127.0.0.1:0", Slots: 2}, checker)
			if err != nil {
				t.Fatal(err)
			}
			defer target.Crash()
			c.send(checker, target)
			check(t, checker, c.want)
		})
	}
}

func post(t *testing.T, target *emulator.Target, headers map[string]string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+target.Address+"/order/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(platform.HeaderAttempt, "attempt-1")
	r.Header.Set(platform.HeaderTarget, string(target.ID))
	r.Header.Set(platform.HeaderDeadline, "1000")
	r.Header.Set(platform.HeaderCustomer, customer)
	r.Header.Set(emulator.HeaderExpectedCustomer, customer)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close() // only the target's view counts
}

// TestMemoryThatStaysIsCaught has a daemon that never releases, and one that does.
func TestMemoryThatStaysIsCaught(t *testing.T) {
	for want, releases := range map[string]bool{"": true, "1 reservations stay": false} {
		checker := emulator.NewChecker(time.Second)
		engine, err := emulator.StartTarget(replicas.Target{ID: "t-1", Address: "127.0.0.1:0", Slots: 2}, checker)
		if err != nil {
			t.Fatal(err)
		}
		defer engine.Crash()
		orders := platform.NewOrders()
		if err := orders.Reserve(t.Context(), engine.Address, "t-1", "memory", 10, 2*memoryTime); err != nil {
			t.Fatal(err)
		}
		if releases {
			if err := orders.Release(t.Context(), engine.Address, "t-1", "memory"); err != nil {
				t.Fatal(err)
			}
		}
		w := &world{checker: checker, targets: []*target{{Target: engine}}}
		w.checkMemory()
		check(t, checker, want)
	}
}

func TestRequestsThatAreNotServedAfterTheRecoveryAreCaught(t *testing.T) {
	for want, n := range map[string]Counts{
		"":                {CalmSent: 200, CalmServed: 194},
		"193 of 200":      {CalmSent: 200, CalmServed: 193},
		"0 of 0 requests": {},
	} {
		w := &world{checker: emulator.NewChecker(time.Second)}
		w.checkCalm(&n)
		check(t, w.checker, want)
	}
}

// TestANetworkIsOfOneRun claims the network of a run that goes on, as a second run
// that draws the same would.
func TestANetworkIsOfOneRun(t *testing.T) {
	network, _, claim, err := freeAddresses()
	if err != nil {
		t.Fatal(err)
	}
	if second, err := claimNetwork(network); err == nil {
		_ = second.Close() // the test has failed
		t.Error("two runs have one network")
	}
	if err := claim.Close(); err != nil {
		t.Fatal(err)
	}
	third, err := claimNetwork(network)
	if err != nil {
		t.Fatal("a network is not free after its run")
	}
	_ = third.Close() // it was only a look
}

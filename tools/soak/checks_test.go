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
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/process/edge"
	"carobspoke.example/tools/emulator"
)

// TestChecksDetectFaultyDaemons checks that the callers record the violation of a
// daemon that violates one guarantee, and none of a correct daemon.
func TestChecksDetectFaultyDaemons(t *testing.T) {
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
		{"correct stream", kindStream, func(w http.ResponseWriter, a string) { stream(w, a, emulator.StreamLength(a)) }, ""},
		{"correct call", kindRead, func(w http.ResponseWriter, a string) { _, _ = io.WriteString(w, emulator.CallAnswer(a)) }, ""},
		{"short stream", kindStream, func(w http.ResponseWriter, a string) { stream(w, a, emulator.StreamLength(a)-1) }, "ends as complete"},
		{"stream that ends inside its last event", kindStream, func(w http.ResponseWriter, a string) {
			last := emulator.StreamLength(a) - 1
			stream(w, a, last)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n", last, a, last)
		}, "is incomplete at the end"},
		{"joined streams", kindStream, func(w http.ResponseWriter, a string) {
			stream(w, a, 2)
			stream(w, a, emulator.StreamLength(a))
		}, "event 2 is"},
		{"answer to another request", kindRead, func(w http.ResponseWriter, _ string) {
			_, _ = io.WriteString(w, emulator.CallAnswer("other"))
		}, "was answered"},
		{"header of another request", kindRead, func(w http.ResponseWriter, _ string) {
			w.Header().Set(platform.HeaderAttempt, "other")
		}, "got the answer to"},
		{"cut during planned work", kindRead, func(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }, "was cut"},
		{"failed during planned work", kindOrder, func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusBadGateway) }, "was answered 502"},
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
			all := &callers{testbed: &testbed{config: Config{PlannedOnly: true}, checker: checker}}
			h := &host{settings: &edge.Settings{CallerAddress: netip.MustParseAddrPort(daemon.Listener.Addr().String())}}
			all.send(http.DefaultClient, h, &request{kind: c.kind, attempt: "attempt-1", tokens: shortTokens})
			checkViolations(t, checker, c.want)
		})
	}
}

func checkViolations(t *testing.T, checker *emulator.Checker, want string) {
	t.Helper()
	violations := strings.Join(checker.Violations(), "\n")
	if want == "" && violations != "" || !strings.Contains(violations, want) {
		t.Errorf("violations: %q, want %q", violations, want)
	}
}

// TestTargetsDetectInvalidRequests checks that a target records a violation for
// requests that no daemon may send.
func TestTargetsDetectInvalidRequests(t *testing.T) {
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
			repeatable := map[string]string{emulator.HeaderRepeatable: "1"}
			post(t, target, repeatable)
			post(t, target, repeatable)
		}, ""},
		{"caller's key", func(_ *emulator.Checker, target *emulator.Target) {
			post(t, target, map[string]string{platform.HeaderKey: "secret"})
		}, "with its key"},
		{"another customer", func(_ *emulator.Checker, target *emulator.Target) {
			post(t, target, map[string]string{platform.HeaderCustomer: "other"})
		}, "was forwarded as customer"},
		{"deadline passed", func(_ *emulator.Checker, target *emulator.Target) {
			post(t, target, map[string]string{platform.HeaderDeadline: "0"})
		}, "ms left"},
		{"executed after reported as not run", func(checker *emulator.Checker, target *emulator.Target) {
			checker.ReportedNotRun("attempt-1")
			post(t, target, nil)
		}, "ran after its caller was told"},
		{"executed before reported as not run", func(checker *emulator.Checker, target *emulator.Target) {
			post(t, target, nil)
			checker.ReportedNotRun("attempt-1")
		}, "had run when"},
		{"after published as draining", func(checker *emulator.Checker, target *emulator.Target) {
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
			checkViolations(t, checker, c.want)
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
	_ = response.Body.Close() // the test checks only what the target recorded
}

// TestUnreleasedReservationsAreDetected checks that a reservation that is never
// released is a violation, and a released one is not.
func TestUnreleasedReservationsAreDetected(t *testing.T) {
	for want, releases := range map[string]bool{"": true, "1 reservations are not released": false} {
		checker := emulator.NewChecker(time.Second)
		engine, err := emulator.StartTarget(replicas.Target{ID: "t-1", Address: "127.0.0.1:0", Slots: 2}, checker)
		if err != nil {
			t.Fatal(err)
		}
		defer engine.Crash()
		orders := platform.NewOrders(upstream.DialTCP)
		if err := orders.Reserve(t.Context(), engine.Address, "t-1", "memory", 10, 2*maxReleaseTime); err != nil {
			t.Fatal(err)
		}
		if releases {
			if err := orders.Release(t.Context(), engine.Address, "t-1", "memory"); err != nil {
				t.Fatal(err)
			}
		}
		b := &testbed{checker: checker, targets: []*target{{Target: engine}}}
		b.checkReservationsReleased()
		checkViolations(t, checker, want)
	}
}

func TestUnservedRequestsAfterRecoveryAreDetected(t *testing.T) {
	for want, n := range map[string]Counts{
		"":                {SentAfterRecovery: 200, ServedAfterRecovery: 194},
		"193 of 200":      {SentAfterRecovery: 200, ServedAfterRecovery: 193},
		"0 of 0 requests": {},
		"192 of 199":      {SentAfterRecovery: 200, ServedAfterRecovery: 192, GiantsAfterRecovery: 4, RefusedGiantsAfterRecovery: 1},
		"1 of 5 giant":    {SentAfterRecovery: 200, ServedAfterRecovery: 196, GiantsAfterRecovery: 5, RefusedGiantsAfterRecovery: 4},
	} {
		b := &testbed{checker: emulator.NewChecker(time.Second)}
		b.checkServedAfterRecovery(&n)
		checkViolations(t, b.checker, want)
	}
	b := &testbed{checker: emulator.NewChecker(time.Second)}
	b.checkServedAfterRecovery(&Counts{SentAfterRecovery: 200, ServedAfterRecovery: 193, GiantsAfterRecovery: 8, RefusedGiantsAfterRecovery: 6})
	checkViolations(t, b.checker, "")
}

// TestNetworkIsClaimedByOneRun guards against two concurrent runs that choose the
// same loopback network: it claims the network of a run that has not ended.
func TestNetworkIsClaimedByOneRun(t *testing.T) {
	network, _, claim, err := freeAddresses()
	if err != nil {
		t.Fatal(err)
	}
	if second, err := claimNetwork(network); err == nil {
		_ = second.Close() // the test has failed
		t.Error("two runs have claimed the same network")
	}
	if err := claim.Close(); err != nil {
		t.Fatal(err)
	}
	third, err := claimNetwork(network)
	if err != nil {
		t.Fatal("the network cannot be claimed after the run has ended")
	}
	_ = third.Close() // claimed only to check that it is free
}

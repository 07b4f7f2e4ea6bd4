package dispatchsync

import (
	"fmt"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/warmup"
)

// block makes a daemon handle no message until the returned function is called, as one does
// whose process is stopped.
func block(t *testing.T, from, to end) (resume func()) {
	t.Helper()
	blocked := make(chan struct{})
	to.sink.set(func(s *sink) { s.silent = blocked })
	if _, err := from.exchange.Ask(t.Context(), to.host, 1, &Ask{}); err == nil {
		t.Fatal("a daemon that is stopped has answered")
	}
	return func() {
		to.sink.set(func(s *sink) { s.silent = nil })
		close(blocked)
	}
}

// TestLimitThatWaitsIsNoLaterAnswer sends a home what a target said to another daemon before it
// named its limit to the home. Guards against the ages in the message, which are read before it
// waits for its batch and are counted from when it is handled: the earlier answer then counts as
// the later one, and lifts the limit.
func TestLimitThatWaitsIsNoLaterAnswer(t *testing.T) {
	for _, stopped := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(fmt.Sprint("stopped for ", stopped), func(t *testing.T) {
			peer, home := pair(t)
			resume := func() {}
			if stopped > 0 {
				resume = block(t, peer, home)
			}
			target := replicas.Incarnation{ID: "x", Started: 7}
			readAt := time.Now()
			answer := ratelimits.Statement{SentAt: readAt.Add(-2 * time.Millisecond), ReadAt: readAt}
			peer.exchange.RecordLimit([]names.Host{home.host}, target, answer)
			named := readAt.Add(5 * time.Millisecond)
			time.Sleep(stopped)
			resume()
			var received ratelimits.Statement
			eventually(t, "the limit", func() bool {
				home.sink.mu.Lock()
				defer home.sink.mu.Unlock()
				received = home.sink.limit
				return home.sink.limited == target
			})
			if late := received.ReadAt.Sub(readAt); late > 2*time.Millisecond {
				t.Errorf("the answer counts as read %s after it was", late)
			}
			limits := ratelimits.New()
			limits.Record(target, ratelimits.Statement{Rate: 2, SentAt: named.Add(-time.Millisecond), ReadAt: named}, named)
			limits.Record(target, received, time.Now())
			if rate, _ := limits.Rate(target, time.Now()); rate != 2 {
				t.Errorf("an answer that was read %s before the target named its limit of 2 a second sets it to %g", named.Sub(readAt), rate)
			}
		})
	}
}

// TestQuestionThatWaitsMakesNoTargetCold has a question with the time left of a cold target wait
// at a home that is stopped. The target has said to the home meanwhile that it is warm. Guards
// against counting the time left from when the question is handled: the period then seems to be
// another one than that which has ended, and the target is cold again.
func TestQuestionThatWaitsMakesNoTargetCold(t *testing.T) {
	const left, stopped = 20 * time.Second, 1200 * time.Millisecond
	peer, home := pair(t)
	target := replicas.Incarnation{ID: "x", Started: 7}
	cold := warmup.New()
	cold.RecordAnswer(target, left, time.Now(), time.Now())
	resume := block(t, peer, home)
	asked := time.Now()
	if _, err := peer.exchange.Ask(t.Context(), home.host, 2, &Ask{Cold: []ColdTarget{{Incarnation: target, Left: left}}}); err == nil {
		t.Fatal("a daemon that is stopped has answered")
	}
	cold.RecordAnswer(target, 0, time.Now(), time.Now())
	time.Sleep(time.Until(asked.Add(stopped)))
	resume()
	var claims []ColdTarget
	eventually(t, "the question", func() bool {
		home.sink.mu.Lock()
		defer home.sink.mu.Unlock()
		for i := range home.sink.asks {
			claims = append(claims, home.sink.asks[i].Cold...)
		}
		return len(claims) > 0
	})
	now := time.Now()
	for _, c := range claims {
		cold.RecordClaim(c.Incarnation, c.Left, now)
	}
	if again := cold.Left(target, &warmup.Warmup{Time: left}, time.Time{}, now); again > 0 {
		t.Errorf("a target that is warm is cold for %s again, by a question that waited for %s", again, stopped)
	}
}

package relay

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestWatchdogDistinguishesUnresponsiveFromStalled(t *testing.T) {
	l := eventTimeouts{unresponsive: time.Second, stalled: 3 * time.Second}
	cases := []struct {
		name         string
		unresponsive func(since time.Duration) bool
		want         time.Duration
	}{
		{"unresponsive", func(time.Duration) bool { return true }, time.Second},
		{"answers others", func(time.Duration) bool { return false }, 3 * time.Second},
		{"becomes unresponsive", func(since time.Duration) bool { return since > 1200*time.Millisecond }, 1300 * time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			expired := make(chan time.Duration, 1)
			end := func(bool) bool {
				expired <- time.Since(began)
				return true
			}
			w := newWatchdog(l, func() bool { return c.unresponsive(time.Since(began)) }, end)
			defer w.stop()
			if got := <-expired; got != c.want {
				t.Errorf("%s: ended after %s, want %s", c.name, got, c.want)
			}
		})
	}
}

// TestMemoryIsNotHeldForATargetThatHangs uses the timeouts of a prompt of
// 500,000 tokens whose target hangs and reports that it is healthy. Its memory
// at the helpers must not stay reserved for longer than users allow.
func TestMemoryIsNotHeldForATargetThatHangs(t *testing.T) {
	const allowed = 9 * time.Second // users' limit for unused reserved memory
	l := eventTimeouts{unresponsive: 8400 * time.Millisecond, stalled: 15800 * time.Millisecond}.withReservation(2800 * time.Millisecond)
	if l.stalled > allowed-500*time.Millisecond || l.unresponsive > l.stalled {
		t.Fatalf("memory stays reserved for %s", l.stalled)
	}
	if l := (eventTimeouts{unresponsive: 9 * time.Second, stalled: 20 * time.Second}).withReservation(8 * time.Second); l.stalled <= 10*time.Second {
		t.Fatalf("a prompt that takes 8 s is ended after %s", l.stalled)
	}
	if l := (eventTimeouts{unresponsive: time.Second, stalled: 3 * time.Second}).withReservation(time.Second); l.stalled != 3*time.Second || l.unresponsive != time.Second {
		t.Fatalf("shorter timeouts became %+v", l)
	}
}

func TestEventsResetWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var expiries atomic.Int64
		l := eventTimeouts{unresponsive: time.Second, stalled: 3 * time.Second}
		w := newWatchdog(l, func() bool { return true }, func(bool) bool { return expiries.Add(1) > 0 })
		for range 20 {
			time.Sleep(900 * time.Millisecond)
			w.reset(l)
		}
		w.stop()
		w.reset(l)
		time.Sleep(time.Minute)
		if expiries.Load() != 0 {
			t.Fatal("the watchdog expired although events arrived or it was stopped")
		}
	})
}

// TestWatchdogRechecksContinuedAttempt does not let the attempt end in its
// first 2 s.
func TestWatchdogRechecksContinuedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ended := make(chan time.Duration, 1)
		end := func(bool) bool {
			if time.Since(began) < 2*time.Second {
				return false
			}
			ended <- time.Since(began)
			return true
		}
		w := newWatchdog(eventTimeouts{unresponsive: time.Second, stalled: time.Second}, func() bool { return true }, end)
		defer w.stop()
		if got := <-ended; got < 2*time.Second || got > 2*time.Second+watchdogPollInterval {
			t.Fatalf("ended after %s", got)
		}
	})
}

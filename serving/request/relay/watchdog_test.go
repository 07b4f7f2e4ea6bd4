package relay

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestTheWatchdogTellsSilentTargetsFromBusyOnes(t *testing.T) {
	l := limits{silent: time.Second, stalled: 3 * time.Second}
	cases := []struct {
		name   string
		silent func(since time.Duration) bool
		want   time.Duration
	}{
		{"silent", func(time.Duration) bool { return true }, time.Second},
		{"answers others", func(time.Duration) bool { return false }, 3 * time.Second},
		{"falls silent", func(since time.Duration) bool { return since > 1200*time.Millisecond }, 1300 * time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			barked := make(chan time.Duration, 1)
			end := func(bool) bool {
				barked <- time.Since(began)
				return true
			}
			w := newWatchdog(l, func() bool { return c.silent(time.Since(began)) }, end)
			defer w.stop()
			if got := <-barked; got != c.want {
				t.Errorf("%s: ended after %s, want %s", c.name, got, c.want)
			}
		})
	}
}

// TestMemoryIsNotHeldForATargetThatHangs has limits as of a prompt of 500,000
// tokens whose target hangs and reports that it is well.
func TestMemoryIsNotHeldForATargetThatHangs(t *testing.T) {
	const allowed = 9 * time.Second // of the users
	l := limits{silent: 8400 * time.Millisecond, stalled: 15800 * time.Millisecond}.holding(2800 * time.Millisecond)
	if l.stalled > allowed-500*time.Millisecond || l.silent > l.stalled {
		t.Fatalf("memory is held for %s", l.stalled)
	}
	if l := (limits{silent: 9 * time.Second, stalled: 20 * time.Second}).holding(8 * time.Second); l.stalled <= 10*time.Second {
		t.Fatalf("a prompt that takes 8 s is ended after %s", l.stalled)
	}
	if l := (limits{silent: time.Second, stalled: 3 * time.Second}).holding(time.Second); l.stalled != 3*time.Second || l.silent != time.Second {
		t.Fatalf("shorter limits became %+v", l)
	}
}

func TestEventsKeepTheWatchdogQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var barks atomic.Int64
		l := limits{silent: time.Second, stalled: 3 * time.Second}
		w := newWatchdog(l, func() bool { return true }, func(bool) bool { return barks.Add(1) > 0 })
		for range 20 {
			time.Sleep(900 * time.Millisecond)
			w.feed(l)
		}
		w.stop()
		w.feed(l)
		time.Sleep(time.Minute)
		if barks.Load() != 0 {
			t.Fatal("an attempt whose events come, or that has ended, was ended")
		}
	})
}

// TestAnAttemptThatMustGoOnIsLookedAtAgain has no retry to spare at first.
func TestAnAttemptThatMustGoOnIsLookedAtAgain(t *testing.T) {
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
		w := newWatchdog(limits{silent: time.Second, stalled: time.Second}, func() bool { return true }, end)
		defer w.stop()
		if got := <-ended; got < 2*time.Second || got > 2*time.Second+watchdogPoll {
			t.Fatalf("ended after %s", got)
		}
	})
}

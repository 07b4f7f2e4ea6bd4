package watching

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet replays daemons of one data centre that decide every step. A call takes one step.
type fleet struct {
	plans []*Plan
	// up is true while the source answers.
	up bool
	// watchers is true while watchers send heartbeats.
	watchers bool
	calls    int
	// heartbeat and stale are when the last heartbeats were received.
	heartbeat, stale time.Time
	now              time.Time
}

const step = 10 * time.Millisecond

// daemons is the number of daemons of the fleet.
const daemons = 60

func newFleet() *fleet {
	f := &fleet{now: start, heartbeat: start, stale: start.Add(-time.Hour)}
	for i := range daemons {
		f.plans = append(f.plans, New(rand.New(rand.NewPCG(uint64(i), 7))))
	}
	return f
}

// run lets time pass, and returns the number of calls.
func (f *fleet) run(d time.Duration) int {
	before := f.calls
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if f.watchers {
			if f.up {
				f.heartbeat = f.now
			} else {
				f.stale = f.now
			}
		}
		confirmed := false
		for _, p := range f.plans {
			s := Situation{Peers: len(f.plans), Age: time.Hour, ConfirmedAge: f.now.Sub(f.heartbeat), HeartbeatAge: f.now.Sub(f.heartbeat), StaleAge: f.now.Sub(f.stale)}
			if !p.Due(s, f.now) {
				continue
			}
			f.calls++
			if !f.up {
				p.Failed(f.now)
				continue
			}
			p.Succeeded(f.now)
			p.next = f.now.Add(2 * time.Second) // the watch waits for a change
			confirmed = true
		}
		if confirmed {
			f.heartbeat = f.now
		}
		for _, p := range f.plans {
			if p.Volunteering(f.now) && f.up {
				f.heartbeat = f.now
			}
		}
	}
	return f.calls - before
}

func TestNoCallsWhileWatchersAreAlive(t *testing.T) {
	f := newFleet()
	f.up, f.watchers = true, true
	if calls := f.run(time.Minute); calls != 0 {
		t.Fatalf("%d calls", calls)
	}
}

// The watchers die. Guards against calls by all daemons at once, and against a long time
// without anyone who watches.
func TestFewDaemonsTakeOver(t *testing.T) {
	f := newFleet()
	f.up = true
	calls := f.run(HeartbeatTimeout + maxTakeOver)
	if calls == 0 || calls > 6 {
		t.Fatalf("%d calls", calls)
	}
	if calls := f.run(time.Minute); calls < 20 || calls > 150 {
		t.Fatalf("%d calls in a minute without watchers", calls)
	}
	if age := f.now.Sub(f.heartbeat); age > HeartbeatTimeout+maxTakeOver {
		t.Fatalf("no heartbeat for %s", age)
	}
}

// The source is unavailable for 8 s. Guards against a crowd that calls it all the while,
// and when it is back.
func TestOutageMakesFewCalls(t *testing.T) {
	for _, watchers := range []bool{true, false} {
		f := newFleet()
		f.watchers = watchers
		f.run(HeartbeatTimeout)
		if calls := f.run(8 * time.Second); calls > 8*daemons {
			t.Errorf("watchers alive %t: %d calls during the outage", watchers, calls)
		}
		f.up = true
		if calls := f.run(2 * time.Second); calls > daemons {
			t.Errorf("watchers alive %t: %d calls after the outage", watchers, calls)
		}
	}
}

// The watchers are cut off from the source, and the others are not.
func TestProbeFindsSource(t *testing.T) {
	f := newFleet()
	f.up = true
	f.watchers = false
	f.stale = start
	for range 20 {
		f.stale = f.now
		f.run(100 * time.Millisecond)
	}
	if f.calls == 0 || f.calls > 12 {
		t.Fatalf("%d calls", f.calls)
	}
	if age := f.now.Sub(f.heartbeat); age > HeartbeatTimeout {
		t.Fatalf("no heartbeat for %s", age)
	}
}

// A daemon of a large data centre is cut off from all peers. It must call the source by
// itself within the time in which changes must be in force there.
func TestLoneDaemonCallsSoon(t *testing.T) {
	const changesInForce = ApplyTime
	p := New(rand.New(rand.NewPCG(1, 1)))
	for after := time.Duration(0); ; after += step {
		s := Situation{Peers: 60, Age: time.Hour, ConfirmedAge: after, HeartbeatAge: after, StaleAge: time.Hour}
		if p.Due(s, start.Add(after)) {
			if after > changesInForce {
				t.Fatalf("first call after %s", after)
			}
			return
		}
	}
}

func TestModes(t *testing.T) {
	const never = time.Hour
	cases := map[string]struct {
		s    Situation
		want mode
	}{
		"no records":               {Situation{Empty: true, HeartbeatAge: never, StaleAge: never}, first},
		"watcher":                  {Situation{Watcher: true, Age: never, StaleAge: never}, watch},
		"just started":             {Situation{ConfirmedAge: never, HeartbeatAge: never, StaleAge: never, Age: time.Second}, idle},
		"started, no heartbeat":    {Situation{ConfirmedAge: never, HeartbeatAge: never, StaleAge: never, Age: StartTime}, takeOver},
		"watchers without source":  {Situation{HeartbeatAge: probeAfter + 1, Age: never}, probe},
		"watchers that hang":       {Situation{ConfirmedAge: MaxUnconfirmed + 1, Age: never, StaleAge: never}, takeOver},
		"without source for long":  {Situation{ConfirmedAge: MaxUnconfirmed + 1, HeartbeatAge: MaxUnconfirmed + 1, Age: never}, takeOver},
		"one watcher without":      {Situation{HeartbeatAge: probeAfter, Age: never}, idle},
		"peers do not hand it out": {Situation{Age: never, StaleAge: never, Lagging: true}, takeOver},
		"leaving":                  {Situation{Leaving: true, Age: never, ConfirmedAge: leavingTimeout, HeartbeatAge: 3 * time.Second, StaleAge: never}, idle},
		"leaving, no news":         {Situation{Leaving: true, Age: never, ConfirmedAge: leavingTimeout + 1, HeartbeatAge: 3 * time.Second, StaleAge: never}, takeOver},
	}
	for name, c := range cases {
		p := New(rand.New(rand.NewPCG(1, 1)))
		p.Due(c.s, start)
		if p.mode != c.want {
			t.Errorf("%s: mode %d, want %d", name, p.mode, c.want)
		}
	}
}

// A watcher's calls fail. It must try again soon: the others depend on it.
func TestWatcherRetriesSoon(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)))
	s := Situation{Watcher: true, Age: time.Hour, Peers: 60}
	calls := 0
	for after := time.Duration(0); after < 4*time.Second; after += step {
		if p.Due(s, start.Add(after)) {
			calls++
			p.Failed(start.Add(after))
		}
	}
	if calls < 8 || calls > 30 {
		t.Fatalf("%d calls in 4 s", calls)
	}
}

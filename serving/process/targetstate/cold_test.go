package targetstate

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/request/relay"
)

// The users' bound on cold targets, and the share of their rate that is to be used.
const (
	coldRate    = 26
	coldOverage = 1.5
	coldSlack   = 5
	coldAllowed = 44
	coldUsed    = 0.8
	coldTime    = 8 * time.Second
)

var coldService = routing.Service{Name: service.Name, ColdTime: coldTime, ColdRate: coldRate}

// newColdFleet returns a fleet of which the first targets state in their entries that they
// are cold for a time.
func newColdFleet(t *testing.T, daemons, targets, cold int, left time.Duration) *limitedFleet {
	f := newLimitedFleet(t, daemons, targets, nil)
	f.service = &coldService
	for i := range cold {
		f.lists[host(0)][i].ColdLeft = left // all daemons share the list
	}
	for _, board := range f.boards {
		board.config.ColdOverage, board.config.ColdSlack = coldOverage, coldSlack
		board.config.TakenBack = func(names.DataCentre) time.Time { return time.Time{} }
	}
	return f
}

// checkCold checks the arrivals at cold targets since a time.
func (f *limitedFleet) checkCold(cold int, since time.Time, used bool) {
	f.t.Helper()
	for i := range cold {
		id := names.Target(fmt.Sprint("t-", i))
		list := f.arrivals[id]
		first, most := 0, 0
		for i, at := range list {
			for at.Sub(list[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		share := float64(len(list)) / (coldRate * time.Since(since).Seconds())
		f.t.Logf("%s: at most %d of %d in a second, %.2f of the rate used", id, most, coldAllowed, share)
		if most > coldAllowed || used && share < coldUsed {
			f.t.Errorf("%s got %d requests in a second, %d are allowed, and %.2f of its rate, want %g", id, most, coldAllowed, share, coldUsed)
		}
	}
}

// All targets of a service are cold, and callers of any number of daemons press on them.
// Guards against a crash of the targets, against a rate that is not used, and against callers
// that are refused without a time at which they may return.
func TestColdTargetsGetNoMoreThanTheirBound(t *testing.T) {
	for _, daemons := range []int{8, 61, 295, 830} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newColdFleet(t, daemons, 3, 3, time.Hour)
				start := time.Now()
				f.run(300, 15*time.Second)
				f.checkCold(3, start, true)
				for _, after := range f.refused {
					if after < minColdRetryAfter {
						t.Fatalf("a caller is to return after %s", after)
					}
				}
				stats := f.boards[host(0)].ColdStats()
				if stats.Targets != 3 || stats.Allowed != 3*coldRate || stats.Used < coldUsed*stats.Allowed || stats.Refused == 0 {
					t.Errorf("the home's numbers are %+v", stats)
				}
			})
		})
	}
}

// Homes are replaced by daemons that know nothing, and for half of the daemons the first home
// is another one. Guards against a burst at each change, and against two rates.
func TestColdBoundHoldsWithOtherHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 40, 2, 2, time.Hour)
		f.seen = make(map[names.Host]homes.Homes)
		for i := range 20 {
			f.seen[host(i+10)] = homes.Homes{Deciders: []names.Host{host(1), host(0)}, Listeners: f.homes.Listeners}
		}
		for i := range 6 {
			f.after(time.Duration(10+5*i)*time.Second, func() {
				next := []names.Host{host(30 + i), host(31 + i)}
				f.homes, f.seen = homes.Homes{Deciders: next, Listeners: next}, nil
			})
		}
		f.run(200, 40*time.Second)
		f.checkCold(2, time.Now().Add(-40*time.Second), false)
	})
}

// For half of the daemons two others become the homes, which have no callers and have not been
// asked before. Guards against a home that uses the whole rate beside the one it has replaced,
// since it does not know that there was another one.
func TestColdBoundHoldsWithHomesThatHaveNoCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 40, 1, 1, time.Hour)
		f.callers = 38
		f.seen = make(map[names.Host]homes.Homes)
		f.after(10*time.Second, func() {
			next := []names.Host{host(38), host(39)}
			for i := 20; i < 40; i++ {
				f.seen[host(i)] = homes.Homes{Deciders: next, Listeners: next}
			}
		})
		f.run(200, 16*time.Second)
		f.checkCold(1, time.Now().Add(-16*time.Second), false)
	})
}

// A daemon without callers sees many groups whose targets may be cold. Guards against look-ups
// of homes that take more of its processor time the more services there are.
func TestLookUpsOfHomesWithoutCallersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 1, 1, 0, 0)
		board := f.boards[host(0)]
		var services []names.Service
		for i := range 10 * maxIdleLookUps {
			services = append(services, names.Service(fmt.Sprint("s-", i)))
		}
		lookUps, seen := 0, make(map[names.Service]bool)
		lookUp := board.config.Homes
		board.config.Homes = func(g homes.Group) homes.Homes {
			lookUps++
			seen[g.Service] = true
			return lookUp(g)
		}
		board.config.Services = func() []names.Service { return services }
		board.config.Service = func(names.Service) *routing.Service { return &coldService }
		for range 100 {
			lookUps = 0
			f.sweep()
			if lookUps > maxIdleLookUps {
				t.Fatalf("%d look-ups in a sweep, %d are allowed", lookUps, maxIdleLookUps)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if len(seen) < len(services) {
			t.Errorf("the homes of %d of %d services were looked up", len(seen), len(services))
		}
		services = nil
		f.sweep()
		if left := len(board.coldTargets.duties); left > 0 {
			t.Errorf("%d groups of services that are gone are followed", left)
		}
	})
}

// A target is cold beside warm ones. Guards against calls that a cold target answers while
// warm ones are free, and against one that stays unused while they are not. Warm targets have
// slots for some 80 calls a second here.
func TestWarmTargetsComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 9, 4, 1, time.Hour)
		f.run(15, 10*time.Second)
		if got := len(f.arrivals["t-0"]); got > 0 {
			t.Errorf("%d calls at the cold target", got)
		}
		start := time.Now()
		f.run(300, 10*time.Second)
		f.checkCold(1, start, true)
	})
}

// coldTarget returns a fleet in which t-1 is cold, as its answer to the last daemon says, and
// a placement there from before.
func coldTarget(t *testing.T) (*limitedFleet, *Board, *relay.Placement) {
	f := newColdFleet(t, 4, 2, 0, 0)
	board := f.boards[host(3)]
	p := placeUntil(t, board, "t-1")
	if err := board.MaySend(p); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Millisecond)
	board.RecordStatement(p, relay.Statement{Cold: relay.Cold{Stated: true, Left: coldTime}}, "r")
	return f, board, p
}

// wantCold checks that a request is refused since a target is cold.
func wantCold(t *testing.T, err error) {
	t.Helper()
	failure := verdict.From(err)
	if failure == nil || failure.Reason != verdict.TargetCold || failure.Verdict != verdict.NotRun {
		t.Fatalf("failure %v", failure)
	}
}

// Requests may be placed before their target is known to be cold, or their daemon may be
// suspended with a leave. Guards against sends without a leave that is in force.
func TestRequestsAtColdTargetsNeedALeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, board, p := coldTarget(t)
		wantCold(t, board.MaySend(p))
		helped := &relay.Placement{Incarnation: replicas.Incarnation{ID: "t-0"}, HelperIncarnations: []replicas.Incarnation{{ID: "t-1"}}}
		helped.Decision.Target = "t-0"
		wantCold(t, board.MaySend(helped))
		if _, err := board.Place(t.Context(), call(), &service); err != nil { // the home learns it
			t.Fatal(err)
		}
		time.Sleep(time.Second) // its bucket fills
		r := call()
		r.Exclude = []names.Target{"t-0"}
		leave, err := board.Place(t.Context(), r, &service)
		if err != nil || !leave.Decision.ColdLeave || board.MaySend(leave) != nil {
			t.Fatalf("%+v, %v", leave, err)
		}
		f.suspended[host(3)] = time.Second
		wantCold(t, board.MaySend(leave))
		board.RecordStatement(p, relay.Statement{Cold: relay.Cold{Stated: true}}, "r") // sent before
		wantCold(t, board.MaySend(p))
		p.SentAt = time.Now()
		board.RecordStatement(p, relay.Statement{Cold: relay.Cold{Stated: true}}, "r")
		if err := board.MaySend(p); err != nil {
			t.Error(err)
		}
	})
}

// A home of an earlier release places on cold targets, or no home can be asked. Guards against
// a daemon that sends there without one that counts.
func TestDaemonWithoutCountingHomeSendsNothingToColdTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, board, _ := coldTarget(t)
		unbounded := func(names.Service) *routing.Service { return &service }
		for _, h := range []names.Host{host(0), host(1)} {
			f.boards[h].config.Service = unbounded
		}
		wantNoneOn(t, board, "t-1")
		f.silent[host(0)], f.silent[host(1)] = true, true
		wantNoneOn(t, board, "t-1")
		board.config.TakenBack = func(names.DataCentre) time.Time { return time.Now().Add(-6 * time.Second) }
		_, err := board.Place(t.Context(), call(), &service)
		wantCold(t, err)
		if after := verdict.From(err).RetryAfter; after < 2*time.Second || after > 2*time.Second+retrySpread {
			t.Errorf("the caller is to return after %s, the first target is warm after 2s", after)
		}
	})
}

// Memory is renewed at a cold target. Guards against orders that come on top of the rate.
func TestOrdersAtColdTargetsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 4, 2, 2, time.Hour)
		f.run(1, 2*time.Second)
		orders := NewOrders(f.boards[host(3)], statingClient{})
		for range coldRate {
			if err := orders.Reserve(t.Context(), "", "t-1", "r", 5, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		r := call()
		r.Exclude = []names.Target{"t-0"}
		_, err := f.boards[host(2)].Place(t.Context(), r, &service)
		wantCold(t, err)
	})
}

// A home learns from an answer that a target has warmed up early. The other daemons have read
// only that it is cold. Guards against daemons that refuse their callers until the cold period
// would have ended, since a decision without a leave is rejected.
func TestDaemonsSendToTargetThatAHomeKnowsAsWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 4, 3, 3, coldTime)
		f.run(100, time.Second)
		home := f.boards[host(0)]
		for id := range f.arrivals {
			p := &relay.Placement{Incarnation: replicas.Incarnation{ID: id}, SentAt: time.Now()}
			home.RecordStatement(p, relay.Statement{Cold: relay.Cold{Stated: true}}, "r")
		}
		for range 2 * coldAllowed {
			p, err := f.boards[host(3)].Place(t.Context(), call(), &service)
			if err != nil {
				t.Fatal(err)
			}
			if err := f.boards[host(3)].MaySend(p); err != nil {
				t.Fatal(err)
			}
			f.boards[host(3)].End(p.Key, p.Decision.Target)
		}
	})
}

// A target wrote its entry when it was cold and did not write it again. Guards against a
// daemon that restarts, reads this entry, and has the homes take the target for cold again.
func TestEntryOfTheFirstListDoesNotMakeTargetsColdAtHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 4, 3, 3, coldTime)
		f.run(100, coldTime+2*time.Second)
		restarted := f.boards[host(3)]
		restarted.coldTargets = nil
		f.refused = nil
		for range 2 * coldAllowed {
			p, err := restarted.Place(t.Context(), call(), &service)
			if err != nil {
				t.Fatal(err)
			}
			if err := restarted.MaySend(p); err != nil {
				t.Fatal(err)
			}
			restarted.End(p.Key, p.Decision.Target)
		}
		if stats := f.boards[host(0)].ColdStats(); stats.Targets > 0 {
			t.Errorf("the home knows %d cold targets", stats.Targets)
		}
	})
}

package targetstate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/relay"
)

// Bounds of the users' rule on targets that name a limit.
const (
	limitStableTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitUsed       = 0.8
)

// event is a step of a simulation.
type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// limitedFleet simulates a fleet whose callers press on targets that name limits. It runs
// in a synctest bubble, on one goroutine.
type limitedFleet struct {
	*cluster
	t      *testing.T
	random *rand.Rand
	// rates are the limits that the targets name; those that are missing name none.
	rates    map[names.Target]float64
	named    map[names.Target]time.Time
	arrivals map[names.Target][]time.Time
	// told holds when each daemon was first told of a limit. If toldOnly is set, only the
	// arrivals from daemons that were told toldTime before are counted, as in the users' rule.
	told     map[toldOf]time.Time
	toldOnly bool
	// callers is the number of daemons that have callers, the first ones; zero for all.
	callers int
	refused []time.Duration
	served  int
	queue   eventQueue
}

// toldOf is a daemon that was told of the limit of a target.
type toldOf struct {
	daemon names.Host
	target names.Target
}

// toldTime is how long after it was told a daemon is bound.
const toldTime = 500 * time.Millisecond

func newLimitedFleet(t *testing.T, daemons, targets int, rates map[names.Target]float64) *limitedFleet {
	return &limitedFleet{
		cluster: newCluster(daemons, targets), t: t, random: rand.New(rand.NewPCG(uint64(daemons), uint64(targets))), rates: rates,
		named: make(map[names.Target]time.Time), arrivals: make(map[names.Target][]time.Time),
		told: make(map[toldOf]time.Time),
	}
}

func (f *limitedFleet) after(d time.Duration, do func()) {
	heap.Push(&f.queue, event{time.Now().Add(d), do})
}

// run sends calls from random daemons at a rate per second, and sweeps all boards.
func (f *limitedFleet) run(perSecond float64, d time.Duration) {
	end := time.Now().Add(d)
	callers := f.callers
	if callers == 0 {
		callers = len(f.boards)
	}
	var arrive, sweep func()
	arrive = func() {
		f.call(host(f.random.IntN(callers)))
		f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	sweep = func() {
		f.sweep()
		f.after(500*time.Millisecond, sweep)
	}
	f.after(0, arrive)
	f.after(0, sweep)
	for f.queue[0].at.Before(end) {
		next := heap.Pop(&f.queue).(event)
		time.Sleep(time.Until(next.at))
		next.do()
	}
	f.queue = nil
}

// sweep sweeps all boards, as daemons do every half second.
func (c *cluster) sweep() {
	for i := range len(c.boards) {
		c.boards[host(i)].Sweep(func(names.Target) bool { return true }, time.Now())
	}
}

// maxConnect and maxAnswer bound the times of a simulated connection and answer.
const (
	maxConnect = 30 * time.Millisecond
	maxAnswer  = 300 * time.Millisecond
)

// call places a call and sends it, again without a retry decision if it may not be sent.
func (f *limitedFleet) call(from names.Host) {
	board := f.boards[from]
	p, err := board.Place(f.t.Context(), call(), &service)
	if err != nil {
		f.refused = append(f.refused, verdict.From(err).RetryAfter)
		return
	}
	f.after(time.Duration(f.random.Int64N(int64(maxConnect))), func() {
		if board.MaySend(p) != nil {
			board.End(p.Key, p.Decision.Target)
			f.call(from)
			return
		}
		f.arrived(from, p.Decision.Target)
		f.after(time.Duration(f.random.Int64N(int64(maxAnswer))), func() { f.answered(from, p) })
	})
}

func (f *limitedFleet) arrived(from names.Host, id names.Target) {
	f.served++
	if told, ok := f.told[toldOf{from, id}]; !f.toldOnly || ok && time.Since(told) > toldTime {
		f.arrivals[id] = append(f.arrivals[id], time.Now())
	}
}

func (f *limitedFleet) answered(from names.Host, p *relay.Placement) {
	board, id := f.boards[from], p.Decision.Target
	if rate, ok := f.rates[id]; ok {
		if f.named[id].IsZero() {
			f.named[id] = time.Now()
		}
		if told := (toldOf{from, id}); f.told[told].IsZero() {
			f.told[told] = time.Now()
		}
		board.RecordStatement(p, relay.Statement{Limit: relay.Limit{Named: true, Rate: rate}}, "r")
	} else {
		board.RecordNoLimit(p, "r")
	}
	board.Succeeded(p.Key, id)
	board.End(p.Key, id)
}

// check checks the arrivals at the limited targets from limitStableTime after they first
// named a limit. If used is set, most of each limit must be used until now.
func (f *limitedFleet) check(used bool) {
	f.t.Helper()
	for id, rate := range f.rates {
		from := f.named[id].Add(limitStableTime)
		allowed := int(limitFactor*limitWindow.Seconds()*rate) + limitSlack
		list := slices.DeleteFunc(slices.Clone(f.arrivals[id]), func(at time.Time) bool { return at.Before(from) })
		first, most := 0, 0
		for i, at := range list {
			for at.Sub(list[first]) > limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		f.t.Logf("%s takes %g a second: at most %d of %d in %s, %.2f of the limit used", id, rate, most, allowed, limitWindow, float64(len(list))/(rate*time.Since(from).Seconds()))
		if most > allowed {
			f.t.Errorf("%s, which takes %g a second, got %d requests in %s; %d are allowed", id, rate, most, limitWindow, allowed)
		}
		if least := limitUsed * rate * time.Since(from).Seconds(); used && float64(len(list)) < least-1 {
			f.t.Errorf("%s, which takes %g a second, got %d requests in %s, want %.1f", id, rate, len(list), time.Since(from), least)
		}
	}
}

// limitsOf returns targets that name these limits.
func limitsOf(rates ...float64) map[names.Target]float64 {
	limits := make(map[names.Target]float64)
	for i, rate := range rates {
		limits[names.Target(fmt.Sprint("t-", i))] = rate
	}
	return limits
}

// At hosts by the hundred, each of which sends a request every few seconds, targets name
// limits at the crest. Guards against a bound that grows with the fleet, and against an
// even split, which would leave most of a limit unused.
func TestLimitHoldsWhateverTheNumberOfDaemons(t *testing.T) {
	for _, daemons := range []int{8, 295, 830} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(t, daemons, 8, limitsOf(1, 2.2, 0.6, 40))
				f.run(200, 30*time.Second)
				f.check(true)
				if len(f.refused) > 0 {
					t.Errorf("%d calls were refused though other targets are free", len(f.refused))
				}
			})
		})
	}
}

// All targets of a service name limits. Guards against limits that are not used by those
// who are refused elsewhere, and against callers that are told to return together.
func TestRefusedCallersAreSpreadOverTheTimeInWhichThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 9, 4, limitsOf(1, 2, 1.5, 3))
		f.run(60, 30*time.Second)
		f.check(true)
		f.refused = nil
		for range 30 { // at one moment
			f.call(host(f.random.IntN(9)))
		}
		perSecond := make(map[time.Duration]int)
		for _, after := range f.refused {
			if after <= 0 {
				t.Error("refused without a retry delay")
			}
			perSecond[after.Truncate(time.Second)]++
		}
		for second, count := range perSecond {
			if second < 9*time.Second && count > 10 {
				t.Errorf("%d callers of %d return after %s, there is room for 7.5 a second", count, len(f.refused), second)
			}
		}
	})
}

// The first home dies, later both homes are others, which know nothing. Guards against a
// burst at each change, and against homes that do not learn of the limits.
func TestLimitHoldsWhileHomesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 40, 6, limitsOf(1, 3, 0.5))
		f.after(10*time.Second, func() { f.silent[host(0)] = true })
		for i := range 6 {
			f.after(time.Duration(15+4*i)*time.Second, func() {
				next := []names.Host{host(2 + 2*i), host(3 + 2*i)}
				f.homes = homes.Homes{Deciders: next, Listeners: next}
			})
		}
		f.run(100, 45*time.Second)
		f.check(true)
	})
}

// For half of the daemons the first home does not answer, so that two homes decide at once.
func TestLimitHoldsWithTwoHomesThatDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 40, 6, limitsOf(1, 8, 0.5))
		f.seen = make(map[names.Host]homes.Homes)
		for i := range 20 {
			f.seen[host(i+10)] = homes.Homes{Deciders: []names.Host{host(1), host(0)}, Listeners: f.homes.Listeners}
		}
		f.run(150, 30*time.Second)
		f.check(true)
	})
}

// partition divides the fleet: each group of daemons has homes of its own and hears of no
// other.
func (f *limitedFleet) partition(groups [][]names.Host) {
	f.seen = make(map[names.Host]homes.Homes)
	for _, group := range groups {
		own := group[:min(2, len(group))]
		for _, h := range group {
			f.seen[h] = homes.Homes{Deciders: own, Listeners: own}
			var fleet ratelimits.Fleet
			fleet.Share(len(f.boards), time.Now())
			f.shares[h] = fleet.Share(len(group), time.Now())
		}
	}
}

// A partition divides the fleet, in two or so that each daemon is alone. Guards against a
// bound for each part of the fleet.
func TestLimitHoldsOverAPartitionedFleet(t *testing.T) {
	hosts := func(from, to int) []names.Host {
		var list []names.Host
		for i := from; i < to; i++ {
			list = append(list, host(i))
		}
		return list
	}
	var alone [][]names.Host
	for i := range 60 {
		alone = append(alone, hosts(i, i+1))
	}
	for name, groups := range map[string][][]names.Host{
		"most and few": {hosts(0, 45), hosts(45, 60)}, "halves": {hosts(0, 31), hosts(31, 60)}, "thirds": {hosts(0, 20), hosts(20, 40), hosts(40, 60)},
		"each alone": alone,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(t, 60, 6, limitsOf(1, 6, 0.5))
				f.toldOnly = true // the others cannot know while they are alone
				f.after(12*time.Second, func() { f.partition(groups) })
				f.run(200, 40*time.Second)
				f.check(false)
			})
		})
	}
}

// A target lifts its limit, and another one lowers it. Guards against a limit that outlives
// what the target says, and one that is raised by a late answer.
func TestLimitEndsWhenTheTargetSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 20, 2, limitsOf(2, 20))
		f.run(100, 15*time.Second)
		f.check(true)
		f.rates = limitsOf(2, 1)
		f.run(100, 2*time.Second)
		f.arrivals["t-1"], f.named["t-1"] = nil, time.Now().Add(-limitStableTime)
		f.run(100, 15*time.Second)
		f.check(true)
		f.rates = nil
		f.run(100, 8*time.Second)
		f.refused, f.served = nil, 0
		f.run(100, 5*time.Second)
		if len(f.refused) > 0 || f.served < 400 {
			t.Errorf("%d calls served and %d refused after the limits were lifted", f.served, len(f.refused))
		}
		for h, board := range f.boards {
			if board.LimitedCount() != 0 && (h == host(0) || h == host(1)) {
				t.Errorf("home %s keeps %d limits", h, board.LimitedCount())
			}
		}
	})
}

// limitedTarget is a cluster with a target that has named a limit to one daemon.
func limitedTarget(t *testing.T, daemons int) (*cluster, *relay.Placement) {
	c := newCluster(daemons, 2)
	last := host(daemons - 1)
	p := placeUntil(t, c.boards[last], "t-1")
	if err := c.boards[last].MaySend(p); err != nil {
		t.Fatal(err)
	}
	c.boards[last].RecordStatement(p, relay.Statement{Limit: relay.Limit{Named: true, Rate: 1}}, "r")
	c.sweep()
	return c, p
}

// A request was placed when its target named a limit, and its daemon has no leave of a home.
func TestRequestPlacedBeforeTheLimitIsPlacedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p := limitedTarget(t, 4)
		failure := verdict.From(c.boards[host(3)].MaySend(p))
		if failure == nil || failure.Reason != verdict.TargetLimited || failure.Verdict != verdict.NotRun {
			t.Fatalf("failure %v", failure)
		}
	})
}

// A daemon is suspended after a home gave it leave. Its own clock has not moved when it
// wakes, and the leave is for a time that has passed.
func TestLeaveExpiresWhileTheHostIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := limitedTarget(t, 4)
		board := c.boards[host(3)]
		time.Sleep(1500 * time.Millisecond) // the bucket fills
		p := placeUntil(t, board, "t-1")
		if err := board.MaySend(p); err != nil || p.Decision.Limit != 1 {
			t.Fatalf("limit %g, %v", p.Decision.Limit, err)
		}
		c.suspended[host(3)] = 5 * time.Second
		if failure := verdict.From(board.MaySend(p)); failure == nil || failure.Reason != verdict.TargetLimited {
			t.Fatalf("failure %v", failure)
		}
	})
}

// No home can be asked. Guards against a daemon that sends to limited targets by itself.
func TestDaemonWithoutHomesSendsNothingToLimitedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := limitedTarget(t, 4)
		board := c.boards[host(3)]
		c.silent[host(0)], c.silent[host(1)] = true, true
		wantNoneOn(t, board, "t-1")
		i := replicas.Incarnation{ID: "t-0"}
		board.recordStatement(i, relay.Statement{Limit: relay.Limit{Named: true}}, time.Now(), source{})
		_, err := board.Place(t.Context(), call(), &service)
		if failure := verdict.From(err); failure == nil || failure.Reason != verdict.TargetLimited || failure.Verdict != verdict.NotRun || failure.RetryAfter <= 0 {
			t.Fatalf("failure %v", failure)
		}
	})
}

// A home has restarted and has not heard of the limit. The question names it.
func TestHomeLearnsTheLimitFromTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := limitedTarget(t, 4)
		for _, h := range []names.Host{host(0), host(1)} {
			c.boards[h].mu.Lock()
			c.boards[h].limits = ratelimits.New()
			c.boards[h].mu.Unlock()
		}
		p, err := c.boards[host(3)].Place(t.Context(), call(), &service)
		if err != nil || p.Decision.Target != "t-0" {
			t.Fatalf("placed on %+v, %v", p, err)
		}
		if c.boards[host(0)].LimitedCount() != 1 {
			t.Fatal("the home does not know the limit")
		}
	})
}

// A daemon was told of a limit that has ended, as a home knows. Guards against a daemon that
// never uses the target again.
func TestHomeKnowsThatTheLimitWasLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := limitedTarget(t, 4)
		time.Sleep(1500 * time.Millisecond)
		other := c.boards[host(2)]
		again := placeUntil(t, other, "t-1")
		if err := other.MaySend(again); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		other.RecordNoLimit(again, "r")
		board := c.boards[host(3)]
		if board.LimitedCount() != 1 {
			t.Fatal("the daemon has heard of it by itself")
		}
		p := placeUntil(t, board, "t-1")
		if err := board.MaySend(p); err != nil || p.Decision.Limit != 0 {
			t.Fatalf("limit %g, %v", p.Decision.Limit, err)
		}
	})
}

// Memory is set aside at a target that names a limit. Renewals count, so that callers get
// less; releases and probes are not sent.
func TestOrdersAtLimitedTargetsAreCountedOrWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := limitedTarget(t, 4)
		orders := NewOrders(c.boards[host(3)], statingClient{})
		time.Sleep(1500 * time.Millisecond)
		if err := orders.Reserve(t.Context(), "", "t-1", "r", 5, time.Second); err != nil {
			t.Fatal(err)
		}
		if wait := c.boards[host(0)].limits.Wait(replicas.Incarnation{ID: "t-1"}, time.Now()); wait == 0 {
			t.Error("the home has not counted the renewal")
		}
		if err := orders.Release(t.Context(), "", "t-1", "r"); err == nil {
			t.Error("a release was sent")
		}
		if err := orders.Probe(t.Context(), "", "t-1"); err != nil {
			t.Errorf("the target counts as dead: %v", err)
		}
		if got := c.counts[countWithheld]; got != 2 {
			t.Errorf("%d orders were withheld, want 2", got)
		}
	})
}

// Helpers of a prompt get orders, which count.
func TestLimitedTargetIsNoHelper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := limitedTarget(t, 2)
		board := c.boards[host(1)]
		p := &relay.Placement{Incarnation: replicas.Incarnation{ID: "t-0"}, HelperIncarnations: []replicas.Incarnation{{ID: "t-1"}}}
		p.Decision.Target = "t-0"
		if failure := verdict.From(board.MaySend(p)); failure == nil || failure.Reason != verdict.TargetLimited {
			t.Fatalf("failure %v", failure)
		}
	})
}

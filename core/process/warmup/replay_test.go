package warmup

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
)

// The users' bound: 26 requests a second, 1.5 times and 5 more within any second.
const (
	coldRate    = 26.0
	overage     = 1.5
	slack       = 5.0
	allowed     = 44
	longestCold = time.Hour
)

// Times of the simulated fleet. askTimeout, retryInterval and batchDelay are those of the
// messages between daemons.
const (
	minDelay, maxDelay = time.Millisecond, 30 * time.Millisecond
	askTimeout         = 60 * time.Millisecond
	retryInterval      = 3 * time.Second
	batchDelay         = 15 * time.Millisecond
	sweepInterval      = 500 * time.Millisecond
	// unsettledTime is how long a daemon that has joined is asked as a home before it
	// follows changes of homes: from homes.minAge to targetstate.settleTime.
	unsettledTime = 3 * time.Second
)

type event struct {
	at time.Time
	do func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// daemon is one daemon of the fleet. The rendezvous order is that of the indices, from first.
type daemon struct {
	self  int
	host  names.Host
	table *Table
	duty  Duty
	// side is the part of a partitioned fleet that it is on; -1 if it is dead. sees is the
	// side of each daemon as it suspects, and counts as it has counted the dead; live is
	// the number of live daemons that it counts.
	side         int
	sees, counts []int
	live         int
	// homes holds the homes as it knows them; nil after a change of the members.
	homes *homes.Homes
	skip  map[names.Host]time.Time
	slow  bool
	// settledAt is when it follows changes of the homes; zero if it has started long ago.
	settledAt time.Time
}

// fleet sends requests to one cold target.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	queue   events
	daemons []*daemon
	byHost  map[names.Host]*daemon
	order   []int
	sent    []time.Time
}

var target = replicas.Incarnation{ID: "t", Started: 1}

// rates are what homes let through to the target.
var rates = RatesOf(coldRate, overage, slack)

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, uint64(n))), byHost: make(map[names.Host]*daemon, n)}
	f.order = f.random.Perm(n)
	whole := make([]int, n)
	for i := range n {
		d := &daemon{self: i, host: names.Host(fmt.Sprint(i)), table: New(), sees: whole, counts: whole, live: n, skip: make(map[names.Host]time.Time)}
		f.daemons = append(f.daemons, d)
		f.byHost[d.host] = d
		d.table.Observe(&replicas.Target{ID: target.ID, Started: target.Started, ColdLeft: longestCold}, &Warmup{}, true, f.now)
		f.after(time.Duration(f.random.Int64N(int64(sweepInterval))), func() { f.sweep(d) })
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.queue, event{f.now.Add(d), do}) }

func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

func (f *fleet) delay() time.Duration { return f.between(minDelay, maxDelay) }

// homesOf returns the homes as a daemon knows them, as homes.Select does: those that it
// suspects are asked after the others until it counts them as dead.
func (f *fleet) homesOf(d *daemon) homes.Homes {
	if d.homes != nil {
		return *d.homes
	}
	var fit, suspected, inOrder []names.Host
	for _, i := range f.order {
		if len(fit) == homes.Count && len(inOrder) >= homes.Count {
			break
		}
		sees, counts := d.sees[i] == d.sees[d.self], d.counts[i] == d.counts[d.self]
		switch {
		case sees:
			fit = append(fit, f.daemons[i].host)
		case counts:
			suspected = append(suspected, f.daemons[i].host)
		}
		if sees || counts {
			inOrder = append(inOrder, f.daemons[i].host)
		}
	}
	first := func(list []names.Host) []names.Host { return list[:min(len(list), homes.Count)] }
	h := homes.Homes{Deciders: first(slices.Concat(fit, suspected))}
	h.Listeners = slices.Clone(h.Deciders)
	for _, other := range first(inOrder) {
		if !slices.Contains(h.Listeners, other) {
			h.Listeners = append(h.Listeners, other)
		}
	}
	d.homes = &h
	return h
}

// observe returns what a daemon lets through.
func (f *fleet) observe(d *daemon) ratelimits.Flow {
	d.table.Left(target, &Warmup{}, time.Time{}, f.now)
	var known ratelimits.Fleet
	known.Share(len(f.daemons), f.now)
	d.duty.Observe(d.host, f.homesOf(d), known.Share(d.live, f.now), !f.now.Before(d.settledAt), f.now)
	return d.duty.Flow(d.host, rates, f.now)
}

func (f *fleet) sweep(d *daemon) {
	flow := f.observe(d)
	d.table.SetHome(target.ID, flow, slices.Contains(f.homesOf(d).Deciders, d.host), f.now)
	f.after(sweepInterval, func() { f.sweep(d) })
}

// divide puts the daemons on sides. They suspect the others within 1 to 3 s, and count them as
// dead, or as alive after the end of the partition, up to 3 s after the suspicion has ended.
func (f *fleet) divide(side func(i int) int) {
	sides, live := make([]int, len(f.daemons)), make(map[int]int)
	for i, d := range f.daemons {
		sides[i] = side(i)
		d.side = sides[i]
		live[d.side]++
	}
	suspicion := time.Duration(4 * max(1, math.Log10(float64(len(f.daemons)))) * float64(time.Second))
	for _, d := range f.daemons {
		suspected := f.between(time.Second, 3*time.Second)
		f.after(suspected, func() { d.sees, d.homes = sides, nil })
		counted := suspected + suspicion - f.between(0, time.Second)
		if live[d.side] > d.live { // the others refute the suspicion as soon as they are heard
			counted = suspected
		}
		f.after(counted, func() { d.counts, d.live, d.homes = sides, live[d.side], nil })
	}
}

func (f *fleet) reaches(a, b *daemon) bool { return a.side == b.side && a.side >= 0 }

// request has a daemon ask the homes that it knows, and send the request with their leave.
func (f *fleet) request(d *daemon) {
	if d.side < 0 {
		return
	}
	asked := f.now
	var ask func(list []names.Host)
	ask = func(list []names.Host) {
		if len(list) == 0 {
			return // a daemon that reaches no home sends nothing
		}
		home := f.byHost[list[0]]
		switch {
		case f.now.Before(d.skip[home.host]):
			ask(list[1:])
		case !f.reaches(d, home):
			f.after(askTimeout, func() { d.skip[home.host] = f.now.Add(retryInterval); ask(list[1:]) })
		default:
			f.after(f.delay(), func() { f.decide(home, d, asked) })
		}
	}
	ask(f.homesOf(d).Deciders)
}

func (f *fleet) decide(home, d *daemon, asked time.Time) {
	flow := f.observe(home)
	if home.table.Wait(target.ID, flow, f.now) > 0 {
		return
	}
	home.table.Take(target.ID, flow, f.now)
	f.after(f.delay(), func() {
		if !f.reaches(d, home) {
			return
		}
		for _, listener := range f.homesOf(d).Listeners {
			if other := f.byHost[listener]; other != home && f.reaches(d, other) {
				f.after(batchDelay+f.delay(), func() { other.table.Take(target.ID, f.observe(other), f.now) })
			}
		}
		connect := 2 * f.delay()
		if d.slow { // its process runs again after a pause
			connect = time.Second - time.Duration(f.now.Nanosecond())
		}
		f.after(connect, func() {
			if f.now.Sub(asked) <= ratelimits.LeaveTime {
				f.sent = append(f.sent, f.now)
			}
		})
	})
}

// run has callers press on the target. It returns the most requests that were sent within a
// second, and the share of the target's rate that was used.
func (f *fleet) run(d time.Duration) (most int, used float64) {
	end := f.now.Add(d)
	var arrive func()
	arrive = func() {
		f.request(f.daemons[f.random.IntN(len(f.daemons))])
		f.after(time.Duration(f.random.ExpFloat64()/(4*coldRate)*float64(time.Second)), arrive)
	}
	f.after(0, arrive)
	for f.queue[0].at.Before(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.do()
	}
	first := 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(f.sent)) / (coldRate * d.Seconds())
}

// Callers of up to 830 daemons press on a cold target while homes are replaced or cut off from
// each other. Guards against more requests than a cold target bears, and against a rate that
// is left unused while nothing fails. Small fleets are played with several seeds.
func TestColdTargetGetsNoMoreThanItsBound(t *testing.T) {
	part := func(f *fleet, parts ...float64) func(int) int {
		return func(i int) int {
			for side, part := range parts {
				if float64(i) < part*float64(len(f.daemons)) {
					return side
				}
			}
			return len(parts)
		}
	}
	whole := func(int) int { return 0 }
	for _, scenario := range []struct {
		name  string
		least float64
		play  func(f *fleet)
	}{
		{"calm", 0.8, func(*fleet) {}},
		{"paused daemons", 0.5, func(f *fleet) {
			for i, d := range f.daemons {
				d.slow = i%2 == 0
			}
		}},
		{"first home is replaced by one that joins", 0.7, func(f *fleet) {
			for i := range 6 {
				f.after(time.Duration(5+5*i)*time.Second, func() {
					last := len(f.order) - 1
					joined := f.daemons[f.order[last]]
					joined.duty, joined.settledAt = Duty{}, f.now.Add(unsettledTime)
					f.order = append([]int{f.order[last]}, f.order[:last]...)
					for _, d := range f.daemons {
						d.homes = nil
					}
				})
			}
		}},
		{"homes die", 0.2, func(f *fleet) {
			for i := range 2 {
				f.after(time.Duration(10+15*i)*time.Second, func() {
					f.divide(func(d int) int { return -min(max(slices.Index(f.order[:i+1], d)+1, 0), 1) })
				})
			}
		}},
		{"first home is paused", 0.5, func(f *fleet) {
			home := f.daemons[f.order[0]]
			for i := range 5 {
				f.after(time.Duration(10*i+5)*time.Second, func() { home.side = 1 })
				f.after(time.Duration(10*i+7)*time.Second, func() { home.side = 0 })
			}
		}},
		{"two parts", 0, func(f *fleet) {
			f.after(10*time.Second, func() { f.divide(part(f, 0.52)) })
			f.after(40*time.Second, func() { f.divide(whole) })
		}},
		{"halves", 0, func(f *fleet) {
			f.after(10*time.Second, func() { f.divide(part(f, 0.5)) })
			f.after(40*time.Second, func() { f.divide(whole) })
		}},
		{"three parts", 0, func(f *fleet) {
			f.after(10*time.Second, func() { f.divide(part(f, 0.34, 0.67)) })
			f.after(40*time.Second, func() { f.divide(whole) })
		}},
		{"each alone", 0, func(f *fleet) { f.after(10*time.Second, func() { f.divide(func(i int) int { return i }) }) }},
	} {
		for _, daemons := range []int{2, 8, 61, 295, 830} {
			t.Run(fmt.Sprint(scenario.name, "/", daemons), func(t *testing.T) {
				for seed := range uint64(max(24/daemons, 1)) {
					f := newFleet(daemons, seed)
					scenario.play(f)
					most, used := f.run(time.Minute)
					t.Logf("seed %d: at most %d of %d requests in a second, %.2f of the rate used", seed, most, allowed, used)
					if most > allowed || used < scenario.least {
						t.Errorf("seed %d: %d requests in a second, want at most %d; %.2f of the rate used, want %.2f", seed, most, allowed, used, scenario.least)
					}
				}
			})
		}
	}
}

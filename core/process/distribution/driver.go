package distribution

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
)

// driver runs many machines in virtual time, in the place of their shells. It
// models nothing but delays, the service's root and its count of calls.
type driver struct {
	config  MeasureConfig
	random  *rand.Rand
	start   time.Time
	now     time.Time
	queue   timers
	serial  uint64
	daemons []*daemon
	byHost  map[names.Host]*daemon
	// published is the service's newest version, stale what it answers if
	// stale is set.
	published Held
	stale     Held
	engines   names.Version
	// cut reports whether two hosts cannot talk; liar, whether a peer gives
	// bytes that do not have their digests.
	cut func(a, b int) bool
	// sees reports whether a daemon reads from a stale replica.
	sees     func(a int) bool
	liar     func(a int) bool
	build    func(self Member, random *rand.Rand) stepper
	onAction func(d *daemon, a Action)
	calls    map[int64]int
	total    int
}

// stepper is a Machine or a version of it to compare with.
type stepper interface {
	Step(now time.Time, event Event) []Action
	InForce() Held
	Watching() bool
}

// daemon is one machine with what its shell would keep.
type daemon struct {
	index     int
	machine   stepper
	member    Member
	installed time.Time
	history   []names.Version
	// read is the number of pages read at the service for a version.
	read      map[Held]int
	bytesIn   int
	bytesOut  int
	messages  int
	boot      int
	watchedAt uint64
}

// timer is an event due at a time.
type timer struct {
	at     time.Time
	serial uint64
	run    func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].serial < t[j].serial
	}
	return t[i].at.Before(t[j].at)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

func newDriver(config MeasureConfig) *driver {
	start := time.Unix(0, 0)
	d := &driver{
		config: config, start: start, now: start,
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		cut:    func(int, int) bool { return false },
		sees:   func(int) bool { return true },
		liar:   func(int) bool { return false },
		calls:  map[int64]int{},
		byHost: map[names.Host]*daemon{},
	}
	d.build = func(self Member, random *rand.Rand) stepper {
		return New(DefaultConfig(self), random, d.now)
	}
	for i := range config.Members {
		member := Member{
			Host:       names.Host(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)),
			DataCentre: names.DataCentre(fmt.Sprintf("dc-%d", i%config.DataCentres)),
		}
		x := &daemon{index: i, member: member}
		d.daemons = append(d.daemons, x)
		d.byHost[member.Host] = x
	}
	return d
}

// held returns the model's version of a number.
func held(v names.Version) Held {
	return Held{Version: v, Digest: names.Digest(fmt.Sprintf("digest-%d", v))}
}

// boot starts a daemon with an empty memory.
func (d *driver) boot(x *daemon) {
	x.boot++
	seed := rand.NewPCG(d.config.Seed, uint64(x.index)<<16|uint64(x.boot)) //nolint:gosec // small numbers
	x.machine = d.build(x.member, rand.New(seed))
	x.history = nil
	x.read = map[Held]int{}
	x.watchedAt = 0
	d.step(x, d.membersOf(x))
	d.tick(x, x.boot)
}

func (d *driver) membersOf(x *daemon) Members {
	m := Members{Listed: len(d.daemons)}
	for _, other := range d.daemons {
		down := other.machine == nil && other.boot > 0
		if other != x && !down && !d.cut(x.index, other.index) {
			m.Live = append(m.Live, other.withVersion())
		}
	}
	return m
}

// withVersion returns the member as others know it.
func (x *daemon) withVersion() Member {
	member := x.member
	if x.machine != nil {
		member.Version = x.machine.InForce().Version
	}
	return member
}

func (d *driver) tick(x *daemon, boot int) {
	d.after(d.config.Tick, func() {
		if x.boot == boot {
			d.step(x, Tick{})
			d.tick(x, boot)
		}
	})
}

func (d *driver) after(wait time.Duration, run func()) {
	d.serial++
	heap.Push(&d.queue, timer{at: d.now.Add(wait), serial: d.serial, run: run})
}

func (d *driver) runFor(span time.Duration) {
	end := d.now.Add(span)
	for len(d.queue) > 0 && !d.queue[0].at.After(end) {
		next := heap.Pop(&d.queue).(timer)
		d.now = next.at
		next.run()
	}
	d.now = end
}

func (d *driver) step(x *daemon, e Event) {
	for _, a := range x.machine.Step(d.now, e) {
		if d.onAction != nil {
			d.onAction(x, a)
		}
		d.perform(x, a)
	}
}

// reply steps a daemon later, unless it has restarted by then.
func (d *driver) reply(x *daemon, wait time.Duration, e Event) {
	boot := x.boot
	d.after(wait, func() {
		if x.boot == boot {
			d.step(x, e)
		}
	})
}

func (d *driver) perform(x *daemon, a Action) {
	switch a := a.(type) {
	case Ask:
		d.ask(x, a)
	case Read:
		d.call(1)
		d.answerRoot(x, false)
	case Watch:
		d.call(1)
		x.watchedAt = a.After
		d.answerWatch(x)
	case FetchPeer:
		d.fetchPeer(x, a)
	case FetchService:
		d.fetchService(x, a)
	case AskTargets:
		d.reply(x, 2*d.config.Latency, Fence{Version: d.engines})
		d.reply(x, 2*d.config.Latency, TargetsAnswered{Held: a.Held, Asked: 32, Answered: 32})
	case Install:
		x.installed = d.now
		x.history = append(x.history, a.Held.Version)
		d.announce(x, a.Held, d.config.Rounds)
	case Unwatch:
	}
}

// reach returns the peer if it runs and no partition lies between.
func (d *driver) reach(x *daemon, host names.Host) *daemon {
	peer := d.byHost[host]
	if peer.machine == nil || d.cut(x.index, peer.index) {
		return nil
	}
	return peer
}

func (d *driver) ask(x *daemon, a Ask) {
	peer := d.reach(x, a.Host)
	x.messages++
	x.bytesOut += d.config.AskBytes
	if peer == nil {
		return
	}
	peer.bytesIn += d.config.AskBytes
	peer.bytesOut += d.config.AskBytes
	x.bytesIn += d.config.AskBytes
	d.reply(x, 2*d.config.Latency, Told{From: a.Host, Held: peer.machine.InForce()})
}

// announce tells random peers of a version, in rounds a period apart, as long
// as it is in force.
func (d *driver) announce(x *daemon, h Held, rounds int) {
	if rounds == 0 || x.machine.InForce() != h {
		return
	}
	for range d.config.Fanout {
		peer := d.reach(x, d.daemons[d.random.IntN(len(d.daemons))].member.Host)
		if peer != nil && peer != x {
			d.reply(peer, d.config.Latency, Told{From: x.member.Host, Held: h})
		}
	}
	boot := x.boot
	d.after(d.config.Period, func() {
		if x.boot == boot {
			d.announce(x, h, rounds-1)
		}
	})
}

func (d *driver) call(n int) {
	d.calls[int64(d.now.Sub(d.start)/time.Second)] += n
	d.total += n
}

func (d *driver) serviceHas(x *daemon) Held {
	if d.stale.Version != 0 && d.sees(x.index) {
		return d.stale
	}
	return d.published
}

func (d *driver) answerRoot(x *daemon, watched bool) {
	h := d.serviceHas(x)
	x.messages++
	x.bytesIn += d.config.RootBytes
	missing := d.missing(x, h)
	d.reply(x, 2*d.config.Latency, RootRead{Revision: uint64(h.Version), Held: h, Missing: missing, Watched: watched})
}

// answerWatch answers a watch once the service has a newer root.
func (d *driver) answerWatch(x *daemon) {
	if uint64(d.serviceHas(x).Version) > x.watchedAt {
		d.answerRoot(x, true)
		return
	}
	boot := x.boot
	d.after(d.config.WatchGrain, func() {
		if x.boot == boot && x.machine.Watching() {
			d.answerWatch(x)
		}
	})
}

// missing is the number of pages to be read at the service: none if deltas of
// the root's value lead there, all of them without any version.
func (d *driver) missing(x *daemon, h Held) int {
	have := x.machine.InForce().Version
	switch {
	case have == 0:
		return max(d.config.Pages-x.read[h], 0)
	case h.Version <= have+1:
		return 0
	default:
		return max(min(int(h.Version-have), d.config.Pages)-x.read[h], 0) //nolint:gosec // small numbers
	}
}

func (d *driver) fetchService(x *daemon, a FetchService) {
	d.call(a.Calls)
	x.messages += a.Calls
	x.read[a.Held] += a.Calls
	x.bytesIn += a.Calls * d.config.WholeBytes / d.config.Pages
	if left := d.missing(x, a.Held); left > 0 {
		d.reply(x, 2*d.config.Latency, FetchFailed{Held: a.Held, Failure: NotYet, Missing: left})
		return
	}
	d.reply(x, 2*d.config.Latency, Fetched{Held: a.Held})
}

func (d *driver) fetchPeer(x *daemon, a FetchPeer) {
	peer := d.reach(x, a.Host)
	x.messages++
	if peer == nil {
		d.reply(x, time.Second, FetchFailed{Held: a.Held, Failure: Unreachable})
		return
	}
	if d.liar(peer.index) {
		d.reply(x, 2*d.config.Latency, FetchFailed{Held: a.Held, Failure: Lied})
		return
	}
	if peer.machine.InForce() != a.Held {
		d.reply(x, 2*d.config.Latency, FetchFailed{Held: a.Held, Failure: NotYet})
		return
	}
	bytes := d.config.WholeBytes
	if have := x.machine.InForce().Version; have > 0 {
		bytes = min(bytes, int(a.Held.Version-have)*d.config.ChangeBytes) //nolint:gosec // small numbers
	}
	x.bytesIn += bytes
	peer.bytesOut += bytes
	d.reply(x, 2*d.config.Latency, Fetched{Held: a.Held})
}

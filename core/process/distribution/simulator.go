package distribution

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
)

// simulator runs the machines of a fleet in virtual time and carries out their
// actions. It only models delays, the service's root and the number of calls.
type simulator struct {
	config       MeasureConfig
	random       *rand.Rand
	start        time.Time
	now          time.Time
	queue        timers
	serial       uint64
	daemons      []*daemon
	daemonByHost map[names.Host]*daemon
	// published is the service's newest version. If stale is set, replicas of
	// the service that are behind return stale instead.
	published VersionID
	stale     VersionID
	// engineFence is the fencing token that all engines report.
	engineFence names.Version
	// partitioned reports whether two hosts cannot reach each other.
	partitioned func(a, b int) bool
	// readsStale reports whether a daemon reads from a stale replica.
	readsStale func(a int) bool
	// servesBadData reports whether a peer sends bytes that do not match their
	// digests.
	servesBadData func(a int) bool
	newMachine    func(self Member, random *rand.Rand) versionMachine
	onAction      func(d *daemon, a Action)
	// callsPerSecond counts the calls to the service by second since start.
	callsPerSecond map[int64]int
	totalCalls     int
}

// versionMachine is a Machine or a simpler one to compare it with.
type versionMachine interface {
	Step(now time.Time, event Event) []Action
	InForce() VersionID
	Watching() bool
}

// daemon is a simulated daemon: its machine, its measurements and the state kept
// outside the machine.
type daemon struct {
	index     int
	machine   versionMachine
	member    Member
	installed time.Time
	// installs are the versions put in force since the last start.
	installs []names.Version
	// pagesRead is the number of pages read at the service, by version.
	pagesRead map[VersionID]int
	bytesIn   int
	bytesOut  int
	messages  int
	// generation changes at each stop and start of the daemon. Timers and
	// replies of an earlier generation are dropped.
	generation int
	watchAfter uint64
}

// timer is a function to run at a time. Timers of equal times run in the order
// of their serial numbers.
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

func newSimulator(config MeasureConfig) *simulator {
	start := time.Unix(0, 0)
	s := &simulator{
		config: config, start: start, now: start,
		random:         rand.New(rand.NewPCG(config.Seed, 1)),
		partitioned:    func(int, int) bool { return false },
		readsStale:     func(int) bool { return true },
		servesBadData:  func(int) bool { return false },
		callsPerSecond: map[int64]int{},
		daemonByHost:   map[names.Host]*daemon{},
	}
	s.newMachine = func(self Member, random *rand.Rand) versionMachine {
		return New(DefaultConfig(self), random, s.now)
	}
	for i := range config.Members {
		member := Member{
			Host:       names.Host(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)),
			DataCentre: names.DataCentre(fmt.Sprintf("dc-%d", i%config.DataCentres)),
		}
		d := &daemon{index: i, member: member}
		s.daemons = append(s.daemons, d)
		s.daemonByHost[member.Host] = d
	}
	return s
}

// simulatedVersion returns the version with a number, and a digest made from it.
func simulatedVersion(v names.Version) VersionID {
	return VersionID{Version: v, Digest: names.Digest(fmt.Sprintf("digest-%d", v))}
}

// startDaemon starts or restarts a daemon without any stored state.
func (s *simulator) startDaemon(d *daemon) {
	d.generation++
	seed := rand.NewPCG(s.config.Seed, uint64(d.index)<<16|uint64(d.generation)) //nolint:gosec // small numbers
	d.machine = s.newMachine(d.member, rand.New(seed))
	d.installs = nil
	d.pagesRead = map[VersionID]int{}
	d.watchAfter = 0
	s.step(d, s.membersOf(d))
	s.tick(d, d.generation)
}

// membersOf returns the live members as a daemon sees them: those that run and
// are not partitioned from it.
func (s *simulator) membersOf(d *daemon) Members {
	m := Members{Listed: len(s.daemons)}
	for _, other := range s.daemons {
		down := other.machine == nil && other.generation > 0
		if other != d && !down && !s.partitioned(d.index, other.index) {
			m.Live = append(m.Live, other.withVersion())
		}
	}
	return m
}

// withVersion returns the member with its version in force.
func (d *daemon) withVersion() Member {
	member := d.member
	if d.machine != nil {
		member.Version = d.machine.InForce().Version
	}
	return member
}

// tick sends Tick events to a daemon until it is restarted.
func (s *simulator) tick(d *daemon, generation int) {
	s.schedule(s.config.Tick, func() {
		if d.generation == generation {
			s.step(d, Tick{})
			s.tick(d, generation)
		}
	})
}

// schedule runs a function after a delay.
func (s *simulator) schedule(wait time.Duration, run func()) {
	s.serial++
	heap.Push(&s.queue, timer{at: s.now.Add(wait), serial: s.serial, run: run})
}

// runFor advances the virtual time and runs the timers that are due.
func (s *simulator) runFor(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(timer)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// step hands an event to a daemon's machine and carries out its actions.
func (s *simulator) step(d *daemon, e Event) {
	for _, a := range d.machine.Step(s.now, e) {
		if s.onAction != nil {
			s.onAction(d, a)
		}
		s.perform(d, a)
	}
}

// reply hands an event to a daemon after a delay, unless it has restarted by
// then.
func (s *simulator) reply(d *daemon, wait time.Duration, e Event) {
	generation := d.generation
	s.schedule(wait, func() {
		if d.generation == generation {
			s.step(d, e)
		}
	})
}

func (s *simulator) perform(d *daemon, a Action) {
	switch a := a.(type) {
	case QueryPeer:
		s.queryPeer(d, a)
	case ReadRoot:
		s.countCalls(1)
		s.answerRoot(d, false)
	case WatchRoot:
		s.countCalls(1)
		d.watchAfter = a.After
		s.answerWatch(d)
	case FetchPeer:
		s.fetchPeer(d, a)
	case FetchService:
		s.fetchService(d, a)
	case QueryTargets:
		s.reply(d, 2*s.config.Latency, Fence{Version: s.engineFence})
		s.reply(d, 2*s.config.Latency, TargetsAnswered{VersionID: a.VersionID, Asked: 32, Answered: 32})
	case Install:
		d.installed = s.now
		d.installs = append(d.installs, a.VersionID.Version)
		s.announce(d, a.VersionID, s.config.Rounds)
	case CancelWatch:
	}
}

// reachable returns the peer, or nil if it is down or partitioned from the daemon.
func (s *simulator) reachable(d *daemon, host names.Host) *daemon {
	peer := s.daemonByHost[host]
	if peer.machine == nil || s.partitioned(d.index, peer.index) {
		return nil
	}
	return peer
}

func (s *simulator) queryPeer(d *daemon, a QueryPeer) {
	peer := s.reachable(d, a.Host)
	d.messages++
	d.bytesOut += s.config.QueryBytes
	if peer == nil {
		return
	}
	peer.bytesIn += s.config.QueryBytes
	peer.bytesOut += s.config.QueryBytes
	d.bytesIn += s.config.QueryBytes
	s.reply(d, 2*s.config.Latency, PeerVersion{From: a.Host, VersionID: peer.machine.InForce()})
}

// announce reports a version to Fanout random peers in each round, while it is in
// force.
func (s *simulator) announce(d *daemon, h VersionID, rounds int) {
	if rounds == 0 || d.machine.InForce() != h {
		return
	}
	for range s.config.Fanout {
		peer := s.reachable(d, s.daemons[s.random.IntN(len(s.daemons))].member.Host)
		if peer != nil && peer != d {
			s.reply(peer, s.config.Latency, PeerVersion{From: d.member.Host, VersionID: h})
		}
	}
	generation := d.generation
	s.schedule(s.config.RoundInterval, func() {
		if d.generation == generation {
			s.announce(d, h, rounds-1)
		}
	})
}

func (s *simulator) countCalls(n int) {
	s.callsPerSecond[int64(s.now.Sub(s.start)/time.Second)] += n
	s.totalCalls += n
}

// serviceVersion returns the version that a daemon reads at the service.
func (s *simulator) serviceVersion(d *daemon) VersionID {
	if s.stale.Version != 0 && s.readsStale(d.index) {
		return s.stale
	}
	return s.published
}

func (s *simulator) answerRoot(d *daemon, watched bool) {
	h := s.serviceVersion(d)
	d.messages++
	d.bytesIn += s.config.RootBytes
	missing := s.missing(d, h)
	s.reply(d, 2*s.config.Latency, RootRead{Revision: uint64(h.Version), VersionID: h, Missing: missing, FromWatch: watched})
}

// answerWatch answers a watch once the service has a newer root, which it checks
// each WatchCheckInterval.
func (s *simulator) answerWatch(d *daemon) {
	if uint64(s.serviceVersion(d).Version) > d.watchAfter {
		s.answerRoot(d, true)
		return
	}
	generation := d.generation
	s.schedule(s.config.WatchCheckInterval, func() {
		if d.generation == generation && d.machine.Watching() {
			s.answerWatch(d)
		}
	})
}

// missing returns the number of pages that a daemon has to read at the service:
// none if the deltas in the root's value suffice, and all of them if it has no
// version.
func (s *simulator) missing(d *daemon, h VersionID) int {
	current := d.machine.InForce().Version
	switch {
	case current == 0:
		return max(s.config.Pages-d.pagesRead[h], 0)
	case h.Version <= current+1:
		return 0
	default:
		return max(min(int(h.Version-current), s.config.Pages)-d.pagesRead[h], 0) //nolint:gosec // small numbers
	}
}

func (s *simulator) fetchService(d *daemon, a FetchService) {
	s.countCalls(a.Calls)
	d.messages += a.Calls
	d.pagesRead[a.VersionID] += a.Calls
	d.bytesIn += a.Calls * s.config.AllPagesBytes / s.config.Pages
	if missing := s.missing(d, a.VersionID); missing > 0 {
		s.reply(d, 2*s.config.Latency, FetchFailed{VersionID: a.VersionID, Failure: NotYet, Missing: missing})
		return
	}
	s.reply(d, 2*s.config.Latency, Fetched{VersionID: a.VersionID})
}

func (s *simulator) fetchPeer(d *daemon, a FetchPeer) {
	peer := s.reachable(d, a.Host)
	d.messages++
	if peer == nil {
		s.reply(d, time.Second, FetchFailed{VersionID: a.VersionID, Failure: Unreachable})
		return
	}
	if s.servesBadData(peer.index) {
		s.reply(d, 2*s.config.Latency, FetchFailed{VersionID: a.VersionID, Failure: BadSource})
		return
	}
	if peer.machine.InForce() != a.VersionID {
		s.reply(d, 2*s.config.Latency, FetchFailed{VersionID: a.VersionID, Failure: NotYet})
		return
	}
	bytes := s.config.AllPagesBytes
	if current := d.machine.InForce().Version; current > 0 {
		bytes = min(bytes, int(a.VersionID.Version-current)*s.config.ChangeBytes) //nolint:gosec // small numbers
	}
	d.bytesIn += bytes
	peer.bytesOut += bytes
	s.reply(d, 2*s.config.Latency, Fetched{VersionID: a.VersionID})
}

package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Machine is the state of one daemon.
type Machine struct {
	config   Config
	random   *rand.Rand
	started  time.Time
	live     []Member
	listed   int
	inForce  Held
	fence    names.Version
	service  service
	boot     boot
	claims   claims
	fetch    *fetch
	ready    Held
	nextAsk  time.Time
	counters Counters
	actions  []Action
}

// fetch is the fetch that is under way.
type fetch struct {
	held  Held
	from  names.Host
	since time.Time
}

// New returns a machine that starts at now with nothing in force.
func New(config Config, random *rand.Rand, now time.Time) *Machine {
	m := &Machine{config: config, random: random, started: now}
	m.boot.answers = map[names.Host]Held{}
	m.claims.refused = map[Held]bool{}
	m.startService(now)
	return m
}

// Step handles an event and returns what to do, in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	switch e := event.(type) {
	case Tick:
	case Members:
		m.live, m.listed = e.Live, e.Listed
		m.electWatcher(now)
	case Told:
		m.told(now, e)
	case RootRead:
		m.rootRead(now, e)
	case ReadFailed:
		m.readFailed(now, e)
	case Fetched:
		m.fetched(e)
	case FetchFailed:
		m.fetchFailed(now, e)
	case Fence:
		m.fenceSeen(e)
	case TargetsAnswered:
		m.boot.targetsAnswered(e)
	}
	m.proceed(now)
	return m.actions
}

// InForce returns what is in force.
func (m *Machine) InForce() Held { return m.inForce }

// Fence returns the highest fencing number seen. If it is above the version in
// force, a newer version exists than this daemon has.
func (m *Machine) Fence() names.Version { return m.fence }

// Watching reports whether this daemon watches the service.
func (m *Machine) Watching() bool { return m.service.watcher }

// Counters returns the counters.
func (m *Machine) Counters() Counters { return m.counters }

// proceed does whatever is due after an event.
func (m *Machine) proceed(now time.Time) {
	m.tickService(now)
	m.askPeers(now)
	m.install(now)
	m.startFetch(now)
	m.install(now)
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

// told handles a peer's word on what it has in force.
func (m *Machine) told(now time.Time, e Told) {
	m.boot.heard(e)
	if e.Held.Version != 0 {
		m.claim(now, e.Held, e.From)
	}
}

// claim notes that a source has a version. The host is empty for the service.
func (m *Machine) claim(now time.Time, h Held, from names.Host) {
	if h.Version == m.inForce.Version && h.Digest != m.inForce.Digest {
		m.counters.Conflicts++
		return
	}
	if h.Version <= m.inForce.Version || m.claims.refused[h] {
		return
	}
	if m.inForce.Version == 0 && h.Version < m.fence {
		m.counters.BelowFence++
		return
	}
	m.claims.note(now, h, from)
}

// fenceSeen notes a target's fencing number.
func (m *Machine) fenceSeen(e Fence) {
	m.fence = max(m.fence, e.Version)
}

func (m *Machine) fetched(e Fetched) {
	m.endFetch(e.Held)
	if e.Held.Version > m.inForce.Version && e.Held.Version >= m.ready.Version {
		m.ready = e.Held
	}
}

func (m *Machine) endFetch(h Held) names.Host {
	if m.fetch == nil || m.fetch.held != h {
		return ""
	}
	from := m.fetch.from
	m.fetch = nil
	return from
}

func (m *Machine) fetchFailed(now time.Time, e FetchFailed) {
	if m.fetch == nil || m.fetch.held != e.Held {
		return
	}
	from := m.endFetch(e.Held)
	if e.Failure == Content {
		m.counters.BadContent++
		m.claims.refuse(e.Held)
		return
	}
	m.countFailure(from, e.Failure)
	if from == "" {
		m.serviceFetchEnded(now, e)
		return
	}
	wait := m.config.RetryAfter
	if e.Failure == NotYet {
		wait = m.config.NotYetAfter
	}
	m.claims.failed(now, e.Held, from, e.Failure, m.jitter(wait))
}

func (m *Machine) countFailure(from names.Host, f Failure) {
	switch {
	case f == NotYet || from == "":
	case f == Lied:
		m.counters.PeerLied++
	default:
		m.counters.PeerFailed++
	}
}

// startFetch begins to fetch the highest claim that somebody may give now,
// unless a fetch is under way or that claim was fetched.
func (m *Machine) startFetch(now time.Time) {
	m.timeOut(now)
	if m.fetch != nil {
		return
	}
	for _, c := range m.claims.above(m.inForce.Version, now, m.config.ClaimKept) {
		if c.held == m.ready || m.fetchFromPeer(now, c) || m.fetchFromService(now, c) {
			return
		}
	}
}

// timeOut gives up a fetch that takes too long.
func (m *Machine) timeOut(now time.Time) {
	if m.fetch == nil || now.Sub(m.fetch.since) < m.config.FetchTimeout {
		return
	}
	e := FetchFailed{Held: m.fetch.held, Failure: Unreachable}
	if c := m.claims.find(e.Held); c != nil {
		e.Missing = c.missing
	}
	m.fetchFailed(now, e)
}

func (m *Machine) fetchFromPeer(now time.Time, c *claim) bool {
	host, found := c.source(now)
	if !found {
		return false
	}
	m.fetch = &fetch{held: c.held, from: host, since: now}
	m.act(FetchPeer{Held: c.held, Host: host})
	return true
}

// install puts the fetched version in force if nothing speaks against it.
func (m *Machine) install(now time.Time) {
	if m.ready.Version == 0 {
		return
	}
	if m.inForce.Version == 0 && (m.betterClaim(now) || !m.mayBoot(now)) {
		return
	}
	m.inForce = m.ready
	m.ready = Held{}
	m.counters.Installed++
	m.claims.drop(m.inForce.Version)
	m.act(Install{Held: m.inForce})
}

// betterClaim reports whether a higher version than the fetched one is claimed.
func (m *Machine) betterClaim(now time.Time) bool {
	list := m.claims.above(m.ready.Version, now, m.config.ClaimKept)
	return len(list) > 0
}

// askPeers asks peers what they have in force: a few at a time while starting,
// and one at a time as long as a newer version seems to exist than is in force.
func (m *Machine) askPeers(now time.Time) {
	if now.Before(m.nextAsk) || len(m.live) == 0 {
		return
	}
	if m.inForce.Version == 0 {
		m.nextAsk = now.Add(m.config.AskEvery)
		for _, host := range m.unheard() {
			m.act(Ask{Host: host})
		}
		return
	}
	ahead := m.membersAhead()
	late := m.claims.waiting(now, m.config.AskBehind)
	if len(ahead) == 0 && m.fence <= m.inForce.Version && !late {
		return
	}
	if len(ahead) == 0 {
		ahead = m.live
	}
	m.nextAsk = now.Add(m.jitter(m.config.AskBehind))
	m.act(Ask{Host: ahead[m.random.IntN(len(ahead))].Host})
}

// membersAhead returns the members that are known to have had a newer version
// than is in force or being fetched.
func (m *Machine) membersAhead() []Member {
	known := m.inForce.Version
	if len(m.claims.list) > 0 {
		known = max(known, m.claims.list[0].held.Version)
	}
	var ahead []Member
	for _, peer := range m.live {
		if peer.Version > known {
			ahead = append(ahead, peer)
		}
	}
	return ahead
}

// unheard picks peers to ask, at random: those that have not answered yet
// first, and again those that had nothing in force.
func (m *Machine) unheard() []names.Host {
	var fresh, empty []names.Host
	for _, i := range m.random.Perm(len(m.live)) {
		host := m.live[i].Host
		held, answered := m.boot.answers[host]
		switch {
		case !answered:
			fresh = append(fresh, host)
		case held.Version == 0:
			empty = append(empty, host)
		}
	}
	hosts := slices.Concat(fresh, empty)
	return hosts[:min(len(hosts), m.config.AskPeers)]
}

// members returns the fleet's size as far as it is known.
func (m *Machine) members() int {
	return max(len(m.live)+1, m.listed, m.config.ExpectedDaemons)
}

// jitter returns a random time between half and one and a half of d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.random.Int64N(int64(d)+1))
}

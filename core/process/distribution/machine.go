package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Machine is the state machine of one daemon.
type Machine struct {
	config  Config
	random  *rand.Rand
	started time.Time
	live    []Member
	// listed is the number of hosts on the platform's list, or zero.
	listed  int
	inForce VersionID
	// fence is the highest fencing token that any target reported.
	fence   names.Version
	service serviceState
	boot    bootState
	claims  claims
	fetch   *fetch
	// pending is a fetched version that is not in force yet.
	pending       VersionID
	nextPeerQuery time.Time
	counters      Counters
	actions       []Action
}

// fetch is the fetch in progress. The host is empty for the service.
type fetch struct {
	id        VersionID
	from      names.Host
	startedAt time.Time
}

// New returns a machine that starts at now with no version in force.
func New(config Config, random *rand.Rand, now time.Time) *Machine {
	m := &Machine{config: config, random: random, started: now}
	m.boot.answers = map[names.Host]VersionID{}
	m.claims.rejected = map[VersionID]bool{}
	m.startService(now)
	return m
}

// Step handles an event and returns the actions to carry out, in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	switch e := event.(type) {
	case Tick:
	case Members:
		m.live, m.listed = e.Live, e.Listed
		m.electWatcher(now)
	case PeerVersion:
		m.handlePeerVersion(now, e)
	case RootRead:
		m.handleRootRead(now, e)
	case ReadFailed:
		m.handleReadFailed(now, e)
	case Fetched:
		m.handleFetched(e)
	case FetchFailed:
		m.handleFetchFailed(now, e)
	case Fence:
		m.handleFence(e)
	case TargetsAnswered:
		m.boot.recordTargetAnswers(e)
	}
	m.advance(now)
	return m.actions
}

// InForce returns the version in force, or zero if there is none.
func (m *Machine) InForce() VersionID { return m.inForce }

// Fence returns the highest fencing token seen. If it is above the version in
// force, a newer version exists than this daemon has.
func (m *Machine) Fence() names.Version { return m.fence }

// Watching reports whether this daemon is a watcher of the service.
func (m *Machine) Watching() bool { return m.service.watcher }

// Counters returns the counters.
func (m *Machine) Counters() Counters { return m.counters }

// advance emits the actions that are due after an event.
func (m *Machine) advance(now time.Time) {
	m.tickService(now)
	m.queryPeers(now)
	m.install(now)
	m.startFetch(now)
	m.install(now)
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// handlePeerVersion records which version a peer reported to have in force.
func (m *Machine) handlePeerVersion(now time.Time, e PeerVersion) {
	m.boot.recordPeerAnswer(e)
	if e.VersionID.Version != 0 {
		m.addClaim(now, e.VersionID, e.From)
	}
}

// addClaim records that a source claims to have a version, unless that version
// is refused. The host is empty for the service.
func (m *Machine) addClaim(now time.Time, id VersionID, from names.Host) {
	if id.Version == m.inForce.Version && id.Digest != m.inForce.Digest {
		m.counters.Conflicts++
		return
	}
	if id.Version <= m.inForce.Version || m.claims.rejected[id] {
		return
	}
	if m.inForce.Version == 0 && id.Version < m.fence {
		m.counters.BelowFence++
		return
	}
	m.claims.add(now, id, from)
}

// handleFence records a target's fencing token.
func (m *Machine) handleFence(e Fence) {
	m.fence = max(m.fence, e.Version)
}

func (m *Machine) handleFetched(e Fetched) {
	m.clearFetch(e.VersionID)
	if e.VersionID.Version > m.inForce.Version && e.VersionID.Version >= m.pending.Version {
		m.pending = e.VersionID
	}
}

// clearFetch ends the fetch of a version and returns its source. The host is
// empty for the service, or if that version is not being fetched.
func (m *Machine) clearFetch(id VersionID) names.Host {
	if m.fetch == nil || m.fetch.id != id {
		return ""
	}
	from := m.fetch.from
	m.fetch = nil
	return from
}

func (m *Machine) handleFetchFailed(now time.Time, e FetchFailed) {
	if m.fetch == nil || m.fetch.id != e.VersionID {
		return
	}
	from := m.clearFetch(e.VersionID)
	if e.Failure == BadContent {
		m.counters.BadContent++
		m.claims.reject(e.VersionID)
		return
	}
	m.countFailure(from, e.Failure)
	if from == "" {
		m.handleServiceFetchFailed(now, e)
		return
	}
	wait := m.config.RetryDelay
	if e.Failure == NotYet {
		wait = m.config.NotYetRetryDelay
	}
	m.claims.recordFailure(now, e.VersionID, from, e.Failure, m.jitter(wait))
}

func (m *Machine) countFailure(from names.Host, failure Failure) {
	switch {
	case failure == NotYet || from == "":
	case failure == BadSource:
		m.counters.PeerLied++
	default:
		m.counters.PeerFailed++
	}
}

// startFetch starts to fetch the highest claim that has an available source,
// unless a fetch is in progress or that claim is already fetched.
func (m *Machine) startFetch(now time.Time) {
	m.expireFetch(now)
	if m.fetch != nil {
		return
	}
	for _, c := range m.claims.above(m.inForce.Version, now, m.config.ClaimTTL) {
		if c.id == m.pending || m.fetchFromPeer(now, c) || m.fetchFromService(now, c) {
			return
		}
	}
}

// expireFetch fails a fetch that has run for FetchTimeout.
func (m *Machine) expireFetch(now time.Time) {
	if m.fetch == nil || now.Sub(m.fetch.startedAt) < m.config.FetchTimeout {
		return
	}
	e := FetchFailed{VersionID: m.fetch.id, Failure: Unreachable}
	if c := m.claims.find(e.VersionID); c != nil {
		e.Missing = c.missingAtService
	}
	m.handleFetchFailed(now, e)
}

func (m *Machine) fetchFromPeer(now time.Time, c *claim) bool {
	host, found := c.nextSource(now)
	if !found {
		return false
	}
	m.fetch = &fetch{id: c.id, from: host, startedAt: now}
	m.emit(FetchPeer{VersionID: c.id, Host: host})
	return true
}

// install puts the fetched version in force. The first version after the start
// must also be the highest one claimed and be allowed by the rules of bootState.
func (m *Machine) install(now time.Time) {
	if m.pending.Version == 0 {
		return
	}
	if m.inForce.Version == 0 && (m.hasHigherClaim(now) || !m.bootAllowed(now)) {
		return
	}
	m.inForce = m.pending
	m.pending = VersionID{}
	m.counters.Installed++
	m.claims.removeUpTo(m.inForce.Version)
	m.emit(Install{VersionID: m.inForce})
}

// hasHigherClaim reports whether a version above the fetched one is claimed.
func (m *Machine) hasHigherClaim(now time.Time) bool {
	higher := m.claims.above(m.pending.Version, now, m.config.ClaimTTL)
	return len(higher) > 0
}

// queryPeers asks peers which version they have in force: several at a time
// while none is in force here, and one at a time while a newer version than the
// one in force seems to exist.
func (m *Machine) queryPeers(now time.Time) {
	if now.Before(m.nextPeerQuery) || len(m.live) == 0 {
		return
	}
	if m.inForce.Version == 0 {
		m.nextPeerQuery = now.Add(m.config.BootQueryInterval)
		for _, host := range m.bootQueryPeers() {
			m.emit(QueryPeer{Host: host})
		}
		return
	}
	ahead := m.membersAhead()
	claimOverdue := m.claims.highestOlderThan(now, m.config.CatchUpQueryInterval)
	if len(ahead) == 0 && m.fence <= m.inForce.Version && !claimOverdue {
		return
	}
	if len(ahead) == 0 {
		ahead = m.live
	}
	m.nextPeerQuery = now.Add(m.jitter(m.config.CatchUpQueryInterval))
	m.emit(QueryPeer{Host: ahead[m.random.IntN(len(ahead))].Host})
}

// membersAhead returns the members that are known to have had a newer version
// than the one in force and all claimed ones.
func (m *Machine) membersAhead() []Member {
	highestKnown := m.inForce.Version
	if len(m.claims.list) > 0 {
		highestKnown = max(highestKnown, m.claims.list[0].id.Version)
	}
	var ahead []Member
	for _, peer := range m.live {
		if peer.Version > highestKnown {
			ahead = append(ahead, peer)
		}
	}
	return ahead
}

// bootQueryPeers picks up to BootQueryFanout peers at random: first those that
// have not answered yet, then those that answered with no version in force.
func (m *Machine) bootQueryPeers() []names.Host {
	var unanswered, withoutVersion []names.Host
	for _, i := range m.random.Perm(len(m.live)) {
		host := m.live[i].Host
		held, answered := m.boot.answers[host]
		switch {
		case !answered:
			unanswered = append(unanswered, host)
		case held.Version == 0:
			withoutVersion = append(withoutVersion, host)
		}
	}
	hosts := slices.Concat(unanswered, withoutVersion)
	return hosts[:min(len(hosts), m.config.BootQueryFanout)]
}

// fleetSize returns the highest of the known numbers of daemons: live members,
// listed hosts and expected daemons.
func (m *Machine) fleetSize() int {
	return max(len(m.live)+1, m.listed, m.config.ExpectedDaemons)
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.random.Int64N(int64(d)+1))
}

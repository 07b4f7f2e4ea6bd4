package distribution

import (
	"time"

	"carobspoke.example/core/names"
)

// Limits of calls to the configuration service.
const (
	// watcherShare is the watchers' share of FleetCallRate. The rest is shared
	// by all daemons.
	watcherShare = 0.75
	// minBurstCalls is the least capacity of a token bucket, in calls.
	minBurstCalls = 4
	// maxBackoff bounds the mean delay after failures of the service.
	maxBackoff = 10 * time.Second
)

// serviceState is the state of this daemon's calls to the configuration service.
type serviceState struct {
	// membersSettled is true once MembersSettleTime has passed since the start.
	membersSettled bool
	// watcher is true if this daemon should watch the root, and watching and
	// reading if a watch or a read is pending.
	watcher  bool
	watching bool
	reading  bool
	revision uint64
	// tokens are the calls in the token bucket, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// nextRead is when the root is next read. After failures no call is made
	// before backoffUntil; failures counts them since the last success.
	nextRead     time.Time
	backoffUntil time.Time
	failures     int
}

// startService schedules the first read at a random time within the period in
// which the whole fleet may make one call for each daemon.
func (m *Machine) startService(now time.Time) {
	m.service.tokens = 1
	m.service.refilledAt = now
	spread := time.Duration(float64(m.fleetSize()) / m.config.FleetCallRate * float64(time.Second))
	m.service.nextRead = now.Add(time.Duration(m.random.Int64N(int64(spread) + 1)))
	m.electWatcher(now)
}

// electWatcher determines whether this daemon is a watcher, that is, among the
// first WatchersPerDataCentre of its data centre in the rendezvous order. It
// cancels a pending watch if not.
func (m *Machine) electWatcher(now time.Time) {
	hosts := []names.Host{m.config.Self.Host}
	for _, peer := range m.live {
		if peer.DataCentre == m.config.Self.DataCentre {
			hosts = append(hosts, peer.Host)
		}
	}
	m.service.watcher = false
	for _, host := range firstHosts(m.config.WatchersPerDataCentre, watcherKey, hosts) {
		m.service.watcher = m.service.watcher || host == m.config.Self.Host
	}
	if m.fleetSize() > SmallFleetMaxDaemons && now.Sub(m.started) < m.config.MembersSettleTime {
		m.service.watcher = false
	}
	if m.service.watching && !m.service.watcher {
		m.service.watching = false
		m.emit(CancelWatch{})
	}
}

// tickService starts reads and watches that are due, as far as backoff and the
// token bucket allow.
func (m *Machine) tickService(now time.Time) {
	m.refillCalls(now)
	if !m.service.membersSettled && now.Sub(m.started) >= m.config.MembersSettleTime {
		m.service.membersSettled = true
		m.electWatcher(now)
	}
	if now.Before(m.service.backoffUntil) {
		return
	}
	m.readRoot(now)
	if m.service.watcher && !m.service.watching && m.takeCalls(1) == 1 {
		m.service.watching = true
		m.emit(WatchRoot{After: m.service.revision})
	}
}

// readRoot reads the root when it is due, also while a watch is pending: the
// watch may be connected to a stale replica of the service.
func (m *Machine) readRoot(now time.Time) {
	if m.service.reading || now.Before(m.service.nextRead) || m.takeCalls(1) == 0 {
		return
	}
	m.service.reading = true
	m.emit(ReadRoot{})
}

func (m *Machine) handleRootRead(now time.Time, e RootRead) {
	m.service.failures = 0
	m.finishRead(now, e.FromWatch)
	m.service.revision = e.Revision
	if e.VersionID.Version < m.inForce.Version {
		m.counters.Reverts++
	}
	m.addClaim(now, e.VersionID, "")
	if c := m.claims.find(e.VersionID); c != nil {
		c.atService, c.missingAtService = true, e.Missing
	}
}

func (m *Machine) handleReadFailed(now time.Time, e ReadFailed) {
	m.finishRead(now, e.FromWatch)
	switch {
	case e.NoChange:
		m.service.failures = 0
		return
	case e.BadContent:
		m.counters.BadContent++
	case e.BadRoot:
		m.counters.BadRoot++
	default:
		m.counters.ServiceFailed++
	}
	m.backOff(now)
}

// finishRead ends a watch, or ends a read and schedules the next one.
func (m *Machine) finishRead(now time.Time, watched bool) {
	if watched {
		m.service.watching = false
		return
	}
	m.service.reading = false
	interval := m.config.RootPollInterval
	if m.inForce.Version == 0 {
		interval = m.config.ServiceFallbackDelay
	}
	m.service.nextRead = now.Add(m.jitter(interval))
}

// backOff delays all calls to the service, exponentially with each failure.
func (m *Machine) backOff(now time.Time) {
	wait := m.config.RetryDelay << min(m.service.failures, 8)
	m.service.failures++
	m.service.backoffUntil = now.Add(m.jitter(min(wait, maxBackoff)))
}

// fetchFromService starts to fetch a claim's pages from the service if the root
// there is that version: at once on a watcher, on others if their peers have
// not provided it within ServiceFallbackDelay. If the service is not known to
// have the version, the root is read again earlier. It reports whether a fetch
// was started.
func (m *Machine) fetchFromService(now time.Time, c *claim) bool {
	waitForPeers := !m.service.watcher || !c.atService
	if waitForPeers && now.Sub(c.firstSeen) < m.config.ServiceFallbackDelay || now.Before(m.service.backoffUntil) {
		return false
	}
	if !c.atService {
		m.bringReadForward(now)
		return false
	}
	calls := m.takeCalls(c.missingAtService)
	if calls == 0 && c.missingAtService > 0 {
		return false
	}
	m.fetch = &fetch{id: c.id, startedAt: now}
	m.emit(FetchService{VersionID: c.id, Calls: calls})
	return true
}

// bringReadForward schedules the next read of the root earlier.
func (m *Machine) bringReadForward(now time.Time) {
	earlier := now.Add(m.jitter(m.config.ServiceFallbackDelay))
	if earlier.Before(m.service.nextRead) {
		m.service.nextRead = earlier
	}
}

// handleServiceFetchFailed records how many pages a fetch from the service left
// missing. A fetch that made progress continues without backoff once the token
// bucket allows it.
func (m *Machine) handleServiceFetchFailed(now time.Time, e FetchFailed) {
	c := m.claims.find(e.VersionID)
	if c == nil {
		return
	}
	progress := e.Failure == NotYet && e.Missing < c.missingAtService
	c.missingAtService = e.Missing
	if progress {
		return
	}
	if c.firstFailure.IsZero() {
		c.firstFailure = now
	}
	m.counters.ServiceFailed++
	m.backOff(now)
}

// refillCalls adds the calls accrued since the last refill to the token bucket.
func (m *Machine) refillCalls(now time.Time) {
	rate := m.callRate()
	elapsed := now.Sub(m.service.refilledAt).Seconds()
	m.service.refilledAt = now
	m.service.tokens = min(m.service.tokens+max(elapsed, 0)*rate, max(rate, minBurstCalls))
}

// callRate returns this daemon's share of FleetCallRate, in calls a second.
func (m *Machine) callRate() float64 {
	rate := (1 - watcherShare) * m.config.FleetCallRate / float64(m.fleetSize())
	if m.service.watcher {
		rate += watcherShare * m.config.FleetCallRate / float64(m.fleetWatchers())
	}
	return rate
}

// fleetWatchers returns the number of watchers of the whole fleet.
func (m *Machine) fleetWatchers() int {
	centres := map[names.DataCentre]int{m.config.Self.DataCentre: 1}
	for _, peer := range m.live {
		centres[peer.DataCentre]++
	}
	n := 0
	for _, daemons := range centres {
		n += min(daemons, m.config.WatchersPerDataCentre)
	}
	return n
}

// takeCalls takes up to n calls from the token bucket and returns the number
// taken.
func (m *Machine) takeCalls(n int) int {
	taken := min(n, int(m.service.tokens))
	m.service.tokens -= float64(taken)
	m.counters.ServiceCalls += uint64(taken)
	return taken
}

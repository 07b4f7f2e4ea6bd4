package distribution

import (
	"time"

	"carobspoke.example/core/names"
)

// Parts of FleetCalls.
const (
	// watcherPart is the watchers' part; the rest is everybody's.
	watcherPart = 0.75
	// minBurst is the least size of a bucket, in calls.
	minBurst = 4
	// maxBackoff bounds the wait after failures of the service.
	maxBackoff = 10 * time.Second
)

// service is the state of the daemon's reading of the configuration service.
type service struct {
	// settled is true once the member list may be trusted.
	settled  bool
	watcher  bool
	watching bool
	reading  bool
	revision uint64
	// tokens is the bucket of calls, filled at the time filled.
	tokens float64
	filled time.Time
	// nextRead is when the root is read anyway; notBefore holds all calls
	// back after failures, which are counted in a row.
	nextRead  time.Time
	notBefore time.Time
	failures  int
}

// startService plans the first read, spread over the time in which the whole
// fleet may make one call for each daemon.
func (m *Machine) startService(now time.Time) {
	m.service.tokens = 1
	m.service.filled = now
	spread := time.Duration(float64(m.members()) / m.config.FleetCalls * float64(time.Second))
	m.service.nextRead = now.Add(time.Duration(m.random.Int64N(int64(spread) + 1)))
	m.electWatcher(now)
}

// electWatcher finds out whether this daemon is among the first of its data
// centre.
func (m *Machine) electWatcher(now time.Time) {
	hosts := []names.Host{m.config.Self.Host}
	for _, peer := range m.live {
		if peer.DataCentre == m.config.Self.DataCentre {
			hosts = append(hosts, peer.Host)
		}
	}
	m.service.watcher = false
	for _, host := range first(m.config.WatchersPerCentre, watchKey, hosts) {
		m.service.watcher = m.service.watcher || host == m.config.Self.Host
	}
	if m.members() > SmallFleet && now.Sub(m.started) < m.config.ViewSettle {
		m.service.watcher = false
	}
	if m.service.watching && !m.service.watcher {
		m.service.watching = false
		m.act(Unwatch{})
	}
}

func (m *Machine) tickService(now time.Time) {
	m.fill(now)
	if !m.service.settled && now.Sub(m.started) >= m.config.ViewSettle {
		m.service.settled = true
		m.electWatcher(now)
	}
	if now.Before(m.service.notBefore) {
		return
	}
	m.readRoot(now)
	if m.service.watcher && !m.service.watching && m.spend(1) == 1 {
		m.service.watching = true
		m.act(Watch{After: m.service.revision})
	}
}

// readRoot reads the root when it is due. A watch that waits does not replace
// it: the watch may hang at a replica of the service that is stale.
func (m *Machine) readRoot(now time.Time) {
	if m.service.reading || now.Before(m.service.nextRead) || m.spend(1) == 0 {
		return
	}
	m.service.reading = true
	m.act(Read{})
}

func (m *Machine) rootRead(now time.Time, e RootRead) {
	m.service.failures = 0
	m.endRead(now, e.Watched)
	m.service.revision = e.Revision
	if e.Held.Version < m.inForce.Version {
		m.counters.Reverts++
	}
	m.claim(now, e.Held, "")
	if c := m.claims.find(e.Held); c != nil {
		c.service, c.missing = true, e.Missing
	}
}

func (m *Machine) readFailed(now time.Time, e ReadFailed) {
	m.endRead(now, e.Watched)
	switch {
	case e.Quiet:
		m.service.failures = 0
		return
	case e.Content:
		m.counters.BadContent++
	case e.Bad:
		m.counters.BadRoot++
	default:
		m.counters.ServiceFailed++
	}
	m.backOff(now)
}

func (m *Machine) endRead(now time.Time, watched bool) {
	if watched {
		m.service.watching = false
		return
	}
	m.service.reading = false
	every := m.config.PollEvery
	if m.inForce.Version == 0 {
		every = m.config.PeerPatience
	}
	m.service.nextRead = now.Add(m.jitter(every))
}

func (m *Machine) backOff(now time.Time) {
	wait := m.config.RetryAfter << min(m.service.failures, 8)
	m.service.failures++
	m.service.notBefore = now.Add(m.jitter(min(wait, maxBackoff)))
}

// fetchFromService reads a claim's pages at the service if its root is there:
// a watcher at once, others when their peers have not given the version for a
// while. A claim that the service was not seen to hold makes the root be read
// again.
func (m *Machine) fetchFromService(now time.Time, c *claim) bool {
	patient := !m.service.watcher || !c.service
	if patient && now.Sub(c.since) < m.config.PeerPatience || now.Before(m.service.notBefore) {
		return false
	}
	if !c.service {
		m.readSoon(now)
		return false
	}
	calls := m.spend(c.missing)
	if calls == 0 && c.missing > 0 {
		return false
	}
	m.fetch = &fetch{held: c.held, since: now}
	m.act(FetchService{Held: c.held, Calls: calls})
	return true
}

// readSoon brings the next read of the root forward.
func (m *Machine) readSoon(now time.Time) {
	soon := now.Add(m.jitter(m.config.PeerPatience))
	if soon.Before(m.service.nextRead) {
		m.service.nextRead = soon
	}
}

// serviceFetchEnded notes what a fetch from the service left missing. One that
// made progress goes on as soon as there are calls.
func (m *Machine) serviceFetchEnded(now time.Time, e FetchFailed) {
	c := m.claims.find(e.Held)
	if c == nil {
		return
	}
	progress := e.Failure == NotYet && e.Missing < c.missing
	c.missing = e.Missing
	if progress {
		return
	}
	if c.failing.IsZero() {
		c.failing = now
	}
	m.counters.ServiceFailed++
	m.backOff(now)
}

// fill adds the calls for the time since the last filling.
func (m *Machine) fill(now time.Time) {
	rate := m.callRate()
	passed := now.Sub(m.service.filled).Seconds()
	m.service.filled = now
	m.service.tokens = min(m.service.tokens+max(passed, 0)*rate, max(rate, minBurst))
}

// callRate is this daemon's part of FleetCalls, in calls a second.
func (m *Machine) callRate() float64 {
	rate := (1 - watcherPart) * m.config.FleetCalls / float64(m.members())
	if m.service.watcher {
		rate += watcherPart * m.config.FleetCalls / float64(m.watchers())
	}
	return rate
}

// watchers returns the number of watchers of the whole fleet.
func (m *Machine) watchers() int {
	centres := map[names.DataCentre]int{m.config.Self.DataCentre: 1}
	for _, peer := range m.live {
		centres[peer.DataCentre]++
	}
	n := 0
	for _, daemons := range centres {
		n += min(daemons, m.config.WatchersPerCentre)
	}
	return n
}

// spend takes up to n calls from the bucket and returns how many it took.
func (m *Machine) spend(n int) int {
	taken := min(n, int(m.service.tokens))
	m.service.tokens -= float64(taken)
	m.counters.ServiceCalls += uint64(taken)
	return taken
}

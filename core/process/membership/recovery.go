package membership

import (
	"time"

	"carobspoke.example/core/names"
)

// recovery tracks whether the daemon's view can be trusted. A recovery is the
// time from a start or a pause of the process until enough peers have answered.
type recovery struct {
	inProgress bool
	// afterStart is true if the recovery follows a start, false after a pause.
	afterStart bool
	since      time.Time
	// lastSequenceBefore is the last sequence number used before the
	// recovery; acks count only above it.
	lastSequenceBefore uint64
	responders         []names.Host
	// unansweredProbes counts the consecutive probes without an answer.
	unansweredProbes int
	lastResponse     time.Time
	// superseded is true once a later incarnation of this host was seen.
	superseded bool
}

// ViewTrusted reports whether the daemon's view can be trusted at a time. It
// returns false from a start or a pause until enough peers have answered, which
// includes the time before the first tick after a pause; while no peer answers;
// and permanently once a later incarnation of the same host was seen.
func (m *Machine) ViewTrusted(now time.Time) bool {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) > m.config.PauseThreshold {
		return false
	}
	return !m.recovery.inProgress && !m.recovery.superseded && !m.isolated()
}

// handlePause starts a recovery after a pause. Peers may have declared this
// daemon dead, and it must not declare a member dead because of answers that
// arrived during the pause.
func (m *Machine) handlePause(gap time.Duration) {
	m.counters.Pauses++
	m.extendSuspicions(gap)
	m.probe.pending = false
	m.startRecovery(m.now, false)
	for _, e := range m.randomMembers(m.config.Fanout) {
		m.ping(e.Host)
	}
}

func (m *Machine) startRecovery(now time.Time, afterStart bool) {
	m.recovery.inProgress = true
	m.recovery.afterStart = afterStart
	m.recovery.since = now
	m.recovery.lastSequenceBefore = m.sequence
	m.recovery.responders = m.recovery.responders[:0]
	m.recovery.unansweredProbes = 0
	m.recovery.lastResponse = now
}

// recordResponse records a response to a datagram that this daemon sent. The
// first response after a start also starts a sync.
func (m *Machine) recordResponse(d *Datagram) {
	if d.Sequence <= m.recovery.lastSequenceBefore || d.Sequence > m.sequence {
		return
	}
	m.recovery.unansweredProbes = 0
	m.recovery.lastResponse = m.now
	if !m.recovery.inProgress {
		return
	}
	for _, h := range m.recovery.responders {
		if h == d.From.Host {
			return
		}
	}
	m.recovery.responders = append(m.recovery.responders, d.From.Host)
	if m.recovery.afterStart && len(m.recovery.responders) == 1 && !m.sync.running {
		m.startSync()
	}
	m.tickRecovery()
}

// tickRecovery ends the recovery once enough peers have answered and, after a
// start, the member table was synchronised.
func (m *Machine) tickRecovery() {
	if !m.recovery.inProgress || !m.enoughResponses() {
		return
	}
	if m.recovery.afterStart && len(m.table.ring) > 0 && !m.peersDiscovered() {
		return
	}
	m.recovery.inProgress = false
}

// peersDiscovered reports whether a daemon that starts has synchronised its
// table, and either knows most of the seeds or has tried to reach them for
// AloneAfter. When all daemons start at once, the first peer knows no more
// members than the daemon itself.
func (m *Machine) peersDiscovered() bool {
	if !m.sync.completed {
		return false
	}
	if float64(len(m.table.ring)) >= discoveredShare*float64(len(m.seeds.hosts)) {
		return true
	}
	return m.now.Sub(m.recovery.since) >= m.config.AloneAfter
}

// discoveredShare is the share of the seeds that a daemon must know before its
// recovery after a start ends.
const discoveredShare = 0.9

// enoughResponses reports whether enough peers have answered. A daemon that has
// just started and knows no peer waits for AloneAfter before it considers itself
// the first.
func (m *Machine) enoughResponses() bool {
	need := min(m.config.RecoveryResponses, len(m.table.ring))
	if need > 0 {
		return len(m.recovery.responders) >= need
	}
	if len(m.seeds.hosts) == 0 && !m.recovery.afterStart {
		return true
	}
	return m.now.Sub(m.recovery.since) >= m.config.AloneAfter
}

// isolated reports whether several consecutive probes went unanswered. The
// likeliest cause is then a failure of one direction of this daemon's network.
func (m *Machine) isolated() bool {
	return len(m.table.ring) > 0 && m.recovery.unansweredProbes >= m.config.IsolationProbes
}

// detectionSuspended reports whether missing answers are attributed to this
// daemon rather than to its peers, so that it suspects no member. It returns
// false again after AloneAfter without an answer, so that the only survivor of a
// fleet declares the others dead and continues.
func (m *Machine) detectionSuspended() bool {
	if !m.isolated() && !m.recovery.inProgress {
		return false
	}
	return m.now.Sub(m.recovery.lastResponse) < m.config.AloneAfter
}

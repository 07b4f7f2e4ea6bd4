package membership

import (
	"time"

	"carobspoke.example/core/names"
)

// wake is what a daemon knows of the trust that its own view deserves.
type wake struct {
	// waking is true after a start or a pause until peers have answered.
	waking bool
	// booting is true if the cause was a start.
	booting bool
	since   time.Time
	// sequence is the last number used before; answers must be newer.
	sequence uint64
	answers  []names.Host
	// unanswered counts probes since the last answer.
	unanswered int
	lastAnswer time.Time
	// superseded is true once a later incarnation of this host was seen.
	superseded bool
}

// Awake reports whether the daemon may trust its view at a time. It is false
// after a start or a pause until peers have answered, also before the first
// tick that follows a pause; while no peer answers; and for good once a later
// incarnation of the same host was seen.
func (m *Machine) Awake(now time.Time) bool {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) > m.config.PauseAfter {
		return false
	}
	return !m.wake.waking && !m.wake.superseded && !m.deaf()
}

// paused starts over after a pause. Others may have declared this daemon dead;
// it must not declare anyone dead for answers that it slept through.
func (m *Machine) paused(gap time.Duration) {
	m.counters.Pauses++
	m.postpone(gap)
	m.probe.open = false
	m.sleepEnded(m.now, false)
	for _, e := range m.sample(m.config.Fanout) {
		m.ping(e.Host)
	}
}

func (m *Machine) sleepEnded(now time.Time, booting bool) {
	m.wake.waking = true
	m.wake.booting = booting
	m.wake.since = now
	m.wake.sequence = m.sequence
	m.wake.answers = m.wake.answers[:0]
	m.wake.unanswered = 0
	m.wake.lastAnswer = now
}

// heard takes in an answer to something that this daemon sent.
func (m *Machine) heard(d *Datagram) {
	if d.Sequence <= m.wake.sequence || d.Sequence > m.sequence {
		return
	}
	m.wake.unanswered = 0
	m.wake.lastAnswer = m.now
	if !m.wake.waking {
		return
	}
	for _, h := range m.wake.answers {
		if h == d.From.Host {
			return
		}
	}
	m.wake.answers = append(m.wake.answers, d.From.Host)
	if m.wake.booting && len(m.wake.answers) == 1 && !m.sync.running {
		m.beginSync()
	}
	m.tickWake()
}

// tickWake ends waking once enough peers have answered and, after a start, the
// member table was read.
func (m *Machine) tickWake() {
	if !m.wake.waking || !m.answered() {
		return
	}
	if m.wake.booting && len(m.table.ring) > 0 && !m.settled() {
		return
	}
	m.wake.waking = false
}

// settled reports whether a daemon that starts knows most of the listed hosts,
// or has looked for them long enough. When all start at once the first peer
// knows no more than the daemon itself.
func (m *Machine) settled() bool {
	if !m.sync.passed {
		return false
	}
	if float64(len(m.table.ring)) >= settledShare*float64(len(m.hints.hosts)) {
		return true
	}
	return m.now.Sub(m.wake.since) >= m.config.AloneAfter
}

// settledShare is the share of the listed hosts that a daemon must know.
const settledShare = 0.9

// answered reports whether enough peers have answered. A daemon that has just
// started and knows no peer waits before it takes itself for the first.
func (m *Machine) answered() bool {
	need := min(m.config.WakeAnswers, len(m.table.ring))
	if need > 0 {
		return len(m.wake.answers) >= need
	}
	if len(m.hints.hosts) == 0 && !m.wake.booting {
		return true
	}
	return m.now.Sub(m.wake.since) >= m.config.AloneAfter
}

// deaf reports whether several probes in a row went without any answer. One
// direction of the daemon's own network is then the likeliest cause.
func (m *Machine) deaf() bool {
	return len(m.table.ring) > 0 && m.wake.unanswered >= m.config.DeafProbes
}

// cutOff reports whether the daemon must blame itself rather than its peers
// for missing answers. After a while it judges them all the same, so that a
// lone survivor goes on.
func (m *Machine) cutOff() bool {
	if !m.deaf() && !m.wake.waking {
		return false
	}
	return m.now.Sub(m.wake.lastAnswer) < m.config.AloneAfter
}

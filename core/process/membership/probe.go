package membership

import (
	"math"
	"time"

	"carobspoke.example/core/names"
)

// probe is the state of the probe in the current period.
type probe struct {
	// nextPeriod is when the next period starts.
	nextPeriod   time.Time
	ringPosition int
	host         names.Host
	sequence     uint64
	sentAt       time.Time
	// pending is true until the probe is answered or its period ends.
	pending bool
	// indirectSent is true once other members were asked to ping the host.
	indirectSent bool
}

// indirectPing is a pending ping on behalf of a peer.
type indirectPing struct {
	sequence       uint64
	origin         names.Host
	originSequence uint64
	expires        time.Time
}

func (m *Machine) tickProbe() {
	if m.probe.pending && !m.probe.indirectSent && m.now.Sub(m.probe.sentAt) >= m.config.AckTimeout {
		m.requestIndirectProbes()
	}
	if m.now.Before(m.probe.nextPeriod) {
		return
	}
	m.finishProbe()
	m.probe.nextPeriod = m.probe.nextPeriod.Add(m.config.Period)
	if m.probe.nextPeriod.Before(m.now) {
		m.probe.nextPeriod = m.now.Add(m.config.Period)
	}
	m.startProbe()
}

// finishProbe ends a period. A member that did not answer is suspected and
// pinged at once, so that it learns of the suspicion.
func (m *Machine) finishProbe() {
	if !m.probe.pending {
		return
	}
	m.probe.pending = false
	m.recovery.unansweredProbes++
	e, ok := m.table.byHost[m.probe.host]
	if !ok || e.State != Alive || m.detectionSuspended() {
		return
	}
	u := e.Member
	u.State = Suspect
	m.counters.Suspicions++
	m.setMember(e, u)
	m.ping(e.Host)
}

// startProbe pings the next member. A daemon that receives no answers also pings
// some other members, to find out whether it is isolated.
func (m *Machine) startProbe() {
	e := m.nextInRing()
	if e == nil {
		return
	}
	m.probe.host = e.Host
	m.probe.sequence = m.ping(e.Host)
	m.probe.sentAt = m.now
	m.probe.pending = true
	m.probe.indirectSent = false
	if m.recovery.inProgress || m.recovery.unansweredProbes > 0 && m.recovery.unansweredProbes >= m.config.IsolationProbes-1 {
		for _, other := range m.randomMembers(m.config.Fanout) {
			m.ping(other.Host)
		}
	}
}

// nextInRing returns the next member to probe, or nil if there is none. Each
// round visits all members once, in a new random order.
func (m *Machine) nextInRing() *entry {
	ring := m.table.ring
	if len(ring) == 0 {
		return nil
	}
	if m.probe.ringPosition >= len(ring) {
		m.probe.ringPosition = 0
		m.random.Shuffle(len(ring), m.table.swap)
	}
	e := ring[m.probe.ringPosition]
	m.probe.ringPosition++
	return e
}

// ping sends a ping and returns its sequence number. The ping carries the entry
// of a host that is not alive in this view, so that the host can refute it.
func (m *Machine) ping(h names.Host) uint64 {
	m.sequence++
	d := Datagram{Purpose: Ping, Sequence: m.sequence}
	if e, ok := m.table.byHost[h]; ok && e.State != Alive {
		d.Updates = []Update{m.updateOf(e)}
	}
	m.send(h, d)
	return m.sequence
}

func (m *Machine) requestIndirectProbes() {
	m.probe.indirectSent = true
	m.counters.IndirectProbes++
	if e, ok := m.table.byHost[m.probe.host]; ok && e.Active() {
		m.ping(m.probe.host)
	}
	for _, member := range m.randomMembers(m.config.IndirectProbes + 1) {
		if member.Host == m.probe.host {
			continue
		}
		m.send(member.Host, Datagram{Purpose: PingRequest, Sequence: m.probe.sequence, PingHost: m.probe.host})
	}
}

// pingForPeer handles a PingRequest: it pings a member on behalf of the sender.
func (m *Machine) pingForPeer(d *Datagram) {
	if len(m.indirectPings) >= MaxIndirectPings {
		m.counters.DroppedBusy++
		return
	}
	m.indirectPings = append(m.indirectPings, indirectPing{
		sequence:       m.ping(d.PingHost),
		origin:         d.From.Host,
		originSequence: d.Sequence,
		expires:        m.now.Add(m.config.Period),
	})
}

// handleAck processes an ack, which is direct or forwarded by the member that
// sent an indirect ping. The ack of an indirect ping is forwarded to its origin.
func (m *Machine) handleAck(d *Datagram) {
	m.recordResponse(d)
	if d.Sequence == m.probe.sequence || d.From.Host == m.probe.host {
		m.probe.pending = false
	}
	for i, p := range m.indirectPings {
		if p.sequence == d.Sequence {
			m.indirectPings = append(m.indirectPings[:i], m.indirectPings[i+1:]...)
			m.send(p.origin, Datagram{Purpose: Ack, Sequence: p.originSequence})
			return
		}
	}
}

func (m *Machine) expireIndirectPings() {
	kept := m.indirectPings[:0]
	for _, p := range m.indirectPings {
		if m.now.Before(p.expires) {
			kept = append(kept, p)
		}
	}
	m.indirectPings = kept
}

// startSuspicion starts the suspicion timeout, within which a member may refute.
func (m *Machine) startSuspicion(e *entry) {
	e.suspicionDeadline = m.now.Add(m.suspicionTimeout())
	e.finalPingSent = false
	for _, s := range m.suspects {
		if s == e {
			return
		}
	}
	m.suspects = append(m.suspects, e)
}

// suspicionTimeout returns how long a member stays suspect. It grows with the
// logarithm of the fleet's size, as does the time that gossip takes to spread.
func (m *Machine) suspicionTimeout() time.Duration {
	factor := max(1, math.Log10(float64(len(m.table.ring)+1)))
	return time.Duration(m.config.SuspicionPeriods * factor * float64(m.config.Period))
}

func (m *Machine) tickSuspects() {
	kept := m.suspects[:0]
	var dead []*entry
	sendFinal := len(m.suspects) <= maxFinalPings
	for _, e := range m.suspects {
		switch {
		case e.State != Suspect:
		case m.now.Before(e.suspicionDeadline):
			kept = append(kept, e)
		case sendFinal && !e.finalPingSent:
			m.sendFinalPing(e)
			kept = append(kept, e)
		default:
			dead = append(dead, e)
		}
	}
	m.suspects = kept
	for _, e := range dead {
		u := e.Member
		u.State = Dead
		m.counters.Deaths++
		m.setMember(e, u)
	}
}

// sendFinalPing pings a suspect whose timeout has passed, since its refutation
// may have been lost; the ack carries the refutation.
func (m *Machine) sendFinalPing(e *entry) {
	e.finalPingSent = true
	e.suspicionDeadline = m.now.Add(m.config.Period)
	m.ping(e.Host)
}

// maxFinalPings is the number of suspects above which none is sent a final ping:
// many members have then failed together, and pinging all of them would cost too
// much.
const maxFinalPings = 4

// extendSuspicions postpones the suspicion deadlines by d while this daemon
// cannot receive refutations.
func (m *Machine) extendSuspicions(d time.Duration) {
	for _, e := range m.suspects {
		e.suspicionDeadline = e.suspicionDeadline.Add(d)
	}
}

package membership

import (
	"math"
	"time"

	"carobspoke.example/core/names"
)

// probe is the probe of the current period.
type probe struct {
	// next is when the next period starts.
	next     time.Time
	position int
	host     names.Host
	sequence uint64
	sentAt   time.Time
	// open is true until the probe is answered.
	open bool
	// helped is true once others were asked to help.
	helped bool
}

// relay is a ping made for another member.
type relay struct {
	sequence uint64
	origin   names.Host
	answers  uint64
	expires  time.Time
}

func (m *Machine) tickProbe() {
	if m.probe.open && !m.probe.helped && m.now.Sub(m.probe.sentAt) >= m.config.AckTimeout {
		m.askHelpers()
	}
	if m.now.Before(m.probe.next) {
		return
	}
	m.closeProbe()
	m.probe.next = m.probe.next.Add(m.config.Period)
	if m.probe.next.Before(m.now) {
		m.probe.next = m.now.Add(m.config.Period)
	}
	m.openProbe()
}

// closeProbe ends a period: a member that did not answer is suspected, and is
// told so at once.
func (m *Machine) closeProbe() {
	if !m.probe.open {
		return
	}
	m.probe.open = false
	m.wake.unanswered++
	e, ok := m.table.byHost[m.probe.host]
	if !ok || e.State != Alive || m.cutOff() {
		return
	}
	u := e.Member
	u.State = Suspect
	m.counters.Suspicions++
	m.set(e, u)
	m.ping(e.Host)
}

// openProbe pings the next member. A daemon that gets no answers also pings
// others, to find out whether it is cut off.
func (m *Machine) openProbe() {
	e := m.nextInRing()
	if e == nil {
		return
	}
	m.probe.host = e.Host
	m.probe.sequence = m.ping(e.Host)
	m.probe.sentAt = m.now
	m.probe.open = true
	m.probe.helped = false
	if m.wake.waking || m.wake.unanswered > 0 && m.wake.unanswered >= m.config.DeafProbes-1 {
		for _, other := range m.sample(m.config.Fanout) {
			m.ping(other.Host)
		}
	}
}

// nextInRing returns the next member to probe. Each round visits all members
// once, in a new random order.
func (m *Machine) nextInRing() *entry {
	ring := m.table.ring
	if len(ring) == 0 {
		return nil
	}
	if m.probe.position >= len(ring) {
		m.probe.position = 0
		m.random.Shuffle(len(ring), m.table.swap)
	}
	e := ring[m.probe.position]
	m.probe.position++
	return e
}

// ping sends a ping and returns its sequence number. A member that is held for
// suspect or dead is told so with it.
func (m *Machine) ping(h names.Host) uint64 {
	m.sequence++
	d := Datagram{Purpose: Ping, Sequence: m.sequence}
	if e, ok := m.table.byHost[h]; ok && e.State != Alive {
		d.Updates = []Update{m.updateOf(e)}
	}
	m.send(h, d)
	return m.sequence
}

func (m *Machine) askHelpers() {
	m.probe.helped = true
	m.counters.IndirectProbes++
	if e, ok := m.table.byHost[m.probe.host]; ok && e.Counted() {
		m.ping(m.probe.host)
	}
	for _, helper := range m.sample(m.config.Helpers + 1) {
		if helper.Host == m.probe.host {
			continue
		}
		m.send(helper.Host, Datagram{Purpose: PingRequest, Sequence: m.probe.sequence, About: m.probe.host})
	}
}

// help pings a member for another one.
func (m *Machine) help(d *Datagram) {
	if len(m.relays) >= MaxRelays {
		m.counters.DroppedBusy++
		return
	}
	m.relays = append(m.relays, relay{
		sequence: m.ping(d.About),
		origin:   d.From.Host,
		answers:  d.Sequence,
		expires:  m.now.Add(m.config.Period),
	})
}

// acked takes in an answer, direct or through a helper.
func (m *Machine) acked(d *Datagram) {
	m.heard(d)
	if d.Sequence == m.probe.sequence || d.From.Host == m.probe.host {
		m.probe.open = false
	}
	for i, r := range m.relays {
		if r.sequence == d.Sequence {
			m.relays = append(m.relays[:i], m.relays[i+1:]...)
			m.send(r.origin, Datagram{Purpose: Ack, Sequence: r.answers})
			return
		}
	}
}

func (m *Machine) expireRelays() {
	kept := m.relays[:0]
	for _, r := range m.relays {
		if m.now.Before(r.expires) {
			kept = append(kept, r)
		}
	}
	m.relays = kept
}

// suspected starts the time in which a member may refute.
func (m *Machine) suspected(e *entry) {
	e.deadline = m.now.Add(m.suspicionTime())
	e.asked = false
	for _, s := range m.suspects {
		if s == e {
			return
		}
	}
	m.suspects = append(m.suspects, e)
}

// suspicionTime grows with the logarithm of the fleet's size, as gossip does.
func (m *Machine) suspicionTime() time.Duration {
	factor := max(1, math.Log10(float64(len(m.table.ring)+1)))
	return time.Duration(m.config.SuspicionPeriods * factor * float64(m.config.Period))
}

func (m *Machine) tickSuspects() {
	kept := m.suspects[:0]
	var dead []*entry
	ask := len(m.suspects) <= lastChances
	for _, e := range m.suspects {
		switch {
		case e.State != Suspect:
		case m.now.Before(e.deadline):
			kept = append(kept, e)
		case ask && !e.asked:
			m.lastChance(e)
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
		m.set(e, u)
	}
}

// lastChance pings a suspect whose time is over, since its refutation may have
// been lost. Its answer carries the refutation.
func (m *Machine) lastChance(e *entry) {
	e.asked = true
	e.deadline = m.now.Add(m.config.Period)
	m.ping(e.Host)
}

// lastChances is the number of suspects above which none is asked: then many
// died together, and asking all of them would cost too much.
const lastChances = 4

// postpone gives suspects more time while this daemon can't hear them refute.
func (m *Machine) postpone(d time.Duration) {
	for _, e := range m.suspects {
		e.deadline = e.deadline.Add(d)
	}
}

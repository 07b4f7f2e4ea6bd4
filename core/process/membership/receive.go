package membership

import (
	"time"

	"carobspoke.example/core/names"
)

func (m *Machine) receive(d *Datagram) {
	m.counters.Received++
	m.counters.ReceivedBytes += uint64(d.Bytes())
	if d.From.Host == m.self.Host {
		m.counters.DroppedOwn++
		return
	}
	if d.To != 0 && d.To != m.self.Incarnation {
		m.counters.DroppedOldIncarnation++
		return
	}
	m.learnOwn(d)
	if !m.greet(d) {
		return
	}
	m.pulled = d.Purpose == SyncReply
	for i := range d.Updates {
		if d.Updates[i].Host != m.self.Host {
			m.learn(&d.Updates[i])
		}
	}
	m.pulled = false
	for i := range d.Digests {
		m.learnDigest(&d.Digests[i], d.From.Host)
	}
	m.answer(d)
}

// learnOwn takes in what the sender believes of this daemon, also if the
// sender itself was declared dead: after a partition each side holds the other
// for dead, and one must refute first.
func (m *Machine) learnOwn(d *Datagram) {
	for i := range d.Updates {
		if d.Updates[i].Host == m.self.Host {
			m.learnOfSelf(&d.Updates[i])
		}
	}
}

// greet takes in the sender's own entry. It returns false if the rest of the
// datagram must not be used, because the sender is not a member: it is an
// earlier incarnation, or was declared dead and does not know.
func (m *Machine) greet(d *Datagram) bool {
	e, known := m.table.byHost[d.From.Host]
	if !known {
		m.learn(&Update{Member: d.From})
		return true
	}
	if d.From.Incarnation < e.Incarnation {
		m.counters.DroppedOldIncarnation++
		return false
	}
	if d.From.supersedes(&e.Member) {
		m.returned(e)
		m.learn(&Update{Member: d.From})
		return true
	}
	e.Version = max(e.Version, d.From.Version)
	if e.Counted() {
		return true
	}
	m.counters.FromDead++
	m.tellDead(e, d)
	return false
}

// tellDead lets a member that was declared dead know it, so that it refutes.
func (m *Machine) tellDead(e *entry, d *Datagram) {
	if d.Purpose != Ping || e.State != Dead {
		return
	}
	m.send(e.Host, Datagram{Purpose: Ack, Sequence: d.Sequence, Updates: []Update{m.updateOf(e)}})
}

// learn takes in what a peer says of another member. A death that others tell
// of is taken for a suspicion: each daemon waits for the refutation itself.
// Otherwise two halves of a fleet that find each other again would each bring
// the other's judgement of the living.
func (m *Machine) learn(u *Update) {
	e, known := m.table.byHost[u.Host]
	if !known {
		m.learnNew(u)
		return
	}
	e.Version = max(e.Version, u.Version)
	told := u.Member
	if told.State == Dead && e.Counted() {
		told.State = Suspect
	}
	if !told.supersedes(&e.Member) {
		return
	}
	m.set(e, told)
	if !told.Counted() {
		e.diedAt = m.now.Add(-u.DeadFor)
	}
}

// learnNew adds a member. One that is gone is only kept for as long as the
// others keep it, so that entries do not travel for ever.
func (m *Machine) learnNew(u *Update) {
	if !u.Counted() && u.DeadFor >= m.keep(u.DataCentre) {
		return
	}
	if len(m.table.byHost) >= MaxMembers {
		m.counters.DroppedFull++
		return
	}
	e := &entry{place: absent}
	m.set(e, u.Member)
	if !u.Counted() {
		e.diedAt = m.now.Add(-u.DeadFor)
	}
}

// learnOfSelf refutes what others wrongly believe of this daemon.
func (m *Machine) learnOfSelf(u *Update) {
	if u.Incarnation > m.self.Incarnation {
		m.wake.superseded = true
		return
	}
	if u.Incarnation < m.self.Incarnation || u.State == Alive || m.self.State == Left {
		return
	}
	if u.Refutation < m.self.Refutation {
		return
	}
	m.self.Refutation = u.Refutation + 1
	m.counters.Refutations++
	m.announce()
	m.hurry(true)
}

// keep returns how long a dead member of a data centre is kept.
func (m *Machine) keep(dc names.DataCentre) time.Duration {
	if m.region(dc) == m.self.Region {
		return m.config.DeadKept
	}
	return m.config.UnreachableKept
}

func (m *Machine) answer(d *Datagram) {
	switch d.Purpose {
	case Ping:
		m.send(d.From.Host, Datagram{Purpose: Ack, Sequence: d.Sequence})
	case Ack:
		m.acked(d)
	case PingRequest:
		m.help(d)
	case SyncRequest:
		m.givePage(d)
	case SyncReply:
		m.takePage(d)
	case Push:
	}
	m.compareViews(d)
}

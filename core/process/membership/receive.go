package membership

import (
	"time"

	"carobspoke.example/core/names"
)

func (m *Machine) receive(d *Datagram) {
	m.counters.Received++
	m.counters.ReceivedBytes += uint64(d.Bytes())
	if d.From.Host == m.self.Host {
		m.counters.DroppedOwnAddress++
		return
	}
	if d.To != 0 && d.To != m.self.Incarnation {
		m.counters.DroppedOldIncarnation++
		return
	}
	m.refuteClaims(d)
	if !m.applySender(d) {
		return
	}
	m.applyingPage = d.Purpose == SyncReply
	for i := range d.Updates {
		if d.Updates[i].Host != m.self.Host {
			m.applyUpdate(&d.Updates[i])
		}
	}
	m.applyingPage = false
	for i := range d.Digests {
		m.receiveDigest(&d.Digests[i], d.From.Host)
	}
	m.handlePurpose(d)
}

// refuteClaims refutes wrong claims of the sender about this daemon. It does so
// even if the sender was declared dead: after a partition each side considers
// the other dead, and one of them must refute first.
func (m *Machine) refuteClaims(d *Datagram) {
	for i := range d.Updates {
		if d.Updates[i].Host == m.self.Host {
			m.refute(&d.Updates[i])
		}
	}
}

// applySender applies the sender's own entry. It returns false if the rest of
// the datagram must be ignored because the sender is not a member: it is an
// earlier incarnation, has left, or was declared dead and has not refuted it.
func (m *Machine) applySender(d *Datagram) bool {
	e, ok := m.table.byHost[d.From.Host]
	if !ok {
		m.applyUpdate(&Update{Member: d.From})
		return true
	}
	if d.From.Incarnation < e.Incarnation {
		m.counters.DroppedOldIncarnation++
		return false
	}
	if d.From.supersedes(&e.Member) {
		m.speedUpContacts(e)
		m.applyUpdate(&Update{Member: d.From})
		return true
	}
	e.Version = max(e.Version, d.From.Version)
	if e.Active() {
		return true
	}
	m.counters.FromDead++
	m.notifyDead(e, d)
	return false
}

// notifyDead answers the ping of a member that was declared dead with its entry,
// so that the member refutes it.
func (m *Machine) notifyDead(e *entry, d *Datagram) {
	if d.Purpose != Ping || e.State != Dead {
		return
	}
	m.send(e.Host, Datagram{Purpose: Ack, Sequence: d.Sequence, Updates: []Update{m.updateOf(e)}})
}

// applyUpdate applies what a peer reports about another member. A reported death
// of an active member is applied as a suspicion: each daemon waits for the
// refutation itself. Otherwise, when the two sides of a partition merge, each
// would adopt the other side's deaths of members that are alive.
func (m *Machine) applyUpdate(u *Update) {
	e, ok := m.table.byHost[u.Host]
	if !ok {
		m.addMember(u)
		return
	}
	e.Version = max(e.Version, u.Version)
	reported := u.Member
	if reported.State == Dead && e.Active() {
		reported.State = Suspect
	}
	if !reported.supersedes(&e.Member) {
		return
	}
	m.setMember(e, reported)
	if !reported.Active() {
		e.inactiveSince = m.now.Add(-u.DeadFor)
	}
}

// addMember adds an unknown member. A member that is dead or has left is added
// only until its retention time is over, counted from when it became inactive,
// so that such entries do not circulate for ever.
func (m *Machine) addMember(u *Update) {
	if !u.Active() && u.DeadFor >= m.retention(u.DataCentre) {
		return
	}
	if len(m.table.byHost) >= MaxMembers {
		m.counters.DroppedTableFull++
		return
	}
	e := &entry{ringIndex: notInRing}
	m.setMember(e, u.Member)
	if !u.Active() {
		e.inactiveSince = m.now.Add(-u.DeadFor)
	}
}

// refute increments the refutation number if a peer considers this daemon
// suspect, dead or left, and announces it. It also records that a later
// incarnation of this host exists.
func (m *Machine) refute(u *Update) {
	if u.Incarnation > m.self.Incarnation {
		m.recovery.superseded = true
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
	m.announceSelf()
	m.pushRefutation(true)
}

// retention returns how long a dead member of a data centre is retained.
func (m *Machine) retention(dc names.DataCentre) time.Duration {
	if m.region(dc) == m.self.Region {
		return m.config.DeadRetention
	}
	return m.config.UnreachableRetention
}

func (m *Machine) handlePurpose(d *Datagram) {
	switch d.Purpose {
	case Ping:
		m.send(d.From.Host, Datagram{Purpose: Ack, Sequence: d.Sequence})
	case Ack:
		m.handleAck(d)
	case PingRequest:
		m.pingForPeer(d)
	case SyncRequest:
		m.sendPage(d)
	case SyncReply:
		m.handlePage(d)
	case Push:
	}
	m.compareViews(d)
}

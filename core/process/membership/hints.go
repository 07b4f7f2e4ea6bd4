package membership

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// hints are hosts that may run a daemon: those that the platform lists.
type hints struct {
	hosts []names.Host
	next  time.Time
}

// set replaces the listed hosts.
func (h *hints) set(hosts []names.Host, self names.Host) {
	h.hosts = h.hosts[:0]
	for _, host := range hosts {
		if host != self && len(h.hosts) < MaxMembers {
			h.hosts = append(h.hosts, host)
		}
	}
	slices.Sort(h.hosts)
	h.hosts = slices.Compact(h.hosts)
}

// tickHints contacts one host that is not counted, at a bounded rate, and
// forgets dead members whose time is over.
func (m *Machine) tickHints() {
	if m.now.Before(m.hints.next) {
		return
	}
	m.hints.next = m.now.Add(m.contactPeriod())
	m.forget()
	if h, ok := m.stranger(); ok {
		m.counters.Contacts++
		m.ping(h)
	}
}

func (m *Machine) contactPeriod() time.Duration {
	if m.wake.waking {
		return m.config.SyncPeriod
	}
	return m.config.ContactPeriod
}

// stranger returns a host that is listed or kept but not counted. The platform's
// list and the table's dead are visited in turn, from a random place.
func (m *Machine) stranger() (names.Host, bool) {
	if m.random.IntN(2) == 0 {
		if h, ok := m.listed(); ok {
			return h, true
		}
		return m.unreachable()
	}
	if h, ok := m.unreachable(); ok {
		return h, true
	}
	return m.listed()
}

func (m *Machine) listed() (names.Host, bool) {
	n := len(m.hints.hosts)
	if n == 0 {
		return "", false
	}
	first := m.random.IntN(n)
	for i := range n {
		h := m.hints.hosts[(first+i)%n]
		if e, ok := m.table.byHost[h]; !ok || e.State == Dead {
			return h, true
		}
	}
	return "", false
}

func (m *Machine) unreachable() (names.Host, bool) {
	if len(m.table.ring) == len(m.table.byHost) {
		return "", false
	}
	all := m.table.all()
	first := m.random.IntN(len(all))
	for i := range all {
		e := all[(first+i)%len(all)]
		if e.State == Dead {
			return e.Host, true
		}
	}
	return "", false
}

// forget drops members that have been gone for long enough.
func (m *Machine) forget() {
	if len(m.table.ring) == len(m.table.byHost) {
		return
	}
	for _, e := range m.table.all() {
		if !e.Counted() && m.now.Sub(e.diedAt) >= m.keep(e.DataCentre) {
			m.table.drop(e)
			m.counters.Forgotten++
		}
	}
}

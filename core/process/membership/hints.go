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
	// hasten is until when contacts are made more often.
	hasten time.Time
}

// hastenFor is how long one returning member hastens contacts.
const hastenFor = 10 * time.Second

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
	strangers := m.strangers()
	if len(strangers) == 0 {
		return
	}
	if m.random.IntN(len(m.table.ring)+1) >= len(strangers)*m.config.ContactsEach {
		return
	}
	m.counters.Contacts++
	m.ping(strangers[m.random.IntN(len(strangers))])
}

// contactPeriod is shorter while a daemon that starts finds its first peers,
// and while a region that was apart comes back.
func (m *Machine) contactPeriod() time.Duration {
	switch {
	case m.wake.waking && len(m.wake.answers) < m.config.WakeAnswers:
		return m.config.SyncPeriod
	case m.wake.waking || m.now.Before(m.hints.hasten):
		return m.config.Period
	default:
		return m.config.ContactPeriod
	}
}

// returned hastens contacts when a dead member of another region is heard of
// again: the rest of its region is likely to be back too.
func (m *Machine) returned(e *entry) {
	if e.State == Dead && e.Region != m.self.Region {
		m.hints.hasten = m.now.Add(hastenFor)
	}
}

// strangers returns the hosts that are listed or kept but not counted.
func (m *Machine) strangers() []names.Host {
	var found []names.Host
	for _, h := range m.hints.hosts {
		if _, ok := m.table.byHost[h]; !ok {
			found = append(found, h)
		}
	}
	if len(m.table.ring) == len(m.table.byHost) {
		return found
	}
	for _, e := range m.table.all() {
		if e.State == Dead {
			found = append(found, e.Host)
		}
	}
	return found
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

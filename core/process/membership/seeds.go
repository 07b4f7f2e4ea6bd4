package membership

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// seedHosts holds the hosts that may run a daemon, as listed by the platform.
type seedHosts struct {
	hosts       []names.Host
	nextContact time.Time
	// fastUntil is when contacts return to their normal rate.
	fastUntil time.Time
}

// fastContactDuration is how long contacts are more frequent after a dead member
// of another region has returned.
const fastContactDuration = 10 * time.Second

// set replaces the list of hosts.
func (h *seedHosts) set(hosts []names.Host, self names.Host) {
	h.hosts = h.hosts[:0]
	for _, host := range hosts {
		if host != self && len(h.hosts) < MaxMembers {
			h.hosts = append(h.hosts, host)
		}
	}
	slices.Sort(h.hosts)
	h.hosts = slices.Compact(h.hosts)
}

// tickContacts pings at most one inactive host in each contact period, and
// removes inactive members whose retention time is over.
func (m *Machine) tickContacts() {
	if m.now.Before(m.seeds.nextContact) {
		return
	}
	m.seeds.nextContact = m.now.Add(m.contactPeriod())
	m.removeExpired()
	candidates := m.contactCandidates()
	if len(candidates) == 0 {
		return
	}
	if m.random.IntN(len(m.table.ring)+1) >= len(candidates)*m.config.ContactsPerHost {
		return
	}
	m.counters.Contacts++
	m.ping(candidates[m.random.IntN(len(candidates))])
}

// contactPeriod returns the time until the next contact. It is shorter while a
// daemon that starts finds its first peers, and while a region returns after a
// partition.
func (m *Machine) contactPeriod() time.Duration {
	switch {
	case m.recovery.inProgress && len(m.recovery.responders) < m.config.RecoveryResponses:
		return m.config.SyncPeriod
	case m.recovery.inProgress || m.now.Before(m.seeds.fastUntil):
		return m.config.Period
	default:
		return m.config.ContactPeriod
	}
}

// speedUpContacts makes contacts more frequent if e, a member that has returned,
// was dead and is of another region: the rest of its region is likely to be back
// too.
func (m *Machine) speedUpContacts(e *entry) {
	if e.State == Dead && e.Region != m.self.Region {
		m.seeds.fastUntil = m.now.Add(fastContactDuration)
	}
}

// contactCandidates returns the seeds that are not yet known and the dead members
// that are retained.
func (m *Machine) contactCandidates() []names.Host {
	var candidates []names.Host
	for _, h := range m.seeds.hosts {
		if _, ok := m.table.byHost[h]; !ok {
			candidates = append(candidates, h)
		}
	}
	if len(m.table.ring) == len(m.table.byHost) {
		return candidates
	}
	for _, e := range m.table.sortedEntries() {
		if e.State == Dead {
			candidates = append(candidates, e.Host)
		}
	}
	return candidates
}

// removeExpired removes inactive members whose retention time is over.
func (m *Machine) removeExpired() {
	if len(m.table.ring) == len(m.table.byHost) {
		return
	}
	for _, e := range m.table.sortedEntries() {
		if !e.Active() && m.now.Sub(e.inactiveSince) >= m.retention(e.DataCentre) {
			m.table.remove(e)
			m.counters.Expired++
		}
	}
}

package membership

import "time"

// syncer pulls from peers the entries in which their tables differ from this
// daemon's: when it starts, and when views go on differing.
//
// A request carries a filter of what the daemon knows, and the answer only
// what the filter lacks, so that a small difference costs a small answer and a
// daemon that knows little gets a full page of news each time.
type syncer struct {
	running bool
	next    time.Time
	// sequence is that of the last request; answers to others are late.
	sequence uint64
	// agreed is when a peer's view was last equal to this daemon's.
	agreed time.Time
	// passed is true once a peer has sent all that differed.
	passed bool
	// given counts the pages given away since refreshed.
	given     int
	refreshed time.Time
}

const (
	// FilterBytes is the size of the filter in a request.
	FilterBytes = 256
	// syncAfter is how long views may differ before entries are pulled.
	syncAfter = 3 * time.Second
	// syncShare is the difference in size of two views, as a share of the
	// larger, that needs no such wait, and syncLeast its least in members.
	syncShare = 0.05
	syncLeast = 2
)

// compareViews starts to pull if views go on differing, or differ much.
func (m *Machine) compareViews(d *Datagram) {
	if d.Table == m.table.digest^hash(&m.self) {
		m.sync.agreed = m.now
		return
	}
	if m.sync.running {
		return
	}
	own := len(m.table.ring) + 1
	difference := max(d.Counted, own) - min(d.Counted, own)
	much := difference > syncLeast && float64(difference) > syncShare*float64(max(own, d.Counted))
	if much || m.now.Sub(m.sync.agreed) >= syncAfter {
		m.beginSync()
	}
}

func (m *Machine) beginSync() {
	m.sync.running = true
	m.sync.next = m.now
	m.counters.Syncs++
}

func (m *Machine) tickSync() {
	if m.now.Sub(m.sync.refreshed) >= time.Second {
		m.sync.refreshed = m.now
		m.sync.given = 0
	}
	if !m.sync.running || m.now.Before(m.sync.next) {
		return
	}
	m.sync.next = m.now.Add(m.config.SyncPeriod)
	for _, e := range m.sample(1) {
		m.sequence++
		m.sync.sequence = m.sequence
		m.send(e.Host, Datagram{Purpose: SyncRequest, Sequence: m.sequence, Known: m.known(m.sequence)})
	}
}

// known returns a filter of the daemon's entries, the dead included: the bit
// of each is set. The salt moves the bits, so that a member that is hidden
// by another one's bit is not hidden from the next request.
func (m *Machine) known(salt uint64) []byte {
	filter := make([]byte, FilterBytes)
	set(filter, hash(&m.self), salt)
	for _, e := range m.table.all() {
		set(filter, e.hash, salt)
	}
	return filter
}

func position(h, salt uint64) uint64 {
	h ^= salt * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return h % (8 * FilterBytes)
}

func set(filter []byte, h, salt uint64) {
	p := position(h, salt)
	filter[p/8] |= 1 << (p % 8)
}

func isSet(filter []byte, h, salt uint64) bool {
	p := position(h, salt)
	return filter[p/8]&(1<<(p%8)) != 0
}

// givePage answers with entries that the filter lacks, as many as fit into a
// page.
func (m *Machine) givePage(d *Datagram) {
	if m.sync.given >= m.config.SyncReplies || len(d.Known) != FilterBytes {
		m.counters.DroppedBusy++
		return
	}
	m.sync.given++
	reply := Datagram{Purpose: SyncReply, Sequence: d.Sequence}
	reply.Updates, reply.More = m.page(m.missing(d), m.config.PageBytes-reply.Bytes())
	m.send(d.From.Host, reply)
}

// missing returns the entries that the request's filter lacks, from a random
// one on, so that requests to several peers bring different pages.
func (m *Machine) missing(d *Datagram) []*entry {
	var entries []*entry
	for _, e := range m.table.all() {
		if e.Host != d.From.Host && !isSet(d.Known, e.hash, d.Sequence) {
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	first := m.random.IntN(len(entries))
	return append(entries[first:], entries[:first]...)
}

// page returns the updates that fit into room bytes, and whether some did not.
func (m *Machine) page(entries []*entry, room int) ([]Update, bool) {
	var updates []Update
	for _, e := range entries {
		u := m.updateOf(e)
		room -= u.Bytes()
		if room < 0 {
			return updates, true
		}
		updates = append(updates, u)
	}
	return updates, false
}

// takePage ends pulling once a peer has sent all that differed. A daemon that
// starts goes on until it is awake.
func (m *Machine) takePage(d *Datagram) {
	m.heard(d)
	if !m.sync.running || d.Sequence != m.sync.sequence || d.More {
		return
	}
	if len(d.Updates) > 0 && d.Table != m.table.digest^hash(&m.self) {
		return
	}
	m.sync.passed = true
	if m.wake.booting && m.wake.waking {
		return
	}
	m.endSync()
}

func (m *Machine) endSync() {
	m.sync.running = false
	m.sync.agreed = m.now
}

package membership

import "time"

// syncer is the state of table synchronisation. A daemon pulls the entries in
// which the tables of its peers differ from its own table when it starts, and
// when the views stay different.
//
// A request carries a filter of the entries that the daemon has, and the reply
// only entries that the filter lacks. A small difference thus costs a small
// reply, and each page that an almost empty daemon receives is full of new
// entries.
type syncer struct {
	running     bool
	nextRequest time.Time
	// sequence is that of the last request; other replies are late.
	sequence uint64
	// lastMatch is when the view of a peer last equalled this daemon's.
	lastMatch time.Time
	// completed is true once a peer has sent all entries that differed.
	completed bool
	// pagesSent counts the pages sent since windowStart.
	pagesSent   int
	windowStart time.Time
}

const (
	// FilterBytes is the size of the filter in a SyncRequest.
	FilterBytes = 256
	// divergenceTimeout is how long views may differ before a sync starts.
	divergenceTimeout = 3 * time.Second
	// A sync starts without that wait if the member counts of two views
	// differ by more than divergenceShare of the larger count and by more
	// than minDivergence members.
	divergenceShare = 0.05
	minDivergence   = 2
)

// compareViews starts a sync if the views have differed for too long or differ
// in many members.
func (m *Machine) compareViews(d *Datagram) {
	if d.TableHash == m.table.activeHash^memberHash(&m.self) {
		m.sync.lastMatch = m.now
		return
	}
	if m.sync.running {
		return
	}
	ownCount := len(m.table.ring) + 1
	difference := max(d.ActiveMembers, ownCount) - min(d.ActiveMembers, ownCount)
	large := difference > minDivergence && float64(difference) > divergenceShare*float64(max(ownCount, d.ActiveMembers))
	if large || m.now.Sub(m.sync.lastMatch) >= divergenceTimeout {
		m.startSync()
	}
}

func (m *Machine) startSync() {
	m.sync.running = true
	m.sync.nextRequest = m.now
	m.counters.Syncs++
}

func (m *Machine) tickSync() {
	if m.now.Sub(m.sync.windowStart) >= time.Second {
		m.sync.windowStart = m.now
		m.sync.pagesSent = 0
	}
	if !m.sync.running || m.now.Before(m.sync.nextRequest) {
		return
	}
	m.sync.nextRequest = m.now.Add(m.config.SyncPeriod)
	for _, e := range m.randomMembers(1) {
		m.sequence++
		m.sync.sequence = m.sequence
		m.send(e.Host, Datagram{Purpose: SyncRequest, Sequence: m.sequence, KnownFilter: m.knownFilter(m.sequence)})
	}
}

// knownFilter returns a filter of the daemon's entries, including inactive ones:
// a Bloom filter with one hash function. The salt changes the bit positions, so
// that an entry that a peer omits because another entry has set its bit is not
// omitted from the reply to the next request too.
func (m *Machine) knownFilter(salt uint64) []byte {
	filter := make([]byte, FilterBytes)
	setBit(filter, memberHash(&m.self), salt)
	for _, e := range m.table.sortedEntries() {
		setBit(filter, e.hash, salt)
	}
	return filter
}

func bitPosition(hash, salt uint64) uint64 {
	hash ^= salt * 0x9e3779b97f4a7c15
	hash ^= hash >> 32
	hash *= 0xd6e8feb86659fd93
	hash ^= hash >> 32
	return hash % (8 * FilterBytes)
}

func setBit(filter []byte, hash, salt uint64) {
	bit := bitPosition(hash, salt)
	filter[bit/8] |= 1 << (bit % 8)
}

func hasBit(filter []byte, hash, salt uint64) bool {
	bit := bitPosition(hash, salt)
	return filter[bit/8]&(1<<(bit%8)) != 0
}

// sendPage replies with entries that the filter lacks, as many as fit into a
// page. It drops the request if the rate limit is reached or the filter is
// malformed.
func (m *Machine) sendPage(d *Datagram) {
	if m.sync.pagesSent >= m.config.SyncRepliesPerSecond || len(d.KnownFilter) != FilterBytes {
		m.counters.DroppedBusy++
		return
	}
	m.sync.pagesSent++
	reply := Datagram{Purpose: SyncReply, Sequence: d.Sequence}
	reply.Updates, reply.More = m.packPage(m.missingEntries(d), m.config.PageBytes-reply.Bytes())
	m.send(d.From.Host, reply)
}

// missingEntries returns the entries that the request's filter lacks, rotated to
// a random start, so that requests to several peers return different pages.
func (m *Machine) missingEntries(d *Datagram) []*entry {
	var entries []*entry
	for _, e := range m.table.sortedEntries() {
		if e.Host != d.From.Host && !hasBit(d.KnownFilter, e.hash, d.Sequence) {
			entries = append(entries, e)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	first := m.random.IntN(len(entries))
	return append(entries[first:], entries[:first]...)
}

// packPage returns the updates that fit into room bytes, and whether some did
// not fit.
func (m *Machine) packPage(entries []*entry, room int) ([]Update, bool) {
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

// handlePage ends the sync once a peer has sent all entries that differed. A
// daemon that has just started continues until it trusts its view.
func (m *Machine) handlePage(d *Datagram) {
	m.recordResponse(d)
	if !m.sync.running || d.Sequence != m.sync.sequence || d.More {
		return
	}
	if len(d.Updates) > 0 && d.TableHash != m.table.activeHash^memberHash(&m.self) {
		return
	}
	m.sync.completed = true
	if m.recovery.afterStart && m.recovery.inProgress {
		return
	}
	m.endSync()
}

func (m *Machine) endSync() {
	m.sync.running = false
	m.sync.lastMatch = m.now
}

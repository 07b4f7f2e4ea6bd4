package membership

import (
	"time"

	"carobspoke.example/core/names"
)

// syncer reads the whole member table from peers, page by page, when this
// daemon starts or finds that its view differs much from theirs.
type syncer struct {
	running bool
	cursor  names.Host
	next    time.Time
	// sequence is that of the last request; answers to others are late.
	sequence uint64
	// quiet is until when no new pass is started.
	quiet time.Time
	// passed is true once a pass was completed.
	passed bool
	// given counts the pages given away since refreshed.
	given     int
	refreshed time.Time
}

const (
	// syncQuiet is the least time between two passes.
	syncQuiet = 10 * time.Second
	// syncShare is the difference in size of two views, as a share of the
	// larger, that starts a pass.
	syncShare = 0.05
	// syncLeast is the least such difference in members.
	syncLeast = 2
)

// compareViews starts a pass if the sender's view has a very different size.
func (m *Machine) compareViews(d *Datagram) {
	own := len(m.table.ring) + 1
	difference := d.Counted - own
	if difference < 0 {
		difference = -difference
	}
	if difference <= syncLeast || float64(difference) <= syncShare*float64(max(own, d.Counted)) {
		return
	}
	if m.sync.running || m.now.Before(m.sync.quiet) {
		return
	}
	m.beginSync()
}

func (m *Machine) beginSync() {
	m.sync.running = true
	m.sync.cursor = ""
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
		m.send(e.Host, Datagram{Purpose: SyncRequest, Sequence: m.sequence, Cursor: m.sync.cursor})
	}
}

// givePage answers with the entries after the cursor that fit into a page.
func (m *Machine) givePage(d *Datagram) {
	if m.sync.given >= m.config.SyncReplies {
		m.counters.DroppedBusy++
		return
	}
	m.sync.given++
	reply := Datagram{Purpose: SyncReply, Sequence: d.Sequence}
	room := m.config.PageBytes - reply.Bytes()
	for _, e := range m.table.after(d.Cursor) {
		u := m.updateOf(e)
		room -= u.Bytes()
		if room < 0 {
			m.send(d.From.Host, reply)
			return
		}
		reply.Updates = append(reply.Updates, u)
		reply.Cursor = e.Host
	}
	reply.Cursor = ""
	m.send(d.From.Host, reply)
}

// takePage asks for the next page, or ends the pass. A daemon that starts goes on
// with the next pass until it is awake.
func (m *Machine) takePage(d *Datagram) {
	m.heard(d)
	if !m.sync.running || d.Sequence != m.sync.sequence {
		return
	}
	m.sync.cursor = d.Cursor
	if d.Cursor != "" {
		return
	}
	m.sync.passed = true
	if m.wake.booting && m.wake.waking {
		return
	}
	m.sync.running = false
	m.sync.quiet = m.now.Add(syncQuiet)
}

package membership

import (
	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
)

// send completes a datagram's header, adds what is waiting to be passed on,
// and hands it to the shell.
func (m *Machine) send(to names.Host, d Datagram) {
	d.From = m.self
	if e, ok := m.table.byHost[to]; ok && e.Counted() {
		d.To = e.Incarnation
	}
	d.Table = m.table.digest ^ hash(&m.self)
	d.Counted = len(m.table.ring) + 1
	if d.Purpose != SyncReply {
		m.load(&d)
	}
	size := d.Bytes()
	m.allowance -= float64(size)
	m.counters.Sent[d.Purpose]++
	m.counters.SentBytes[d.Purpose] += uint64(size)
	m.actions = append(m.actions, Send{To: to, Datagram: d})
}

// pushRoom is what a push may add whatever the rate, in bytes: urgent news is
// rare, and worth nothing late.
const pushRoom = 400

// load adds updates and digests as far as the datagram and the rate allow.
func (m *Machine) load(d *Datagram) {
	size := d.Bytes()
	room := min(m.config.DatagramBytes, int(m.allowance)) - size
	if d.Purpose == Push {
		room = max(room, pushRoom)
	}
	if room <= 0 {
		return
	}
	for _, e := range m.queue.Take(room) {
		if e.Kind != gossip.Member {
			d.Digests = append(d.Digests, e.Value.digest)
			continue
		}
		if u, ok := m.update(e.Value.host); ok {
			d.Updates = append(d.Updates, u)
		}
	}
}

package membership

import (
	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
)

// send fills in a datagram's header, adds queued gossip, and emits a Send action.
func (m *Machine) send(to names.Host, d Datagram) {
	d.From = m.self
	if e, ok := m.table.byHost[to]; ok && e.Active() {
		d.To = e.Incarnation
	}
	d.TableHash = m.table.activeHash ^ memberHash(&m.self)
	d.ActiveMembers = len(m.table.ring) + 1
	if d.Purpose != SyncReply {
		m.addGossip(&d)
	}
	size := d.Bytes()
	m.byteBudget -= float64(size)
	m.counters.Sent[d.Purpose]++
	m.counters.SentBytes[d.Purpose] += uint64(size)
	m.actions = append(m.actions, Send{To: to, Datagram: d})
}

// minPushBytes is the size of the gossip that a push may carry even if the byte
// budget is exhausted. Urgent updates are rare, and of no use if they are late.
const minPushBytes = 400

// addGossip adds queued updates and digests as far as the datagram size and the
// byte budget allow.
func (m *Machine) addGossip(d *Datagram) {
	size := d.Bytes()
	room := min(m.config.DatagramBytes, int(m.byteBudget)) - size
	if d.Purpose == Push {
		room = max(room, minPushBytes)
	}
	if room <= 0 {
		return
	}
	for _, e := range m.queue.Take(room) {
		if e.Kind != gossip.Member {
			d.Digests = append(d.Digests, e.Value.digest)
			continue
		}
		if u, ok := m.updateFor(e.Value.host); ok {
			d.Updates = append(d.Updates, u)
		}
	}
}

package membership

import (
	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
)

// seen remembers which digests were passed on. It holds a bounded number of
// keys for each kind and forgets the oldest first.
type seen struct {
	sequences [gossip.Kinds]map[string]uint64
	order     [gossip.Kinds][]string
}

func newSeen() *seen {
	s := &seen{}
	for k := range s.sequences {
		s.sequences[k] = make(map[string]uint64)
	}
	return s
}

// first reports whether a digest is newer than what was seen of its key.
func (s *seen) first(d *Digest, bound int) bool {
	known := s.sequences[d.Kind]
	last, ok := known[d.Key]
	if ok && d.Sequence <= last {
		return false
	}
	known[d.Key] = d.Sequence
	if ok {
		return true
	}
	s.order[d.Kind] = append(s.order[d.Kind], d.Key)
	if order := s.order[d.Kind]; len(order) > bound {
		delete(known, order[0])
		s.order[d.Kind] = order[1:]
	}
	return true
}

// publish passes on a digest of this daemon's own.
func (m *Machine) publish(d Digest) {
	if d.Kind >= gossip.Kinds || d.Kind == gossip.Member || len(d.Payload) > MaxPayloadBytes {
		m.counters.DroppedDigests++
		return
	}
	if d.Kind == gossip.Version {
		m.self.Version = max(m.self.Version, names.Version(d.Sequence))
		m.table.live = nil
	}
	if d.Kind != gossip.Load && !m.seen.first(&d, MaxCrashes) {
		return
	}
	m.relayDigest(d)
}

// learnDigest hands over and passes on a digest that a peer sent. Load digests
// are not passed on: they are of use for seconds, and each daemon hears enough
// of them at first hand to choose a relay from.
func (m *Machine) learnDigest(d *Digest, from names.Host) {
	if d.Kind >= gossip.Kinds || d.Kind == gossip.Member || len(d.Payload) > MaxPayloadBytes {
		m.counters.DroppedDigests++
		return
	}
	if d.Kind != gossip.Load {
		if !m.seen.first(d, MaxCrashes) {
			return
		}
		m.relayDigest(*d)
	}
	m.actions = append(m.actions, Deliver{Digest: *d, From: from})
}

// relayDigest queues a digest, and pushes it if it is urgent: at once, or
// together with others that come within PushGap of the last push.
func (m *Machine) relayDigest(d Digest) {
	m.queue.Add(gossip.Entry[payload]{Kind: d.Kind, Key: d.Key, Bytes: d.Bytes(), Value: payload{digest: d}})
	if d.Kind == gossip.Load {
		return
	}
	m.pushDue = true
	m.push()
}

// push sends what is queued to some members, if something urgent is.
func (m *Machine) push() {
	if !m.pushDue || m.now.Sub(m.pushed) < m.config.PushGap {
		return
	}
	m.pushDue = false
	m.pushed = m.now
	for _, e := range m.sample(m.config.Fanout) {
		m.send(e.Host, Datagram{Purpose: Push})
	}
}

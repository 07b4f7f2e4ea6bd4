package membership

import (
	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
)

// seenDigests remembers the last sequence seen of each digest key. It holds a
// bounded number of keys for each kind and evicts the oldest first.
type seenDigests struct {
	lastSequence   [gossip.Kinds]map[string]uint64
	insertionOrder [gossip.Kinds][]string
}

func newSeenDigests() *seenDigests {
	s := &seenDigests{}
	for k := range s.lastSequence {
		s.lastSequence[k] = make(map[string]uint64)
	}
	return s
}

// isNewer reports whether a digest has a higher sequence than any seen of its
// key, and records it. At most limit keys of a kind are held.
func (s *seenDigests) isNewer(d *Digest, limit int) bool {
	sequences := s.lastSequence[d.Kind]
	lastSeen, ok := sequences[d.Key]
	if ok && d.Sequence <= lastSeen {
		return false
	}
	sequences[d.Key] = d.Sequence
	if ok {
		return true
	}
	s.insertionOrder[d.Kind] = append(s.insertionOrder[d.Kind], d.Key)
	if order := s.insertionOrder[d.Kind]; len(order) > limit {
		delete(sequences, order[0])
		s.insertionOrder[d.Kind] = order[1:]
	}
	return true
}

// publish queues a digest of this daemon for its peers.
func (m *Machine) publish(d Digest) {
	if d.Kind >= gossip.Kinds || d.Kind == gossip.Member || len(d.Payload) > MaxPayloadBytes {
		m.counters.DroppedDigests++
		return
	}
	if d.Kind == gossip.Version {
		m.self.Version = max(m.self.Version, names.Version(d.Sequence))
		m.table.live = nil
	}
	if d.Kind != gossip.Load && !m.seen.isNewer(&d, MaxCrashes) {
		return
	}
	m.queueDigest(d)
}

// receiveDigest delivers and forwards a digest from a peer. Load digests are not
// forwarded: they are useful for some seconds only, and each daemon receives
// enough of them directly from their publishers to choose a relay.
func (m *Machine) receiveDigest(d *Digest, from names.Host) {
	if d.Kind >= gossip.Kinds || d.Kind == gossip.Member || len(d.Payload) > MaxPayloadBytes {
		m.counters.DroppedDigests++
		return
	}
	if d.Kind != gossip.Load {
		if !m.seen.isNewer(d, MaxCrashes) {
			return
		}
		m.queueDigest(*d)
	}
	m.actions = append(m.actions, Deliver{Digest: *d, From: from})
}

// queueDigest queues a digest and, unless it is a Load digest, pushes it: at
// once, or together with others within PushGap of the last push.
func (m *Machine) queueDigest(d Digest) {
	m.queue.Add(gossip.Entry[payload]{Kind: d.Kind, Key: d.Key, Bytes: d.Bytes(), Value: payload{digest: d}})
	if d.Kind == gossip.Load {
		return
	}
	m.pushPending = true
	m.pushIfDue()
}

// pushIfDue pushes queued gossip to some members if an urgent digest waits and
// PushGap has passed since the last push.
func (m *Machine) pushIfDue() {
	if !m.pushPending || m.now.Sub(m.lastPush) < m.config.PushGap {
		return
	}
	m.pushPending = false
	m.lastPush = m.now
	for _, e := range m.randomMembers(m.config.Fanout) {
		m.send(e.Host, Datagram{Purpose: Push})
	}
}

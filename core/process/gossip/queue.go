package gossip

// queuedEntry is an entry with its state in a queue.
type queuedEntry[T any] struct {
	entry     Entry[T]
	transmits int
	// removed is true if the entry was replaced, evicted or removed but is
	// still in its level.
	removed bool
}

// kindQueue holds the updates of one kind. levels[n] contains those that were
// sent n times, in the order in which they reached that level.
type kindQueue[T any] struct {
	limits   Limits
	byKey    map[string]*queuedEntry[T]
	levels   [][]*queuedEntry[T]
	counters Counters
}

// Queue holds the updates that are still to be sent to peers.
type Queue[T any] struct {
	byKind [Kinds]kindQueue[T]
}

// New returns an empty queue with the given limits by kind.
func New[T any](limits [Kinds]Limits) *Queue[T] {
	q := &Queue[T]{}
	for k := range q.byKind {
		q.byKind[k].byKey = make(map[string]*queuedEntry[T])
		q.SetLimits(Kind(k), limits[k])
	}
	return q
}

// SetLimits changes the limits of a kind. Updates that were already sent
// limits.MaxTransmits times or more are dropped after their next transmission.
func (q *Queue[T]) SetLimits(k Kind, limits Limits) {
	kq := &q.byKind[k]
	kq.limits = limits
	for len(kq.levels) < limits.MaxTransmits {
		kq.levels = append(kq.levels, nil)
	}
}

// Add queues an update. It replaces an older one with the same kind and key.
func (q *Queue[T]) Add(e Entry[T]) {
	kq := &q.byKind[e.Kind]
	if kq.limits.MaxTransmits < 1 || kq.limits.MaxEntries < 1 {
		kq.counters.Evicted++
		return
	}
	if old, ok := kq.byKey[e.Key]; ok {
		old.removed = true
		kq.counters.Replaced++
	} else if len(kq.byKey) >= kq.limits.MaxEntries {
		kq.evict()
	}
	qe := &queuedEntry[T]{entry: e}
	kq.byKey[e.Key] = qe
	kq.levels[0] = append(kq.levels[0], qe)
	kq.counters.Added++
}

// Remove drops the update with a kind and key, if there is one.
func (q *Queue[T]) Remove(k Kind, key string) {
	kq := &q.byKind[k]
	if qe, ok := kq.byKey[key]; ok {
		qe.removed = true
		delete(kq.byKey, key)
	}
}

// Take returns the next updates, of at most the given number of bytes in total,
// and counts them as sent.
func (q *Queue[T]) Take(bytes int) []Entry[T] {
	var taken []Entry[T]
	for k := range q.byKind {
		kq := &q.byKind[k]
		if len(kq.byKey) == 0 {
			continue
		}
		taken, bytes = kq.takeFitting(taken, bytes)
	}
	return taken
}

// Len returns the number of updates of a kind.
func (q *Queue[T]) Len(k Kind) int { return len(q.byKind[k].byKey) }

// Counters returns the counters of a kind.
func (q *Queue[T]) Counters(k Kind) Counters { return q.byKind[k].counters }

// takeFitting appends updates to taken until one does not fit, and returns the
// bytes that are left.
func (kq *kindQueue[T]) takeFitting(taken []Entry[T], bytes int) ([]Entry[T], int) {
	first := len(taken)
	var sent []*queuedEntry[T]
	for n := range kq.levels {
		full := false
		taken, sent, bytes, full = kq.takeFromLevel(n, taken, sent, bytes)
		if full {
			break
		}
	}
	kq.counters.Sent += uint64(len(taken) - first)
	for _, qe := range sent {
		kq.recordSend(qe)
	}
	return taken, bytes
}

// takeFromLevel takes the newest updates of a level first, until one does not
// fit, so that new updates precede a backlog. It returns taken, sent, the bytes
// that are left and whether an update did not fit.
func (kq *kindQueue[T]) takeFromLevel(n int, taken []Entry[T], sent []*queuedEntry[T], bytes int) ([]Entry[T], []*queuedEntry[T], int, bool) {
	level := kq.levels[n]
	for len(level) > 0 {
		last := len(level) - 1
		qe := level[last]
		if !qe.removed && qe.entry.Bytes > bytes {
			kq.counters.Deferred++
			kq.levels[n] = level
			return taken, sent, bytes, true
		}
		level[last] = nil
		level = level[:last]
		if qe.removed {
			continue
		}
		bytes -= qe.entry.Bytes
		kq.counters.SentBytes += uint64(qe.entry.Bytes)
		taken = append(taken, qe.entry)
		sent = append(sent, qe)
	}
	kq.levels[n] = level
	return taken, sent, bytes, false
}

// recordSend counts a transmission of an entry, and moves the entry to the next
// level or removes it after the last transmission.
func (kq *kindQueue[T]) recordSend(qe *queuedEntry[T]) {
	qe.transmits++
	if qe.transmits >= kq.limits.MaxTransmits {
		qe.removed = true
		delete(kq.byKey, qe.entry.Key)
		kq.counters.Finished++
		return
	}
	kq.levels[qe.transmits] = append(kq.levels[qe.transmits], qe)
}

// evict drops the oldest of the updates that were sent most often.
func (kq *kindQueue[T]) evict() {
	for n := len(kq.levels) - 1; n >= 0; n-- {
		level := kq.levels[n]
		for len(level) > 0 {
			qe := level[0]
			level = level[1:]
			kq.levels[n] = level
			if qe.removed {
				continue
			}
			qe.removed = true
			delete(kq.byKey, qe.entry.Key)
			kq.counters.Evicted++
			return
		}
	}
}

package gossip

// slot is an entry's place in a queue.
type slot[T any] struct {
	entry     Entry[T]
	transmits int
	// removed marks a slot that was replaced or evicted but still stands in
	// its level.
	removed bool
}

// lane holds the updates of one kind. levels[n] are those sent n times, in the
// order in which they came there.
type lane[T any] struct {
	limits   Limits
	index    map[string]*slot[T]
	levels   [][]*slot[T]
	counters Counters
}

// Queue holds updates that are still to be passed on.
type Queue[T any] struct {
	lanes [Kinds]lane[T]
}

// New returns an empty queue with limits for each kind.
func New[T any](limits [Kinds]Limits) *Queue[T] {
	q := &Queue[T]{}
	for k := range q.lanes {
		q.lanes[k].index = make(map[string]*slot[T])
		q.SetLimits(Kind(k), limits[k])
	}
	return q
}

// SetLimits changes the limits of a kind. Updates sent more often than the new
// limit allows are dropped when their turn comes.
func (q *Queue[T]) SetLimits(k Kind, limits Limits) {
	l := &q.lanes[k]
	l.limits = limits
	for len(l.levels) < limits.Transmits {
		l.levels = append(l.levels, nil)
	}
}

// Add queues an update, in place of an older one with the same kind and key.
func (q *Queue[T]) Add(e Entry[T]) {
	l := &q.lanes[e.Kind]
	if l.limits.Transmits < 1 || l.limits.Entries < 1 {
		l.counters.Evicted++
		return
	}
	if old, ok := l.index[e.Key]; ok {
		old.removed = true
		l.counters.Replaced++
	} else if len(l.index) >= l.limits.Entries {
		l.evict()
	}
	s := &slot[T]{entry: e}
	l.index[e.Key] = s
	l.levels[0] = append(l.levels[0], s)
	l.counters.Added++
}

// Remove drops the update with a kind and key, if there is one.
func (q *Queue[T]) Remove(k Kind, key string) {
	l := &q.lanes[k]
	if s, ok := l.index[key]; ok {
		s.removed = true
		delete(l.index, key)
	}
}

// Take returns updates of at most bytes bytes in all, and counts them as sent.
func (q *Queue[T]) Take(bytes int) []Entry[T] {
	var taken []Entry[T]
	for k := range q.lanes {
		l := &q.lanes[k]
		if len(l.index) == 0 {
			continue
		}
		taken, bytes = l.take(taken, bytes)
	}
	return taken
}

// Len returns the number of updates of a kind.
func (q *Queue[T]) Len(k Kind) int { return len(q.lanes[k].index) }

// Counters returns the counters of a kind.
func (q *Queue[T]) Counters(k Kind) Counters { return q.lanes[k].counters }

// take appends updates to taken as long as they fit, and returns the bytes
// that are left.
func (l *lane[T]) take(taken []Entry[T], bytes int) ([]Entry[T], int) {
	first := len(taken)
	var sent []*slot[T]
	for n := range l.levels {
		full := false
		taken, sent, bytes, full = l.takeLevel(n, taken, sent, bytes)
		if full {
			break
		}
	}
	l.counters.Sent += uint64(len(taken) - first)
	for _, s := range sent {
		l.advance(s)
	}
	return taken, bytes
}

// takeLevel takes the newest of a level first, until an update does not fit, so
// that news overtakes a backlog.
func (l *lane[T]) takeLevel(n int, taken []Entry[T], sent []*slot[T], bytes int) ([]Entry[T], []*slot[T], int, bool) {
	level := l.levels[n]
	for len(level) > 0 {
		last := len(level) - 1
		s := level[last]
		if !s.removed && s.entry.Bytes > bytes {
			l.counters.Deferred++
			l.levels[n] = level
			return taken, sent, bytes, true
		}
		level[last] = nil
		level = level[:last]
		if s.removed {
			continue
		}
		bytes -= s.entry.Bytes
		l.counters.SentBytes += uint64(s.entry.Bytes)
		taken = append(taken, s.entry)
		sent = append(sent, s)
	}
	l.levels[n] = level
	return taken, sent, bytes, false
}

// advance counts a transmission and moves the slot to the next level or out.
func (l *lane[T]) advance(s *slot[T]) {
	s.transmits++
	if s.transmits >= l.limits.Transmits {
		s.removed = true
		delete(l.index, s.entry.Key)
		l.counters.Finished++
		return
	}
	l.levels[s.transmits] = append(l.levels[s.transmits], s)
}

// evict drops the oldest of the updates that were sent most often.
func (l *lane[T]) evict() {
	for n := len(l.levels) - 1; n >= 0; n-- {
		level := l.levels[n]
		for len(level) > 0 {
			s := level[0]
			level = level[1:]
			l.levels[n] = level
			if s.removed {
				continue
			}
			s.removed = true
			delete(l.index, s.entry.Key)
			l.counters.Evicted++
			return
		}
	}
}

package engine

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/target"
)

// Limits of the log of cache events.
const (
	maxEvents = 16384
	// restartSkip is how far the sequence number jumps when the cache is
	// emptied, so that a reader sees a gap.
	restartSkip = 1 << 20
)

type loggedEvent struct {
	event target.CacheEvent
	at    time.Time
}

// eventLog keeps cache events. Some are lost: their number is left out.
type eventLog struct {
	random *rand.Rand
	gap    float64
	seq    uint64
	kept   []loggedEvent
}

func (l *eventLog) add(key prefixKey, added bool, now time.Time) {
	l.seq++
	if l.random.Float64() < l.gap {
		return
	}
	event := target.CacheEvent{Seq: l.seq, Prefix: key.prefix, Scope: key.scope, Added: added}
	l.kept = append(l.kept, loggedEvent{event, now})
	if len(l.kept) > maxEvents {
		l.kept = append([]loggedEvent(nil), l.kept[len(l.kept)/2:]...)
	}
}

func (l *eventLog) skip() {
	if l.seq > 0 {
		l.seq += restartSkip
	}
}

// after returns the events with higher numbers that happened before a time.
func (l *eventLog) after(seq uint64, before time.Time) []target.CacheEvent {
	found := []target.CacheEvent{}
	for _, logged := range l.kept {
		if logged.event.Seq > seq && !logged.at.After(before) {
			found = append(found, logged.event)
		}
	}
	return found
}

func (e *Server) cacheEvent(key prefixKey, added bool) {
	e.events.add(key, added, time.Now())
}

package engine

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/target"
)

// Limits of the cache event log.
const (
	// maxEvents is the number of events above which the older half is dropped.
	maxEvents = 16384
	// clearSequenceJump is added to the sequence number when the cache is
	// emptied, so that a reader detects a gap.
	clearSequenceJump = 1 << 20
)

type loggedEvent struct {
	event target.CacheEvent
	at    time.Time
}

// eventLog records cache events. It drops a random fraction of them, whose
// sequence numbers are missing from the log.
type eventLog struct {
	random   *rand.Rand
	lossRate float64
	seq      uint64
	events   []loggedEvent
}

func (l *eventLog) add(key prefixKey, added bool, now time.Time) {
	l.seq++
	if l.random.Float64() < l.lossRate {
		return
	}
	event := target.CacheEvent{Seq: l.seq, Prefix: key.prefix, Scope: key.scope, Added: added}
	l.events = append(l.events, loggedEvent{event, now})
	if len(l.events) > maxEvents {
		l.events = append([]loggedEvent(nil), l.events[len(l.events)/2:]...)
	}
}

// skipSequence leaves a gap in the sequence numbers, unless there were no events.
func (l *eventLog) skipSequence() {
	if l.seq > 0 {
		l.seq += clearSequenceJump
	}
}

// after returns the events with a sequence number above seq that happened no
// later than before.
func (l *eventLog) after(seq uint64, before time.Time) []target.CacheEvent {
	found := []target.CacheEvent{}
	for _, logged := range l.events {
		if logged.event.Seq > seq && !logged.at.After(before) {
			found = append(found, logged.event)
		}
	}
	return found
}

func (e *Server) recordCacheEvent(key prefixKey, added bool) {
	e.events.add(key, added, time.Now())
}

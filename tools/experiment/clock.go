package experiment

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a queue of events, which run one at a time.
type clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

func newClock() *clock {
	return &clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// at schedules f to run at t. Events scheduled for the same time run in the
// order in which they were scheduled.
func (c *clock) at(t time.Time, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, run: f})
}

func (c *clock) after(d time.Duration, f func()) { c.at(c.now.Add(d), f) }

// every runs f once after delay, then at every interval.
func (c *clock) every(delay, interval time.Duration, f func()) {
	c.after(delay, func() {
		f()
		c.every(interval, interval, f)
	})
}

// run runs the events due up to a time, in order, and advances the clock to it.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

package fakenet

import (
	"container/heap"
	"time"

	"carobspoke.example/core/process/membership"
)

// event is a tick of a node or the arrival of a datagram.
type event struct {
	at       time.Time
	serial   uint64
	to       *Node
	tick     bool
	datagram membership.Datagram
}

// eventQueue is a heap of events, ordered by time and then by creation.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*q = old[:last]
	return e
}

func (n *Net) schedule(e event) {
	n.serial++
	e.serial = n.serial
	heap.Push(&n.events, e)
}

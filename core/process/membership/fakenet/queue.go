package fakenet

import (
	"container/heap"
	"time"

	"carobspoke.example/core/process/membership"
)

// event is a tick or a datagram that arrives.
type event struct {
	at       time.Time
	serial   uint64
	to       *Node
	tick     bool
	datagram membership.Datagram
}

// queue orders events by time, then by the order of their making.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*q = old[:last]
	return e
}

func (n *Net) push(e event) {
	n.serial++
	e.serial = n.serial
	heap.Push(&n.queue, e)
}

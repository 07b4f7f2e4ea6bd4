package owned

import "carobspoke.example/core/verdict"

type state uint8

const (
	running state = iota
	answered
)

type entry struct {
	call   Call
	state  state
	answer Answer
	index  int // in the expiryHeap
}

// resend decides about a further send of the entry's call.
func (e *entry) resend(c Call) Decision {
	if c.BodyDigest != e.call.BodyDigest || c.Customer != e.call.Customer {
		return refuse(verdict.MayHaveRun, verdict.TicketUsed, "an earlier send had another body")
	}
	if e.state == running {
		return Decision{Action: Join}
	}
	return Decision{Action: Replay, Answer: e.answer}
}

// expiryHeap is a heap of entries; the one that expires first is at the top.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].call.Expires < h[j].call.Expires }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

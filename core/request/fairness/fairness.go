// Package fairness orders waiting requests so that customers get capacity in
// proportion to their shares, whatever each asks for.
//
// Queue is a start-time fair queue. Each customer has a first-in first-out
// list; a request's tag is the virtual time at which the customer's earlier
// requests would be done if it had its share alone, and the lowest tag goes
// next. A customer that was idle starts at the current virtual time: it gets
// its share at once, and is owed nothing for the time it did not ask. What it
// does not use goes to the others by itself. A customer whose list runs empty
// keeps its tag until the virtual time has passed it, so that asking for one
// large request after another gains nothing.
//
// Room is bounded in tokens and bytes. A customer may hold no more than what is
// left free (a dynamic threshold), so that one customer can never fill the
// queue against another, and alone it may use half.
package fairness

import (
	"container/heap"

	"carobspoke.example/core/names"
)

// purgeSlack is the number of idle customers below which none is forgotten.
const purgeSlack = 64

// Item is a waiting request.
type Item struct {
	ID       string
	Customer names.Customer
	// Share is the customer's weight; zero or less counts as one.
	Share float64
	// Tokens is the request's cost, and Bytes what it takes of the daemon's
	// memory while it waits.
	Tokens int
	Bytes  int
}

// Room is the space of a queue.
type Room struct {
	Tokens int
	Bytes  int
}

// Queue is a bounded fair queue. It is not safe for concurrent use. Push, Pop
// and Remove take time logarithmic in the number of customers that wait.
type Queue struct {
	room    Room
	used    Room
	shares  float64
	virtual float64
	flows   map[names.Customer]*flow
	idle    map[names.Customer]float64 // tags of customers that do not wait
	purgeAt int                        // size of idle that calls for a purge
	active  flowHeap
	items   map[string]*flow
}

// flow is the list of one customer. It exists while the customer waits.
type flow struct {
	customer names.Customer
	share    float64
	items    []Item
	used     Room
	tag      float64 // start tag of the first item
	index    int     // place in the heap
}

// New returns an empty queue.
func New(room Room) *Queue {
	return &Queue{
		room:  room,
		flows: make(map[names.Customer]*flow),
		idle:  make(map[names.Customer]float64),
		items: make(map[string]*flow),
	}
}

// Push appends an item to its customer's list. It returns false, and does
// nothing, if the customer has no room left.
func (q *Queue) Push(it Item) bool {
	f := q.flows[it.Customer]
	if !q.fits(f, it) {
		return false
	}
	if f == nil {
		f = q.open(it)
	}
	f.items = append(f.items, it)
	q.items[it.ID] = f
	q.account(f, it.Tokens, it.Bytes)
	return true
}

func (q *Queue) open(it Item) *flow {
	f := &flow{
		customer: it.Customer,
		share:    weight(it.Share),
		tag:      max(q.virtual, q.idle[it.Customer]),
	}
	delete(q.idle, it.Customer)
	q.flows[it.Customer] = f
	q.shares += f.share
	heap.Push(&q.active, f)
	return f
}

func (q *Queue) fits(f *flow, it Item) bool {
	var own Room
	if f != nil {
		own = f.used
	}
	return own.Tokens+it.Tokens <= q.room.Tokens-q.used.Tokens-it.Tokens &&
		own.Bytes+it.Bytes <= q.room.Bytes-q.used.Bytes-it.Bytes
}

func (q *Queue) account(f *flow, tokens, bytes int) {
	f.used.Tokens += tokens
	f.used.Bytes += bytes
	q.used.Tokens += tokens
	q.used.Bytes += bytes
}

// Peek returns the item that goes next.
func (q *Queue) Peek() (Item, bool) {
	if len(q.active) == 0 {
		return Item{}, false
	}
	return q.active[0].items[0], true
}

// Pop removes the item that goes next.
func (q *Queue) Pop() (Item, bool) {
	if len(q.active) == 0 {
		return Item{}, false
	}
	f := q.active[0]
	it := f.items[0]
	q.virtual = max(q.virtual, f.tag)
	f.tag += float64(it.Tokens) / f.share
	q.drop(f, 0)
	return it, true
}

// Remove takes out an item before its turn. It costs its customer nothing.
func (q *Queue) Remove(id string) bool {
	f := q.items[id]
	if f == nil {
		return false
	}
	for i := range f.items {
		if f.items[i].ID == id {
			q.drop(f, i)
			return true
		}
	}
	return false
}

func (q *Queue) drop(f *flow, i int) {
	it := f.items[i]
	delete(q.items, it.ID)
	q.account(f, -it.Tokens, -it.Bytes)
	f.items = append(f.items[:i], f.items[i+1:]...)
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.index)
		return
	}
	q.close(f)
}

func (q *Queue) close(f *flow) {
	heap.Remove(&q.active, f.index)
	delete(q.flows, f.customer)
	q.shares -= f.share
	q.idle[f.customer] = f.tag
	if len(q.idle) < q.purgeAt {
		return
	}
	for c, tag := range q.idle {
		if tag <= q.virtual {
			delete(q.idle, c)
		}
	}
	q.purgeAt = 2*len(q.idle) + purgeSlack
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Used returns the room taken.
func (q *Queue) Used() Room { return q.used }

// Ahead returns a bound on the work, in tokens, that goes before a new item of
// a customer: all that waits, or what the customer's share makes of its own
// list, whichever is less.
func (q *Queue) Ahead(c names.Customer, share float64) int {
	f := q.flows[c]
	own, shares := 0, q.shares
	if f == nil {
		shares += weight(share)
	} else {
		own = f.used.Tokens
	}
	scaled := float64(own) * shares / weight(share)
	return min(q.used.Tokens, int(scaled))
}

func weight(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}

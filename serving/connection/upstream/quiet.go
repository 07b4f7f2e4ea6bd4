package upstream

import (
	"sync"
	"time"
)

// quietClock measures how long nothing has come from targets while answers are pending. It
// is safe for concurrent use.
type quietClock struct {
	mu      sync.Mutex
	pending int
	// since is when something last came, or when the first pending request was sent.
	since time.Time
}

// begin records that an answer is pending.
func (q *quietClock) begin() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == 0 {
		q.since = time.Now()
	}
	q.pending++
}

// end records that an answer is no longer pending.
func (q *quietClock) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending--
}

// heard records that something came.
func (q *quietClock) heard() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.since = time.Now()
}

func (q *quietClock) quiet() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == 0 {
		return 0
	}
	return time.Since(q.since)
}

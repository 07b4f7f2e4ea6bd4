// Package refusals remembers which requests a home has refused, so that a caller that returns
// as it was told is not refused again in favour of new ones.
//
// A caller that was refused sends the same request once more, through any daemon, as a new
// attempt with an ID of its own. The home of its targets has refused it and is asked again, so
// that it recognises the request by a hash of what stays the same. What a home has refused is
// not told to others: a home that takes over treats returned requests as new.
//
// # Load pattern
//
// At a peak, hundreds of requests a second are refused and return within seconds, together with
// as many new ones. Without memory each of them has the same chance of being refused again. The
// table is bounded: beyond its capacity new refusals are not remembered, and the requests count
// as new when they return.
//
// A Table is not safe for concurrent use.
package refusals

import "time"

// Fingerprint is a hash of what stays the same when a caller sends a request again. Zero
// stands for none.
type Fingerprint uint64

const (
	// maxAge is how long a refusal is remembered. Callers return within a third of the time
	// that they have left, which is seconds.
	maxAge = 15 * time.Second
	// capacity bounds the remembered refusals: those of some seconds at a peak, at some 50
	// bytes each.
	capacity = 8192
)

// Table holds recent refusals.
type Table struct {
	refused map[Fingerprint]time.Time
}

// New returns an empty table.
func New() *Table { return &Table{refused: make(map[Fingerprint]time.Time)} }

// Record records that a request was refused at now.
func (t *Table) Record(f Fingerprint, now time.Time) {
	if _, known := t.refused[f]; f == 0 || !known && len(t.refused) >= capacity {
		return
	}
	t.refused[f] = now
}

// Returned reports whether a request was refused within maxAge before now.
func (t *Table) Returned(f Fingerprint, now time.Time) bool {
	at, known := t.refused[f]
	return known && now.Sub(at) <= maxAge
}

// Placed records that a request has been placed.
func (t *Table) Placed(f Fingerprint) { delete(t.refused, f) }

// Sweep drops the refusals that are older than maxAge.
func (t *Table) Sweep(now time.Time) {
	for f, at := range t.refused {
		if now.Sub(at) > maxAge {
			delete(t.refused, f)
		}
	}
}

// Len returns the number of remembered refusals.
func (t *Table) Len() int { return len(t.refused) }

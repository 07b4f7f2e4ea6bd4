package ratelimits

import "time"

// Flow is what a bucket lets through at the moment.
type Flow struct {
	// Rate is in requests per second, and Size is what a full bucket holds, in requests.
	// If Rate is zero, Size must be zero too.
	Rate, Size float64
	// Debt is the largest number of requests that the bucket owes.
	Debt float64
}

// Bucket counts the requests that a home lets through to one target. It fills only while
// its daemon is a home of the target.
type Bucket struct {
	// tokens is the content at filledAt. It is negative after more requests than the flow
	// allows.
	tokens   float64
	filledAt time.Time
	// home is true while this daemon is a home of the target. askedAt is when it was last
	// asked as one.
	home    bool
	askedAt time.Time
}

// NewBucket returns an empty bucket of a daemon that is no home.
func NewBucket(now time.Time) Bucket { return Bucket{filledAt: now} }

// fill advances the bucket to now.
func (b *Bucket) fill(f Flow, now time.Time) {
	size := 0.0
	if b.home {
		size = f.Size
	}
	elapsed := max(now.Sub(b.filledAt), 0)
	b.tokens = min(b.tokens+elapsed.Seconds()*f.Rate, size)
	b.filledAt = now
}

// rounding is the error of a bucket's content that is tolerated, in tokens.
const rounding = 1e-6

// maxWait is the wait while the flow lets nothing through.
const maxWait = time.Hour

// Wait returns the time until a home may let a request through; zero if it may now. The
// daemon counts as a home for askedTime.
func (b *Bucket) Wait(f Flow, now time.Time) time.Duration {
	b.fill(f, now)
	b.home, b.askedAt = true, now
	switch {
	case b.tokens >= 1-rounding:
		return 0
	case f.Rate <= 0:
		return maxWait
	default:
		return time.Duration((1 - b.tokens) / f.Rate * float64(time.Second))
	}
}

// Take charges a request.
func (b *Bucket) Take(f Flow, now time.Time) {
	b.fill(f, now)
	b.tokens = max(b.tokens-1, -f.Debt)
}

// SetHome sets whether this daemon is a home of the target, as it knows the members.
func (b *Bucket) SetHome(f Flow, isHome bool, now time.Time) {
	b.fill(f, now)
	b.home = isHome || b.home && now.Sub(b.askedAt) < askedTime
	if !b.home {
		b.limit(0)
	}
}

// limit removes what is above a content.
func (b *Bucket) limit(tokens float64) { b.tokens = min(b.tokens, tokens) }

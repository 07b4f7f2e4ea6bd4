package load

import "time"

// Limits of the circuit breaker.
const (
	// BreakerFaults is the number of faults in a row that opens the breaker.
	BreakerFaults = 3
	// BreakerFirst is how long the breaker stays open the first time.
	BreakerFirst = time.Second
	// BreakerLongest bounds the doubling of that time.
	BreakerLongest = 30 * time.Second
)

// breaker spares a target that failed several times in a row. After a while
// one request probes it: a success closes the breaker, a fault opens it for
// twice as long.
type breaker struct {
	faults  int
	until   time.Time // end of the open state; zero while closed
	pause   time.Duration
	probing bool
}

// open reports whether the target takes no request now.
func (b *breaker) open(now time.Time) bool {
	if b.until.IsZero() {
		return false
	}
	return b.probing || now.Before(b.until)
}

func (b *breaker) dispatched(now time.Time) {
	if !b.until.IsZero() && !now.Before(b.until) {
		b.probing = true
	}
}

func (b *breaker) succeeded() { *b = breaker{} }

func (b *breaker) undecided() { b.probing = false }

func (b *breaker) failed(now time.Time) {
	b.faults++
	probed := b.probing
	b.probing = false
	switch {
	case probed:
		b.trip(now, min(2*b.pause, BreakerLongest))
	case b.until.IsZero() && b.faults >= BreakerFaults:
		b.trip(now, BreakerFirst)
	}
}

func (b *breaker) trip(now time.Time, pause time.Duration) {
	b.pause = pause
	b.until = now.Add(pause)
}

// rebooted lets a probe through at once: the target is a new process.
func (b *breaker) rebooted(now time.Time) {
	if !b.until.IsZero() {
		b.until = now
		b.probing = false
	}
}

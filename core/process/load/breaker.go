package load

import "time"

// Limits of the circuit breaker.
const (
	// BreakerThreshold is the number of consecutive failures that opens the
	// breaker.
	BreakerThreshold = 3
	// BreakerInitialCooldown is the cooldown after the breaker first opens.
	BreakerInitialCooldown = time.Second
	// BreakerMaxCooldown limits the cooldown, which doubles with each failed
	// probe.
	BreakerMaxCooldown = 30 * time.Second
)

// breaker excludes a target after several consecutive failures. After the
// cooldown one request probes the target: a success closes the breaker, a
// failure opens it again for twice as long.
type breaker struct {
	failures  int
	openUntil time.Time // end of the cooldown; zero while closed
	cooldown  time.Duration
	probing   bool
}

// open reports whether the target may not get a request now: the cooldown has
// not ended, or a probe is in flight.
func (b *breaker) open(now time.Time) bool {
	if b.openUntil.IsZero() {
		return false
	}
	return b.probing || now.Before(b.openUntil)
}

// dispatched marks the first request after the cooldown as the probe.
func (b *breaker) dispatched(now time.Time) {
	if !b.openUntil.IsZero() && !now.Before(b.openUntil) {
		b.probing = true
	}
}

func (b *breaker) succeeded() { *b = breaker{} }

// inconclusive ends a probe without a result, so that the next request probes
// the target.
func (b *breaker) inconclusive() { b.probing = false }

func (b *breaker) failed(now time.Time) {
	b.failures++
	probed := b.probing
	b.probing = false
	switch {
	case probed:
		b.trip(now, min(2*b.cooldown, BreakerMaxCooldown))
	case b.openUntil.IsZero() && b.failures >= BreakerThreshold:
		b.trip(now, BreakerInitialCooldown)
	}
}

func (b *breaker) trip(now time.Time, cooldown time.Duration) {
	b.cooldown = cooldown
	b.openUntil = now.Add(cooldown)
}

// rebooted ends the cooldown: the target is a new process, so the next request
// may probe it.
func (b *breaker) rebooted(now time.Time) {
	if !b.openUntil.IsZero() {
		b.openUntil = now
		b.probing = false
	}
}

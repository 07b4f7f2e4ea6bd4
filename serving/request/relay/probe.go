package relay

import (
	"context"
	"time"

	"carobspoke.example/core/names"
	"go.uber.org/zap"
)

// Looks at the target of a request that holds memory at others. A target that
// dies without a word ends the request at the others; the memory must be free
// within 4 s of that, and a connection alone may tell later.
const (
	probeEvery   = 800 * time.Millisecond
	probeTimeout = 600 * time.Millisecond
	// probeMisses in a row end the attempt.
	probeMisses = 2
)

// Prober asks a target whether it lives.
type Prober interface {
	Alive(ctx context.Context, address string, id names.Target) error
}

// holdsMemory reports whether a helper has memory set aside.
func holdsMemory(helpers []HelperAddress) bool {
	for _, h := range helpers {
		if h.Reservation != "" {
			return true
		}
	}
	return false
}

// probe looks at the target until the attempt ends, and ends it if the target
// does not answer.
func (a *attempt) probe() {
	misses := 0
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for misses < probeMisses {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
		err := a.relay.Prober.Alive(ctx, a.placed.Address, a.placed.Decision.Target)
		cancel()
		if err == nil {
			misses = 0
			continue
		}
		misses++
		a.relay.Log.Info("target does not answer a look", zap.String("request", a.facts.ID),
			zap.String("target", string(a.placed.Decision.Target)), zap.Int("misses", misses), zap.String("error", err.Error()))
	}
	a.cancel(errHung)
}

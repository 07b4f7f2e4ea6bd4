package relay

import (
	"context"
	"time"

	"carobspoke.example/core/names"
	"go.uber.org/zap"
)

// Probes of the target of a request that has memory reserved at helpers. If the
// target dies without closing its connections, the request must end at the
// helpers so that their memory is free within 4 s. The connection alone may
// report the failure later than that.
const (
	probeInterval = 800 * time.Millisecond
	probeTimeout  = 600 * time.Millisecond
	// maxProbeMisses is the number of consecutive failed probes that ends the
	// attempt.
	maxProbeMisses = 2
)

// Prober checks whether a target is alive.
type Prober interface {
	// Probe returns an error if the target does not answer.
	Probe(ctx context.Context, address string, id names.Target) error
}

// hasReservation reports whether memory is reserved at a helper.
func hasReservation(helpers []HelperAddress) bool {
	for _, h := range helpers {
		if h.Reservation != "" {
			return true
		}
	}
	return false
}

// probe probes the target until the attempt ends, and cancels the attempt if
// the target does not answer.
func (a *attempt) probe() {
	misses := 0
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for misses < maxProbeMisses {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(WithDispatch(a.ctx, a.placed.Key), probeTimeout)
		err := a.relay.Prober.Probe(ctx, a.placed.Address, a.placed.Decision.Target)
		cancel()
		if err == nil {
			misses = 0
			continue
		}
		misses++
		a.relay.Log.Info("target does not answer a look", zap.String("request", a.info.ID),
			zap.String("target", string(a.placed.Decision.Target)), zap.Int("misses", misses), zap.String("error", err.Error()))
	}
	a.cancel(errUnresponsive)
}

package targetstate

import (
	"time"

	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
)

// recordDecision remembers a request that was refused for lack of room, so that it is
// recognised when its caller returns. The caller must hold b.mu.
func (b *Board) recordDecision(r *placement.Request, d *placement.Decision, now time.Time) {
	switch {
	case d.Refusal == nil:
		b.refused.Placed(r.Fingerprint)
	case d.Refusal.Reason == verdict.Overloaded:
		b.refused.Record(r.Fingerprint, now)
	}
}

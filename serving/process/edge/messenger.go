package edge

import (
	"context"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/serving/process/dispatchsync"
)

// messenger passes messages to the daemon's exchange, which is built after the board.
// It implements targetstate.Messenger.
type messenger struct{ *Daemon }

// Ask implements targetstate.Messenger.
func (m messenger) Ask(ctx context.Context, home names.Host, number uint64, a *dispatchsync.Ask) (dispatchsync.Answer, error) {
	return m.exchange.Ask(ctx, home, number, a)
}

// Begin implements targetstate.Messenger.
func (m messenger) Begin(to []names.Host, d *inflight.Dispatch, idle time.Duration) {
	m.exchange.Begin(to, d, idle)
}

// FirstEvent implements targetstate.Messenger.
func (m messenger) FirstEvent(to []names.Host, number uint64) { m.exchange.FirstEvent(to, number) }

// End implements targetstate.Messenger.
func (m messenger) End(to []names.Host, number uint64) { m.exchange.End(to, number) }

// RecordOutcome implements targetstate.Messenger.
func (m messenger) RecordOutcome(to []names.Host, id names.Target, o dispatchsync.Outcome) {
	m.exchange.RecordOutcome(to, id, o)
}

// RecordLeaving implements targetstate.Messenger.
func (m messenger) RecordLeaving(to []names.Host, i replicas.Incarnation) {
	m.exchange.RecordLeaving(to, i)
}

// RecordLimit implements targetstate.Messenger.
func (m messenger) RecordLimit(to []names.Host, i replicas.Incarnation, s ratelimits.Statement) {
	m.exchange.RecordLimit(to, i, s)
}

// RecordUse implements targetstate.Messenger.
func (m messenger) RecordUse(to []names.Host, i replicas.Incarnation) { m.exchange.RecordUse(to, i) }

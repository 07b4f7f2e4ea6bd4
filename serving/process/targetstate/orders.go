package targetstate

import (
	"context"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/serving/request/relay"
	"carobspoke.example/serving/request/reserve"
	"github.com/pkg/errors"
)

// OrderClient sends orders and probes to targets. It passes what a target states in an
// answer to relay.ObserveStatement.
type OrderClient interface {
	reserve.Orders
	relay.Prober
}

// Orders passes orders and probes on to a client, and records what targets state in
// their answers. It implements OrderClient.
type Orders struct {
	board *Board
	next  OrderClient
}

// NewOrders returns an Orders that sends with next.
func NewOrders(b *Board, next OrderClient) *Orders { return &Orders{board: b, next: next} }

// Reserve implements reserve.Orders. While the target wants no requests, a few
// reservations that running requests use can be renewed, and while its data centre is
// evacuated all of those; the others fail with reserve.ErrNotSent.
func (o *Orders) Reserve(ctx context.Context, address string, id names.Target, reservation string, tokens int, hold time.Duration) error {
	if !o.board.mayReserve(ctx, id) {
		o.board.config.Count(countWithheld)
		return errors.Wrapf(reserve.ErrNotSent, "the data centre of target %s is evacuated", id)
	}
	if !o.board.takeRequest(id) {
		return o.withheld(id)
	}
	return o.next.Reserve(o.observed(ctx, id), address, id, reservation, tokens, hold)
}

// Release implements reserve.Orders. While the target wants no requests it fails with
// reserve.ErrNotSent: a reservation that is not renewed expires by itself.
func (o *Orders) Release(ctx context.Context, address string, id names.Target, reservation string) error {
	if o.board.wantsNothing(id) {
		return o.withheld(id)
	}
	return o.next.Release(o.observed(ctx, id), address, id, reservation)
}

// Probe implements relay.Prober. While the target wants no requests, none is sent and the
// target counts as alive: it has refused a request a short time ago, and its connections
// still show if it dies. The same holds while its data centre is evacuated.
func (o *Orders) Probe(ctx context.Context, address string, id names.Target) error {
	if o.board.wantsNothing(id) || o.board.inEvacuated(ctx, id) {
		o.board.config.Count(countWithheld)
		return nil
	}
	return o.next.Probe(o.observed(ctx, id), address, id)
}

// withheld counts an order that is not sent, and returns its error.
func (o *Orders) withheld(id names.Target) error {
	o.board.config.Count(countWithheld)
	return errors.Wrapf(reserve.ErrNotSent, "target %s has asked for time or named a limit", id)
}

// takeRequest reports whether an order that keeps running work alive may be sent.
func (b *Board) takeRequest(id names.Target) bool {
	i := b.incarnation(id)
	now := time.Now()
	b.mu.Lock()
	taken := b.asked.Take(i, now)
	rate, _ := b.limits.Rate(i, now)
	b.mu.Unlock()
	if taken && rate > 0 {
		b.chargeOrder(i, now)
	}
	if taken {
		b.chargeColdOrder(i, now)
	}
	return taken
}

// wantsNothing reports whether a target has asked this daemon for time, or takes a limited
// number of requests, which are left to callers.
func (b *Board) wantsNothing(id names.Target) bool {
	i := b.incarnation(id)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	rate, _ := b.limits.Rate(i, now)
	return rate > 0 || b.asked.Left(i, now) > 0
}

// observed returns a context in which statements of a target are recorded for its start
// as listed now.
func (o *Orders) observed(ctx context.Context, id names.Target) context.Context {
	i := o.board.incarnation(id)
	sentAt := time.Now()
	return relay.WithStatementObserver(ctx, func(s relay.Statement) { o.board.recordStatement(i, s, sentAt, source{}) })
}

// incarnation returns the start of a target as listed now. It is unknown if the target
// is not listed.
func (b *Board) incarnation(id names.Target) replicas.Incarnation {
	target, ok := b.config.Listed(id)
	if !ok {
		return replicas.Incarnation{ID: id}
	}
	return target.Incarnation()
}

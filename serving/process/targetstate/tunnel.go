package targetstate

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/process/dispatchsync"
	"carobspoke.example/serving/request/relay"
)

// MayPassOn returns nil if the request of a peer may be sent to a target from this host, as
// far as the target has stated and this daemon knows of evacuations. Limits are kept by the homes, which have given the peer leave.
func (b *Board) MayPassOn(id names.Target) *verdict.Error {
	i := b.incarnation(id)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evacuatedTarget(id, nil) {
		return b.evacuatedRefusal(id)
	}
	return b.refusal(i, time.Now())
}

// RecordPassedOn records what a target has stated in the answer to the request of a peer
// that was sent from this host at sentAt or later.
func (b *Board) RecordPassedOn(id names.Target, s relay.Statement, sentAt time.Time) {
	if s != (relay.Statement{}) {
		b.recordStatement(b.incarnation(id), s, sentAt, source{})
	}
}

// RecordUnreachable records that this daemon could not connect to a target for a peer, and
// tells the homes.
func (b *Board) RecordUnreachable(id names.Target) {
	b.recordOutcome(id, dispatchsync.Unreachable, verdict.TargetUnreachable)
	b.config.Messenger.RecordOutcome(b.homesOfTarget(id), id, dispatchsync.Unreachable)
}

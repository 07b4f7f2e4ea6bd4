package relay

import (
	"context"
	"net/http"

	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// errNotSent is the cause of a failure before anything was sent.
var errNotSent = errors.New("relay: the request was not sent")

// maxReplacements bounds how often a request is placed again, without a retry decision,
// because its target was taken out of use after the placement. Each of them needs a
// statement of a target within the milliseconds between placement and send.
const maxReplacements = 8

// isOwnAnswer reports whether an answer belongs to the request. It records what the
// target states in any answer, also in one that belongs to an earlier request. That of an
// earlier request says nothing about the limit in force.
func (a *attempt) isOwnAnswer(response *http.Response, reused bool) bool {
	reply := a.relay.Codec.ParseReply(response)
	own := a.relay.Codec.MatchesRequest(response, &a.info, reused)
	if !own {
		reply.Statement.Limit = Limit{}
	}
	if !reply.WrongTarget {
		a.recordStatement(reply.Statement, own)
	}
	if own {
		a.reply = reply
	}
	return own
}

// recordStatement records what an answer states at the board.
func (a *attempt) recordStatement(s Statement, own bool) {
	if s != (Statement{}) {
		a.relay.Board.RecordStatement(a.placed, s, a.info.ID)
	}
	if own && s.Limit == (Limit{}) {
		a.relay.Board.RecordNoLimit(a.placed, a.info.ID)
	}
}

// permit reports whether the request may still be sent to its target. It may have waited for
// reservations and for its connection. If the process was paused meanwhile, the board may not
// know of evacuations that all others know; Configuration then waits for the records.
func (a *attempt) permit() error {
	_ = a.relay.Configuration()
	err := a.relay.Board.MaySend(a.placed)
	if err == nil {
		err = a.checkSuspects()
	}
	a.notSent = err != nil
	return err
}

// notSentError returns the failure of an attempt that permit has ended.
func (a *attempt) notSentError(err error) error {
	failure := verdict.From(err)
	if failure.Reason == verdict.CrashSuspect {
		return failure // another target would refuse it as well
	}
	a.relay.Log.Info("not sent, the target takes no more requests", zap.String("request", a.info.ID),
		zap.String("target", string(a.placed.Decision.Target)), zap.String("reason", string(failure.Reason)), zap.String("error", failure.Error()))
	return verdict.Wrap(errors.Wrap(errNotSent, failure.Error()), verdict.NotRun, failure.Reason, failure.Message).WithRetryAfter(failure.RetryAfter)
}

// placeAgain returns nil if the request is placed again at once after a failure before
// anything was sent, and the failure after maxReplacements of them.
func (q *request) placeAgain(failure *verdict.Error) error {
	if q.replacements >= maxReplacements {
		return failure.WithVerdict(q.verdict)
	}
	q.replacements++
	return nil
}

// withRoomAfter returns the failure of a request that no target took, with a retry delay
// after which one may take it, if the targets of its service have stated when. Other
// failures are returned unchanged: a daemon that stops sends its callers to others at
// once, and a refusal because of such statements has that delay already.
func (q *request) withRoomAfter(failure *verdict.Error) *verdict.Error {
	if q.service == nil || failure.Verdict != verdict.NotRun || !isUntaken(failure.Reason) {
		return failure
	}
	if after := q.relay.Board.RoomAfter(q.service.Name); after > failure.RetryAfter {
		return failure.WithRetryAfter(after)
	}
	return failure
}

// isUntaken reports whether a failure means that no target took the request.
func isUntaken(r verdict.Reason) bool {
	switch r {
	case verdict.NoTarget, verdict.TargetRefused, verdict.TargetLeaving, verdict.TargetUnreachable, verdict.SpanUnavailable, verdict.RetryBudgetSpent:
		return true
	default:
		return false
	}
}

type statementObserver struct{}

// WithStatementObserver returns a context in which observe is called with what a target
// states in an answer to an order or a probe.
func WithStatementObserver(ctx context.Context, observe func(Statement)) context.Context {
	return context.WithValue(ctx, statementObserver{}, observe)
}

// ObserveStatement passes a statement to the observer of a context, if there is one. The
// clients of orders and probes call it.
func ObserveStatement(ctx context.Context, s Statement) {
	if observe, ok := ctx.Value(statementObserver{}).(func(Statement)); ok && s != (Statement{}) {
		observe(s)
	}
}

package relay

import (
	"context"
	"net/http"
	"time"

	"carobspoke.example/core/process/suspects"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// recordCompletion records a request that a target completed with success. A stream
// without events does not count: the target did not begin to write.
func (a *attempt) recordCompletion() {
	written := a.route.Kind != routing.Streaming || a.lastReply.events > 0
	if a.lastReply.status < http.StatusMultipleChoices && written {
		a.recordSound()
	}
}

// recordLastingAnswer records a request that the target has been answering for so long that
// it would have crashed the target if it could.
func (a *attempt) recordLastingAnswer() {
	if time.Since(a.eventsSince) >= suspects.AccusedFor {
		a.recordSound()
	}
}

// recordSound records, once, that the request did not crash the target.
func (a *attempt) recordSound() {
	if a.sound {
		return
	}
	a.sound = true
	a.relay.Suspects.Sound(&a.shared, a.sentAt)
}

// recordLoss records a connection to the target that broke, and returns the log field for
// it. It does nothing for other failures. It stops waiting when a retry would become too
// late.
func (a *attempt) recordLoss(failure *verdict.Error) zap.Field {
	if failure.Reason != verdict.AnswerCut || a.r.Context().Err() != nil {
		return zap.Skip()
	}
	ctx, cancel := context.WithDeadline(a.r.Context(), a.deadline.Add(-minAttemptTime))
	defer cancel()
	l := &Loss{
		Request: &a.shared, Service: a.service.Name, Address: a.placed.Address,
		Target: a.placed.Incarnation,
	}
	if !a.eventsSince.IsZero() {
		l.SinceFirstEvent = time.Since(a.eventsSince)
	}
	ended, mayRetry := a.relay.Suspects.ConnectionLost(ctx, l)
	a.suspect = a.suspect || !mayRetry
	return zap.Object("loss", lossField{Loss: l, ended: ended})
}

// lossField describes a connection that broke, for the log.
type lossField struct {
	*Loss
	ended bool
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l lossField) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddBool("ended", l.ended)
	e.AddInt64("started", l.Target.Started)
	return e.AddArray("parts", zapcore.ArrayMarshalerFunc(func(list zapcore.ArrayEncoder) error {
		for _, item := range l.Request.Parts() {
			list.AppendString(item.String())
		}
		return nil
	}))
}

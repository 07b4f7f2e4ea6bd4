package relay

import (
	"net/http"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"go.uber.org/zap"
)

// PriorityObserver is an Observer that also counts refusals by priority.
type PriorityObserver interface {
	// RefusedAt counts a request of a priority that provably did not run.
	RefusedAt(priority int, reason verdict.Reason)
}

// finish answers the caller with the error, or logs the answer if err is nil.
func (q *request) finish(err error) {
	now := time.Now()
	took := now.Sub(q.started)
	if err == nil {
		t := q.timing(now)
		q.relay.Observer.Answered(t)
		q.relay.Log.Info("answered", zap.String("request", q.info.ID), zap.String("route", q.route.Name),
			zap.String("class", string(t.Class)), zap.Duration("queue", t.Queue), zap.Duration("first", t.FirstEvent),
			zap.Duration("took", took), zap.Duration("longest_pause", t.LongestPause), zap.Int("sends", q.sends),
			zap.Int("priority", t.Priority), zap.Int("tokens", q.info.PromptTokens), q.lastReply.field())
		return
	}
	failure := verdict.From(err)
	if failure.Verdict == verdict.NotRun && failure.RetryAfter == 0 && failure.Reason != verdict.RegionNotAllowed {
		failure = failure.WithRetryAfter(refusalRetryAfter)
	}
	failure = q.withRoomAfter(failure)
	q.relay.Observer.Refused(failure)
	if o, ok := q.relay.Observer.(PriorityObserver); ok && q.route != nil && failure.Verdict == verdict.NotRun {
		o.RefusedAt(q.priority(), failure.Reason)
	}
	q.logFailure(failure, took)
	if failure.Reason == verdict.CallerGone {
		panic(http.ErrAbortHandler)
	}
	if q.answerStarted {
		panic(http.ErrAbortHandler) // the caller must detect that the answer is incomplete
	}
	// Without a deadline, callers that send requests and read no refusals would keep their
	// connections for good.
	_ = http.NewResponseController(q.w).SetWriteDeadline(now.Add(q.relay.unreadTime)) // not all writers support deadlines
	h := q.w.Header()
	clear(h)
	status := q.relay.Codec.Refuse(h, &q.info, failure)
	h.Set("Content-Length", "0")
	q.w.WriteHeader(status)
}

func (q *request) logFailure(failure *verdict.Error, took time.Duration) {
	route, priority := "", zap.Skip()
	if q.route != nil {
		route, priority = q.route.Name, zap.Int("priority", q.priority())
	}
	version := names.Version(0)
	if q.table != nil {
		version = q.table.Version
	}
	q.relay.Log.Info("not answered", zap.String("request", q.info.ID), zap.String("route", route),
		zap.String("reason", string(failure.Reason)), zap.String("verdict", failure.Verdict.String()),
		zap.Duration("took", took), zap.Duration("retry_after", failure.RetryAfter), zap.Int("sends", q.sends),
		zap.Bool("begun", q.answerStarted), zap.Uint64("version", uint64(version)), priority, zap.Int("tokens", q.info.PromptTokens),
		q.lastReply.field(), q.config.field(failure.Reason), causeField(failure))
}

// field returns the log field for what a refusal says of the configuration, which depends on
// its age.
func (c *Configuration) field(reason verdict.Reason) zap.Field {
	switch reason {
	case verdict.UnknownService, verdict.Unauthenticated, verdict.NotReady:
		return zap.Dict("configuration", zap.Bool("recent", c.Recent), zap.Duration("age", c.Age), zap.String("evidence", c.Evidence))
	default:
		return zap.Skip()
	}
}

// causeField returns the log field for the cause of a failure, without the
// stack trace that the error carries.
func causeField(failure *verdict.Error) zap.Field {
	if err := failure.Unwrap(); err != nil {
		return zap.String("error", err.Error())
	}
	return zap.Skip()
}

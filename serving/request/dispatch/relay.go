package dispatch

import (
	"context"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/forward"
)

// relay runs a generation through a daemon that keeps targets of its model. If
// the relay fails, another one resumes the stream at the next token that the
// caller needs.
func (d *Dispatcher) relay(ctx context.Context, r forward.Request, sink *ticketSink) error {
	var avoid []names.Host
	var worst verdict.Verdict
	for attempts := 1; ; attempts++ {
		host, ok := d.Relays.Pick(r.Facts.Model, avoid)
		if !ok {
			return verdict.New(worst, verdict.NoTarget, "no daemon keeps a target of the model")
		}
		err := d.Forward.Generate(ctx, host, r, sink)
		if err == nil {
			return nil
		}
		failure := verdict.From(err)
		worst = verdict.Join(worst, failure.Verdict)
		if !isPeerFailure(failure.Reason) {
			return failure.WithVerdict(worst)
		}
		d.Relays.Failed(host)
		next := retry.Attempt{Count: attempts, Failure: failure, Idempotent: true, Deadline: r.Facts.Deadline}
		if err := d.Retries.WaitForRetry(ctx, next); err != nil {
			return verdict.From(err).WithVerdict(worst)
		}
		avoid = append(avoid, host)
		r = continuedRequest(r, sink)
	}
}

// isPeerFailure reports whether a failure occurred between daemons. Failures at
// targets were already retried by the relay.
func isPeerFailure(reason verdict.Reason) bool {
	switch reason {
	case verdict.PeerUnreachable, verdict.PeerFailed, verdict.DaemonDraining, verdict.NotReady:
		return true
	default:
		return false
	}
}

// continuedRequest returns the request to forward to the next relay. It starts at
// the next token, and resumes the stream if a target has started to run it.
func continuedRequest(r forward.Request, sink *ticketSink) forward.Request {
	r.Facts.DeliveredTokens = max(r.Facts.DeliveredTokens, sink.nextOffset)
	if sink.lastTarget != "" {
		r.Target = sink.lastTarget
		r.Resume = true
	}
	return r
}

package dispatch

import (
	"context"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/forward"
)

// relay runs a generation through a daemon that keeps targets of its model.
// When the relay is lost, another one takes the stream up at the token that
// the caller needs next.
func (d *Dispatcher) relay(ctx context.Context, r forward.Request, sink *ticketSink) error {
	var avoid []names.Host
	var worst verdict.Verdict
	for made := 1; ; made++ {
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
		if !betweenDaemons(failure.Reason) {
			return failure.WithVerdict(worst)
		}
		d.Relays.Failed(host)
		next := retry.Attempt{Count: made, Failure: failure, Idempotent: true, Deadline: r.Facts.Deadline}
		if err := d.Retries.WaitForRetry(ctx, next); err != nil {
			return verdict.From(err).WithVerdict(worst)
		}
		avoid = append(avoid, host)
		r = continued(r, sink)
	}
}

// betweenDaemons reports whether a failure lies between daemons. Failures at
// targets were already repeated by the relay.
func betweenDaemons(reason verdict.Reason) bool {
	switch reason {
	case verdict.PeerUnreachable, verdict.PeerFailed, verdict.DaemonDraining, verdict.NotReady:
		return true
	default:
		return false
	}
}

// continued returns the request as it goes to the next relay.
func continued(r forward.Request, sink *ticketSink) forward.Request {
	r.Facts.DeliveredTokens = max(r.Facts.DeliveredTokens, sink.next)
	if sink.at != "" {
		r.Target = sink.at
		r.Resume = true
	}
	return r
}

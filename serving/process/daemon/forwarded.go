package daemon

import (
	"context"

	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/request/forward"
)

// forwarded serves what other daemons forward, and counts it as in flight, so
// that a drain waits for it.
type forwarded struct {
	d *Daemon
}

// RunForwarded implements forward.Runner.
func (f forwarded) RunForwarded(ctx context.Context, r forward.Request, sink forward.Sink) error {
	f.d.active.Add(1)
	defer f.d.active.Add(-1)
	return f.d.dispatcher.RunForwarded(ctx, r, sink)
}

// RunForwardedCall implements forward.Caller.
func (f forwarded) RunForwardedCall(ctx context.Context, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	f.d.active.Add(1)
	defer f.d.active.Add(-1)
	return f.d.calls.RunForwarded(ctx, m)
}

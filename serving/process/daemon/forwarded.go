package daemon

import (
	"context"

	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/request/forward"
)

// forwardRunner runs requests and calls that other daemons forward, and counts
// them as in flight, so that a drain waits for them.
type forwardRunner struct {
	d *Daemon
}

// RunForwarded implements forward.Runner.
func (f forwardRunner) RunForwarded(ctx context.Context, r forward.Request, sink forward.Sink) error {
	f.d.inFlight.Add(1)
	defer f.d.inFlight.Add(-1)
	return f.d.dispatcher.RunForwarded(ctx, r, sink)
}

// RunForwardedCall implements forward.CallRunner.
func (f forwardRunner) RunForwardedCall(ctx context.Context, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	f.d.inFlight.Add(1)
	defer f.d.inFlight.Add(-1)
	return f.d.calls.RunForwarded(ctx, m)
}

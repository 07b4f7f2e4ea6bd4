package edge

import (
	"context"

	"carobspoke.example/core/process/inflight"
	"google.golang.org/grpc/stats"
)

// Begun implements targetstate.Broadcaster.
func (b broadcaster) Begun(d *inflight.Dispatch) { b.exchange.Begun(d) }

// FirstEvent implements targetstate.Broadcaster.
func (b broadcaster) FirstEvent(number uint64) { b.exchange.FirstEvent(number) }

// Ended implements targetstate.Broadcaster.
func (b broadcaster) Ended(number uint64) { b.exchange.Ended(number) }

// noopStats discards gRPC statistics: these daemons rarely call each other.
type noopStats struct{}

// TagRPC implements stats.Handler.
func (noopStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (noopStats) HandleRPC(context.Context, stats.RPCStats) {}

// TagConn implements stats.Handler.
func (noopStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (noopStats) HandleConn(context.Context, stats.ConnStats) {}

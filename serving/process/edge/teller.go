package edge

import (
	"context"

	"carobspoke.example/core/process/inflight"
	"google.golang.org/grpc/stats"
)

// Begun implements board.Teller.
func (t teller) Begun(d *inflight.Dispatch) { t.sharing.Begun(d) }

// FirstEvent implements board.Teller.
func (t teller) FirstEvent(number uint64) { t.sharing.FirstEvent(number) }

// Ended implements board.Teller.
func (t teller) Ended(number uint64) { t.sharing.Ended(number) }

// noStats counts nothing: calls between these daemons are rare.
type noStats struct{}

// TagRPC implements stats.Handler.
func (noStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (noStats) HandleRPC(context.Context, stats.RPCStats) {}

// TagConn implements stats.Handler.
func (noStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (noStats) HandleConn(context.Context, stats.ConnStats) {}

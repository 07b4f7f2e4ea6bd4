package edge

import (
	"context"

	"google.golang.org/grpc/stats"
)

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

package budget

import (
	"context"
	"strings"

	core "carobspoke.example/core/process/budget"
	"google.golang.org/grpc/stats"
)

// callHeaderBytes estimates the bytes of all headers, down to IP, of a message of
// a call between daemons on an open connection.
const callHeaderBytes = 160

// controlServices maps the method prefixes of control services to their
// mechanisms. Forwarding is not among them because it carries requests.
var controlServices = map[string]core.Mechanism{
	"/carobspoke.peer.v1.Manifests/": core.Distribution,
	"/carobspoke.peer.v1.Quotas/":    core.Quota,
}

// RPCMeter is a gRPC stats handler that counts the messages of control services.
// It works for clients and servers.
type RPCMeter struct {
	Meter *Meter
}

var _ stats.Handler = RPCMeter{}

// mechanismKey is the context key of a call's mechanism.
type mechanismKey struct{}

// TagRPC implements stats.Handler.
func (c RPCMeter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	for prefix, mechanism := range controlServices {
		if strings.HasPrefix(info.FullMethodName, prefix) {
			return context.WithValue(ctx, mechanismKey{}, mechanism)
		}
	}
	return ctx
}

// HandleRPC implements stats.Handler.
func (c RPCMeter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	mechanism, ok := ctx.Value(mechanismKey{}).(core.Mechanism)
	if !ok {
		return
	}
	switch event := s.(type) {
	case *stats.InPayload:
		c.Meter.CountMessage(mechanism, event.WireLength+callHeaderBytes)
	case *stats.OutPayload:
		c.Meter.CountMessage(mechanism, event.WireLength+callHeaderBytes)
	}
}

// TagConn implements stats.Handler.
func (c RPCMeter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (c RPCMeter) HandleConn(context.Context, stats.ConnStats) {}

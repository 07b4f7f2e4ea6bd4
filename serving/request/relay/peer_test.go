package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/tunnel"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/peerpb"
	"google.golang.org/grpc/stats"
)

// openGate lets peers connect to all targets.
type openGate struct {
	// heads receives the status of each head that the peer observes. It may be nil.
	heads chan int
}

func (openGate) Admit(names.Target, string) peerpb.TunnelDown_Status {
	return peerpb.TunnelDown_STATUS_OPEN
}
func (openGate) Evacuated(names.Target) bool                       { return false }
func (openGate) ReachesTargets(context.Context, names.Target) bool { return true }
func (openGate) Connected(names.Target)                            {}
func (openGate) Unreachable(names.Target)                          {}

func (g openGate) Observe(_ names.Target, head *http.Response, _ time.Time) {
	if g.heads != nil {
		g.heads <- head.StatusCode
	}
}

type noStats struct{}

func (noStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (noStats) HandleRPC(context.Context, stats.RPCStats)                         {}
func (noStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (noStats) HandleConn(context.Context, stats.ConnStats)                       {}

// way is how a relay reaches targets.
type way string

const (
	direct      way = "direct"
	throughPeer way = "through a peer"
)

// reach lets the relay reach targets in a way.
func (f *fixture) reach(w way, gate openGate) {
	f.t.Helper()
	if w == direct {
		return
	}
	f.relay.Pool.Dial = dialThroughPeer(f.t, gate)
}

// dialThroughPeer starts a peer and returns a Dialer that connects through it.
func dialThroughPeer(t *testing.T, gate openGate) upstream.Dialer {
	t.Helper()
	server := peers.NewServer(nil, noStats{})
	peerpb.RegisterTunnelsServer(server, &tunnel.Server{Gate: gate, Dial: upstream.DialTCP})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // returns after Stop
	t.Cleanup(server.Stop)
	pool := peers.NewPool(nil, noStats{}, nil)
	t.Cleanup(pool.Close)
	client, peer := &tunnel.Client{Pool: pool}, names.Host(listener.Addr().String())
	return func(ctx context.Context, id names.Target, address string) (net.Conn, error) {
		conn, err := client.Dial(ctx, peer, id, address)
		if err != nil {
			return nil, err // a nil *tunnel.Conn is no nil net.Conn
		}
		return conn, nil
	}
}

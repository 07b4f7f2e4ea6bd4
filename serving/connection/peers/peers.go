// Package peers keeps connections to other daemons: one gRPC connection for
// each peer in use, with mutual TLS where the settings name keys.
//
// gRPC resends a call by itself in two cases. Retries by policy are switched
// off here. Transparent retries, of calls that gRPC knows no server has
// processed, cannot be switched off; they are harmless since forwarded calls
// carry a ticket, key or stream ID by which the receiver knows them again.
package peers

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
)

// Limits of connections between daemons.
const (
	// MaxMessageBytes bounds a message: a prompt of a million tokens and its
	// fields.
	MaxMessageBytes = 24 << 20
	// KeepaliveTime is how long a connection with calls may be silent before
	// it is probed; KeepaliveTimeout is how long the probe may take.
	KeepaliveTime    = 10 * time.Second
	KeepaliveTimeout = 3 * time.Second
	// ConnectTimeout bounds an attempt to connect.
	ConnectTimeout = time.Second
	// MaxConnectBackoff bounds the wait between two attempts.
	MaxConnectBackoff = 5 * time.Second
	// IdleTimeout closes connections without calls.
	IdleTimeout = 5 * time.Minute
)

// Dialer connects to an address, "IP:port".
type Dialer = func(ctx context.Context, address string) (net.Conn, error)

// Pool holds the connections of a process. Its methods are safe for
// concurrent use.
type Pool struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[names.Host]*grpc.ClientConn
}

// NewPool returns an empty pool. config is nil for plain TCP; meter counts
// calls; dial connects to an address, and is nil for TCP.
func NewPool(config *tls.Config, meter stats.Handler, dial Dialer) *Pool {
	creds := insecure.NewCredentials()
	if config != nil {
		creds = credentials.NewTLS(config)
	}
	p := &Pool{
		conns: make(map[names.Host]*grpc.ClientConn),
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(creds),
			grpc.WithDisableRetry(),
			grpc.WithStatsHandler(meter),
			grpc.WithNoProxy(),
			grpc.WithConnectParams(connectParams()),
			grpc.WithIdleTimeout(IdleTimeout),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: KeepaliveTime, Timeout: KeepaliveTimeout}),
			grpc.WithDefaultCallOptions(
				grpc.MaxCallRecvMsgSize(MaxMessageBytes),
				grpc.MaxCallSendMsgSize(MaxMessageBytes),
			),
		},
	}
	if dial != nil {
		p.options = append(p.options, grpc.WithContextDialer(dial))
	}
	return p
}

func connectParams() grpc.ConnectParams {
	params := grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: ConnectTimeout}
	params.Backoff.BaseDelay = ConnectTimeout / 10
	params.Backoff.MaxDelay = MaxConnectBackoff
	return params
}

// Conn returns the connection to a peer, which may still be connecting.
func (p *Pool) Conn(host names.Host) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[host]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+string(host), p.options...)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", host)
	}
	p.conns[host] = conn
	return conn, nil
}

// Forget closes the connection to a peer that has left the fleet.
func (p *Pool) Forget(host names.Host) {
	p.mu.Lock()
	conn, ok := p.conns[host]
	delete(p.conns, host)
	p.mu.Unlock()
	if ok {
		_ = conn.Close() // nothing is left to be done
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[names.Host]*grpc.ClientConn)
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // nothing is left to be done
	}
}

// NewServer returns a gRPC server for peers. config is nil for plain TCP;
// meter counts calls.
func NewServer(config *tls.Config, meter stats.Handler) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.StatsHandler(meter),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             KeepaliveTime / 2,
			PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: KeepaliveTime, Timeout: KeepaliveTimeout}),
	}
	if config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	return grpc.NewServer(options...)
}

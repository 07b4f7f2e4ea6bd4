// Package peers manages connections to other daemons: one gRPC connection per peer
// in use, with mutual TLS if the settings configure keys.
//
// gRPC retries calls on its own in two cases. Retries by policy are disabled here.
// Transparent retries, of calls that no server has processed, cannot be disabled;
// they are harmless because a forwarded call carries a ticket, idempotency key or
// stream ID by which the receiver detects duplicates.
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
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// Limits of connections between daemons.
const (
	// MaxMessageBytes is the size limit of a message, in bytes: enough for a
	// prompt of a million tokens and the other fields of a request.
	MaxMessageBytes = 24 << 20
	// KeepaliveTime is the time without received data after which a
	// connection with calls in flight is probed. KeepaliveTimeout is the
	// time after which an unanswered probe closes the connection.
	KeepaliveTime    = 10 * time.Second
	KeepaliveTimeout = 3 * time.Second
	// ConnectTimeout is the timeout of a connection attempt. gRPC extends it
	// to the current backoff if that is longer.
	ConnectTimeout = time.Second
	// MaxConnectBackoff is the maximum backoff between two connection attempts.
	MaxConnectBackoff = 5 * time.Second
	// IdleTimeout is the time after which a connection without calls is
	// closed.
	IdleTimeout = 5 * time.Minute
)

// Dialer opens a connection to an address, "IP:port".
type Dialer = func(ctx context.Context, address string) (net.Conn, error)

// Pool holds one connection per peer. Its methods are safe for concurrent use.
type Pool struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[names.Host]*grpc.ClientConn
}

// NewPool returns an empty pool. A nil config disables TLS; meter records
// statistics of calls; dial opens connections, and nil means TCP.
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

// Conn returns the connection to a peer and creates it if there is none. It may
// not be established yet.
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

// Remove closes and removes the connection to a peer, for example one that has
// left the fleet.
func (p *Pool) Remove(host names.Host) {
	p.mu.Lock()
	conn, ok := p.conns[host]
	delete(p.conns, host)
	p.mu.Unlock()
	if ok {
		_ = conn.Close() // the connection is no longer used
	}
}

// Close closes and removes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[names.Host]*grpc.ClientConn)
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the connection is no longer used
	}
}

// Bounds are what a server takes from all peers together. A zero field bounds nothing beyond
// the limits of this package.
type Bounds struct {
	// Calls bounds the calls in progress of all connections, and CallsPerConnection those
	// of one. Further calls fail with codes.ResourceExhausted, or wait at the peer.
	Calls, CallsPerConnection int
	// MessageBytes bounds a message, and HeaderBytes the header of a call.
	MessageBytes, HeaderBytes int
	// HandshakeTime bounds the set-up of a connection.
	HandshakeTime time.Duration
}

// options returns the options of a server with these bounds.
func (b Bounds) options() []grpc.ServerOption {
	var options []grpc.ServerOption
	if b.Calls > 0 {
		slots := make(callSlots, b.Calls)
		options = append(options, grpc.UnaryInterceptor(slots.unary), grpc.StreamInterceptor(slots.stream))
	}
	if b.CallsPerConnection > 0 {
		options = append(options, grpc.MaxConcurrentStreams(uint32(b.CallsPerConnection)))
	}
	if b.MessageBytes > 0 {
		options = append(options, grpc.MaxRecvMsgSize(b.MessageBytes))
	}
	if b.HeaderBytes > 0 {
		options = append(options, grpc.MaxHeaderListSize(uint32(b.HeaderBytes)))
	}
	if b.HandshakeTime > 0 {
		options = append(options, grpc.ConnectionTimeout(b.HandshakeTime))
	}
	return options
}

// callSlots bounds the calls in progress of a server.
type callSlots chan struct{}

var errTooManyCalls = status.Error(codes.ResourceExhausted, "too many calls of peers are in progress")

func (s callSlots) unary(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	select {
	case s <- struct{}{}:
		defer func() { <-s }()
		return handle(ctx, request)
	default:
		return nil, errTooManyCalls
	}
}

func (s callSlots) stream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	select {
	case s <- struct{}{}:
		defer func() { <-s }()
		return handle(server, stream)
	default:
		return errTooManyCalls
	}
}

// NewServer returns a gRPC server for calls from peers. A nil config disables TLS;
// meter records statistics of calls.
func NewServer(config *tls.Config, meter stats.Handler) *grpc.Server {
	return NewBoundedServer(config, meter, Bounds{})
}

// NewBoundedServer is NewServer with bounds for what peers may send.
func NewBoundedServer(config *tls.Config, meter stats.Handler, bounds Bounds) *grpc.Server {
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
	return grpc.NewServer(append(options, bounds.options()...)...)
}

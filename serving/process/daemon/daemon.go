// Package daemon builds the components of the serving process and starts and
// stops them in order.
//
// Start order: peers first, then the manifest, then callers, so that no request
// is admitted before a manifest is in force. Stop order: refuse new requests,
// wait for those in flight, then exit.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/budget"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/connection/tlskeys"
	"carobspoke.example/serving/platform"
	"carobspoke.example/serving/process/budget"
	"carobspoke.example/serving/process/counters"
	"carobspoke.example/serving/process/distribution"
	"carobspoke.example/serving/process/fleet"
	"carobspoke.example/serving/process/keeper"
	"carobspoke.example/serving/process/membership"
	"carobspoke.example/serving/process/quota"
	"carobspoke.example/serving/process/settings"
	"carobspoke.example/serving/request/calls"
	"carobspoke.example/serving/request/dispatch"
	"carobspoke.example/serving/request/retries"
	"carobspoke.example/serving/version"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

// Listeners are the sockets of a daemon. A nil listener is opened at the address
// in the settings.
type Listeners struct {
	Caller net.Listener
	Admin  net.Listener
	Peer   net.Listener
}

// Options configure a Daemon.
type Options struct {
	Settings  *settings.Settings
	Log       *zap.Logger
	Listeners Listeners
	// Platform replaces the HTTP client of the platform in tests. Nil means
	// that client.
	Platform platform.Platform
	// Network opens the socket for datagrams between daemons, and Dial
	// connects to a peer; nil means UDP and TCP. Tests use them to drop or
	// delay traffic and to cut connections.
	Network func(host names.Host) (membership.Network, error)
	Dial    func(ctx context.Context, address string) (net.Conn, error)
}

// Daemon is one incarnation of the serving process on a host.
type Daemon struct {
	settings    *settings.Settings
	log         *zap.Logger
	incarnation names.Incarnation
	listeners   Listeners
	platform    platform.Platform
	network     func(host names.Host) (membership.Network, error)
	dial        func(ctx context.Context, address string) (net.Conn, error)
	callerTLS   *tls.Config
	peerTLS     *tlskeys.KeyPair

	counters *counters.Counters
	versions *version.Holder
	hosts    hostList
	members  *membership.Membership
	fleet    *fleet.Fleet
	// requestTransport carries callers' requests to targets. pollTransport
	// carries reports, polls and orders, and is metered.
	requestTransport http.RoundTripper
	pollTransport    http.RoundTripper
	meter            *budget.Meter
	pool             *peers.Pool
	quota            *quota.Quota
	keeperAdapter    *keeperAdapter
	keeper           *keeper.Keeper
	retries          *retries.Retries
	calls            *calls.Server
	distributor      *distribution.Distributor
	admitter         *dispatch.Admitter
	dispatcher       *dispatch.Dispatcher

	callerServer *http.Server
	adminServer  *http.Server
	peerServer   *grpc.Server

	draining atomic.Bool
	inFlight atomic.Int64
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// New opens the sockets and builds the components. Nothing runs until Start.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		settings:         o.Settings,
		log:              o.Log,
		incarnation:      names.Incarnation(time.Now().UnixNano()),
		listeners:        o.Listeners,
		platform:         o.Platform,
		network:          o.Network,
		dial:             o.Dial,
		counters:         counters.New(),
		versions:         &version.Holder{},
		requestTransport: targetapi.NewTransport(),
		meter:            &budget.Meter{},
	}
	d.pollTransport = &budget.Transport{Next: targetapi.NewTransport(), Meter: d.meter, Mechanism: core.Keeping}
	if d.network == nil {
		d.network = membership.ListenUDP
	}
	if d.dial == nil {
		d.dial = dialTCP
	}
	if d.platform == nil {
		transport := &budget.Transport{Next: targetapi.NewTransport(), Meter: d.meter, Mechanism: core.Platform}
		d.platform = platform.NewClient(o.Settings.Platform.Address, transport)
	}
	steps := []func() error{d.loadKeys, d.listen, d.build}
	for _, step := range steps {
		if err := step(); err != nil {
			d.closeListeners()
			return nil, err
		}
	}
	return d, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func (d *Daemon) loadKeys() error {
	if caller := d.settings.Caller; caller.CertFile != "" {
		pair, err := tlskeys.Load(caller.CertFile, caller.KeyFile, "")
		if err != nil {
			return err
		}
		d.callerTLS = pair.ServerConfig()
	}
	if peer := d.settings.Peer; peer.CertFile != "" {
		pair, err := tlskeys.Load(peer.CertFile, peer.KeyFile, peer.CAFile)
		if err != nil {
			return err
		}
		d.peerTLS = pair
	}
	return nil
}

func (d *Daemon) listen() error {
	sockets := []struct {
		listener *net.Listener
		address  string
	}{
		{&d.listeners.Peer, string(d.settings.Host)},
		{&d.listeners.Admin, d.settings.Admin.Listen},
		{&d.listeners.Caller, d.settings.Caller.Listen},
	}
	for _, socket := range sockets {
		if *socket.listener != nil {
			continue
		}
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*socket.listener = listener
	}
	return nil
}

// Host returns the address of this daemon for its peers.
func (d *Daemon) Host() names.Host { return names.Host(d.listeners.Peer.Addr().String()) }

// DataCentre returns the data centre of this daemon's host.
func (d *Daemon) DataCentre() names.DataCentre { return d.settings.DataCentre }

// Ready returns nil if the daemon accepts new requests, and otherwise the
// verdict with which it refuses them.
func (d *Daemon) Ready() error { return d.ready() }

// LiveMemberCount returns the number of live members in this daemon's view,
// itself included.
func (d *Daemon) LiveMemberCount() int { return len(d.fleet.View().Members) }

// KeepsEngineOf reports whether this daemon is a keeper of an engine of a model.
func (d *Daemon) KeepsEngineOf(model names.Model) bool { return d.fleet.Keeps(model) }

// CallerAddress returns the address of the caller interface.
func (d *Daemon) CallerAddress() string { return d.listeners.Caller.Addr().String() }

// AdminAddress returns the address of the administration interface.
func (d *Daemon) AdminAddress() string { return d.listeners.Admin.Addr().String() }

// Counters returns the daemon's counters.
func (d *Daemon) Counters() *counters.Counters { return d.counters }

// Versions returns the holder of the manifest in force.
func (d *Daemon) Versions() *version.Holder { return d.versions }

// Start starts the background loops and serves the peer, administration and
// caller interfaces. It does not block.
func (d *Daemon) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, loop := range d.loops() {
		d.running.Go(func() { loop(ctx) })
	}
	d.running.Go(func() { d.servePeers() })
	d.running.Go(func() { d.serveHTTP(d.adminServer, d.listeners.Admin) })
	d.running.Go(func() { d.serveHTTP(d.callerServer, d.callerListener()) })
	d.log.Info("started",
		zap.String("host", string(d.Host())),
		zap.String("caller", d.CallerAddress()),
		zap.String("admin", d.AdminAddress()),
		zap.Uint64("incarnation", uint64(d.incarnation)))
}

func (d *Daemon) callerListener() net.Listener {
	if d.callerTLS == nil {
		return d.listeners.Caller
	}
	return tls.NewListener(d.listeners.Caller, d.callerTLS)
}

func (d *Daemon) servePeers() {
	if err := d.peerServer.Serve(d.listeners.Peer); err != nil {
		d.log.Error("peer interface ended", zap.Error(err))
	}
}

func (d *Daemon) serveHTTP(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("interface ended", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

// ready returns nil if the daemon accepts new requests, and otherwise the
// verdict with which it refuses them.
func (d *Daemon) ready() error {
	if d.draining.Load() {
		return verdict.New(verdict.NotRun, verdict.DaemonDraining, "the daemon is being replaced").WithRetryAfter(drainRetryAfter)
	}
	if d.versions.Current() == nil {
		return verdict.New(verdict.NotRun, verdict.NotReady, "no manifest is in force yet").WithRetryAfter(time.Second)
	}
	if !d.members.ViewTrusted() {
		return verdict.New(verdict.NotRun, verdict.NotReady, "the daemon has not heard from its peers since its start or a pause").WithRetryAfter(time.Second)
	}
	return nil
}

// drainRetryAfter is the retry delay given to callers that are refused during a
// drain; their retry should reach another daemon.
const drainRetryAfter = 200 * time.Millisecond

// Drain refuses new requests and waits until those in flight have ended. It
// returns an error if ctx ends first. The load balancer's health checks fail
// from the start of the drain. The daemon keeps running for at least
// Caller.DrainLinger of the settings, so that the balancer sees failed health
// checks before failed connections.
func (d *Daemon) Drain(ctx context.Context) error {
	d.draining.Store(true)
	d.members.Drain()
	d.log.Info("draining", zap.Int64("in_flight", d.inFlight.Load()))
	lingerUntil := time.Now().Add(d.settings.Caller.DrainLinger.Duration)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for d.inFlight.Load() > 0 || time.Now().Before(lingerUntil) {
		select {
		case <-ctx.Done():
			return errors.Errorf("%d requests were still in flight", d.inFlight.Load())
		case <-ticker.C:
		}
	}
	if err := d.callerServer.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "drain")
	}
	return d.drainPeers(ctx)
}

// drainPeers waits until the answers to peers' calls have been sent.
func (d *Daemon) drainPeers(ctx context.Context) error {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.peerServer.GracefulStop()
	}()
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain")
	}
}

// drainPoll is the interval at which Drain checks for requests in flight.
const drainPoll = 10 * time.Millisecond

// Close stops the daemon at once, without waiting for requests in flight.
func (d *Daemon) Close() {
	d.members.Leave()
	d.cancel()
	_ = d.callerServer.Close() // the connections are no longer needed
	_ = d.adminServer.Close()  // as above
	d.peerServer.Stop()
	d.pool.Close()
	d.running.Wait()
}

func (d *Daemon) closeListeners() {
	for _, listener := range []net.Listener{d.listeners.Caller, d.listeners.Admin, d.listeners.Peer} {
		if listener != nil {
			_ = listener.Close() // no connection was accepted yet
		}
	}
}

// countInFlight counts requests in flight, for Drain. During a drain it asks
// clients to close their connections.
func (d *Daemon) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// countOutcome counts a request that has ended, by its outcome.
func (d *Daemon) countOutcome(err *verdict.Error) {
	if err == nil {
		d.counters.Add("answered", 1)
		return
	}
	d.counters.RecordError(err)
}

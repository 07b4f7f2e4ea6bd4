// Package daemon wires the parts of a process together and starts and stops
// them in order.
//
// Start order: peers first, then the manifest, then callers, so that no
// request is admitted before the daemon knows what it may do. Stop order:
// refuse new requests, wait for those in flight, then end.
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

// Listeners are the sockets of a daemon. A nil one is opened by the settings.
type Listeners struct {
	Caller net.Listener
	Admin  net.Listener
	Peer   net.Listener
}

// Options are what a daemon is made of.
type Options struct {
	Settings  *settings.Settings
	Log       *zap.Logger
	Listeners Listeners
	// Platform replaces the HTTP client of the platform, for another bench.
	Platform platform.Platform
	// Network opens the socket for datagrams between daemons, and Dial
	// connects to a peer; nil means UDP and TCP. A test may lose, delay or
	// cut what goes through them.
	Network func(host names.Host) (membership.Network, error)
	Dial    func(ctx context.Context, address string) (net.Conn, error)
}

// Daemon is one incarnation.
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
	// transport carries requests to targets, polling everything else.
	transport   http.RoundTripper
	polling     http.RoundTripper
	meter       *budget.Meter
	pool        *peers.Pool
	quota       *quota.Quota
	keeping     *keeping
	keeper      *keeper.Keeper
	retries     *retries.Retries
	calls       *calls.Server
	distributor *distribution.Distributor
	admitter    *dispatch.Admitter
	dispatcher  *dispatch.Dispatcher

	callerServer *http.Server
	adminServer  *http.Server
	peerServer   *grpc.Server

	draining atomic.Bool
	active   atomic.Int64
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// New opens the sockets and builds the parts. Nothing runs yet.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		settings:    o.Settings,
		log:         o.Log,
		incarnation: names.Incarnation(time.Now().UnixNano()),
		listeners:   o.Listeners,
		platform:    o.Platform,
		network:     o.Network,
		dial:        o.Dial,
		counters:    counters.New(),
		versions:    &version.Holder{},
		transport:   targetapi.NewTransport(),
		meter:       &budget.Meter{},
	}
	d.polling = &budget.Transport{Next: targetapi.NewTransport(), Meter: d.meter, Mechanism: core.Keeping}
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

// DataCentre returns where this daemon's host stands.
func (d *Daemon) DataCentre() names.DataCentre { return d.settings.DataCentre }

// Ready returns nil if the daemon takes new requests.
func (d *Daemon) Ready() error { return d.ready() }

// Members returns how many live members this daemon sees, itself included.
func (d *Daemon) Members() int { return len(d.fleet.View().Members) }

// Keeps reports whether this daemon keeps an engine of a model.
func (d *Daemon) Keeps(model names.Model) bool { return d.fleet.Keeps(model) }

// CallerAddress returns the address of the caller interface.
func (d *Daemon) CallerAddress() string { return d.listeners.Caller.Addr().String() }

// AdminAddress returns the address of the administration interface.
func (d *Daemon) AdminAddress() string { return d.listeners.Admin.Addr().String() }

// Counters returns the daemon's counters.
func (d *Daemon) Counters() *counters.Counters { return d.counters }

// Versions returns the holder of the manifest in force.
func (d *Daemon) Versions() *version.Holder { return d.versions }

// Start runs the daemon's loops and serves.
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

// ready returns nil if the daemon takes new requests.
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

// drainRetryAfter is when a caller should come back to find another daemon.
const drainRetryAfter = 200 * time.Millisecond

// Drain refuses new requests and waits until those in flight have ended, or
// the context ends. Health checks of the balancer fail from now on; the daemon
// stays for the linger time at least, so that the balancer sees them fail
// before connections do.
func (d *Daemon) Drain(ctx context.Context) error {
	d.draining.Store(true)
	d.members.Drain()
	d.log.Info("draining", zap.Int64("in_flight", d.active.Load()))
	lingered := time.Now().Add(d.settings.Caller.DrainLinger.Duration)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for d.active.Load() > 0 || time.Now().Before(lingered) {
		select {
		case <-ctx.Done():
			return errors.Errorf("%d requests were still in flight", d.active.Load())
		case <-ticker.C:
		}
	}
	if err := d.callerServer.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "drain")
	}
	return d.drainPeers(ctx)
}

// drainPeers waits until what peers have been answered has left.
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

const drainPoll = 10 * time.Millisecond

// Close ends the daemon at once.
func (d *Daemon) Close() {
	d.members.Leave()
	d.cancel()
	_ = d.callerServer.Close() // its connections are of no use any more
	_ = d.adminServer.Close()  // the same
	d.peerServer.Stop()
	d.pool.Close()
	d.running.Wait()
}

func (d *Daemon) closeListeners() {
	for _, listener := range []net.Listener{d.listeners.Caller, d.listeners.Admin, d.listeners.Peer} {
		if listener != nil {
			_ = listener.Close() // nothing was accepted
		}
	}
}

// counted counts requests in flight, for Drain.
func (d *Daemon) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.active.Add(1)
		defer d.active.Add(-1)
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ended counts the end of a request.
func (d *Daemon) ended(err *verdict.Error) {
	if err == nil {
		d.counters.Add("answered", 1)
		return
	}
	d.counters.Ended(err)
}

package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/memory"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/serving/connection/callers"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/tunnel"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/atomictime"
	"carobspoke.example/serving/process/boottime"
	"carobspoke.example/serving/process/dispatchsync"
	"carobspoke.example/serving/process/membership"
	"carobspoke.example/serving/process/paths"
	"carobspoke.example/serving/process/published"
	"carobspoke.example/serving/process/suspects"
	"carobspoke.example/serving/process/targetstate"
	"carobspoke.example/serving/request/relay"
	"carobspoke.example/serving/request/reserve"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

// Options are the settings and dependencies of a Daemon.
type Options struct {
	Settings *Settings
	Codec    relay.Codec
	Source   published.Source
	Decoder  published.Decoder
	// NewOrders returns a client that sends orders and probes to targets over
	// connections of a dialer.
	NewOrders func(upstream.Dialer) targetstate.OrderClient
	// DialTarget opens connections of this host to targets. If it is nil,
	// upstream.DialTCP does.
	DialTarget upstream.Dialer
	Log        *zap.Logger
	// DroppedLines returns how many log lines have been dropped.
	DroppedLines func() int64
}

// Daemon is one incarnation of the daemon on this host.
type Daemon struct {
	Options
	incarnation names.Incarnation
	self        names.Host
	seeds       []names.Host
	started     time.Time

	follower *published.Follower
	board    *targetstate.Board
	orders   *targetstate.Orders
	reserver *reserve.Manager
	index    targetIndex
	// fleet is used by the goroutine of sweep alone.
	fleet      ratelimits.Fleet
	suspects   *suspects.Guard
	members    *membership.Membership
	exchange   *dispatchsync.Exchange
	shareConn  *net.UDPConn
	peerPool   *peers.Pool
	targetPool *upstream.Pool
	paths      *paths.Dialer
	tunnels    *tunnel.Server
	metrics    *Metrics

	callerServer  *http.Server
	readyServer   *http.Server
	metricsServer *http.Server
	peerServer    *grpc.Server
	conns         *callerConns
	limits        hostLimits
	guard         *callers.Guard
	budgets       *budgets
	listeners     []net.Listener

	// stopAt is when the process ends; zero until it is asked to stop.
	stopAt atomictime.Time
	// heartbeatDue signals that a heartbeat is to be sent soon.
	heartbeatDue chan struct{}
	// inFlight is the number of callers' requests in flight.
	inFlight atomic.Int64
	// lastReady is the result of the last readiness check.
	lastReady atomic.Bool
	cancel    context.CancelFunc
	// running is the group of the goroutines that Start starts.
	running sync.WaitGroup
}

// New opens the sockets and builds the components. The daemon serves nothing
// before Start.
func New(o Options) (*Daemon, error) {
	if err := o.Settings.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{
		Options:     o,
		incarnation: names.Incarnation(time.Now().UnixNano()),
		self:        names.Host(o.Settings.PeerAddress.String()),
		started:     time.Now(),
		targetPool:  upstream.NewPool(),
		peerPool:    peers.NewPool(nil, noopStats{}, nil),
		conns:       newCallerConns(),

		heartbeatDue: make(chan struct{}, 1),
	}
	d.limits = limitsOf(o.Settings)
	d.guard = callers.NewGuard(memory.ForHost(d.limits.memory))
	d.buildPaths()
	for _, seed := range o.Settings.Seeds {
		d.seeds = append(d.seeds, names.Host(seed.String()))
	}
	d.metrics = newMetrics(d)
	d.metrics.registry.MustRegister(memoryCollector{d.guard})
	if err := d.buildPeers(); err != nil {
		return nil, err
	}
	d.buildServers()
	return d, d.listen()
}

// reservationOwner returns the name of this incarnation as the owner of reservations.
func (d *Daemon) reservationOwner() string {
	host := strings.ReplaceAll(d.Settings.PeerAddress.Addr().String(), ".", "-")
	return host + "-" + strconv.FormatInt(d.started.UnixMilli(), 10)
}

func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (d *Daemon) buildPeers() error {
	network, err := membership.ListenUDP(d.self)
	if err != nil {
		return err
	}
	share, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.Settings.PeerAddress.Addr(), d.Settings.SharePort)))
	if err != nil {
		return errors.Wrap(err, "sharing")
	}
	d.shareConn = share
	client := &published.Client{Hosts: d.recordHosts, Pool: d.peerPool, ObserveClock: d.observeClock}
	d.follower = published.New(published.Config{
		Source: d.Source, Decoder: d.Decoder, Peers: client, Log: d.Log,
		OnPosition: d.positionChanged, OnNews: d.wakeHeartbeats, Situation: d.situation, Observe: d.metrics.observeStage, Random: random(),
	})
	machine := core.DefaultConfig()
	machine.Regions = d.Settings.Regions
	d.members = membership.New(membership.Config{
		Self:            core.Member{Host: d.self, DataCentre: d.Settings.DataCentre, Incarnation: d.incarnation},
		Machine:         machine,
		Network:         network,
		Sealer:          membership.NewOpenSealer(),
		Deliver:         d.handleDigest,
		MemberChanged:   d.memberChanged,
		Log:             d.Log,
		Registry:        d.metrics.counters.Registry(),
		ObserveBytes:    func(int) {},
		ObserveStepTime: func(time.Duration) {},
	})
	d.board = targetstate.New(targetstate.Config{
		Self: d.self, Incarnation: d.incarnation,
		Placer:    placement.New(placement.Default(), random()),
		Random:    random(),
		Service:   d.serviceNamed,
		Services:  d.serviceNames,
		Targets:   d.targetsOf,
		Listed:    d.listedTarget,
		StopReuse: d.targetPool.CloseIdle,
		Homes:     d.homesOf,
		Evacuated: d.evacuated, TakenBack: d.takenBack, RegionOf: d.regionOf,
		ColdOverage: d.Settings.ColdOverage, ColdSlack: d.Settings.ColdSlack,
		Messenger: messenger{d}, FleetShare: d.fleetShare, BootTime: boottime.Now, CutOff: d.paths.IsCutOff,
		Count: func(name string) { d.metrics.counters.Add(name, 1) },
		Log:   d.Log,
	})
	d.suspects = suspects.New(suspects.Config{
		Ended: upstream.NewEndChecker(d.paths.Dial).Ended, Accuse: d.accuse, Publish: d.gossipSuspects, Log: d.Log,
	})
	d.orders = targetstate.NewOrders(d.board, d.NewOrders(d.paths.Dial))
	d.reserver = reserve.New(d.orders, d.reservationOwner(), d.Log)
	d.exchange = dispatchsync.New(dispatchsync.Config{
		Self: d.self, Incarnation: d.incarnation, Conn: share, Port: d.Settings.SharePort,
		Sink: exchangeSink{PeerSink: d.board.PeerSink(), Follower: d.follower, Guard: d.suspects}, Log: d.Log,
	})
	d.peerServer = peers.NewBoundedServer(nil, noopStats{}, peerBounds())
	peerpb.RegisterPublicationsServer(d.peerServer, &published.Server{Records: d.follower.Records, Incarnation: d.incarnation})
	d.tunnels = &tunnel.Server{Gate: gate{d}, Dial: d.dialDirect()}
	peerpb.RegisterTunnelsServer(d.peerServer, d.tunnels)
	return nil
}

func (d *Daemon) buildServers() {
	d.budgets = newBudgets(d.Settings, func() int { return len(d.members.Live()) }, random())
	handler := relay.New(relay.Deps{
		Codec: d.Codec, Board: d.board, Suspects: d.suspects,
		Budget: d.budgets,
		Pool:   d.targetPool, Reserver: d.reserver, Prober: d.orders, Observer: d.metrics,
		Configuration: d.configuration, AwaitTable: d.awaitTable, TargetListRevision: d.follower.Revision, TargetListAge: d.follower.Age, TimeToShutdown: d.timeLeft, RetryAfter: d.retryAfter, Random: rand.Float64,
		GrowAnswers: d.guard.GrowAnswers, AnswerUnread: d.guard.AnswerUnread, Log: d.Log,
	})
	d.callerServer = &http.Server{
		Handler:           d.countRequests(handler),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         d.callerStateChanged,
		ConnContext:       relay.ConnContext,
		ErrorLog:          zap.NewStdLog(d.Log.Named("http")),
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+d.Settings.ReadyPath, d.handleReady)
	d.readyServer = serviceServer(readyMux)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET "+d.Settings.MetricsPath, d.metrics.handler())
	d.metricsServer = serviceServer(metricsMux)
}

// serviceServer returns a server for the platform's own requests.
func serviceServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: serviceTime,
		IdleTimeout: serviceIdleTime, MaxHeaderBytes: serviceHeadBytes, ConnState: callers.StateChanged,
	}
}

func (d *Daemon) callerStateChanged(conn net.Conn, state http.ConnState) {
	callers.StateChanged(conn, state)
	d.conns.stateChanged(conn, state)
}

// publishedHeadBytes returns the published limit of a head, or zero if there is none yet.
func (d *Daemon) publishedHeadBytes() int {
	if view := d.follower.View(); view != nil {
		return view.Table.Limits.HeaderBytes
	}
	return 0
}

// Limits of the callers' interface that apply before a configuration is in
// force, and that no configuration can exceed.
const (
	// headerTimeout bounds the reading of a request header; it exceeds any
	// published limit.
	headerTimeout = 30 * time.Second
	// maxHeaderBytes bounds the memory of a request header; it exceeds any
	// published limit.
	maxHeaderBytes = 256 << 10
)

func (d *Daemon) listen() error {
	interfaces := []struct {
		group       memory.Group
		address     netip.AddrPort
		socketBytes int
	}{
		{memory.Callers, d.Settings.CallerAddress, d.limits.socketBytes()},
		{memory.Readiness, d.Settings.ReadyAddress, d.limits.socketBytes()},
		{memory.Peers, d.Settings.PeerAddress, 0},
		{memory.Metrics, d.Settings.MetricsAddress, 0},
	}
	for _, i := range interfaces {
		listener, err := callers.Listen(context.Background(), i.address.String(), i.socketBytes)
		if err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listen at %s", i.address)
		}
		d.listeners = append(d.listeners, d.guard.NewListener(listener, d.limits.options(i.group, d.publishedHeadBytes)))
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.Close() // no connection was accepted yet
	}
}

// Start starts the daemon's background loops and its servers. It does not block.
func (d *Daemon) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.members.SetSeeds(d.seeds)
	d.running.Go(func() { d.follower.Run(ctx) })
	d.running.Go(func() { d.members.Run(ctx) })
	d.running.Go(func() { d.exchange.Run(ctx) })
	d.running.Go(func() { d.sweep(ctx) })
	d.running.Go(func() { d.refresh(ctx) })
	d.running.Go(func() { d.sendHeartbeats(ctx) })
	d.running.Go(func() { d.suspects.Run(ctx) })
	d.running.Go(func() { d.paths.Watch(ctx, d.targetPool.Quiet, d.randomTargets, d.targetAddress) })
	d.serve(d.callerServer, d.listeners[0])
	d.serve(d.readyServer, d.listeners[1])
	d.running.Go(func() {
		if err := d.peerServer.Serve(d.listeners[2]); err != nil {
			d.Log.Error("peer interface ended", zap.String("error", err.Error()))
		}
	})
	d.serve(d.metricsServer, d.listeners[3])
	d.Log.Info("started", zap.String("host", d.Settings.Name), zap.String("peer", string(d.self)),
		zap.Uint64("incarnation", uint64(d.incarnation)), zap.Int("seeds", len(d.seeds)))
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	d.running.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.Log.Error("interface ended", zap.Stringer("address", listener.Addr()), zap.String("error", err.Error()))
		}
	})
}

// sweepInterval is the interval between removals of expired state.
const sweepInterval = 500 * time.Millisecond

func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var limits limitLog
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.board.Sweep(d.isPublished, now)
			d.targetPool.Sweep(d.isPublished, now)
			d.paths.Sweep(d.isPublished, now)
			limits.record(d.guard, d.Log, now)
			if view := d.follower.View(); view != nil {
				d.conns.closeExpired(&view.Table.Limits, now)
			}
		}
	}
}

// refresh repeats this daemon's dispatches to the homes of their targets.
func (d *Daemon) refresh(ctx context.Context) {
	ticker := time.NewTicker(targetstate.RefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.board.Refresh()
		}
	}
}

// Close stops the daemon without waiting for requests in flight, and returns
// when its goroutines have ended. The daemon must have been started.
func (d *Daemon) Close() {
	d.members.Leave()
	d.cancel()
	for _, server := range []*http.Server{d.callerServer, d.readyServer, d.metricsServer} {
		_ = server.Close() // the daemon stops: an error has no consequence
	}
	d.peerServer.Stop()
	d.peerPool.Close()
	d.running.Wait()
	d.Log.Info("stopped")
}

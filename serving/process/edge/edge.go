package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/board"
	"carobspoke.example/serving/process/membership"
	"carobspoke.example/serving/process/moment"
	"carobspoke.example/serving/process/published"
	"carobspoke.example/serving/process/sharing"
	"carobspoke.example/serving/request/relay"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

// Options are what a daemon is made of.
type Options struct {
	Settings *Settings
	Codec    relay.Codec
	Source   published.Source
	Decoder  published.Decoder
	Reserver relay.Reserver
	Prober   relay.Prober
	Log      *zap.Logger
	// DroppedLines returns how many log lines were dropped.
	DroppedLines func() int64
}

// Daemon is one incarnation.
type Daemon struct {
	Options
	incarnation names.Incarnation
	self        names.Host
	started     time.Time

	follower *published.Follower
	board    *board.Board
	members  *membership.Membership
	sharing  *sharing.Sharing
	pool     *peers.Pool
	targets  *upstream.Pool
	metrics  *Metrics
	peers    atomic.Pointer[peerList]

	callers    *http.Server
	ready      *http.Server
	metricsSrv *http.Server
	peerServer *grpc.Server
	conns      *callerConns
	budgets    *budgets
	listeners  []net.Listener

	end    moment.Moment // of a daemon that stops, zero while it serves
	active atomic.Int64
	// saidReady is what the last look at the daemon's readiness was told.
	saidReady atomic.Bool
	cancel    context.CancelFunc
	// running are the loops.
	running sync.WaitGroup
}

// New opens the sockets and builds the parts. Nothing runs yet.
func New(o Options) (*Daemon, error) {
	if err := o.Settings.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{
		Options:     o,
		incarnation: names.Incarnation(time.Now().UnixNano()),
		self:        names.Host(o.Settings.Peer.String()),
		started:     time.Now(),
		targets:     upstream.NewPool(),
		pool:        peers.NewPool(nil, noStats{}, nil),
		conns:       newCallerConns(),
	}
	d.targets.MostIdle = d.mostIdle
	d.metrics = newMetrics(d)
	if err := d.buildPeers(); err != nil {
		return nil, err
	}
	d.buildServers()
	return d, d.listen()
}

func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (d *Daemon) buildPeers() error {
	network, err := membership.ListenUDP(d.self)
	if err != nil {
		return err
	}
	share, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.Settings.Peer.Addr(), d.Settings.SharePort)))
	if err != nil {
		return errors.Wrap(err, "sharing")
	}
	client := &published.Client{Hosts: d.recordHosts, Pool: d.pool}
	d.follower = published.New(d.Source, d.Decoder, client, d.Log, d.advanced, d.watches)
	machine := core.DefaultConfig()
	machine.Regions = d.Settings.Regions
	d.members = membership.New(membership.Config{
		Self:            core.Member{Host: d.self, DataCentre: d.Settings.DataCentre, Incarnation: d.incarnation},
		Machine:         machine,
		Network:         network,
		Sealer:          membership.NewOpenSealer(),
		Deliver:         d.delivered,
		MemberChanged:   d.memberChanged,
		Log:             d.Log,
		Registry:        d.metrics.counters.Registry(),
		ObserveBytes:    func(int) {},
		ObserveStepTime: func(time.Duration) {},
	})
	d.board = board.New(board.Config{
		Self: d.self, Incarnation: d.incarnation,
		Placer:    placement.New(placement.Default(), random()),
		Targets:   d.targetsOf,
		Teller:    teller{d},
		Settled:   d.settled,
		TellCrash: d.tellCrash,
		Log:       d.Log,
	})
	d.sharing = sharing.New(sharing.Config{
		Self: d.self, Incarnation: d.incarnation, Conn: share, Peers: d.peerAddresses, Sink: sink{Peer: d.board.Peer(), Follower: d.follower}, Log: d.Log,
	})
	d.peerServer = peers.NewServer(nil, noStats{})
	peerpb.RegisterPublicationsServer(d.peerServer, &published.Server{Records: d.follower.Records})
	return nil
}

// teller defers to the sharing that is built after the board.
type teller struct{ *Daemon }

func (d *Daemon) buildServers() {
	d.budgets = newBudgets(d.Settings, func() int { return len(d.members.Live()) }, random())
	handler := relay.New(relay.Deps{
		Codec: d.Codec, Board: d.board, Crashes: d.board,
		Budget: d.budgets,
		Pool:   d.targets, Reserver: d.Reserver, Prober: d.Prober, Observer: d.metrics,
		Table: d.table, Revision: d.follower.Revision, Age: d.follower.Age, Leaving: d.leaving, ComeBack: d.comeBack, Draw: rand.Float64, Log: d.Log,
	})
	d.callers = &http.Server{
		Handler:           d.counted(handler),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         d.conns.changed,
		ErrorLog:          zap.NewStdLog(d.Log.Named("http")),
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+d.Settings.ReadyPath, d.answerReady)
	d.ready = &http.Server{Handler: readyMux, ReadHeaderTimeout: headerTimeout}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET "+d.Settings.MetricsPath, d.metrics.handler())
	d.metricsSrv = &http.Server{Handler: metricsMux, ReadHeaderTimeout: headerTimeout}
}

// Limits of the callers' interface that hold before a configuration is known
// or whatever it says.
const (
	// headerTimeout bounds the reading of a header, beyond any published limit.
	headerTimeout = 30 * time.Second
	// maxHeaderBytes bounds what a header may hold in memory, beyond any
	// published limit.
	maxHeaderBytes = 256 << 10
)

func (d *Daemon) listen() error {
	addresses := []netip.AddrPort{d.Settings.Callers, d.Settings.Ready, d.Settings.Peer, d.Settings.Metrics}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listen at %s", address)
		}
		d.listeners = append(d.listeners, listener)
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.Close() // nothing was accepted
	}
}

// Start runs the daemon's loops and serves.
func (d *Daemon) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	seeds := make([]names.Host, 0, len(d.Settings.Seeds))
	for _, seed := range d.Settings.Seeds {
		seeds = append(seeds, names.Host(seed.String()))
	}
	d.members.SetSeeds(seeds)
	d.running.Go(func() { d.follower.Run(ctx) })
	d.running.Go(func() { d.members.Run(ctx) })
	d.running.Go(func() { d.sharing.Run(ctx) })
	d.running.Go(func() { d.sweep(ctx) })
	d.running.Go(func() { d.beat(ctx) })
	d.serve(d.callers, d.listeners[0])
	d.serve(d.ready, d.listeners[1])
	d.running.Go(func() {
		if err := d.peerServer.Serve(d.listeners[2]); err != nil {
			d.Log.Error("peer interface ended", zap.String("error", err.Error()))
		}
	})
	d.serve(d.metricsSrv, d.listeners[3])
	d.Log.Info("started", zap.String("host", d.Settings.Name), zap.String("peer", string(d.self)),
		zap.Uint64("incarnation", uint64(d.incarnation)), zap.Int("seeds", len(seeds)))
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	d.running.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.Log.Error("interface ended", zap.Stringer("address", listener.Addr()), zap.String("error", err.Error()))
		}
	})
}

// sweepEvery is the time between two looks for what has expired.
const sweepEvery = 500 * time.Millisecond

func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.board.Sweep(d.listed, now)
			d.targets.Sweep(d.listed, now)
			if view := d.follower.View(); view != nil {
				d.conns.sweep(&view.Table.Limits, now)
			}
		}
	}
}

// Close ends the daemon at once.
func (d *Daemon) Close() {
	d.members.Leave()
	d.cancel()
	for _, server := range []*http.Server{d.callers, d.ready, d.metricsSrv} {
		_ = server.Close() // its connections are of no use any more
	}
	d.peerServer.Stop()
	d.pool.Close()
	d.running.Wait()
	d.Log.Info("stopped")
}

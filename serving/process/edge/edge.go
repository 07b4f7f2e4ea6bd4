package edge

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/process/gossip"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/board"
	"carobspoke.example/serving/process/membership"
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
	idle       *idleConns
	listeners  []net.Listener

	stopAt atomic.Int64 // Unix nanoseconds of the end, zero while serving
	active atomic.Int64
	cancel context.CancelFunc
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
		idle:        newIdleConns(),
	}
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
		Self:     core.Member{Host: d.self, DataCentre: d.Settings.DataCentre, Incarnation: d.incarnation},
		Machine:  machine,
		Network:  network,
		Sealer:   membership.NewOpenSealer(),
		Deliver:  d.delivered,
		Changed:  d.memberChanged,
		Log:      d.Log,
		Registry: d.metrics.registry,
		Meter:    func(int) {},
		Worked:   func(time.Duration) {},
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
	handler := relay.New(relay.Deps{
		Codec: d.Codec, Board: d.board, Crashes: d.board,
		Budget: newBudgets(d.Settings, func() int { return len(d.members.Live()) }, random()),
		Pool:   d.targets, Reserver: d.Reserver, Prober: d.Prober, Observer: d.metrics,
		Table: d.table, Leaving: d.leaving, ComeBack: d.comeBack, Draw: rand.Float64, Log: d.Log,
	})
	d.callers = &http.Server{
		Handler:           d.counted(handler),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         d.idle.changed,
		ErrorLog:          zap.NewStdLog(d.Log.Named("http")),
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+d.Settings.ReadyPath, d.answerReady)
	d.ready = &http.Server{Handler: readyMux, ReadHeaderTimeout: headerTimeout}
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET "+d.Settings.MetricsPath, d.metrics.serve)
	d.metricsSrv = &http.Server{Handler: metricsMux, ReadHeaderTimeout: headerTimeout}
}

// Limits of the callers' interface that hold before a configuration is known
// or whatever it says.
const (
	// headerTimeout bounds the reading of a header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a header; published limits are lower.
	maxHeaderBytes = 64 << 10
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
	d.members.Seeds(seeds)
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
				d.idle.sweep(view.Table.Limits.IdleTimeout, now)
			}
		}
	}
}

func (d *Daemon) listed(id names.Target) bool {
	view := d.follower.View()
	if view == nil {
		return true
	}
	for _, list := range view.Targets {
		_, found := slices.BinarySearchFunc(list, id, func(t replicas.Target, id names.Target) int {
			switch {
			case t.ID < id:
				return -1
			case t.ID > id:
				return 1
			default:
				return 0
			}
		})
		if found {
			return true
		}
	}
	return false
}

func (d *Daemon) table() (*routing.Table, bool) {
	view := d.follower.View()
	if view == nil {
		return nil, false
	}
	return view.Table, d.follower.Recent()
}

// Times to come back to a daemon without a recent configuration.
const (
	// bootTime is how long a daemon takes to read one if the store or a peer
	// answers, with a margin.
	bootTime = 400 * time.Millisecond
	// outageMin and outageMax bound the random time that an outage is taken
	// to go on: outages of the store last seconds, and a caller returns
	// once.
	outageMin = time.Second
	outageMax = 3 * time.Second
)

// comeBack returns when a caller may find a recent configuration here.
func (d *Daemon) comeBack() time.Duration {
	if time.Since(d.started) < bootTime {
		return bootTime
	}
	return outageMin + time.Duration(rand.Int64N(int64(outageMax-outageMin)))
}

func (d *Daemon) targetsOf(service names.Service) []replicas.Target {
	view := d.follower.View()
	if view == nil {
		return nil
	}
	return view.Targets[service]
}

func (d *Daemon) answerReady(w http.ResponseWriter, _ *http.Request) {
	if d.stopAt.Load() != 0 || d.follower.View() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// counted counts requests in flight, and asks callers to come back by another
// connection while the daemon stops.
func (d *Daemon) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.active.Add(1)
		defer d.active.Add(-1)
		next.ServeHTTP(closing{ResponseWriter: w, daemon: d}, r)
	})
}

// closing adds the header that ends the connection to answers given while the
// daemon stops.
type closing struct {
	http.ResponseWriter
	daemon *Daemon
}

// WriteHeader implements http.ResponseWriter.
func (c closing) WriteHeader(status int) {
	if c.daemon.stopAt.Load() != 0 {
		c.Header().Set("Connection", "close")
	}
	c.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (c closing) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// leaving returns how long the daemon still runs, if it is stopping.
func (d *Daemon) leaving() (time.Duration, bool) {
	at := d.stopAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Until(time.Unix(0, at)), true
}

// Stop order of a drain, in times after the signal.
const (
	// turnAway is how long the balancer may take to send no new connections:
	// two missed looks, one a second, and a margin. What is sent later than
	// 3 s after the signal must be answered whole.
	turnAway = 2600 * time.Millisecond
	// endMargin is how long before the end of the grace time the process
	// ends by itself.
	endMargin = 500 * time.Millisecond
)

// Drain says not ready, serves what still comes until the balancer has turned
// away, and returns when all is answered or the grace time is nearly over. It
// does not stay for longer: where hosts are stopped in turn, each that is out
// leaves fewer in rotation.
func (d *Daemon) Drain() {
	end := time.Now().Add(d.Settings.Grace - endMargin)
	d.stopAt.Store(end.UnixNano())
	d.members.Drain()
	d.Log.Info("stopping", zap.Int64("in_flight", d.active.Load()), zap.Duration("grace", d.Settings.Grace))
	time.Sleep(min(turnAway, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.Log.Warn("stopped with requests in flight", zap.Int64("in_flight", d.active.Load()), zap.String("error", err.Error()))
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

func (d *Daemon) advanced(revision uint64) {
	d.members.Publish(core.Digest{Kind: gossip.Version, Key: revisionKey, Sequence: revision})
}

// revisionKey is the key of the gossiped revision of what is published.
const revisionKey = "published"

// crashPayload is the length of a gossiped standing: the standing and how many
// seconds it lasts.
const crashPayload = 5

func (d *Daemon) tellCrash(e crash.Entry) {
	payload := binary.BigEndian.AppendUint32([]byte{byte(e.Standing)}, uint32(e.Left.Seconds()))
	d.members.Publish(core.Digest{
		Kind: gossip.Crash, Key: string(e.Digest[:]), Sequence: uint64(time.Now().UnixMilli())<<2 | uint64(e.Standing), Payload: payload,
	})
}

func (d *Daemon) delivered(a core.Deliver) {
	switch a.Digest.Kind {
	case gossip.Version:
		d.follower.Told(a.Digest.Sequence, "") // who passes it on may not have read it yet
	case gossip.Crash:
		var e crash.Entry
		if len(a.Digest.Payload) != crashPayload || copy(e.Digest[:], a.Digest.Key) != len(e.Digest) {
			d.Log.Warn("a crash digest cannot be read", zap.String("from", string(a.From)))
			return
		}
		e.Standing = crash.Standing(a.Digest.Payload[0])
		e.Left = time.Duration(binary.BigEndian.Uint32(a.Digest.Payload[1:])) * time.Second
		d.board.LearnCrash(e)
	}
}

// memberChanged drops the work of dead incarnations.
func (d *Daemon) memberChanged(m core.Member) {
	switch m.State {
	case core.Dead, core.Left:
		d.board.Gone(m.Host, m.Incarnation+1)
	default:
		d.board.Gone(m.Host, m.Incarnation)
	}
}

// peerList is the live members and where they listen for dispatches.
type peerList struct {
	members   []core.Member
	addresses []netip.AddrPort
}

// peerAddresses returns where the live peers listen. The list is built anew
// when the members have changed.
func (d *Daemon) peerAddresses() []netip.AddrPort {
	live := d.members.Live()
	if list := d.peers.Load(); list != nil && slices.Equal(list.members, live) {
		return list.addresses
	}
	list := &peerList{members: live}
	for _, m := range live {
		if address, err := netip.ParseAddrPort(string(m.Host)); err == nil && m.Host != d.self {
			list.addresses = append(list.addresses, netip.AddrPortFrom(address.Addr(), d.Settings.SharePort))
		}
	}
	d.peers.Store(list)
	return list.addresses
}

// settled reports whether the peers have had the time to tell this daemon what
// they send.
func (d *Daemon) settled() bool {
	return time.Since(d.started) > settleWork && len(d.peerAddresses()) > 0
}

// settleWork is how long after its start a daemon knows too little of the work
// of others: it joins within a second, and a short answer takes two.
const settleWork = 3 * time.Second

// peerHosts returns the peers that may be asked: the live ones, or the seeds
// until any is known.
func (d *Daemon) peerHosts() []names.Host {
	var hosts []names.Host
	for _, m := range d.members.Live() {
		if m.Host != d.self {
			hosts = append(hosts, m.Host)
		}
	}
	if len(hosts) > 0 {
		return hosts
	}
	for _, seed := range d.Settings.Seeds {
		if host := names.Host(seed.String()); host != d.self {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

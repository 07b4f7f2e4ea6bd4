// Package distribution keeps the newest manifest in force at a daemon: it
// carries out what the machine of core/process/distribution decides.
//
// One goroutine owns the machine. Reads of the configuration service, calls to
// peers and the decoding of pages run in goroutines of their own, whose number
// the machine bounds, and post their results to that goroutine. Every root is
// checked against the operators' public keys and every page against its digest
// before anything is put in force, wherever it came from. All calls between
// daemons are reads, so that gRPC's transparent retries do no harm.
package distribution

import (
	"context"
	"crypto/ed25519"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/distribution"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/core/version/pages"
	"carobspoke.example/serving/platform"
	"carobspoke.example/serving/version"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

// Bounds of the shell.
const (
	// TickInterval is the time between two ticks of the machine, and
	// MembersEvery between two looks at the member list.
	TickInterval    = 50 * time.Millisecond
	MembersInterval = 200 * time.Millisecond
	// MaxHistoryBytes bounds the pages of old versions that are kept for peers.
	MaxHistoryBytes = 16 << 20
	// QueryTimeout bounds a question to a peer or a target.
	QueryTimeout = time.Second
	// FetchTimeout bounds a fetch.
	FetchTimeout = 5 * time.Second
	// MaxParallelReads is how many pages are read from the service at once.
	MaxParallelReads = 8
	// FenceSampleSize is how many engines are asked for fencing numbers.
	FenceSampleSize = 32
	// eventQueueLength bounds the events that wait for the machine.
	eventQueueLength = 256
	// maxAssembled bounds the versions that wait to be put in force.
	maxAssembled = 4
)

// Peers gives access to the other daemons.
type Peers interface {
	// Live returns the live members without this daemon.
	Live() []core.Member
	// ListedHosts returns the number of hosts on the platform's list, or zero.
	ListedHosts() int
	// Dial returns a connection to a peer, which the caller does not close.
	Dial(host names.Host) (*grpc.ClientConn, error)
	// Announce tells peers what this daemon has in force, and does not
	// block. What peers announce is given to Distributor.Told.
	Announce(held core.VersionID)
}

// Reporter asks a target for its report.
type Reporter func(ctx context.Context, address string) (target.Report, error)

// Config holds what a Distributor needs. All fields but Now and Machine are
// required.
type Config struct {
	Self     core.Member
	Platform platform.Platform
	Peers    Peers
	FetchReport   Reporter
	// Keys are the operators' public keys; any one may sign.
	Keys     []ed25519.PublicKey
	Holder   *version.Holder
	Logger   *zap.Logger
	Registry metrics.Registry
	// ExpectedDaemons is the number of daemons from the settings, or zero.
	ExpectedDaemons int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Machine holds the machine's settings; nil means the defaults.
	Machine *core.Config
}

// Distributor keeps a Holder at the newest version.
type Distributor struct {
	config  Config
	events  chan core.Event
	machine *core.Machine
	counts  *counts
	work    sync.WaitGroup
	state   atomic.Pointer[Status]
	// cancelWatch ends the watch that is waiting; only the loop uses it.
	cancelWatch context.CancelFunc
	// reportedMembers are the members that the machine was told of, and looked is when
	// the member list was last looked at; only the loop uses them.
	reportedMembers   []core.Member
	membersCheckedAt time.Time

	// mutex guards what fetches and peers' calls share. It is not held over
	// calls.
	mutex     sync.Mutex
	store     *pages.Store
	assembled map[core.VersionID]*manifest.Manifest
	replies   replyCache

	// assemblerMutex guards the assembler.
	assemblerMutex  sync.Mutex
	assembler pages.Assembler
}

// Status tells operators how a daemon stands.
type Status struct {
	InForce core.VersionID
	// Fence is the highest fencing number that any target reported.
	Fence names.Version
	// Watching is true if this daemon watches the service.
	Watching bool
	Counters core.Counters
}

// New returns a Distributor that does nothing until Run.
func New(config Config) (*Distributor, error) {
	if len(config.Keys) == 0 {
		return nil, errors.New("no public key of the operators")
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Machine == nil {
		settings := core.DefaultConfig(config.Self)
		config.Machine = &settings
	}
	config.Machine.ExpectedDaemons = config.ExpectedDaemons
	d := &Distributor{
		config:    config,
		events:    make(chan core.Event, eventQueueLength),
		counts:    newCounts(config.Registry),
		store:     pages.NewStore(MaxHistoryBytes),
		assembled: map[core.VersionID]*manifest.Manifest{},
	}
	d.state.Store(&Status{})
	return d, nil
}

// Status returns how this daemon stands.
func (d *Distributor) Status() Status { return *d.state.Load() }

// HandleAnnouncement hands in what a peer announced. It does not block; when too much waits,
// the announcement is dropped and counted.
func (d *Distributor) HandleAnnouncement(from names.Host, held core.VersionID) {
	d.offer(core.PeerVersion{From: from, VersionID: held})
}

// ObserveFence hands in a fencing number that a target reported. It does not
// block.
func (d *Distributor) ObserveFence(v names.Version) {
	if v > 0 && v <= manifest.MaxVersion {
		d.offer(core.Fence{Version: v})
	}
}

func (d *Distributor) offer(e core.Event) {
	select {
	case d.events <- e:
	default:
		d.counts.dropped.Inc(1)
	}
}

// Run works until ctx ends, and returns when all its goroutines have.
func (d *Distributor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.work.Wait()
	defer cancel()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.machine = core.New(*d.config.Machine, random, d.config.Now())
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	d.step(ctx, d.members())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-d.events:
			d.step(ctx, e)
		case <-ticker.C:
			d.tick(ctx)
		}
	}
}

func (d *Distributor) tick(ctx context.Context) {
	now := d.config.Now()
	if now.Sub(d.membersCheckedAt) >= MembersInterval {
		d.membersCheckedAt = now
		if !slices.Equal(d.config.Peers.Live(), d.reportedMembers) {
			d.step(ctx, d.members())
		}
	}
	d.step(ctx, core.Tick{})
}

func (d *Distributor) members() core.Members {
	d.reportedMembers = slices.Clone(d.config.Peers.Live())
	return core.Members{Live: d.reportedMembers, Listed: d.config.Peers.ListedHosts()}
}

// step hands an event to the machine and carries out its actions.
func (d *Distributor) step(ctx context.Context, e core.Event) {
	for _, a := range d.machine.Step(d.config.Now(), e) {
		d.perform(ctx, a)
	}
	status := &Status{
		InForce: d.machine.InForce(), Fence: d.machine.Fence(),
		Watching: d.machine.Watching(), Counters: d.machine.Counters(),
	}
	d.state.Store(status)
	d.counts.update(status)
}

func (d *Distributor) perform(ctx context.Context, a core.Action) {
	switch a := a.(type) {
	case core.QueryPeer:
		d.spawn(func() { d.queryPeer(ctx, a.Host) })
	case core.ReadRoot:
		d.spawn(func() { d.readRoot(ctx) })
	case core.WatchRoot:
		d.watchRoot(ctx, a)
	case core.CancelWatch:
		d.cancelWatch()
	case core.FetchPeer:
		d.spawn(func() { d.fetchPeer(ctx, a) })
	case core.FetchService:
		d.spawn(func() { d.fetchService(ctx, a) })
	case core.QueryTargets:
		d.spawn(func() { d.queryTargets(ctx, a.VersionID) })
	case core.Install:
		d.install(a.VersionID)
	}
}

func (d *Distributor) spawn(run func()) { d.work.Go(run) }

// post hands a result to the loop.
func (d *Distributor) post(ctx context.Context, e core.Event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// install puts an assembled version in force.
func (d *Distributor) install(h core.VersionID) {
	d.mutex.Lock()
	m := d.assembled[h]
	d.dropAssembled(h.Version)
	if root, held := d.store.Root(h.Digest); held {
		d.store.Commit(root)
	}
	d.mutex.Unlock()
	if m == nil || !d.config.Holder.Install(m, h.Digest) {
		d.config.Logger.Error("version could not be put in force", zap.Uint64("version", uint64(h.Version)))
		return
	}
	d.config.Logger.Info("manifest in force", zap.Uint64("version", uint64(h.Version)), zap.String("digest", string(h.Digest)))
	d.config.Peers.Announce(h)
}

// assemble decodes and checks a version whose pages are all held.
func (d *Distributor) assemble(root *pages.Root) core.Event {
	h := versionIDOf(root)
	d.assemblerMutex.Lock()
	m, err := d.assembler.Assemble(root, d.page)
	d.assemblerMutex.Unlock()
	if err != nil {
		d.logInvalidManifest(h, err)
		return core.FetchFailed{VersionID: h, Failure: failureOf(err)}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.assembled) >= maxAssembled {
		clear(d.assembled)
	}
	d.assembled[h] = m
	return core.Fetched{VersionID: h}
}

// dropAssembled forgets versions up to the one in force. The mutex is held.
func (d *Distributor) dropAssembled(upTo names.Version) {
	for h := range d.assembled {
		if h.Version <= upTo {
			delete(d.assembled, h)
		}
	}
}

func (d *Distributor) page(digest names.Digest) ([]byte, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.store.Page(digest)
}

// logInvalidManifest tells the operator why a version is refused.
func (d *Distributor) logInvalidManifest(h core.VersionID, err error) {
	if failureOf(err) != core.BadContent {
		return
	}
	d.config.Logger.Error("manifest refused, the version in force stays",
		zap.Uint64("version", uint64(h.Version)),
		zap.Uint64("in_force", uint64(d.Status().InForce.Version)),
		zap.String("cause", err.Error()))
}

func versionIDOf(r *pages.Root) core.VersionID {
	return core.VersionID{Version: r.Version, Digest: r.Digest}
}

func failureOf(err error) core.Failure {
	if errors.Is(err, pages.ErrInvalidManifest) {
		return core.BadContent
	}
	return core.BadSource
}

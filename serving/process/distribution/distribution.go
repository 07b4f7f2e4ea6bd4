// Package distribution keeps the newest manifest in force at a daemon. It runs
// the state machine of core/process/distribution and performs its actions.
//
// One goroutine owns the machine. Reads of the configuration service, calls to
// peers and the decoding of pages run in separate goroutines, whose number the
// machine bounds, and post their results to that goroutine. Every root is
// verified with the operators' public keys and every page against its digest
// before a version is put in force, whatever its source. All calls between
// daemons are read-only, so that gRPC's transparent retries are harmless.
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

// Intervals, timeouts and limits of a Distributor.
const (
	// TickInterval is the time between two ticks of the machine, and
	// MembersInterval between two checks of the member list for changes.
	TickInterval    = 50 * time.Millisecond
	MembersInterval = 200 * time.Millisecond
	// MaxHistoryBytes bounds the pages of old versions that are kept to serve
	// peers.
	MaxHistoryBytes = 16 << 20
	// QueryTimeout bounds a query for a peer's version or a target's report.
	QueryTimeout = time.Second
	// FetchTimeout bounds a fetch of a version from a peer or the service.
	FetchTimeout = 5 * time.Second
	// MaxParallelReads bounds the concurrent reads of pages from the service.
	MaxParallelReads = 8
	// FenceSampleSize bounds the engines that are queried for fencing tokens.
	FenceSampleSize = 32
	// eventQueueLength bounds the events that are queued for the machine.
	eventQueueLength = 256
	// maxAssembled bounds the decoded versions that are not in force yet.
	maxAssembled = 4
)

// Peers gives access to the other daemons.
type Peers interface {
	// Live returns the live members except this daemon.
	Live() []core.Member
	// ListedHosts returns the number of hosts on the platform's list, or zero
	// if there is no list.
	ListedHosts() int
	// Dial returns a connection to a peer, which the caller does not close.
	Dial(host names.Host) (*grpc.ClientConn, error)
	// Announce publishes to the peers which version this daemon has in force.
	// It does not block. What peers announce is passed to
	// Distributor.HandleAnnouncement.
	Announce(held core.VersionID)
}

// Reporter fetches a target's report.
type Reporter func(ctx context.Context, address string) (target.Report, error)

// Config holds the settings and dependencies of a Distributor. All fields but
// Now, Machine and ExpectedDaemons are required.
type Config struct {
	Self        core.Member
	Platform    platform.Platform
	Peers       Peers
	FetchReport Reporter
	// Keys are the operators' public keys. A root signed with any of them is
	// valid.
	Keys     []ed25519.PublicKey
	Holder   *version.Holder
	Logger   *zap.Logger
	Registry metrics.Registry
	// ExpectedDaemons is the number of daemons in the settings, or zero if it
	// is not set.
	ExpectedDaemons int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Machine holds the machine's settings; nil means the defaults.
	Machine *core.Config
}

// Distributor keeps the newest version in force in a version.Holder.
type Distributor struct {
	config  Config
	events  chan core.Event
	machine *core.Machine
	counts  *counts
	work    sync.WaitGroup
	state   atomic.Pointer[Status]
	// cancelWatch cancels the current watch; only the goroutine of Run uses
	// it.
	cancelWatch context.CancelFunc
	// reportedMembers and reportedHosts are the members and the number of listed hosts that
	// were last passed to the machine, and membersCheckedAt is when they were last checked;
	// only the goroutine of Run uses them.
	reportedMembers  []core.Member
	reportedHosts    int
	membersCheckedAt time.Time

	// mutex guards the state that fetches and peers' calls share: the next
	// three fields. It is not held during calls to other processes.
	mutex     sync.Mutex
	store     *pages.Store
	assembled map[core.VersionID]*manifest.Manifest
	replies   replyCache

	// assemblerMutex guards the assembler.
	assemblerMutex sync.Mutex
	assembler      pages.Assembler
}

// Status is the state of a Distributor, for operators.
type Status struct {
	InForce core.VersionID
	// Fence is the highest fencing token that any target reported.
	Fence names.Version
	// Watching is true if this daemon watches the root at the service.
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

// Status returns the state after the last step of the machine.
func (d *Distributor) Status() Status { return *d.state.Load() }

// HandleAnnouncement queues a version that a peer announced. It does not block:
// if the queue is full, the announcement is dropped and counted.
func (d *Distributor) HandleAnnouncement(from names.Host, held core.VersionID) {
	d.offer(core.PeerVersion{From: from, VersionID: held})
}

// ObserveFence queues a fencing token that a target reported. It ignores a token
// that is no valid version. It does not block: if the queue is full, the token is
// dropped and counted.
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

// Run runs the machine until ctx ends, and returns the error of ctx when all its
// goroutines have returned.
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

// tick passes changes of the member list and the time to the machine.
func (d *Distributor) tick(ctx context.Context) {
	now := d.config.Now()
	if now.Sub(d.membersCheckedAt) >= MembersInterval {
		d.membersCheckedAt = now
		if !slices.Equal(d.config.Peers.Live(), d.reportedMembers) || d.config.Peers.ListedHosts() != d.reportedHosts {
			d.step(ctx, d.members())
		}
	}
	d.step(ctx, core.Tick{})
}

func (d *Distributor) members() core.Members {
	d.reportedMembers, d.reportedHosts = slices.Clone(d.config.Peers.Live()), d.config.Peers.ListedHosts()
	return core.Members{Live: d.reportedMembers, Listed: d.reportedHosts}
}

// step passes an event to the machine, updates the status and performs the resulting
// actions. The status is stored first, so that it never lags behind the version in force.
func (d *Distributor) step(ctx context.Context, e core.Event) {
	actions := d.machine.Step(d.config.Now(), e)
	status := &Status{
		InForce: d.machine.InForce(), Fence: d.machine.Fence(),
		Watching: d.machine.Watching(), Counters: d.machine.Counters(),
	}
	d.state.Store(status)
	d.counts.update(status)
	for _, action := range actions {
		d.perform(ctx, action)
	}
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

// post queues a result for the goroutine of Run. It blocks while the queue is
// full.
func (d *Distributor) post(ctx context.Context, e core.Event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// install puts an assembled version in force and announces it.
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

// assemble decodes and validates a version whose pages are all stored.
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

// dropAssembled drops assembled versions up to and including upTo. The caller
// holds the mutex.
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

// logInvalidManifest logs why a version is refused if its content is invalid.
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

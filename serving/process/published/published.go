// Package published follows the records that the platform publishes: the
// routing configuration and the list of targets.
//
// A Source lists the platform's records and watches them for changes; a Decoder
// decodes them. The Follower puts the newest configuration in force and updates
// the directory of targets. It never reverts to an older state: it ignores a
// configuration with a lower version and a list of an older revision.
//
// To limit the load on the source, only some daemons, the watchers, watch it.
// They send heartbeats with the newest revision and the time since the source
// last confirmed it, and the other daemons read the changes from them. A daemon
// that receives no heartbeat for HeartbeatTimeout watches the source itself, and
// a daemon that the source refuses reads from peers.
package published

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/atomictime"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Timing of the follower.
const (
	// WatchTimeout bounds the wait of one watch, and so the time for which an
	// unresponsive connection can hide changes.
	WatchTimeout = 2 * time.Second
	// MaxFreshAge is the age of the last confirmation up to which the records
	// count as up to date: one watch and the time to detect that it failed.
	MaxFreshAge = WatchTimeout + 800*time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed read of
	// the source.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// expiryInterval is the interval at which targets that were not published
	// again after an outage are dropped.
	expiryInterval = 200 * time.Millisecond
	// HeartbeatInterval is the interval of a watcher's heartbeats. A daemon that
	// has received none for HeartbeatTimeout watches the source itself.
	HeartbeatInterval = 400 * time.Millisecond
	HeartbeatTimeout  = time.Second
	// watchPause is the pause after a watch that returned changes, so that changes
	// in quick succession are read with one call.
	watchPause = 60 * time.Millisecond
	// checkInterval is the interval at which a daemon checks whether it must watch
	// the source and whether it must read from a peer.
	checkInterval = 200 * time.Millisecond
	// ownWatchAllowance is how long a watcher waits for its own watch to return
	// changes that a peer already has, before it reads them from the peer.
	ownWatchAllowance = 150 * time.Millisecond
	// peerLagTimeout is how long a revision that a peer announced may remain unread
	// from peers before the source is watched instead.
	peerLagTimeout = 600 * time.Millisecond
	// maxHistory bounds the number of changes that are kept for peers.
	maxHistory = 512
)

// Record is one published item in the publisher's own encoding.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Batch is a list of changes, or the complete list of records.
type Batch struct {
	Records []Record
	// Revision is the source's revision as of the batch.
	Revision uint64
	// Complete is true if Records is the complete list.
	Complete bool
	// Settled is true if the targets that the batch removes are gone. A source
	// never sets it: entries also expire while the source is unavailable, and
	// their targets may still be alive.
	Settled bool
}

// ErrCompacted is returned by Source.Watch if the source no longer has the
// changes since the revision.
var ErrCompacted = errors.New("published: the source no longer has the changes since the revision")

// Source reads the platform's records.
type Source interface {
	// List returns all records.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision. It waits for the first
	// one up to wait, then returns none.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Decoder decodes records.
type Decoder interface {
	// Decode returns a configuration or a target. Both are nil for a record that
	// holds neither, and for a record that is invalid, with an error.
	Decode(r *Record) (*routing.Config, *replicas.Target, error)
	// TargetOf returns the ID of the target whose entry a key identifies, and
	// whether the key identifies one.
	TargetOf(key string) (names.Target, bool)
}

// Peers reads records from other daemons.
type Peers interface {
	// Read returns a peer's records after a revision. An empty host stands for
	// any peer.
	Read(ctx context.Context, from names.Host, after uint64) (Batch, error)
}

// View is the state in force.
type View struct {
	Table *routing.Table
	// Targets holds the usable targets by service.
	Targets map[names.Service][]replicas.Target
}

// Follower follows a source. Its exported methods are safe for concurrent use.
type Follower struct {
	source  Source
	decoder Decoder
	peers   Peers
	log     *zap.Logger
	// onRevision is called with each new revision, with mu held.
	onRevision func(revision uint64)
	// isWatcher reports whether this daemon is to watch the source for other
	// daemons.
	isWatcher func() bool

	view          atomic.Pointer[View]
	lastConfirmed atomictime.Time
	revision      atomic.Uint64
	pending       atomic.Pointer[pendingRevision]
	lastHeartbeat atomictime.Time
	// lastWatcher is the sender of the last heartbeat.
	lastWatcher atomic.Pointer[names.Host]
	wake        chan struct{}

	mu      sync.Mutex
	records map[string]Record
	// history holds all changes after the revision historyStart, sorted by
	// revision.
	history      []Record
	historyStart uint64
	directory    *replicas.Directory
	table        *routing.Table
	sourceDown   bool
}

// pendingRevision is the newest revision that a peer has announced, to be read
// from peers. It is obsolete once the follower has the revision.
type pendingRevision struct {
	revision    uint64
	announcedBy names.Host
	since       time.Time
	// readFailed is true after a failed read from a peer.
	readFailed bool
}

// New returns a follower without records. It calls onRevision with each new
// revision; onRevision must not call Records, Settled or ObserveHeartbeat.
func New(source Source, decoder Decoder, peers Peers, log *zap.Logger, onRevision func(uint64), isWatcher func() bool) *Follower {
	return &Follower{
		source: source, decoder: decoder, peers: peers, log: log, onRevision: onRevision, isWatcher: isWatcher,
		wake: make(chan struct{}, 1), records: make(map[string]Record), directory: replicas.New(),
	}
}

// View returns the state in force, or nil before the first configuration.
func (f *Follower) View() *View { return f.view.Load() }

// UpToDate reports whether the source or a peer confirmed the records within the
// last MaxFreshAge.
func (f *Follower) UpToDate() bool {
	return f.Age() < MaxFreshAge
}

// Age returns the time since the records were last confirmed.
func (f *Follower) Age() time.Duration { return f.lastConfirmed.Age() }

// Revision returns the revision of the records.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

// ObservePeerRevision records that a peer announced a revision. The peer may be
// empty if it is not known to have read the revision. A newer revision that
// follows while one is pending does not restart peerLagTimeout.
func (f *Follower) ObservePeerRevision(revision uint64, from names.Host) {
	for {
		old := f.pending.Load()
		if revision <= f.revision.Load() || old != nil && revision <= old.revision {
			return
		}
		since := time.Now()
		if old != nil && old.revision > f.revision.Load() {
			since = old.since // peerLagTimeout runs from the first unread revision
		}
		if f.pending.CompareAndSwap(old, &pendingRevision{revision: revision, announcedBy: from, since: since}) {
			break
		}
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// ObserveHeartbeat processes a watcher's heartbeat: the watcher's revision, the
// time since the source last confirmed it, and whether the targets that the
// watcher does not list are gone. A heartbeat whose confirmation is older than
// MaxFreshAge is ignored.
func (f *Follower) ObserveHeartbeat(from names.Host, revision uint64, confirmed time.Duration, settled bool) {
	if confirmed > MaxFreshAge {
		return
	}
	now := time.Now()
	f.lastHeartbeat.Set(now)
	f.lastWatcher.Store(&from)
	if revision > f.revision.Load() {
		f.ObservePeerRevision(revision, from)
		return
	}
	f.markSourceAvailable(now)
	if settled && revision == f.revision.Load() {
		f.dropMissing()
	}
	f.lastConfirmed.Advance(now.Add(-confirmed))
}

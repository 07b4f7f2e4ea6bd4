// Package published follows what the platform publishes: the routing
// configuration and the list of targets.
//
// A Source reads the platform's records and tells their changes; a Decoder
// knows what they hold. The follower keeps the newest configuration in force,
// feeds the directory of targets, and never goes back: a configuration with a
// lower version and a list as of an older revision change nothing.
//
// Calls to the source are few and shared by all daemons. Only some daemons
// watch it; they tell the others the newest revision and how recent it is, and
// these read the changes from them. A daemon that hears no watcher for Alone
// watches by itself, and one that is turned away by the source reads from
// peers.
package published

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/moment"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Timing of the follower.
const (
	// WatchFor is how long one watch waits. It bounds how long a connection
	// that went silent can hide changes.
	WatchFor = 2 * time.Second
	// Recent is the age up to which the follower's knowledge counts as
	// current: a watch and the time to notice that it failed.
	Recent = WatchFor + 800*time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// expireEvery is the time between looks for entries that did not return.
	expireEvery = 200 * time.Millisecond
	// Beat is the time between two beats of a watcher, Alone how long none
	// may come before a daemon watches by itself.
	Beat  = 400 * time.Millisecond
	Alone = time.Second
	// gather is the pause between two watches, so that changes that come
	// together cost one call.
	gather = 60 * time.Millisecond
	// listenEvery is the time between two looks whether beats still come.
	listenEvery = 200 * time.Millisecond
	// ownWatchLag is how long a watcher lets its own watch bring what a peer
	// already knows.
	ownWatchLag = 150 * time.Millisecond
	// peersLate is how long peers may take to give what they told before the
	// source is asked.
	peersLate = 600 * time.Millisecond
	// keptChanges bounds the changes kept for peers.
	keptChanges = 512
)

// Record is one published item in the publisher's own encoding.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Batch is a number of changes, or the whole list.
type Batch struct {
	Records []Record
	// Revision is the source's as of the batch.
	Revision uint64
	// Whole says that Records is all there is.
	Whole bool
	// Settled says that targets that the batch removes are gone. A source
	// cannot tell: entries lapse while it is away.
	Settled bool
}

// ErrForgotten says that a source no longer has the changes since a revision.
var ErrForgotten = errors.New("published: the source has forgotten these changes")

// Source reads the platform.
type Source interface {
	// List returns all records.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision, or none after a while.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Decoder reads records. Exactly one of the results is set; neither is for a
// record that is of no use, with an error that says why.
type Decoder interface {
	Decode(r *Record) (*routing.Config, *replicas.Target, error)
	// TargetOf returns the target that a key names, if it names one.
	TargetOf(key string) (names.Target, bool)
}

// Peers asks other daemons.
type Peers interface {
	// Read returns what a peer knows after a revision. The peer may be empty
	// for any.
	Read(ctx context.Context, from names.Host, after uint64) (Batch, error)
}

// View is what is in force.
type View struct {
	Table *routing.Table
	// Targets are the usable targets by service.
	Targets map[names.Service][]replicas.Target
}

// Follower follows a source.
type Follower struct {
	source  Source
	decoder Decoder
	peers   Peers
	log     *zap.Logger
	// advanced is told of each new revision.
	advanced func(revision uint64)
	// watches reports whether this daemon is to watch the source for others.
	watches func() bool

	view      atomic.Pointer[View]
	confirmed moment.AtomicTime
	revision  atomic.Uint64
	told      atomic.Pointer[newer]
	heard     moment.AtomicTime
	// watcher is who beat last.
	watcher atomic.Pointer[names.Host]
	wake    chan struct{}

	mu      sync.Mutex
	records map[string]Record
	// changes are all since the revision floor.
	changes   []Record
	floor     uint64
	directory *replicas.Directory
	table     *routing.Table
	lost      bool
}

// newer is a revision that a peer knows, and since when that is known here.
type newer struct {
	revision uint64
	from     names.Host
	at       time.Time
	// failed is true once a peer was asked in vain.
	failed bool
}

// New returns a follower that knows nothing yet.
func New(source Source, decoder Decoder, peers Peers, log *zap.Logger, advanced func(uint64), watches func() bool) *Follower {
	return &Follower{
		source: source, decoder: decoder, peers: peers, log: log, advanced: advanced, watches: watches,
		wake: make(chan struct{}, 1), records: make(map[string]Record), directory: replicas.New(),
	}
}

// View returns what is in force, or nil before the first configuration.
func (f *Follower) View() *View { return f.view.Load() }

// Recent reports whether the source or a peer confirmed the knowledge of late.
func (f *Follower) Recent() bool {
	return f.Age() < Recent
}

// Age returns how long ago the knowledge was confirmed.
func (f *Follower) Age() time.Duration { return f.confirmed.Age() }

// Revision returns the newest revision known.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

// Told takes in that a peer knows a revision.
func (f *Follower) Told(revision uint64, from names.Host) {
	for {
		known := f.told.Load()
		if revision <= f.revision.Load() || known != nil && revision <= known.revision {
			return
		}
		at := time.Now()
		if known != nil && known.revision > f.revision.Load() {
			at = known.at // the wait goes on
		}
		if f.told.CompareAndSwap(known, &newer{revision: revision, from: from, at: at}) {
			break
		}
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Heard takes in the beat of a watcher: the newest revision it knows, how long
// ago the source confirmed it, and whether the targets it does not list are
// gone.
func (f *Follower) Heard(from names.Host, revision uint64, confirmed time.Duration, settled bool) {
	if confirmed > Recent {
		return
	}
	now := time.Now()
	f.heard.Set(now)
	f.watcher.Store(&from)
	if revision > f.revision.Load() {
		f.Told(revision, from)
		return
	}
	f.regained(now)
	if settled && revision == f.revision.Load() {
		f.settle()
	}
	f.confirmed.Advance(now.Add(-confirmed))
}

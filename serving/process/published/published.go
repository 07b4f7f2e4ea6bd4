// Package published follows the records that the platform publishes: the
// routing configuration and the list of targets.
//
// A Source lists the platform's records and watches them for changes; a Decoder
// decodes them. The Follower puts the newest configuration in force and updates
// the directory of targets. It never reverts to an older state: it ignores a
// configuration with a lower version and a list of an older position.
//
// The source may be restored from a copy that is some seconds old. Its era then
// rises, and its revisions start again below those that are known. Positions are
// therefore ordered by era first, also between daemons. A daemon that learns of a
// higher era reads the complete list. It keeps the configuration in force, and the
// directory corrects the copy's entries by what was known before.
//
// To limit the load on the source, only some daemons, the watchers, watch it.
// They send heartbeats with the newest position and the time since the source
// last confirmed it, and the other daemons read the changes from them. Package
// watching decides when a daemon that receives no heartbeats calls the source
// itself. A daemon that the source refuses reads from peers.
package published

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/evacuation"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/watching"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/atomictime"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Timing of the follower.
const (
	// MaxFreshAge is the age of the last confirmation up to which the records
	// count as up to date. A request that older records do not allow may be allowed
	// by a change that must be in force.
	MaxFreshAge = watching.ApplyTime - 200*time.Millisecond
	// expiryInterval is the interval at which targets that were not published
	// again after an outage are dropped.
	expiryInterval = 200 * time.Millisecond
	// resumeCheckInterval is the interval at which a daemon that was paused checks whether
	// its records are up to date.
	resumeCheckInterval = 5 * time.Millisecond
	// HeartbeatInterval is the interval of a watcher's heartbeats.
	HeartbeatInterval = 400 * time.Millisecond
	// watchPause is the pause after a watch that returned changes, so that changes
	// in quick succession are read with one call.
	watchPause = 60 * time.Millisecond
	// checkInterval is the interval at which a daemon checks whether it must call
	// the source and whether it must read from a peer.
	checkInterval = 200 * time.Millisecond
	// minCheckInterval is the least time between two checks whether the source must be
	// called.
	minCheckInterval = 10 * time.Millisecond
	// ownWatchAllowance is how long a watcher waits for its own watch to return
	// changes that a peer already has, before it reads them from the peer.
	ownWatchAllowance = 150 * time.Millisecond
	// peerLagTimeout is how long a revision that a peer announced may remain unread
	// from peers before the source is watched instead.
	peerLagTimeout = 600 * time.Millisecond
	// announcedConfigTimeout is how long a configuration that a peer announced is
	// read from peers.
	announcedConfigTimeout = 5 * time.Second
	// configReadDelay is how long a daemon that hears of a configuration waits for the
	// changes that contain it, before it reads the complete list of a peer.
	configReadDelay = 500 * time.Millisecond
	// maxHistory bounds the number of changes that are kept for peers.
	maxHistory = 512
	// minLoggedWait is the least wait of a heartbeat for f.mu that is logged.
	minLoggedWait = 20 * time.Millisecond
)

// Stage is a part of the way of a change to the requests of this daemon.
type Stage string

// Stages whose times are observed.
const (
	// StageApply is the time from the arrival of a batch until requests use it, with the wait for
	// another batch.
	StageApply Stage = "apply"
	// StagePeerRead is the time of a read from a peer.
	StagePeerRead Stage = "peer_read"
	// StageHeartbeat is the time for which a heartbeat waits for f.mu.
	StageHeartbeat Stage = "heartbeat"
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
	// Position is the source's position as of the batch. The revisions of the
	// records are of the same era.
	Position replicas.Position
	// Complete is true if Records is the complete list.
	Complete bool
	// Peer is the daemon that the batch was read from, empty for a source.
	Peer names.Host
	// ConfirmedAt is the moment as of which the source confirmed that the records are
	// complete, and zero if that is unknown. A source leaves it to the follower.
	ConfirmedAt time.Time
	// Settled is true if the targets that the batch removes are gone. A source
	// never sets it: entries also expire while the source is unavailable, and
	// their targets may still be alive.
	Settled bool
	// Suspended holds, by key, the targets whose records must not be used yet,
	// and for how much longer; see replicas.Directory.Restore. A source never
	// sets it.
	Suspended map[string]time.Duration
}

// ErrCompacted is returned by Source.Watch if the source no longer has the
// changes since the revision.
var ErrCompacted = errors.New("published: the source no longer has the changes since the revision")

// ErrUnfinished is returned by Source if an answer had begun and was not complete in time.
var ErrUnfinished = errors.New("published: the answer of the source was not complete in time")

// Source reads the platform's records. With an error, the era of a returned batch is
// that of the answer if there was one, else zero.
type Source interface {
	// List returns all records.
	List(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision. It waits for the first
	// one up to wait, then returns none. A source of a later era may return the
	// changes after a revision of its own.
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
	// EvacuationOf returns the data centre that operators want evacuated while a key
	// exists, and whether the key is such a request. Its value is not decoded.
	EvacuationOf(key string) (names.DataCentre, bool)
}

// Peers reads records from other daemons.
type Peers interface {
	// Read returns a peer's records after a position. An empty host stands for
	// any peer.
	Read(ctx context.Context, from names.Host, after replicas.Position) (Batch, error)
}

// View is the state in force.
type View struct {
	Table *routing.Table
	// Targets holds the usable targets by service, also those in evacuated data centres.
	Targets map[names.Service][]replicas.Target
	// Evacuated holds the data centres that operators want evacuated and when this daemon
	// learnt of it, TakenBack those of which this daemon has learnt that they no longer do,
	// and when.
	Evacuated map[names.DataCentre]time.Time
	TakenBack map[names.DataCentre]time.Time
}

// Follower follows a source. Its exported methods are safe for concurrent use.
type Follower struct {
	source  Source
	decoder Decoder
	peers   Peers
	log     *zap.Logger
	// onPosition is called with each new position, with mu held.
	onPosition func(replicas.Position)
	// onNews is called, without locks held, when the source or a heartbeat has
	// confirmed the records at least confirmedStep after the last such call, and when
	// the source is lost.
	onNews func()
	// situation returns this daemon's part in watching the source. The follower
	// sets the ages of heartbeats, Empty and Lagging.
	situation func() watching.Situation
	plan      *watching.Plan
	// observe is called with the time of each stage, possibly with mu held.
	observe func(s Stage, took time.Duration)
	// volunteering is true while this daemon watches the source in place of the
	// watchers.
	volunteering atomic.Bool

	view atomic.Pointer[View]
	// firstView is closed when the first view is published.
	firstView chan struct{}
	// evidence is the last confirmation of the records.
	evidence evidenceCell
	position atomic.Pointer[replicas.Position]
	pending  atomic.Pointer[pendingPosition]
	// announced is the newest configuration that a peer has announced, or nil.
	announced     atomic.Pointer[announcedConfig]
	lastHeartbeat atomictime.Time
	// lastStaleHeartbeat is when a daemon that cannot reach the source was heard,
	// announcedAt the last confirmation with which onNews was called.
	lastStaleHeartbeat atomictime.Time
	announcedAt        atomictime.Time
	// lastWatcher is the sender of the last heartbeat.
	lastWatcher atomic.Pointer[names.Host]
	wake        chan struct{}
	// clockReads holds the peers that are read from although they have announced nothing new.
	clockReads clockReads

	// answeredAt is the moment as of which the source last confirmed the records to this
	// daemon itself. Only followSource uses it.
	answeredAt time.Time

	// pauseMu guards pause. It is a leaf lock.
	pauseMu sync.Mutex
	pause   watching.Pause

	// applying is held while a batch is applied, so that batches of the source and of peers
	// follow one another. It is locked before mu.
	applying sync.Mutex

	// mu guards what follows. It is not held while a configuration is decoded.
	mu      sync.Mutex
	records map[string]Record
	// unusable holds the keys of the records that cannot be decoded.
	unusable map[string]bool
	// configKey is the key of the configuration in force, whose record records holds.
	configKey string
	// unusableConfig is the later record of configKey that cannot be decoded, or nil.
	unusableConfig *Record
	// history holds the last change of each key after the revision historyStart, sorted
	// by revision, and that of the configuration in force.
	history      []Record
	historyStart uint64
	directory    *replicas.Directory
	evacuations  *evacuation.Table
	table        *routing.Table
	sourceDown   bool
}

// pendingPosition is the newest position that a peer has announced, to be read
// from peers. It is obsolete once the follower has the position.
type pendingPosition struct {
	position    replicas.Position
	announcedBy names.Host
	since       time.Time
	// readFailed is true after a failed read from a peer.
	readFailed bool
}

// announcedConfig is a configuration to be read from peers. Its position may be older
// than that of the records: after a restoration the source may list an older one.
type announcedConfig struct {
	version names.Version
	from    names.Host
	// The follower reads it from readAt on, and gives up at until.
	readAt, until time.Time
}

// Config holds the dependencies of a Follower.
type Config struct {
	Source  Source
	Decoder Decoder
	Peers   Peers
	Log     *zap.Logger
	// OnPosition is called with each new position. It must not call Records,
	// Settled or ObserveHeartbeat.
	OnPosition func(replicas.Position)
	// OnNews is called when the records were confirmed again or the source was lost,
	// so that a daemon on which others depend sends a heartbeat.
	OnNews func()
	// Situation returns this daemon's part in watching the source: the fields
	// Watcher, Leaving, Peers and Age.
	Situation func() watching.Situation
	// Observe is called with the time of each stage. It must not call the follower. Nil
	// observes nothing.
	Observe func(s Stage, took time.Duration)
	Random  *rand.Rand
}

// New returns a follower without records.
func New(c Config) *Follower {
	f := &Follower{
		source: c.Source, decoder: c.Decoder, peers: c.Peers, log: c.Log, onPosition: c.OnPosition, onNews: c.OnNews,
		situation: c.Situation, plan: watching.New(c.Random),
		firstView: make(chan struct{}), wake: make(chan struct{}, 1), clockReads: newClockReads(), records: make(map[string]Record), unusable: make(map[string]bool), directory: replicas.New(),
		evacuations: evacuation.New(), observe: c.Observe,
	}
	if f.observe == nil {
		f.observe = func(Stage, time.Duration) {}
	}
	f.position.Store(&replicas.Position{})
	return f
}

// View returns the state in force, or nil before the first configuration.
func (f *Follower) View() *View { return f.view.Load() }

// Current returns the state in force, nil before the first configuration, and a confirmation of
// the records that holds for it. The state may be newer than the confirmation.
func (f *Follower) Current() (*View, Evidence) {
	evidence := f.Evidence() // before the view, which is in force when its records are confirmed
	return f.View(), evidence
}

// FirstView returns a channel that is closed once View returns a state.
func (f *Follower) FirstView() <-chan struct{} { return f.firstView }

// UpToDate reports whether the records are known to have been complete within the last
// MaxFreshAge.
func (f *Follower) UpToDate() bool {
	return f.Age() < MaxFreshAge
}

// AwaitAfterPause returns at once unless the process was paused just now. It then waits until the
// records are up to date, for watching.ResumeTime at most.
func (f *Follower) AwaitAfterPause() {
	for f.mustWait() {
		time.Sleep(resumeCheckInterval)
	}
}

func (f *Follower) mustWait() bool {
	recent := f.UpToDate()
	f.pauseMu.Lock()
	defer f.pauseMu.Unlock()
	return f.pause.MustWait(recent, time.Now())
}

// Age returns the time since the moment as of which the source last confirmed the records.
func (f *Follower) Age() time.Duration { return time.Since(f.Evidence().ConfirmedAt) }

// Evidence returns the last confirmation of the records.
func (f *Follower) Evidence() Evidence { return f.evidence.get() }

// Position returns the position of the records; zero before the first.
func (f *Follower) Position() replicas.Position { return *f.position.Load() }

// Revision returns the revision of the records within their era.
func (f *Follower) Revision() uint64 { return f.Position().Revision }

// isNewer reports whether a position is newer than that of the records.
func (f *Follower) isNewer(p replicas.Position) bool { return p.Compare(f.Position()) > 0 }

// ObservePeerPosition records that a peer announced a position. The peer may be
// empty if it is not known to have read up to the position. A newer position that
// follows while one is pending does not restart peerLagTimeout.
func (f *Follower) ObservePeerPosition(position replicas.Position, from names.Host) {
	for {
		old := f.pending.Load()
		if !f.isNewer(position) || old != nil && position.Compare(old.position) <= 0 {
			return
		}
		since := time.Now()
		if old != nil && f.isNewer(old.position) {
			since = old.since // peerLagTimeout runs from the first unread position
		}
		if f.pending.CompareAndSwap(old, &pendingPosition{position: position, announcedBy: from, since: since}) {
			break
		}
	}
	f.wakeUp()
}

// wakeUp makes followPeers check whether a peer has something to read.
func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// configVersion returns the version of the configuration in force, zero before the
// first.
func (f *Follower) configVersion() names.Version {
	if view := f.View(); view != nil {
		return view.Table.Version
	}
	return 0
}

// ObserveConfigVersion records that a peer announced a version of the configuration.
// The peer may be empty if it is not known to have the configuration. Mostly the next
// changes contain it; they do not after a restoration of the source. A newer version that
// follows does not put the read off.
func (f *Follower) ObserveConfigVersion(version names.Version, from names.Host) {
	now := time.Now()
	old := f.announced.Load()
	expected := old != nil && old.version > f.configVersion() && now.Before(old.until)
	if version <= f.configVersion() || expected && version <= old.version {
		return
	}
	c := &announcedConfig{version: version, from: from, readAt: now.Add(configReadDelay), until: now.Add(announcedConfigTimeout)}
	if expected {
		c.readAt = old.readAt
	}
	f.announced.Store(c)
}

// missingConfig returns the announced configuration that is not in force yet and that the
// changes have not brought in time, or nil.
func (f *Follower) missingConfig() *announcedConfig {
	c, now := f.announced.Load(), time.Now()
	if c == nil || c.version <= f.configVersion() || now.Before(c.readAt) || now.After(c.until) {
		return nil
	}
	return c
}

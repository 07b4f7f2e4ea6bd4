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
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
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
	confirmed atomic.Int64
	revision  atomic.Uint64
	told      atomic.Pointer[newer]
	heard     atomic.Int64
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
	return time.Since(time.Unix(0, f.confirmed.Load())) < Recent
}

// Age returns how long ago the knowledge was confirmed.
func (f *Follower) Age() time.Duration { return time.Since(time.Unix(0, f.confirmed.Load())) }

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

// Heard takes in the beat of a watcher: the newest revision it knows and how
// long ago the source confirmed it.
func (f *Follower) Heard(from names.Host, revision uint64, confirmed time.Duration) {
	if confirmed > Recent {
		return
	}
	now := time.Now()
	f.heard.Store(now.UnixNano())
	f.watcher.Store(&from)
	if revision > f.revision.Load() {
		f.Told(revision, from)
		return
	}
	f.regained(now)
	at := now.Add(-confirmed).UnixNano()
	for known := f.confirmed.Load(); at > known && !f.confirmed.CompareAndSwap(known, at); {
		known = f.confirmed.Load()
	}
}

// lagging reports whether a revision that peers know has not come from them.
func (f *Follower) lagging() bool {
	told := f.told.Load()
	return told != nil && told.revision > f.Revision() && time.Since(told.at) > peersLate
}

// alone reports whether no watcher was heard of late.
func (f *Follower) alone() bool {
	return time.Since(time.Unix(0, f.heard.Load())) > Alone
}

// Records returns what is newer than a revision: the changes, or all records if
// the changes since then are no longer known.
func (f *Follower) Records(after uint64) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := f.revision.Load()
	if revision <= after {
		return Batch{Revision: revision}
	}
	if after >= f.floor {
		from, _ := slices.BinarySearchFunc(f.changes, after+1, func(r Record, at uint64) int { return cmp.Compare(r.Revision, at) })
		return Batch{Records: slices.Clone(f.changes[from:]), Revision: revision}
	}
	return Batch{Records: slices.Collect(maps.Values(f.records)), Revision: revision, Whole: true}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { f.followPeers(ctx) })
	running.Go(func() { f.expire(ctx) })
	f.followSource(ctx)
	running.Wait()
}

func (f *Follower) followSource(ctx context.Context) {
	pause := retryFirst
	whole := true
	for ctx.Err() == nil {
		if !whole && !f.watches() && !f.alone() && !f.lagging() {
			sleep(ctx, listenEvery)
			continue
		}
		batch, err := f.read(ctx, whole)
		switch {
		case err == nil:
			whole = false
			pause = retryFirst
			f.back()
			f.apply(batch, "source")
			if len(batch.Records) > 0 {
				sleep(ctx, gather)
			}
			continue
		case errors.Is(err, ErrForgotten):
			f.log.Info("the publisher has forgotten its changes, the list is read again", zap.Uint64("revision", f.Revision()))
			whole = true
			continue
		}
		f.away(ctx, err)
		sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
}

func (f *Follower) read(ctx context.Context, whole bool) (Batch, error) {
	if whole {
		return f.source.List(ctx)
	}
	return f.source.Watch(ctx, f.Revision(), WatchFor)
}

func (f *Follower) away(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Away()
	if !f.lost {
		f.lost = true
		f.log.Warn("publisher lost", zap.Uint64("revision", f.Revision()), zap.String("error", err.Error()))
	}
}

func (f *Follower) back() {
	now := time.Now()
	f.confirmed.Store(now.UnixNano())
	f.regained(now)
}

// regained notes that the source answers, this daemon or a watcher that it
// hears.
func (f *Follower) regained(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Back(now)
	if f.lost {
		f.lost = false
		f.log.Info("publisher regained", zap.Uint64("revision", f.Revision()))
	}
}

// followPeers reads from a peer that knows a newer revision, and from any while
// nothing is known.
func (f *Follower) followPeers(ctx context.Context) {
	ticker := time.NewTicker(listenEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			if f.watches() {
				sleep(ctx, ownWatchLag)
			}
		case <-ticker.C:
		}
		f.readPeer(ctx)
	}
}

func (f *Follower) readPeer(ctx context.Context) {
	var from names.Host
	told := f.told.Load()
	switch {
	case told != nil && told.revision > f.Revision():
		from = f.reader(told)
	case f.Revision() > 0:
		return
	}
	batch, err := f.peers.Read(ctx, from, f.Revision())
	if err != nil {
		f.log.Info("peer not read", zap.String("peer", string(from)), zap.String("error", err.Error()))
		if told != nil {
			f.told.CompareAndSwap(told, &newer{revision: told.revision, at: told.at, failed: true}) // any other may know it
		}
		return
	}
	if batch.Revision <= f.Revision() {
		return // it was told of the revision and has not read it yet
	}
	f.confirmed.Store(time.Now().UnixNano())
	f.apply(batch, "peer")
}

// reader returns whom to ask for what was told: who told it, or else the watcher
// that beat last; empty for any peer.
func (f *Follower) reader(told *newer) names.Host {
	watcher := f.watcher.Load()
	if told.from != "" || told.failed || watcher == nil || f.alone() {
		return told.from
	}
	return *watcher
}

func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.mu.Lock()
			if f.directory.Expire(now) {
				f.log.Info("targets that did not return were dropped", zap.Uint64("revision", f.Revision()))
				f.publish()
			}
			f.mu.Unlock()
		}
	}
}

// apply takes in a batch unless it is older than what is known.
func (f *Follower) apply(b Batch, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.revision.Load()
	if b.Revision < known || b.Revision == known && len(b.Records) == 0 {
		return
	}
	now := time.Now()
	if b.Whole {
		f.replace(&b, now)
		f.changes, f.floor = nil, b.Revision
	}
	slices.SortStableFunc(b.Records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	for i := range b.Records {
		f.take(&b.Records[i], now)
	}
	if !b.Whole {
		f.keep(b.Records, known)
	}
	f.revision.Store(b.Revision)
	f.publish()
	f.log.Info("published records taken in", zap.String("from", from), zap.Uint64("revision", b.Revision),
		zap.Int("records", len(b.Records)), zap.Bool("whole", b.Whole), zap.Int("targets", len(f.directory.List())))
	f.advanced(b.Revision)
}

// keep adds changes to those kept for peers.
func (f *Follower) keep(records []Record, known uint64) {
	for i := range records {
		if records[i].Revision > known {
			f.changes = append(f.changes, records[i])
		}
	}
	if over := len(f.changes) - keptChanges; over > 0 {
		f.floor = f.changes[over-1].Revision
		f.changes = slices.Delete(f.changes, 0, over)
	}
}

// replace removes what a whole list no longer names.
func (f *Follower) replace(b *Batch, now time.Time) {
	present := make(map[string]bool, len(b.Records))
	for i := range b.Records {
		present[b.Records[i].Key] = true
	}
	for key := range f.records {
		if !present[key] {
			f.take(&Record{Key: key, Revision: b.Revision, Deleted: true}, now)
		}
	}
}

func (f *Follower) take(r *Record, now time.Time) {
	if old, ok := f.records[r.Key]; ok && old.Revision > r.Revision {
		return
	}
	if r.Deleted {
		delete(f.records, r.Key)
		if id, ok := f.decoder.TargetOf(r.Key); ok {
			f.directory.Remove(id, r.Revision, now)
			f.log.Info("target entry gone", zap.String("target", string(id)), zap.Uint64("revision", r.Revision))
		}
		return
	}
	f.records[r.Key] = *r
	config, target, err := f.decoder.Decode(r)
	switch {
	case err != nil:
		f.log.Warn("a published record is not used", zap.String("key", r.Key), zap.Uint64("revision", r.Revision), zap.String("error", err.Error()))
	case config != nil:
		f.install(config)
	case target != nil:
		f.directory.Put(*target)
	}
}

func (f *Follower) install(c *routing.Config) {
	if f.table != nil && c.Version <= f.table.Version {
		return
	}
	table, err := routing.NewTable(c)
	if err != nil {
		f.log.Error("configuration refused, the one before stays in force", zap.Uint64("version", uint64(c.Version)), zap.String("error", err.Error()))
		return
	}
	f.table = table
	f.log.Info("configuration in force", zap.Uint64("version", uint64(c.Version)), zap.Int("routes", len(c.Routes)))
}

// publish makes the state visible to requests.
func (f *Follower) publish() {
	if f.table == nil {
		return
	}
	byService := make(map[names.Service][]replicas.Target)
	for _, t := range f.directory.List() {
		byService[t.Service] = append(byService[t.Service], t)
	}
	f.view.Store(&View{Table: f.table, Targets: byService})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

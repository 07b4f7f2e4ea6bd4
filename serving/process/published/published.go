// Package published follows what the platform publishes: the routing
// configuration and the list of targets.
//
// A Source reads the platform's records and tells their changes; a Decoder
// knows what they hold. The follower keeps the newest configuration in force,
// feeds the directory of targets, and never goes back: a configuration with a
// lower version and a list as of an older revision change nothing. While the
// source does not answer, peers that follow it are asked for their records.
package published

import (
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
	// peerLag is how long a peer may know a newer revision before it is
	// asked; the own watch is usually faster.
	peerLag = 120 * time.Millisecond
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
	// Read returns the records of a peer if it knows a newer revision.
	Read(ctx context.Context, after uint64) (Batch, error)
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

	view      atomic.Pointer[View]
	confirmed atomic.Int64
	revision  atomic.Uint64
	told      atomic.Uint64
	wake      chan struct{}

	mu        sync.Mutex
	records   map[string]Record
	directory *replicas.Directory
	table     *routing.Table
	lost      bool
}

// New returns a follower that knows nothing yet.
func New(source Source, decoder Decoder, peers Peers, log *zap.Logger, advanced func(uint64)) *Follower {
	return &Follower{
		source: source, decoder: decoder, peers: peers, log: log, advanced: advanced,
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
func (f *Follower) Told(revision uint64) {
	for {
		known := f.told.Load()
		if revision <= known {
			return
		}
		if f.told.CompareAndSwap(known, revision) {
			break
		}
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Records returns all records if they are newer than a revision.
func (f *Follower) Records(after uint64) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := f.revision.Load()
	if revision <= after {
		return Batch{Revision: revision}
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
		batch, err := f.read(ctx, whole)
		switch {
		case err == nil:
			whole = false
			pause = retryFirst
			f.back()
			f.apply(batch, "source")
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
		f.log.Warn("publisher lost", zap.Uint64("revision", f.Revision()), zap.Error(err))
	}
}

func (f *Follower) back() {
	now := time.Now()
	f.confirmed.Store(now.UnixNano())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Back(now)
	if f.lost {
		f.lost = false
		f.log.Info("publisher regained", zap.Uint64("revision", f.Revision()))
	}
}

// followPeers reads from a peer when peers know a newer revision for longer
// than the own watch takes, or when nothing is known and the source is away.
func (f *Follower) followPeers(ctx context.Context) {
	ticker := time.NewTicker(retryMost)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			sleep(ctx, peerLag)
		case <-ticker.C:
			if f.Revision() > 0 && f.told.Load() <= f.Revision() {
				continue
			}
		}
		if f.Revision() > 0 && f.told.Load() <= f.Revision() {
			continue
		}
		batch, err := f.peers.Read(ctx, f.Revision())
		if err != nil || batch.Revision <= f.Revision() {
			continue // the next tick asks another peer
		}
		f.confirmed.Store(time.Now().UnixNano())
		f.apply(batch, "peer")
	}
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
	}
	for i := range b.Records {
		f.take(&b.Records[i], now)
	}
	f.revision.Store(b.Revision)
	f.publish()
	f.log.Info("published records taken in", zap.String("from", from), zap.Uint64("revision", b.Revision),
		zap.Int("records", len(b.Records)), zap.Bool("whole", b.Whole), zap.Int("targets", len(f.directory.List())))
	f.advanced(b.Revision)
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
		f.log.Warn("a published record is not used", zap.String("key", r.Key), zap.Uint64("revision", r.Revision), zap.Error(err))
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
		f.log.Error("configuration refused, the one before stays in force", zap.Uint64("version", uint64(c.Version)), zap.Error(err))
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

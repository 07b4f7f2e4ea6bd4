package published

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"go.uber.org/zap"
)

// Records returns what is newer than a revision: the changes, or all records if
// the changes since then are no longer known.
func (f *Follower) Records(after uint64) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision, settled := f.revision.Load(), f.directory.Settled(time.Now())
	if revision <= after {
		return Batch{Revision: revision, Settled: settled}
	}
	if after >= f.floor {
		from, _ := slices.BinarySearchFunc(f.changes, after+1, func(r Record, at uint64) int { return cmp.Compare(r.Revision, at) })
		return Batch{Records: slices.Clone(f.changes[from:]), Revision: revision, Settled: settled}
	}
	return Batch{Records: slices.Collect(maps.Values(f.records)), Revision: revision, Whole: true, Settled: settled}
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
	if b.Settled {
		f.directory.DropMissing()
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

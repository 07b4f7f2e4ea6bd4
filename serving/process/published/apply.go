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

// Records returns the changes after a revision, or all records if the changes
// since then are no longer kept.
func (f *Follower) Records(after uint64) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision, settled := f.revision.Load(), f.directory.Settled(time.Now())
	if revision <= after {
		return Batch{Revision: revision, Settled: settled}
	}
	if after >= f.historyStart {
		from, _ := slices.BinarySearchFunc(f.history, after+1, func(r Record, at uint64) int { return cmp.Compare(r.Revision, at) })
		return Batch{Records: slices.Clone(f.history[from:]), Revision: revision, Settled: settled}
	}
	return Batch{Records: slices.Collect(maps.Values(f.records)), Revision: revision, Complete: true, Settled: settled}
}

// applyBatch applies a batch unless it is older than the records. from is its
// origin, for the log.
func (f *Follower) applyBatch(b Batch, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.revision.Load()
	if b.Revision < known || b.Revision == known && len(b.Records) == 0 {
		return
	}
	now := time.Now()
	if b.Complete {
		f.removeAbsent(&b, now)
		f.history, f.historyStart = nil, b.Revision
	}
	slices.SortStableFunc(b.Records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	for i := range b.Records {
		f.applyRecord(&b.Records[i], now)
	}
	if !b.Complete {
		f.appendHistory(b.Records, known)
	}
	if b.Settled {
		f.directory.DropMissing()
	}
	f.revision.Store(b.Revision)
	f.publishView()
	f.log.Info("published records taken in", zap.String("from", from), zap.Uint64("revision", b.Revision),
		zap.Int("records", len(b.Records)), zap.Bool("whole", b.Complete), zap.Int("targets", len(f.directory.List())))
	f.onRevision(b.Revision)
}

// appendHistory adds the changes after the revision known to those kept for
// peers, and drops the oldest beyond maxHistory.
func (f *Follower) appendHistory(records []Record, known uint64) {
	for i := range records {
		if records[i].Revision > known {
			f.history = append(f.history, records[i])
		}
	}
	if excess := len(f.history) - maxHistory; excess > 0 {
		f.historyStart = f.history[excess-1].Revision
		f.history = slices.Delete(f.history, 0, excess)
	}
}

// removeAbsent removes the records that a complete list no longer contains.
func (f *Follower) removeAbsent(b *Batch, now time.Time) {
	listed := make(map[string]bool, len(b.Records))
	for i := range b.Records {
		listed[b.Records[i].Key] = true
	}
	for key := range f.records {
		if !listed[key] {
			f.applyRecord(&Record{Key: key, Revision: b.Revision, Deleted: true}, now)
		}
	}
}

// applyRecord applies one change unless a newer one is known. A record that cannot
// be decoded is kept for peers, but not put in force.
func (f *Follower) applyRecord(r *Record, now time.Time) {
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
		f.installConfig(config)
	case target != nil:
		f.directory.Put(*target)
	}
}

// installConfig puts a configuration in force if it is valid and newer than the
// one in force.
func (f *Follower) installConfig(c *routing.Config) {
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

// publishView makes the current configuration and targets visible to requests.
func (f *Follower) publishView() {
	if f.table == nil {
		return
	}
	byService := make(map[names.Service][]replicas.Target)
	for _, t := range f.directory.List() {
		byService[t.Service] = append(byService[t.Service], t)
	}
	f.view.Store(&View{Table: f.table, Targets: byService})
}

package published

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"go.uber.org/zap"
)

// Records returns the changes after a position, or all records if the changes since
// then are no longer kept.
func (f *Follower) Records(after replicas.Position) Batch {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	position := f.Position()
	b := Batch{Position: position, ConfirmedAt: f.Evidence().ConfirmedAt, Settled: f.directory.Settled(now)}
	if position.Compare(after) <= 0 {
		return b
	}
	if after.Era == position.Era && after.Revision >= f.historyStart {
		from, _ := slices.BinarySearchFunc(f.history, after.Revision+1, func(r Record, at uint64) int { return cmp.Compare(r.Revision, at) })
		b.Records = slices.Clone(f.history[from:])
		return b
	}
	b.Records, b.Complete = slices.Collect(maps.Values(f.records)), true
	b.Suspended = f.suspended(now)
	return b
}

// suspended returns the keys of the targets that are not used because of a restoration.
// The caller must hold f.mu.
func (f *Follower) suspended(now time.Time) map[string]time.Duration {
	list := f.directory.Suspended(now)
	if len(list) == 0 {
		return nil
	}
	keys := make(map[string]time.Duration)
	for key := range f.records {
		if id, ok := f.decoder.TargetOf(key); ok && list[id] > 0 {
			keys[key] = list[id]
		}
	}
	return keys
}

// applyBatch applies a batch unless it is older than the records; a newer configuration
// is taken from any batch. from is its origin, for the log.
func (f *Follower) applyBatch(b Batch, from Origin) {
	began := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.Position()
	order := b.Position.Compare(known)
	switch {
	case order < 0:
		f.applyConfigs(b.Records)
		return
	case order == 0 && len(b.Records) == 0:
		return
	case b.Position.Era > known.Era && !known.IsZero() && !b.Complete:
		return // its revisions cannot be joined to the known ones
	}
	now, o := time.Now(), origin{from: string(from), era: b.Position.Era}
	if b.Position.Era > known.Era && !known.IsZero() {
		f.restore(&b, now)
	}
	if b.Complete {
		f.removeAbsent(&b, o, now)
		f.history, f.historyStart = nil, b.Position.Revision
	}
	slices.SortStableFunc(b.Records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	for i := range b.Records {
		f.applyRecord(&b.Records[i], o, now)
	}
	if !b.Complete {
		f.appendHistory(b.Records, known.Revision)
	}
	for key, left := range b.Suspended {
		if id, ok := f.decoder.TargetOf(key); ok {
			f.directory.Suspend(id, left, now)
		}
	}
	if b.Settled {
		f.directory.DropMissing(now)
	}
	f.position.Store(&b.Position)
	f.publishView()
	took := time.Since(began)
	f.observe(StageApply, took)
	f.log.Info("published records taken in", zap.String("from", string(from)), zap.String("peer", string(b.Peer)), zap.Uint64("era", b.Position.Era), zap.Uint64("revision", b.Position.Revision),
		zap.Int("records", len(b.Records)), zap.Bool("whole", b.Complete), zap.Int("targets", len(f.directory.List(now))), zap.Duration("took", took))
	f.onPosition(b.Position)
}

// restore begins a new era with its complete list. Revisions of the era before cannot be
// compared with those of the list. The caller must hold f.mu.
func (f *Follower) restore(b *Batch, now time.Time) {
	f.directory.Restore(b.Position.Revision, now)
	f.evacuations.Restore(now)
	for key, r := range f.records {
		r.Revision = 0
		f.records[key] = r
	}
	f.log.Warn("the list of a restored publisher is read", zap.Uint64("era", b.Position.Era), zap.Uint64("revision", b.Position.Revision),
		zap.Int("records", len(b.Records)))
}

// applyConfigs puts a configuration of a batch in force if it is newer. The caller must
// hold f.mu.
func (f *Follower) applyConfigs(records []Record) {
	for i := range records {
		r := records[i]
		_, isTarget := f.decoder.TargetOf(r.Key)
		_, isEvacuation := f.decoder.EvacuationOf(r.Key)
		if isTarget || isEvacuation || r.Deleted || bytes.Equal(r.Value, f.records[r.Key].Value) {
			continue
		}
		config, _, err := f.decoder.Decode(&r)
		if err != nil || config == nil {
			continue // it was logged when it was first read, or holds no configuration
		}
		if f.installConfig(config) {
			r.Revision = 0 // of another position than the other records
			f.keepConfig(&r)
			f.publishView()
		}
	}
}

// keepConfig keeps the record of the configuration in force for peers. The caller must
// hold f.mu.
func (f *Follower) keepConfig(r *Record) {
	f.records[r.Key], f.configKey = *r, r.Key
}

// appendHistory adds the changes after the revision known to those kept for
// peers, and drops the changes that they replace and the oldest beyond maxHistory.
func (f *Follower) appendHistory(records []Record, known uint64) {
	replaced := make(map[string]bool)
	for i := range records {
		if records[i].Revision > known {
			replaced[records[i].Key] = true
		}
	}
	f.history = slices.DeleteFunc(f.history, func(r Record) bool { return replaced[r.Key] })
	for i := range records {
		later := func(r Record) bool { return r.Key == records[i].Key }
		if records[i].Revision > known && !slices.ContainsFunc(records[i+1:], later) {
			f.history = append(f.history, records[i])
		}
	}
	if excess := len(f.history) - maxHistory; excess > 0 {
		f.historyStart = f.history[excess-1].Revision
		f.history = slices.Delete(f.history, 0, excess)
	}
}

// removeAbsent removes the records that a complete list no longer contains.
func (f *Follower) removeAbsent(b *Batch, o origin, now time.Time) {
	listed := make(map[string]bool, len(b.Records))
	for i := range b.Records {
		listed[b.Records[i].Key] = true
	}
	for key := range f.records {
		r := Record{Key: key, Revision: b.Position.Revision, Deleted: true}
		switch dc, isEvacuation := f.decoder.EvacuationOf(key); {
		case listed[key]:
		case isEvacuation:
			f.applyAbsence(dc, &r, o, now)
		default:
			f.applyRecord(&r, o, now)
		}
	}
}

// applyRecord applies one change unless a newer one is known. A record that cannot
// be decoded is kept for peers, but not put in force. The record of a configuration is
// kept while no newer configuration is in force: a restored publisher lists an older
// one.
func (f *Follower) applyRecord(r *Record, o origin, now time.Time) {
	if old, ok := f.records[r.Key]; ok && old.Revision > r.Revision && r.Key != f.configKey {
		return // configurations are ordered by their versions
	}
	if dc, ok := f.decoder.EvacuationOf(r.Key); ok {
		f.applyEvacuation(dc, r, o, now)
		return
	}
	if r.Deleted {
		f.applyRemoval(r, now)
		return
	}
	if r.Key == f.configKey && bytes.Equal(r.Value, f.records[r.Key].Value) {
		f.keepConfig(r)
		return // decoding many routes takes long
	}
	config, target, err := f.decoder.Decode(r)
	f.recordUsability(r, err)
	if config != nil {
		if f.installConfig(config) || r.Key != f.configKey || config.Version == f.table.Version {
			f.keepConfig(r)
		}
		return
	}
	f.records[r.Key] = *r
	if target != nil {
		f.directory.Put(*target, now)
	}
}

// recordUsability records whether a record can be decoded. One that cannot is logged once,
// since its writer may write it again and again.
func (f *Follower) recordUsability(r *Record, err error) {
	switch {
	case err == nil:
		delete(f.unusable, r.Key)
	case !f.unusable[r.Key]:
		f.unusable[r.Key] = true
		f.log.Warn("a published record is not used", zap.String("key", r.Key), zap.Uint64("revision", r.Revision), zap.String("error", err.Error()))
	}
}

// Unusable returns the number of records that cannot be decoded.
func (f *Follower) Unusable() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.unusable)
}

// applyRemoval applies the removal of a record.
func (f *Follower) applyRemoval(r *Record, now time.Time) {
	if r.Key == f.configKey {
		return // the configuration stays in force
	}
	delete(f.records, r.Key)
	delete(f.unusable, r.Key)
	if id, ok := f.decoder.TargetOf(r.Key); ok {
		f.directory.Remove(id, r.Revision, now)
		f.log.Info("target entry gone", zap.String("target", string(id)), zap.Uint64("revision", r.Revision))
	}
}

// installConfig puts a configuration in force if it is valid and newer than the
// one in force, and reports whether it did.
func (f *Follower) installConfig(c *routing.Config) bool {
	if f.table != nil && c.Version <= f.table.Version {
		return false
	}
	table, err := routing.NewTable(c)
	if err != nil {
		f.log.Error("configuration refused, the one before stays in force", zap.Uint64("version", uint64(c.Version)), zap.String("error", err.Error()))
		return false
	}
	f.table = table
	f.log.Info("configuration in force", zap.Uint64("version", uint64(c.Version)), zap.Int("routes", len(c.Routes)))
	return true
}

// publishView makes the current configuration and targets visible to requests.
func (f *Follower) publishView() {
	if f.table == nil {
		return
	}
	byService := make(map[names.Service][]replicas.Target)
	for _, t := range f.directory.List(time.Now()) {
		byService[t.Service] = append(byService[t.Service], t)
	}
	view := &View{Table: f.table, Targets: byService, Evacuated: f.evacuations.InForce(), TakenBack: f.evacuations.TakenBack()}
	if f.view.Swap(view) == nil {
		close(f.firstView)
	}
}

package published

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"go.uber.org/zap"
)

// Records returns the changes after a position, or all records if the changes since
// then are no longer kept.
func (f *Follower) Records(after replicas.Position) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, position := time.Now(), f.Position()
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
	if f.unusableConfig != nil {
		b.Records = append(b.Records, *f.unusableConfig)
	}
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
//
// Any number of goroutines may call it. Batches are applied one after the other, so that
// positions never decrease. The state that contains the changes up to a position is in force
// before Position returns it, and hence before anything confirms it. Configurations are decoded
// without f.mu: until they are in force, heartbeats, peers and requests have the state before
// the batch.
func (f *Follower) applyBatch(b Batch, from Origin) {
	began := time.Now()
	f.applying.Lock()
	defer f.applying.Unlock()
	slices.SortStableFunc(b.Records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
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
	contents := f.decodeBatch(b.Records, f.known())
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.applyContents(&b, contents, known, origin{from: string(from), era: b.Position.Era}, now)
	f.publishView()
	f.position.Store(&b.Position)
	took := time.Since(began)
	f.observe(StageApply, took)
	f.log.Info("published records taken in", zap.String("from", string(from)), zap.String("peer", string(b.Peer)), zap.Uint64("era", b.Position.Era), zap.Uint64("revision", b.Position.Revision),
		zap.Int("records", len(b.Records)), zap.Bool("whole", b.Complete), zap.Int("targets", len(f.directory.List(now))), zap.Duration("took", took))
	f.onPosition(b.Position)
}

// applyContents applies the records of a batch, whose contents were decoded. The caller must
// hold f.applying and f.mu.
func (f *Follower) applyContents(b *Batch, contents []content, known replicas.Position, o origin, now time.Time) {
	if b.Position.Era > known.Era && !known.IsZero() {
		f.restore(b, now)
	}
	if b.Complete {
		f.removeAbsent(b, o, now)
		f.history, f.historyStart = nil, b.Position.Revision
	}
	for i := range b.Records {
		f.applyRecord(&b.Records[i], &contents[i], o, now)
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
	if f.unusableConfig != nil {
		f.unusableConfig.Revision = 0
	}
	f.log.Warn("the list of a restored publisher is read", zap.Uint64("era", b.Position.Era), zap.Uint64("revision", b.Position.Revision),
		zap.Int("records", len(b.Records)))
}

// known returns what is known of the configuration.
func (f *Follower) known() known {
	f.mu.Lock()
	defer f.mu.Unlock()
	return known{inForce: f.records[f.configKey], version: f.configVersion(), unusable: f.unusableConfig}
}

// applyConfigs puts a configuration of a batch, sorted by revision, in force if it is newer. The
// caller must hold f.applying, but not f.mu.
func (f *Follower) applyConfigs(records []Record) {
	records = slices.DeleteFunc(slices.Clone(records), func(r Record) bool {
		_, isTarget := f.decoder.TargetOf(r.Key)
		_, isEvacuation := f.decoder.EvacuationOf(r.Key)
		return isTarget || isEvacuation || r.Deleted
	})
	contents := f.decodeBatch(records, f.known())
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range records {
		if r := records[i]; f.installConfig(&contents[i]) {
			r.Revision = 0 // of another position than the other records
			f.keepConfig(&r)
			f.publishView()
		}
	}
}

// keepConfig keeps the record of the configuration in force for peers. The caller must
// hold f.mu.
func (f *Follower) keepConfig(r *Record) {
	f.records[r.Key], f.configKey, f.unusableConfig = *r, r.Key, nil
}

// appendHistory adds the changes after the revision known to those kept for
// peers, and drops the changes that they replace and the oldest beyond maxHistory. The change
// that put the configuration in force is kept beside later ones that did not replace it. The
// caller must hold f.mu.
func (f *Follower) appendHistory(records []Record, known uint64) {
	last := make(map[string]uint64) // revisions by key
	for i := range records {
		if r := &records[i]; r.Revision > known {
			last[r.Key] = r.Revision
		}
	}
	inForce := f.records[f.configKey]
	isReplaced := func(r Record) bool {
		revision, changed := last[r.Key]
		isInForce := r.Key == f.configKey && r.Revision == inForce.Revision
		return changed && r.Revision != revision && !isInForce
	}
	f.history = slices.DeleteFunc(f.history, isReplaced)
	for i := range records {
		if r := records[i]; r.Revision > known && !isReplaced(r) {
			f.history = append(f.history, r)
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
			f.applyRemoval(&r, now)
		}
	}
}

// applyRecord applies one change unless a newer one is known. A record that cannot
// be decoded is kept for peers, but not put in force. The record of the configuration in force
// is kept beside it, and also while a restored publisher lists an older one. The caller must
// hold f.mu.
func (f *Follower) applyRecord(r *Record, c *content, o origin, now time.Time) {
	if c.skipped || f.isReplaced(r) {
		return
	}
	if dc, ok := f.decoder.EvacuationOf(r.Key); ok {
		f.applyEvacuation(dc, r, o, now)
		return
	}
	if r.Deleted {
		f.applyRemoval(r, now)
		return
	}
	f.recordUsability(r, c.err)
	switch {
	case f.installConfig(c) || c.inForce && c.version == f.table.Version:
		f.keepConfig(r)
	case r.Key != f.configKey:
		f.records[r.Key] = *r
	case c.err != nil:
		kept := *r
		f.unusableConfig = &kept
	default:
		f.unusableConfig = nil
	}
	if c.target != nil {
		f.directory.Put(*c.target, now)
	}
}

// isReplaced reports whether a newer change of a record is known. Configurations are ordered by
// their versions instead. The caller must hold f.mu.
func (f *Follower) isReplaced(r *Record) bool {
	return f.records[r.Key].Revision > r.Revision && r.Key != f.configKey
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

// applyRemoval applies the removal of a record unless a newer change is known. The caller must
// hold f.mu.
func (f *Follower) applyRemoval(r *Record, now time.Time) {
	if r.Key == f.configKey || f.isReplaced(r) {
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
// one in force, and reports whether it did. The caller must hold f.mu.
func (f *Follower) installConfig(c *content) bool {
	if c.invalid != nil {
		f.log.Error("configuration refused, the one before stays in force", zap.Uint64("version", uint64(c.version)), zap.String("error", c.invalid.Error()))
		return false
	}
	if c.table == nil || f.table != nil && c.table.Version <= f.table.Version {
		return false
	}
	f.table = c.table
	f.log.Info("configuration in force", zap.Uint64("version", uint64(c.version)), zap.Int("routes", c.routes))
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

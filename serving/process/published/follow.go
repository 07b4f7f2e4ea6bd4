package published

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/watching"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// peersLagging reports whether a position that a peer announced could not be read
// from peers within peerLagTimeout.
func (f *Follower) peersLagging() bool {
	pending := f.pending.Load()
	return pending != nil && f.isNewer(pending.position) && time.Since(pending.since) > peerLagTimeout
}

// HeartbeatAge returns the time since the last heartbeat of a watcher.
func (f *Follower) HeartbeatAge() time.Duration { return f.lastHeartbeat.Age() }

// heartbeatsExpired reports whether no heartbeat arrived within the last
// watching.HeartbeatTimeout.
func (f *Follower) heartbeatsExpired() bool {
	return f.HeartbeatAge() > watching.HeartbeatTimeout
}

// callIsDue reports whether this daemon is to call the source now.
func (f *Follower) callIsDue(now time.Time) bool {
	s := f.situation()
	s.Empty = f.Position().IsZero()
	s.ConfirmedAge = f.Age()
	s.HeartbeatAge, s.StaleAge = f.HeartbeatAge(), f.lastStaleHeartbeat.Age()
	s.Lagging = f.peersLagging()
	due := f.plan.Due(s, now)
	f.volunteering.Store(f.plan.Volunteering(now))
	return due
}

// Volunteering reports whether this daemon watches the source in place of the watchers.
func (f *Follower) Volunteering() bool { return f.volunteering.Load() }

// Run follows the source and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { f.followPeers(ctx) })
	running.Go(func() { f.expire(ctx) })
	running.Go(func() { f.readClocks(ctx) })
	f.followSource(ctx)
	running.Wait()
}

// followSource lists the records once, then watches the source when its plan says so.
func (f *Follower) followSource(ctx context.Context) {
	relist := true
	for ctx.Err() == nil {
		if now := time.Now(); !f.callIsDue(now) {
			sleep(ctx, f.pauseBeforeCall(now))
			continue
		}
		batch, err := f.readSource(ctx, relist)
		switch {
		case f.restored(&batch):
			// Whatever the watch says, its revisions cannot be joined to the known ones.
			relist = true
			if err == nil {
				continue
			}
		case err == nil && batch.Position.Era < f.Position().Era:
			err = errors.Errorf("published: answer of era %d, the source is in era %d", batch.Position.Era, f.Position().Era)
		case errors.Is(err, ErrCompacted):
			f.log.Info("the publisher has forgotten its changes, the list is read again", zap.Uint64("revision", f.Revision()))
			relist = true
			continue
		case errors.Is(err, ErrUnfinished) && !relist:
			// The next watch would return more changes of the same keys, and the list holds one of each.
			f.log.Info("the publisher's changes take too long to read, its list is read", zap.Uint64("revision", f.Revision()), zap.String("error", err.Error()))
			relist = true
			continue
		}
		if err != nil {
			f.sourceFailed(ctx, err)
			continue
		}
		relist = false
		f.sourceAnswered(batch)
		if len(batch.Records) > 0 {
			sleep(ctx, watchPause)
		}
	}
}

// restored reports whether a batch of the source that is not the complete list, or the
// answer with an error, is of a later era than the records.
func (f *Follower) restored(b *Batch) bool {
	known := f.Position()
	if b.Complete || known.IsZero() || b.Position.Era <= known.Era {
		return false
	}
	f.log.Info("the publisher was restored from a copy, the list is read again", zap.Uint64("era", b.Position.Era), zap.Uint64("revision", known.Revision))
	return true
}

// pauseBeforeCall returns the time until it is to be decided again whether a call is due.
func (f *Follower) pauseBeforeCall(now time.Time) time.Duration {
	if wait, planned := f.plan.Wait(now); planned {
		return min(wait, checkInterval)
	}
	return min(max(watching.MaxUnconfirmed-f.Age(), minCheckInterval), checkInterval)
}

// readSource reads the complete list, or watches for changes. It sets the moment as of which
// the answer confirms the records.
func (f *Follower) readSource(ctx context.Context, relist bool) (Batch, error) {
	sent := time.Now()
	if relist {
		batch, err := f.source.List(ctx)
		batch.ConfirmedAt = sent
		return batch, err
	}
	wait := watching.WatchTimeFor(sent.Sub(f.answeredAt)).Truncate(time.Millisecond) // the source waits for whole ones
	batch, err := f.source.Watch(ctx, f.Revision(), wait)
	batch.ConfirmedAt = watching.ConfirmedAt(sent, wait, len(batch.Records) > 0, time.Now())
	return batch, err
}

// sourceFailed records that a read of the source failed.
func (f *Follower) sourceFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.plan.Failed(time.Now())
	if f.markSourceLost() {
		f.log.Warn("publisher lost", zap.Uint64("revision", f.Revision()), zap.String("error", err.Error()))
		f.onNews()
	}
}

// markSourceLost records that the source does not answer, and reports whether it did
// before.
func (f *Follower) markSourceLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.MarkUnavailable()
	answered := !f.sourceDown
	f.sourceDown = true
	return answered
}

// sourceAnswered applies an answer of the source to this daemon, which confirms the
// records.
func (f *Follower) sourceAnswered(batch Batch) {
	now := time.Now()
	if f.plan.Succeeded(now) {
		f.volunteering.Store(true)
		f.log.Info("watching the publisher in place of the watchers", zap.Uint64("revision", f.Revision()), zap.Duration("heartbeat_age", f.HeartbeatAge()))
	}
	f.answeredAt = batch.ConfirmedAt
	f.markSourceAvailable(now)
	f.applyBatch(batch, FromSource)
	f.confirm(&batch, FromSource)
}

// confirm records the moment as of which a batch that was applied shows that the records
// are complete.
func (f *Follower) confirm(b *Batch, origin Origin) {
	if f.isNewer(b.Position) {
		return // the batch was not applied
	}
	f.evidence.advance(Evidence{ConfirmedAt: b.ConfirmedAt, Origin: origin, From: b.Peer})
	f.announce()
}

// markSourceAvailable records that the source is available: it answered this
// daemon or the sender of a heartbeat.
func (f *Follower) markSourceAvailable(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.MarkAvailable(now)
	if f.sourceDown {
		f.sourceDown = false
		f.log.Info("publisher regained", zap.Uint64("revision", f.Revision()))
	}
}

// followPeers reads from a peer that announced a newer position or configuration, and
// from any peer while there are no records.
func (f *Follower) followPeers(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			if f.situation().Watcher {
				sleep(ctx, ownWatchAllowance)
			}
		case <-ticker.C:
		}
		f.readPeer(ctx)
	}
}

// readPeer reads once from a peer if a newer position or configuration was announced
// or there are no records yet.
func (f *Follower) readPeer(ctx context.Context) {
	var from names.Host
	after := f.Position()
	pending, config := f.pending.Load(), f.missingConfig()
	switch {
	case pending != nil && f.isNewer(pending.position):
		from = f.selectPeer(pending)
	case config != nil:
		from, after = config.from, replicas.Position{}
	case !after.IsZero():
		return
	}
	if err := f.readFrom(ctx, from, after); err != nil {
		if pending != nil {
			f.pending.CompareAndSwap(pending, &pendingPosition{position: pending.position, since: pending.since, readFailed: true}) // the next read may go to any peer
		}
		if config != nil {
			f.announced.CompareAndSwap(config, &announcedConfig{version: config.version, readAt: config.readAt, until: config.until}) // as above
		}
	}
}

// readFrom reads from a peer and applies what it returns. An error is logged.
func (f *Follower) readFrom(ctx context.Context, from names.Host, after replicas.Position) error {
	began := time.Now()
	batch, err := f.peers.Read(ctx, from, after)
	f.observe(StagePeerRead, time.Since(began))
	if err != nil {
		f.log.Info("peer not read", zap.String("peer", string(from)), zap.Uint64("after", after.Revision), zap.Duration("took", time.Since(began)),
			zap.Uint64("version", uint64(f.configVersion())), zap.String("error", err.Error()))
		return err
	}
	f.applyBatch(batch, FromPeer)
	f.confirm(&batch, FromPeer)
	return nil
}

// selectPeer returns the peer to read a pending position from: the peer that
// announced it, else the watcher that sent the last heartbeat. It returns an
// empty host, which stands for any peer, if there is no current watcher or a read
// has failed.
func (f *Follower) selectPeer(pending *pendingPosition) names.Host {
	watcher := f.lastWatcher.Load()
	if pending.announcedBy != "" || pending.readFailed || watcher == nil || f.heartbeatsExpired() {
		return pending.announcedBy
	}
	return *watcher
}

// Settled reports whether the targets that are not listed are gone. It returns
// false while they may be missing because of an outage of the source.
func (f *Follower) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Settled(time.Now())
}

// dropMissing drops missing targets, after a watcher has reported that they are gone as of a
// position, if that is the position of the records.
func (f *Follower) dropMissing(asOf replicas.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf != f.Position() {
		return
	}
	if f.directory.DropMissing(time.Now()) {
		f.log.Info("missing targets were dropped, a watcher says that they are gone", zap.Uint64("revision", f.Revision()))
		f.publishView()
	}
}

// expire drops targets that were not published again after an outage, and evacuations that a
// restored source lacks.
func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.pauseMu.Lock()
			f.pause.Ran(time.Now())
			f.pauseMu.Unlock()
			f.mu.Lock()
			if f.directory.Expire(now) {
				f.log.Info("targets that did not return were dropped", zap.Uint64("revision", f.Revision()))
				f.publishView()
			}
			f.expireEvacuations(now)
			f.mu.Unlock()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

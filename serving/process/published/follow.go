package published

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// peersLagging reports whether a revision that a peer announced could not be read
// from peers within peerLagTimeout.
func (f *Follower) peersLagging() bool {
	pending := f.pending.Load()
	return pending != nil && pending.revision > f.Revision() && time.Since(pending.since) > peerLagTimeout
}

// HeartbeatAge returns the time since the last heartbeat of a watcher.
func (f *Follower) HeartbeatAge() time.Duration { return f.lastHeartbeat.Age() }

// heartbeatsExpired reports whether no heartbeat arrived within the last
// HeartbeatTimeout.
func (f *Follower) heartbeatsExpired() bool {
	return f.HeartbeatAge() > HeartbeatTimeout
}

// Run follows the source and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { f.followPeers(ctx) })
	running.Go(func() { f.expire(ctx) })
	f.followSource(ctx)
	running.Wait()
}

// followSource lists the records once, then watches the source while this daemon
// is a watcher, receives no heartbeats or cannot read a revision from peers.
func (f *Follower) followSource(ctx context.Context) {
	delay := minRetryDelay
	relist := true
	for ctx.Err() == nil {
		if !relist && !f.isWatcher() && !f.heartbeatsExpired() && !f.peersLagging() {
			sleep(ctx, checkInterval)
			continue
		}
		batch, err := f.readSource(ctx, relist)
		switch {
		case err == nil:
			relist = false
			delay = minRetryDelay
			f.sourceAnswered()
			f.applyBatch(batch, "source")
			if len(batch.Records) > 0 {
				sleep(ctx, watchPause)
			}
			continue
		case errors.Is(err, ErrCompacted):
			f.log.Info("the publisher has forgotten its changes, the list is read again", zap.Uint64("revision", f.Revision()))
			relist = true
			continue
		}
		f.sourceFailed(ctx, err)
		sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func (f *Follower) readSource(ctx context.Context, relist bool) (Batch, error) {
	if relist {
		return f.source.List(ctx)
	}
	return f.source.Watch(ctx, f.Revision(), WatchTimeout)
}

// sourceFailed records that a read of the source failed.
func (f *Follower) sourceFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.MarkUnavailable()
	if !f.sourceDown {
		f.sourceDown = true
		f.log.Warn("publisher lost", zap.Uint64("revision", f.Revision()), zap.String("error", err.Error()))
	}
}

// sourceAnswered records that the source answered this daemon, which confirms the
// records.
func (f *Follower) sourceAnswered() {
	now := time.Now()
	f.lastConfirmed.Set(now)
	f.markSourceAvailable(now)
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

// followPeers reads from a peer that announced a newer revision, and from any peer
// while there are no records.
func (f *Follower) followPeers(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			if f.isWatcher() {
				sleep(ctx, ownWatchAllowance)
			}
		case <-ticker.C:
		}
		f.readPeer(ctx)
	}
}

// readPeer reads once from a peer if a newer revision was announced or there are
// no records yet.
func (f *Follower) readPeer(ctx context.Context) {
	var from names.Host
	pending := f.pending.Load()
	switch {
	case pending != nil && pending.revision > f.Revision():
		from = f.selectPeer(pending)
	case f.Revision() > 0:
		return
	}
	batch, err := f.peers.Read(ctx, from, f.Revision())
	if err != nil {
		f.log.Info("peer not read", zap.String("peer", string(from)), zap.String("error", err.Error()))
		if pending != nil {
			f.pending.CompareAndSwap(pending, &pendingRevision{revision: pending.revision, since: pending.since, readFailed: true}) // the next read may go to any peer
		}
		return
	}
	if batch.Revision <= f.Revision() {
		return // the peer has not read the announced revision yet
	}
	f.lastConfirmed.Set(time.Now())
	f.applyBatch(batch, "peer")
}

// selectPeer returns the peer to read a pending revision from: the peer that
// announced it, else the watcher that sent the last heartbeat. It returns an
// empty host, which stands for any peer, if there is no current watcher or a read
// has failed.
func (f *Follower) selectPeer(pending *pendingRevision) names.Host {
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

// dropMissing drops missing targets, after a watcher with the same revision has
// reported that they are gone.
func (f *Follower) dropMissing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.directory.DropMissing() {
		f.log.Info("missing targets were dropped, a watcher says that they are gone", zap.Uint64("revision", f.Revision()))
		f.publishView()
	}
}

// expire drops targets that were not published again after an outage.
func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.mu.Lock()
			if f.directory.Expire(now) {
				f.log.Info("targets that did not return were dropped", zap.Uint64("revision", f.Revision()))
				f.publishView()
			}
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

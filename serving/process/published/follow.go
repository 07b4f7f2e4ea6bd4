package published

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// lagging reports whether a revision that peers know has not come from them.
func (f *Follower) lagging() bool {
	told := f.told.Load()
	return told != nil && told.revision > f.Revision() && time.Since(told.at) > peersLate
}

// BeatAge returns how long ago a watcher was heard.
func (f *Follower) BeatAge() time.Duration { return f.heard.Age() }

// alone reports whether no watcher was heard of late.
func (f *Follower) alone() bool {
	return f.BeatAge() > Alone
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
	f.directory.MarkUnavailable()
	if !f.lost {
		f.lost = true
		f.log.Warn("publisher lost", zap.Uint64("revision", f.Revision()), zap.String("error", err.Error()))
	}
}

func (f *Follower) back() {
	now := time.Now()
	f.confirmed.Set(now)
	f.regained(now)
}

// regained notes that the source answers, this daemon or a watcher that it
// hears.
func (f *Follower) regained(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.MarkAvailable(now)
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
	f.confirmed.Set(time.Now())
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

// Settled reports whether the targets that are not listed are gone.
func (f *Follower) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Settled(time.Now())
}

// settle drops targets that are missing, on the word of a peer.
func (f *Follower) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.directory.DropMissing() {
		f.log.Info("missing targets were dropped, a watcher says that they are gone", zap.Uint64("revision", f.Revision()))
		f.publish()
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

package soak

import (
	"context"
	"syscall"
	"time"

	"carobspoke.example/tools/emulator"
)

// Times of a run's end.
const (
	// settleTime is how long after the last fault the fleet may take to
	// recover: the users allow 12 s after a loss of all.
	settleTime = 12 * time.Second
	// calmTime is how long the recovered fleet is looked at.
	calmTime = 2 * time.Second
	// calmServed is the part of the requests that must be served then, in a
	// hundred, of those whose callers wait. The users ask for a quarter of what
	// it was before.
	calmServed = 97
)

// watchVersions checks that no incarnation goes back to an older version.
func (w *world) watchVersions(ctx context.Context) {
	type seen struct {
		version   uint64
		disturbed time.Time
	}
	last := make(map[*host]seen)
	for ctx.Err() == nil {
		for _, h := range w.hosts {
			h.mu.Lock()
			disturbed := h.disturbed
			h.mu.Unlock()
			version := h.version(ctx)
			h.mu.Lock()
			calm := disturbed.Equal(h.disturbed)
			h.mu.Unlock()
			before := last[h]
			if version > 0 && calm && before.disturbed.Equal(disturbed) && version < before.version {
				w.checker.RecordViolation("%s went back from version %d to %d", h.settings.Name, before.version, version)
			}
			if version > 0 && calm {
				last[h] = seen{version, disturbed}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkEnd heals everything and checks that the fleet recovers: all daemons
// have the last version, and requests are served.
func (w *world) checkEnd(ctx context.Context, all *callers) {
	w.store.SetMode(emulator.Serving)
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		w.restart(h)
	}
	w.mustPublish()
	until := time.Now().Add(settleTime)
	for _, h := range w.hosts {
		for h.version(ctx) != uint64(w.version) {
			if time.Now().After(until) {
				w.checker.RecordViolation("%s has version %d and not %d in force %s after the last fault", h.settings.Name, h.version(ctx), w.version, settleTime)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	all.calm.Store(true)
	time.Sleep(calmTime)
	all.calm.Store(false)
}

// checkCalm checks that what was sent after the recovery was served. All
// requests have ended.
func (w *world) checkCalm(n *Counts) {
	if n.CalmServed*100 < calmServed*n.CalmSent || n.CalmSent == 0 {
		w.checker.RecordViolation("%d of %d requests served after the last fault", n.CalmServed, n.CalmSent)
	}
}

// reservations counts those at the targets that live.
func (w *world) reservations() int {
	count := 0
	for _, t := range w.targets {
		count += t.GrantedReservations()
	}
	return count
}

// memoryTime is how long after the last request reservations may be held.
const memoryTime = 5 * time.Second

// checkMemory checks that no target's memory stays set aside.
func (w *world) checkMemory() {
	until := time.Now().Add(memoryTime)
	for _, t := range w.targets {
		for t.ActiveReservations() > 0 {
			if time.Now().After(until) {
				w.checker.RecordViolation("%d reservations stay at %s", t.ActiveReservations(), t.ID)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

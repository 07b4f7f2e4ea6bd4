package published

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/watching"
	"go.uber.org/zap"
)

// Heartbeat is what a watcher tells the daemons of its data centre.
type Heartbeat struct {
	// Position is the newest position that the watcher knows, ConfirmedAt the moment as of
	// which the source last confirmed it.
	Position    replicas.Position
	ConfirmedAt time.Time
	// Settled is true if the targets that the watcher does not list are gone.
	Settled bool
	// ConfigVersion is the version of the configuration in force at the watcher.
	ConfigVersion names.Version
	// Lost is true if the source refuses the sender, or if the sender hears only
	// daemons that the source refuses.
	Lost bool
	// ClockUnknown is true at the receiver if ConfirmedAt is not known, since the clock of the
	// sender is not. MustRead is true if a read from the sender is to show its clock.
	ClockUnknown, MustRead bool
}

// lost reports whether the source refuses this daemon or, for one that does not call it,
// those that it hears. The caller must hold f.mu.
func (f *Follower) lost(watches bool) bool {
	if watches {
		return f.sourceDown
	}
	return f.lastStaleHeartbeat.Age() < watching.HeartbeatTimeout && f.HeartbeatAge() > HeartbeatInterval
}

// Heartbeat returns this daemon's heartbeat, for a daemon that watches the source. Its fields
// are of one moment, between two batches.
func (f *Follower) Heartbeat() Heartbeat {
	began, watches := time.Now(), f.Volunteering() || f.situation().Watcher
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeHeartbeatWait(time.Since(began))
	return Heartbeat{
		Position: f.Position(), ConfirmedAt: f.Evidence().ConfirmedAt, Settled: f.directory.Settled(time.Now()),
		ConfigVersion: f.configVersion(), Lost: f.lost(watches),
	}
}

// observeHeartbeatWait records how long a heartbeat waited for a batch that was being applied.
func (f *Follower) observeHeartbeatWait(waited time.Duration) {
	f.observe(StageHeartbeat, waited)
	if waited > minLoggedWait {
		f.log.Info("heartbeat delayed", zap.Duration("waited", waited), zap.Duration("age", f.Age()), zap.Uint64("revision", f.Revision()))
	}
}

// ObserveHeartbeat processes a watcher's heartbeat. One whose sender has lost the source,
// or has had no confirmation for watching.MaxUnconfirmed, says that the watchers are alive and
// know nothing new. One with an earlier position confirms the records, too, which have all
// that was complete there. One of an earlier era is ignored, except for its configuration:
// versions of configurations do not depend on eras.
func (f *Follower) ObserveHeartbeat(from names.Host, h Heartbeat) {
	f.ObserveConfigVersion(h.ConfigVersion, from)
	now := time.Now()
	if h.MustRead {
		f.clockReads.begin(from)
	}
	switch {
	case h.Position.Era < f.Position().Era:
		return
	case h.ClockUnknown && !h.Lost:
		f.ObservePeerPosition(h.Position, from)
		return
	case h.Lost || now.Sub(h.ConfirmedAt) > watching.MaxUnconfirmed:
		f.lastStaleHeartbeat.Set(now)
		f.ObservePeerPosition(h.Position, from)
		return
	}
	f.lastHeartbeat.Set(now)
	f.lastWatcher.Store(&from)
	if f.isNewer(h.Position) {
		f.ObservePeerPosition(h.Position, from)
		return
	}
	f.markSourceAvailable(now)
	if h.Settled {
		f.dropMissing(h.Position)
	}
	f.evidence.advance(Evidence{ConfirmedAt: h.ConfirmedAt, Origin: FromHeartbeat, From: from})
	f.announce()
}

// confirmedStep is the least progress of the last confirmation that is announced at
// once. Less waits for the next heartbeat.
const confirmedStep = 300 * time.Millisecond

// announce calls onNews if the records were confirmed confirmedStep after what was
// announced last.
func (f *Follower) announce() {
	confirmed := f.Evidence().ConfirmedAt
	if confirmed.Sub(f.announcedAt.Get()) >= confirmedStep {
		f.announcedAt.Set(confirmed)
		f.onNews()
	}
}

package soak

import (
	"context"
	"syscall"
	"time"
)

// Times and bounds of the recovery check at the end of a run.
const (
	// maxRecoveryTime is how long after the last fault the fleet may take to
	// recover: the users allow 12 s after the loss of all daemons.
	maxRecoveryTime = 12 * time.Second
	// postRecoveryTime is how long requests are counted after the recovery.
	postRecoveryTime = 2 * time.Second
	// minServedPercent is the percentage of the requests in postRecoveryTime that
	// must be served, of those whose callers wait for the answer. The users
	// require only a quarter of the rate before the faults.
	minServedPercent = 97
	// minGiantsPercent is the percentage of the giant prompts among them that must not
	// be refused. Each takes all memory of an engine for a second and more, so that
	// some have to be refused, at once and with a time to return, when several come
	// within postRecoveryTime.
	minGiantsPercent = 25
	// minGiants is the least number of giant prompts for which that is checked.
	minGiants = 4
)

// watchVersions checks that no incarnation of a daemon reverts to an older
// version of the configuration. It ignores values read while the process was
// signalled, stopped or started.
func (b *testbed) watchVersions(ctx context.Context) {
	type observation struct {
		version     uint64
		disturbedAt time.Time
	}
	last := make(map[*host]observation)
	for ctx.Err() == nil {
		for _, h := range b.hosts {
			h.mu.Lock()
			disturbedAt := h.disturbedAt
			h.mu.Unlock()
			version := h.version(ctx)
			h.mu.Lock()
			undisturbed := disturbedAt.Equal(h.disturbedAt)
			h.mu.Unlock()
			before := last[h]
			if version > 0 && undisturbed && before.disturbedAt.Equal(disturbedAt) && version < before.version {
				b.checker.RecordViolation("%s reverted from version %d to %d", h.settings.Name, before.version, version)
			}
			if version > 0 && undisturbed {
				last[h] = observation{version, disturbedAt}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkRecovery returns all daemons to service after the faults, publishes a
// configuration and checks that every daemon has it in force within
// maxRecoveryTime. Requests sent in the postRecoveryTime after that are counted
// for checkServedAfterRecovery.
func (b *testbed) checkRecovery(ctx context.Context, all *callers) {
	for _, h := range b.hosts {
		h.signal(syscall.SIGCONT)
		b.restart(h)
	}
	b.publishOrRecord()
	deadline := time.Now().Add(maxRecoveryTime)
	for _, h := range b.hosts {
		for h.version(ctx) != uint64(b.version) {
			if time.Now().After(deadline) {
				b.checker.RecordViolation("%s has version %d in force instead of %d, %s after the last fault", h.settings.Name, h.version(ctx), b.version, maxRecoveryTime)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	all.afterRecovery.Store(true)
	time.Sleep(postRecoveryTime)
	all.afterRecovery.Store(false)
}

// checkServedAfterRecovery checks that enough of the requests sent after the
// recovery were served. It is called when all requests have ended.
func (b *testbed) checkServedAfterRecovery(n *Counts) {
	expected := n.SentAfterRecovery - n.RefusedGiantsAfterRecovery
	if n.ServedAfterRecovery*100 < minServedPercent*expected || expected <= 0 {
		b.checker.RecordViolation("%d of %d requests served after the last fault", n.ServedAfterRecovery, expected)
	}
	accepted := n.GiantsAfterRecovery - n.RefusedGiantsAfterRecovery
	if n.GiantsAfterRecovery >= minGiants && accepted*100 < minGiantsPercent*n.GiantsAfterRecovery {
		b.checker.RecordViolation("%d of %d giant prompts accepted after the last fault", accepted, n.GiantsAfterRecovery)
	}
}

// reservations returns how many reservations were granted or renewed by the
// targets that still run.
func (b *testbed) reservations() int {
	count := 0
	for _, t := range b.targets {
		count += t.GrantedReservations()
	}
	return count
}

// maxReleaseTime is how long after the last request reservations may be held.
const maxReleaseTime = 5 * time.Second

// checkReservationsReleased checks that no target still reserves memory
// maxReleaseTime after the last request.
func (b *testbed) checkReservationsReleased() {
	deadline := time.Now().Add(maxReleaseTime)
	for _, t := range b.targets {
		for t.ActiveReservations() > 0 {
			if time.Now().After(deadline) {
				b.checker.RecordViolation("%d reservations are not released at %s", t.ActiveReservations(), t.ID)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

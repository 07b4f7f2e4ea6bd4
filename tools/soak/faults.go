package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"carobspoke.example/tools/emulator"
	"github.com/pkg/errors"
)

// fault is a kind of fault. inject starts it and returns a function that ends it
// and the name of the affected daemon or target, empty if all are affected.
type fault struct {
	name   string
	inject func(b *testbed) (undo func(), subject string)
}

func (b *testbed) randomHost() *host { return b.hosts[b.random.IntN(len(b.hosts))] }

// randomTarget returns a listed target. It waits for one while all have crashed.
func (b *testbed) randomTarget() *target {
	for {
		b.mu.Lock()
		list := slices.Clone(b.targets)
		b.mu.Unlock()
		if len(list) > 0 {
			return list[b.random.IntN(len(list))]
		}
		time.Sleep(targetPollInterval)
	}
}

const targetPollInterval = 10 * time.Millisecond

// plannedFaults returns the kinds of planned work, which may not cut a request.
func plannedFaults() []fault {
	return []fault{
		{"stop", func(b *testbed) (func(), string) {
			h := b.randomHost()
			return func() {
				h.stop()
				b.restart(h)
			}, h.settings.Name
		}},
		{"config", func(b *testbed) (func(), string) { return b.publishOrRecord, "" }},
		{"replace", func(b *testbed) (func(), string) {
			t := b.randomTarget()
			return func() { b.replace(t) }, string(t.ID)
		}},
	}
}

// targetFault returns a fault that one target shows.
func targetFault(name string, f emulator.Fault) fault {
	return fault{name, func(b *testbed) (func(), string) {
		t := b.randomTarget()
		return t.Begin(f), string(t.ID)
	}}
}

// unframedFaults returns the kinds of Config.Unframed.
func unframedFaults() []fault {
	return []fault{
		targetFault("target answers without framing", emulator.Unframed),
		targetFault("target answers without framing", emulator.Unframed),
	}
}

// leavingFaults returns the kinds of Config.Leaving.
func leavingFaults() []fault {
	return []fault{
		targetFault("target asks for time", emulator.Refusing),
		{"target leaves", func(b *testbed) (func(), string) {
			t := b.randomTarget()
			return func() { b.leave(t) }, string(t.ID)
		}},
	}
}

// limitTime is how long a target names a limit at least. It exceeds the time from which the
// limit binds by a window in which requests are counted.
const limitTime = 8 * time.Second

// limitFault returns the fault that a target names a limit of 0.5 to 8 requests a second,
// and lowers it after half of the time in half of the cases.
func limitFault() fault {
	return fault{"target names a limit", func(b *testbed) (func(), string) {
		t := b.randomTarget()
		rate := 0.5 * float64(int(1)<<b.random.IntN(5))
		lowers := b.random.IntN(2) == 0
		end := t.Limit(rate)
		return func() {
			time.Sleep(limitTime / 2)
			if lowers {
				end = t.Limit(rate / 2)
			}
			time.Sleep(limitTime)
			end()
		}, string(t.ID)
	}}
}

// unplannedFaults returns the kinds of crashes, pauses, failures and network
// faults.
func unplannedFaults() []fault {
	targetLink := func(name string, link emulator.Link) fault {
		return fault{name, func(b *testbed) (func(), string) {
			t := b.randomTarget()
			end := t.proxy.Disturb(link)
			b.checker.LinkDisturbed(t.ID)
			return func() {
				end()
				b.checker.LinkDisturbed(t.ID)
			}, string(t.ID)
		}}
	}
	storeLink := func(name string, link emulator.Link) fault {
		return fault{name, func(b *testbed) (func(), string) {
			h := b.randomHost()
			return h.store.Disturb(link), h.settings.Name
		}}
	}
	storeMode := func(name string, m emulator.Mode) fault {
		return fault{name, func(b *testbed) (func(), string) {
			return b.store.Disturb(m), ""
		}}
	}
	return []fault{
		{"kill", func(b *testbed) (func(), string) {
			h := b.randomHost()
			h.kill()
			return func() { b.restart(h) }, h.settings.Name
		}},
		{"kill all", func(b *testbed) (func(), string) {
			for _, h := range b.hosts {
				h.kill()
			}
			return func() {
				for _, h := range b.hosts {
					b.restart(h)
				}
			}, ""
		}},
		{"pause", func(b *testbed) (func(), string) {
			h := b.randomHost()
			return h.pause(), h.settings.Name
		}},
		{"target crash", func(b *testbed) (func(), string) {
			t := b.randomTarget()
			t.Crash()
			return func() { b.replaceCrashed(t) }, string(t.ID)
		}},
		targetFault("target fails", emulator.Failing),
		targetFault("target answers twice", emulator.AnsweringTwice),
		targetFault("target executes orders late", emulator.LateOrders),
		{"target reset", func(b *testbed) (func(), string) {
			t := b.randomTarget()
			t.proxy.Reset()
			return func() {}, string(t.ID)
		}},
		{"store compacts history", func(b *testbed) (func(), string) { b.store.Compact(); return func() {}, "" }},
		targetLink("target delayed", emulator.Link{Delay: 60 * time.Millisecond}),
		targetLink("target blocked", emulator.Link{BlockToServer: true, BlockFromServer: true}),
		targetLink("target answers blocked", emulator.Link{BlockFromServer: true}),
		storeLink("store blocked for one daemon", emulator.Link{BlockToServer: true, BlockFromServer: true}),
		storeLink("store answers blocked for one daemon", emulator.Link{BlockFromServer: true}),
		storeMode("store busy", emulator.Busy),
		storeMode("store unresponsive", emulator.Unresponsive),
	}
}

// A restored store comes back with the contents that it had copyAge before. What was
// written since is written again in any order, each within rewriteSpread after the one
// before.
const (
	copyAge       = 3 * time.Second
	rewriteSpread = 300 * time.Millisecond
)

// restoreFault returns the fault that the store is unavailable for a moment and comes back
// from a copy.
func restoreFault() fault {
	return fault{"store restored from a copy", func(b *testbed) (func(), string) {
		end := b.store.Disturb(emulator.Busy)
		order := rand.New(rand.NewPCG(b.random.Uint64(), 0))
		return func() {
			lost := b.store.Restore(copyAge)
			end()
			for _, i := range order.Perm(len(lost)) {
				time.Sleep(time.Duration(order.Int64N(int64(rewriteSpread))))
				b.store.Rewrite(lost[i])
			}
		}, ""
	}}
}

// Bounds of the time between the starts of two faults and of the duration of a
// fault, in ms. Each is a minimum and the width of a uniform distribution.
const (
	minGapMs, gapSpreadMs           = 150, 500
	minDurationMs, durationSpreadMs = 300, 2200
)

// inject starts random faults until FaultTime has passed or ctx ends, and waits
// until all have ended. Faults overlap.
func (b *testbed) inject(ctx context.Context) {
	kinds := plannedFaults()
	if !b.config.PlannedOnly {
		kinds = append(kinds, unplannedFaults()...)
	}
	if b.config.RestoreStore {
		kinds = append(kinds, restoreFault(), restoreFault())
	}
	if b.config.Unframed {
		kinds = append(kinds, unframedFaults()...)
	}
	if b.config.Leaving {
		kinds = append(kinds, leavingFaults()...)
	}
	if b.config.Limits {
		kinds = append(kinds, limitFault(), limitFault())
	}
	if b.config.Evacuate {
		kinds = append(kinds, evacuateFault(), evacuateFault())
	}
	if b.config.Cold {
		kinds = append(kinds, coldFault(), coldFault())
	}
	end := time.After(b.config.FaultTime)
	defer b.active.Wait()
	defer b.noneCold.Store(true)
	for {
		kind := kinds[b.random.IntN(len(kinds))]
		duration := time.Duration(minDurationMs+b.random.IntN(durationSpreadMs)) * time.Millisecond
		gap := time.Duration(minGapMs+b.random.IntN(gapSpreadMs)) * time.Millisecond
		undo, subject := kind.inject(b)
		b.recordFault("%s %s", kind.name, subject)
		b.active.Go(func() {
			time.Sleep(duration)
			undo()
		})
		select {
		case <-time.After(gap):
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

// restart starts a daemon unless it is running. It records a violation if the
// daemon cannot be started.
func (b *testbed) restart(h *host) {
	if err := h.start(); err != nil {
		b.checker.RecordViolation("%s cannot be started: %v", h.settings.Name, err)
	}
}

// publishOrRecord publishes the next configuration, or records a violation if that
// fails.
func (b *testbed) publishOrRecord() {
	if err := b.publishConfig(); err != nil {
		b.checker.RecordViolation("a configuration cannot be published: %v", err)
	}
}

// drainTime is how long a target keeps serving after it was published as
// draining. It exceeds drainBound by more than the longest answer, which takes
// half a second.
const drainTime = 4 * time.Second

// replace adds a target of the same service and removes t. In a run of planned
// work alone t keeps serving for drainTime, otherwise it crashes at once.
func (b *testbed) replace(t *target) {
	if !b.unlist(t) {
		return
	}
	if err := b.addTarget(t.Service); err != nil {
		b.checker.RecordViolation("a target cannot be added: %v", err)
	}
	t.entry.Draining = true
	if err := b.store.PutTarget(&t.entry); err != nil {
		b.checker.RecordViolation("a target's entry cannot be published: %v", err)
	}
	if !b.config.PlannedOnly {
		t.Crash() // does not wait for requests in flight
	} else {
		b.checker.TargetDraining(t.ID)
		time.Sleep(drainTime)
		t.Crash()
	}
	b.store.RemoveTarget(&t.entry)
	t.proxy.Close()
}

// leaveNotice is the longest time for which a target states in its answers that it
// leaves before its entry says so. It exceeds drainBound by enough to see requests
// that are sent later.
const leaveNotice = 6 * time.Second

// leave replaces a target that states in all its answers that it leaves. Half of
// the targets do so long before their entry says so.
func (b *testbed) leave(t *target) {
	defer t.Begin(emulator.Leaving)()
	if rand.IntN(2) == 0 {
		time.Sleep(leaveNotice)
	}
	b.replace(t)
}

// A crashed target is back after minReturnTime or up to returnSpread later.
const (
	minReturnTime = 2 * time.Second
	returnSpread  = 2 * time.Second
)

// returnCrashed starts a new target for one that a part of a prompt has crashed, in
// half of the cases at the same address unless another program has taken the port.
func (b *testbed) returnCrashed(t *target) { b.returnAfter(t, minReturnTime+rand.N(returnSpread)) }

// returnAfter is returnCrashed with the time for which the target is away.
func (b *testbed) returnAfter(t *target, away time.Duration) {
	t.proxy.Close()
	if !b.unlist(t) {
		return
	}
	time.Sleep(away)
	var err error
	sameAddress := rand.IntN(2) == 0
	if sameAddress {
		err = b.addTargetAt(t.Service, t.proxy.Address())
	}
	if !sameAddress || errors.Is(err, syscall.EADDRINUSE) {
		err = b.addTarget(t.Service)
	}
	if err != nil {
		b.checker.RecordViolation("a target cannot be added: %v", err)
	}
	b.store.RemoveTarget(&t.entry)
}

// replaceCrashed removes a target that has crashed and adds one of the same
// service.
func (b *testbed) replaceCrashed(t *target) {
	if !b.unlist(t) {
		return
	}
	if err := b.addTarget(t.Service); err != nil {
		b.checker.RecordViolation("a target cannot be added: %v", err)
	}
	b.store.RemoveTarget(&t.entry)
	t.proxy.Close()
}

// unlist removes a target from the list. It returns false if another fault has
// removed it.
func (b *testbed) unlist(t *target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.targets {
		if other == t {
			b.targets = append(b.targets[:i], b.targets[i+1:]...)
			return true
		}
	}
	return false
}

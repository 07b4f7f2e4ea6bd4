package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/tools/emulator"
)

// fault is a kind of fault. inject starts it and returns a function that ends it
// and the name of the affected daemon or target, empty if all are affected.
type fault struct {
	name   string
	inject func(b *testbed) (undo func(), subject string)
}

func (b *testbed) randomHost() *host { return b.hosts[b.random.IntN(len(b.hosts))] }

func (b *testbed) randomTarget() *target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets[b.random.IntN(len(b.targets))]
}

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

// unplannedFaults returns the kinds of crashes, pauses, failures and network
// faults.
func unplannedFaults() []fault {
	targetLink := func(name string, link emulator.Link) fault {
		return fault{name, func(b *testbed) (func(), string) {
			t := b.randomTarget()
			t.proxy.SetLink(link)
			return func() { t.proxy.SetLink(emulator.Link{}) }, string(t.ID)
		}}
	}
	storeLink := func(name string, link emulator.Link) fault {
		return fault{name, func(b *testbed) (func(), string) {
			h := b.randomHost()
			h.store.SetLink(link)
			return func() { h.store.SetLink(emulator.Link{}) }, h.settings.Name
		}}
	}
	storeMode := func(name string, m emulator.Mode) fault {
		return fault{name, func(b *testbed) (func(), string) {
			b.store.SetMode(m)
			return func() { b.store.SetMode(emulator.Serving) }, ""
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
			h.signal(syscall.SIGSTOP)
			return func() { h.signal(syscall.SIGCONT) }, h.settings.Name
		}},
		{"target crash", func(b *testbed) (func(), string) {
			t := b.randomTarget()
			t.Crash()
			return func() { b.replaceCrashed(t) }, string(t.ID)
		}},
		{"target fails", func(b *testbed) (func(), string) {
			t := b.randomTarget()
			t.SetFailurePercent(40)
			return func() { t.SetFailurePercent(0) }, string(t.ID)
		}},
		{"target answers twice", func(b *testbed) (func(), string) {
			t := b.randomTarget()
			t.SetDuplicatePercent(40)
			return func() { t.SetDuplicatePercent(0) }, string(t.ID)
		}},
		{"target executes orders late", func(b *testbed) (func(), string) {
			t := b.randomTarget()
			t.SetLateOrders(true)
			return func() { t.SetLateOrders(false) }, string(t.ID)
		}},
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
		b.store.SetMode(emulator.Busy)
		order := rand.New(rand.NewPCG(b.random.Uint64(), 0))
		return func() {
			lost := b.store.Restore(copyAge)
			b.store.SetMode(emulator.Serving)
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
	end := time.After(b.config.FaultTime)
	var active sync.WaitGroup
	defer active.Wait()
	for {
		kind := kinds[b.random.IntN(len(kinds))]
		duration := time.Duration(minDurationMs+b.random.IntN(durationSpreadMs)) * time.Millisecond
		gap := time.Duration(minGapMs+b.random.IntN(gapSpreadMs)) * time.Millisecond
		undo, subject := kind.inject(b)
		b.recordFault("%s %s", kind.name, subject)
		active.Go(func() {
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

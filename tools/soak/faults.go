package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/tools/emulator"
)

// fault is one kind of harm; it returns what undoes it.
type fault struct {
	name string
	do   func(w *world) (undo func(), what string)
}

func (w *world) anyHost() *host { return w.hosts[w.random.IntN(len(w.hosts))] }

func (w *world) anyTarget() *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[w.random.IntN(len(w.targets))]
}

func planned() []fault {
	return []fault{
		{"stop", func(w *world) (func(), string) {
			h := w.anyHost()
			return func() {
				h.stop()
				w.restart(h)
			}, h.settings.Name
		}},
		{"config", func(w *world) (func(), string) { return w.mustPublish, "" }},
		{"replace", func(w *world) (func(), string) {
			t := w.anyTarget()
			return func() { w.replace(t) }, string(t.ID)
		}},
	}
}

func unplanned() []fault {
	mute := func(name string, link emulator.Link) fault {
		return fault{name, func(w *world) (func(), string) {
			t := w.anyTarget()
			t.proxy.SetLink(link)
			return func() { t.proxy.SetLink(emulator.Link{}) }, string(t.ID)
		}}
	}
	storeLink := func(name string, link emulator.Link) fault {
		return fault{name, func(w *world) (func(), string) {
			h := w.anyHost()
			h.store.SetLink(link)
			return func() { h.store.SetLink(emulator.Link{}) }, h.settings.Name
		}}
	}
	mode := func(name string, m emulator.Mode) fault {
		return fault{name, func(w *world) (func(), string) {
			w.store.SetMode(m)
			return func() { w.store.SetMode(emulator.Serving) }, ""
		}}
	}
	return []fault{
		{"kill", func(w *world) (func(), string) {
			h := w.anyHost()
			h.kill()
			return func() { w.restart(h) }, h.settings.Name
		}},
		{"kill all", func(w *world) (func(), string) {
			for _, h := range w.hosts {
				h.kill()
			}
			return func() {
				for _, h := range w.hosts {
					w.restart(h)
				}
			}, ""
		}},
		{"pause", func(w *world) (func(), string) {
			h := w.anyHost()
			h.signal(syscall.SIGSTOP)
			return func() { h.signal(syscall.SIGCONT) }, h.settings.Name
		}},
		{"target crash", func(w *world) (func(), string) {
			t := w.anyTarget()
			t.Crash()
			return func() { w.removeTarget(t) }, string(t.ID)
		}},
		{"target fails", func(w *world) (func(), string) {
			t := w.anyTarget()
			t.SetFailurePercent(40)
			return func() { t.SetFailurePercent(0) }, string(t.ID)
		}},
		{"target doubles", func(w *world) (func(), string) {
			t := w.anyTarget()
			t.SetDuplicatePercent(40)
			return func() { t.SetDuplicatePercent(0) }, string(t.ID)
		}},
		{"orders late", func(w *world) (func(), string) {
			t := w.anyTarget()
			t.SetLateOrders(true)
			return func() { t.SetLateOrders(false) }, string(t.ID)
		}},
		{"target reset", func(w *world) (func(), string) {
			t := w.anyTarget()
			t.proxy.Reset()
			return func() {}, string(t.ID)
		}},
		{"store forgets", func(w *world) (func(), string) { w.store.Compact(); return func() {}, "" }},
		mute("target delayed", emulator.Link{Delay: 60 * time.Millisecond}),
		mute("target silent", emulator.Link{BlockToServer: true, BlockFromServer: true}),
		mute("target one way", emulator.Link{BlockFromServer: true}),
		storeLink("store silent for one", emulator.Link{BlockToServer: true, BlockFromServer: true}),
		storeLink("store answers lost for one", emulator.Link{BlockFromServer: true}),
		mode("store busy", emulator.Busy),
		mode("store silent", emulator.Unresponsive),
	}
}

// Times between faults and how long they last, in ms.
const (
	leastGap, gapSpread   = 150, 500
	leastLast, lastSpread = 300, 2200
)

// inject starts faults one after the other; they overlap.
func (w *world) inject(ctx context.Context) {
	kinds := planned()
	if !w.config.Planned {
		kinds = append(kinds, unplanned()...)
	}
	end := time.After(w.config.For)
	var lasting sync.WaitGroup
	defer lasting.Wait()
	for {
		kind := kinds[w.random.IntN(len(kinds))]
		lasts := time.Duration(leastLast+w.random.IntN(lastSpread)) * time.Millisecond
		gap := time.Duration(leastGap+w.random.IntN(gapSpread)) * time.Millisecond
		undo, what := kind.do(w)
		w.note("%s %s", kind.name, what)
		lasting.Go(func() {
			time.Sleep(lasts)
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

func (w *world) restart(h *host) {
	if err := h.start(); err != nil {
		w.checker.RecordViolation("%s does not start: %v", h.settings.Name, err)
	}
}

func (w *world) mustPublish() {
	if err := w.publishConfig(); err != nil {
		w.checker.RecordViolation("a configuration cannot be published: %v", err)
	}
}

// leaveTime is how long a target goes on serving after its leaving was
// published; its longest answer takes half a second.
const leaveTime = 4 * time.Second

// replace adds a target of the same service, and lets one leave as planned.
func (w *world) replace(t *target) {
	if !w.take(t) {
		return
	}
	if err := w.addTarget(t.Service); err != nil {
		w.checker.RecordViolation("a target cannot be added: %v", err)
	}
	t.listed.Draining = true
	if err := w.store.PutTarget(&t.listed); err != nil {
		w.checker.RecordViolation("a target's entry cannot be published: %v", err)
	}
	if !w.config.Planned {
		t.Crash() // it leaves at once, whatever it serves
	} else {
		w.checker.TargetDraining(t.ID)
		time.Sleep(leaveTime)
		t.Crash()
	}
	w.store.RemoveTarget(&t.listed)
	t.proxy.Close()
}

// removeTarget drops a target that has crashed, and adds one.
func (w *world) removeTarget(t *target) {
	if !w.take(t) {
		return
	}
	if err := w.addTarget(t.Service); err != nil {
		w.checker.RecordViolation("a target cannot be added: %v", err)
	}
	w.store.RemoveTarget(&t.listed)
	t.proxy.Close()
}

// take takes a target off the list, unless another fault has.
func (w *world) take(t *target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.targets {
		if other == t {
			w.targets = append(w.targets[:i], w.targets[i+1:]...)
			return true
		}
	}
	return false
}

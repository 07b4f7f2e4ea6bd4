package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/tools/emulator"
	"github.com/pkg/errors"
)

// Report is what a run showed.
type Report struct {
	Seed   uint64
	Counts Counts
	Broken []string
	// Faults are those injected, with their times in seconds.
	Faults []string
	Calls  int
}

// String returns the report in a few lines.
func (r *Report) String() string {
	text := fmt.Sprintf("seed %d: sent %d, served %d, refused %d, failed %d, cut %d; %d faults, %d calls to the store, %d promises broken",
		r.Seed, r.Counts.Sent, r.Counts.Served, r.Counts.Refused, r.Counts.Failed, r.Counts.Cut, len(r.Faults), r.Calls, len(r.Broken))
	for _, broken := range r.Broken {
		text += "\n  broken: " + broken
	}
	return text
}

// Build builds the daemon into a folder.
func Build(ctx context.Context, folder string) (string, error) {
	program := filepath.Join(folder, "carobspoked")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", program, "carobspoke.example/serving/cmd/carobspoked").CombinedOutput()
	return program, errors.Wrapf(err, "go build: %s", output)
}

// Times of a run's end.
const (
	// settleTime is how long after the last fault the fleet may take to
	// recover: the users allow 12 s after a loss of all.
	settleTime = 12 * time.Second
	// calmTime is how long the recovered fleet is looked at.
	calmTime = 2 * time.Second
	// calmServed is the part of the requests that must be served then, in a
	// hundred. The users ask for a quarter of what it was before.
	calmServed = 95
)

// Run plays one seed.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	w, err := newWorld(c)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	if err := w.waitReady(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	all := &callers{world: w, misses: make(map[*host]int), rotation: w.hosts}
	var running sync.WaitGroup
	running.Go(func() { all.balance(load) })
	running.Go(func() { w.watchVersions(load) })
	for i := range c.Callers {
		running.Go(func() { all.call(load, i) })
	}
	w.inject(load)
	w.checkEnd(load, all)
	stop()
	running.Wait()
	w.checkMemory()
	return &Report{Seed: c.Seed, Counts: all.counts, Broken: w.ledger.Broken(), Faults: w.events, Calls: w.store.Calls()}, nil
}

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
			t.proxy.Set(link)
			return func() { t.proxy.Set(emulator.Link{}) }, string(t.ID)
		}}
	}
	storeLink := func(name string, link emulator.Link) fault {
		return fault{name, func(w *world) (func(), string) {
			h := w.anyHost()
			h.store.Set(link)
			return func() { h.store.Set(emulator.Link{}) }, h.settings.Name
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
			t.FailShare(40)
			return func() { t.FailShare(0) }, string(t.ID)
		}},
		{"target reset", func(w *world) (func(), string) {
			t := w.anyTarget()
			t.proxy.Reset()
			return func() {}, string(t.ID)
		}},
		{"store forgets", func(w *world) (func(), string) { w.store.Forget(); return func() {}, "" }},
		mute("target delayed", emulator.Link{Delay: 60 * time.Millisecond}),
		mute("target silent", emulator.Link{MuteThere: true, MuteBack: true}),
		mute("target one way", emulator.Link{MuteBack: true}),
		storeLink("store silent for one", emulator.Link{MuteThere: true, MuteBack: true}),
		storeLink("store answers lost for one", emulator.Link{MuteBack: true}),
		mode("store busy", emulator.Busy),
		mode("store silent", emulator.Silent),
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
		w.ledger.Break("%s does not start: %v", h.settings.Name, err)
	}
}

func (w *world) mustPublish() {
	if err := w.publishConfig(); err != nil {
		w.ledger.Break("a configuration cannot be published: %v", err)
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
		w.ledger.Break("a target cannot be added: %v", err)
	}
	t.listed.Draining = true
	if err := w.store.PutTarget(&t.listed); err != nil {
		w.ledger.Break("a target's entry cannot be published: %v", err)
	}
	if !w.config.Planned {
		t.Crash() // it leaves at once, whatever it serves
	} else {
		w.ledger.Leaving(t.ID)
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
		w.ledger.Break("a target cannot be added: %v", err)
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
				w.ledger.Break("%s went back from version %d to %d", h.settings.Name, before.version, version)
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
				w.ledger.Break("%s has version %d and not %d in force %s after the last fault", h.settings.Name, h.version(ctx), w.version, settleTime)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(calmTime) // what was sent before ends
	all.mu.Lock()
	before := all.counts
	all.mu.Unlock()
	time.Sleep(calmTime)
	all.mu.Lock()
	sent, served := all.counts.Sent-before.Sent, all.counts.Served-before.Served
	all.mu.Unlock()
	if served*100 < calmServed*sent || sent == 0 {
		w.ledger.Break("%d of %d requests served after the last fault", served, sent)
	}
}

// memoryTime is how long after the last request reservations may be held.
const memoryTime = 5 * time.Second

// checkMemory checks that no target's memory stays set aside.
func (w *world) checkMemory() {
	until := time.Now().Add(memoryTime)
	for _, t := range w.targets {
		for t.Reserved() > 0 {
			if time.Now().After(until) {
				w.ledger.Break("%d reservations stay at %s", t.Reserved(), t.ID)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Fail returns an error if the run broke a promise.
func (r *Report) Fail() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return errors.Errorf("%s\nfaults:\n  %s", r, strings.Join(r.Faults, "\n  "))
}

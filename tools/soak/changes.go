package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/platform"
	"carobspoke.example/tools/emulator"
	"github.com/pkg/errors"
)

// Bounds and times of a run of changes. The bounds are the users' shortest ones.
const (
	// changeBound is how long after its acknowledgement a change is to be in force at a
	// daemon that is not disturbed.
	changeBound = 2 * time.Second
	// settleTime is how long a daemon or the store counts as disturbed afterwards.
	settleTime = 3 * time.Second
	// changesDaemons and changesDataCentres are the size of the fleet.
	changesDaemons, changesDataCentres = 9, 3
	// askTime is how long the daemons are asked from changeBound on.
	askTime = 2 * time.Second
	// askInterval is the time between two requests to a daemon, for each kind.
	askInterval = 50 * time.Millisecond
	// copySilence is how long the store is away before it comes back from a copy.
	copySilence = time.Second
)

// episode disturbs the readers of the store, or the store, before a change. It returns the
// daemons that count as disturbed and a function that ends the disturbance.
type episode struct {
	name  string
	begin func(b *testbed, readers []*host) (disturbed []*host, end func())
	// removes is true if the change is the removal of a target, otherwise it is a version of
	// the configuration.
	removes bool
}

// episodes are the kinds of disturbances before a change.
func episodes() []episode {
	link := func(l emulator.Link) func(*testbed, []*host) ([]*host, func()) {
		return func(_ *testbed, readers []*host) ([]*host, func()) {
			var ends []func()
			for _, h := range readers {
				ends = append(ends, h.store.Disturb(l))
			}
			return readers, func() {
				for _, end := range ends {
					end()
				}
			}
		}
	}
	return []episode{
		{name: "readers cut off", begin: link(emulator.Link{BlockToServer: true, BlockFromServer: true})},
		{name: "answers to readers lost", begin: link(emulator.Link{BlockFromServer: true})},
		{name: "readers cut off with a reset", begin: func(b *testbed, readers []*host) ([]*host, func()) {
			for _, h := range readers {
				h.store.Reset()
			}
			return link(emulator.Link{BlockToServer: true, BlockFromServer: true})(b, readers)
		}},
		{name: "readers paused", begin: func(_ *testbed, readers []*host) ([]*host, func()) {
			var ends []func()
			for _, h := range readers {
				ends = append(ends, h.pause())
			}
			return readers, func() {
				for _, end := range ends {
					end()
				}
			}
		}},
		{name: "readers killed", begin: func(b *testbed, readers []*host) ([]*host, func()) {
			for _, h := range readers {
				h.signal(syscall.SIGKILL)
			}
			return readers, func() {
				for _, h := range readers {
					h.kill()
					b.restart(h)
				}
			}
		}},
		{name: "calm", begin: func(*testbed, []*host) ([]*host, func()) { return nil, func() {} }},
		{name: "store restored", removes: true, begin: func(b *testbed, _ []*host) ([]*host, func()) {
			_, end := link(emulator.Link{BlockToServer: true, BlockFromServer: true})(b, b.hosts)
			time.Sleep(copySilence)
			lost := b.store.Restore(copyAge)
			for _, h := range b.hosts {
				h.store.Reset()
			}
			end()
			order := rand.New(rand.NewPCG(b.random.Uint64(), 0))
			spread := time.Duration(order.Int64N(int64(rewriteSpread)))
			for _, key := range lost {
				time.Sleep(spread)
				b.store.Rewrite(key)
			}
			time.Sleep(settleTime)
			return nil, func() {}
		}},
	}
}

// RunChanges disturbs the readers of the store, or the store, and makes a change: a route is
// added and one is dropped, a customer loses its key, at times the last one, or a target's
// entry is removed. It asks the daemons that are not disturbed whether the change is in force in
// time.
func RunChanges(ctx context.Context, c Config, rounds int) (*Report, error) {
	c.Daemons, c.DataCentres, c.Engines, c.Services, c.PlannedOnly = changesDaemons, changesDataCentres, 1, 3, true
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	b, err := newTestbed(c)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return nil, err
	}
	b.checker.DrainBound = changeBound
	if err := b.waitReady(ctx); err != nil {
		return nil, err
	}
	kinds := episodes()
	a := &asks{testbed: b, keys: customerKeys[0]}
	time.Sleep(2 * settleTime) // the daemons know each other
	for round := range rounds {
		kind := kinds[(round+int(c.Seed))%len(kinds)]
		if err := a.play(ctx, &kind); err != nil {
			return nil, err
		}
	}
	return &Report{Seed: c.Seed, Counts: a.counts, Violations: b.checker.Violations(), Faults: b.faults, StoreRequests: b.store.Requests()}, nil
}

// asks asks daemons which changes are in force.
type asks struct {
	testbed *testbed
	// keys are those of the customer in the newest version, the version-th of customerKeys.
	keys    []string
	version int

	mu     sync.Mutex
	number int
	counts Counts
}

// customerKeys are the keys of the customer in successive versions.
var customerKeys = [][]string{{key}, {"soak-key-2"}, {}}

// play plays one episode.
func (a *asks) play(ctx context.Context, kind *episode) error {
	b := a.testbed
	readers := b.readers()
	if len(readers) == 0 || len(readers) == len(b.hosts) {
		return errors.Errorf("soak: %d of %d daemons read the store", len(readers), len(b.hosts))
	}
	if kind.removes && len(a.keys) == 0 { // requests need a key to reach the target
		if err := a.publishNext(); err != nil {
			return err
		}
	}
	disturbed, end := kind.begin(b, readers)
	b.recordFault("%s", kind.name)
	end = sync.OnceFunc(end)
	defer end()
	others := make(map[*host]bool)
	for _, h := range b.hosts {
		others[h] = true
	}
	for _, h := range disturbed {
		delete(others, h)
	}
	if kind.removes {
		a.checkRemoval(ctx, others)
	} else {
		time.Sleep(time.Duration(b.random.Int64N(int64(time.Second))))
		if err := a.checkVersion(ctx, others); err != nil {
			return err
		}
	}
	end()
	time.Sleep(settleTime + askTime/2)
	return nil
}

// publishNext publishes the next version of the configuration, with other keys.
func (a *asks) publishNext() error {
	a.version++
	a.keys = customerKeys[a.version%len(customerKeys)]
	a.testbed.mu.Lock()
	a.testbed.keys, a.testbed.keysChanged = a.keys, true
	a.testbed.mu.Unlock()
	return a.testbed.publishConfig()
}

// checkVersion publishes the next version and asks for what it adds and drops.
func (a *asks) checkVersion(ctx context.Context, hosts map[*host]bool) error {
	b := a.testbed
	before, dropped := a.keys, b.version
	if err := a.publishNext(); err != nil {
		return err
	}
	acknowledged := time.Now()
	added := dropped + 1
	a.each(hosts, acknowledged.Add(changeBound), acknowledged.Add(changeBound+askTime), func(h *host) {
		mayNotRun := func(what, route, with string) {
			sent := time.Since(acknowledged)
			if a.ask(ctx, h, route, with) == http.StatusOK {
				b.checker.RecordViolation("%s ran a request with %s, sent %s after version %d was acknowledged", h.settings.Name, what, sent, added)
			}
		}
		mayNotRun("a key that no version held", "read", "unknown")
		for _, taken := range before {
			if !slices.Contains(a.keys, taken) {
				mayNotRun("a key that was taken away", "read", taken)
			}
		}
		if len(a.keys) == 0 {
			return
		}
		mayNotRun("a dropped route", fmt.Sprintf("version-%d", dropped), a.keys[0])
		sent := time.Since(acknowledged)
		if status := a.ask(ctx, h, fmt.Sprintf("version-%d", added), a.keys[0]); status == http.StatusNotFound || status == http.StatusUnauthorized {
			b.checker.RecordViolation("%s answered %d on an added route, sent %s after version %d was acknowledged", h.settings.Name, status, sent, added)
		}
	})
	return nil
}

// checkRemoval removes the entry of a target that goes on serving, and adds another one. The
// checker records requests that reach it too late.
func (a *asks) checkRemoval(ctx context.Context, hosts map[*host]bool) {
	b := a.testbed
	t := b.randomTarget()
	for t.Service != plainService {
		t = b.randomTarget()
	}
	b.unlist(t)
	b.store.RemoveTarget(&t.entry)
	b.checker.TargetDraining(t.ID)
	now := time.Now()
	a.each(hosts, now, now.Add(changeBound+askTime), func(h *host) { a.ask(ctx, h, "read", a.keys[0]) })
	t.Crash()
	t.proxy.Close()
	if err := b.addTarget(plainService); err != nil {
		b.checker.RecordViolation("a target cannot be added: %v", err)
	}
}

// each calls f for each daemon again and again between two moments.
func (a *asks) each(hosts map[*host]bool, from, until time.Time, f func(*host)) {
	var running sync.WaitGroup
	for h := range hosts {
		running.Go(func() {
			time.Sleep(time.Until(from))
			for time.Now().Before(until) {
				f(h)
				time.Sleep(askInterval)
			}
		})
	}
	running.Wait()
}

// ask sends a request with a key, and returns the status of the answer, or zero.
func (a *asks) ask(ctx context.Context, h *host, route, with string) int {
	a.mu.Lock()
	a.number++
	attempt := "ask-" + strconv.Itoa(a.number)
	a.counts.Sent++
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.CallerAddress.String()+"/"+route+"/x", http.NoBody)
	if err != nil {
		a.testbed.checker.RecordViolation("a request cannot be built: %v", err)
		return 0
	}
	r.Host = hostname
	r.Header.Set(platform.HeaderAttempt, attempt)
	r.Header.Set(platform.HeaderKey, with)
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	r.Header.Set(emulator.HeaderExpectedCustomer, customer)
	r.Header.Set(emulator.HeaderRepeatable, "1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // only the status counts
	if response.StatusCode == http.StatusOK {
		a.mu.Lock()
		a.counts.Served++
		a.mu.Unlock()
	}
	return response.StatusCode
}

// readers returns the daemons that read the store: those with an open call.
func (b *testbed) readers() []*host {
	const samples, sampleInterval = 10, 100 * time.Millisecond
	open := make(map[*host]int)
	for range samples {
		for _, h := range b.hosts {
			if h.store.Connected() {
				open[h]++
			}
		}
		time.Sleep(sampleInterval)
	}
	var list []*host
	for _, h := range b.hosts {
		if open[h] > samples/2 {
			list = append(list, h)
		}
	}
	return list
}

// keysOfCustomer returns the API keys that the next version contains.
func (b *testbed) keysOfCustomer() []string {
	if b.keysChanged {
		return b.keys
	}
	return []string{key}
}

// dataCentre returns the data centre of the i-th daemon.
func (c *Config) dataCentre(i int) names.DataCentre {
	if c.DataCentres <= 1 {
		return "dc"
	}
	return names.DataCentre(fmt.Sprintf("dc-%d", i%c.DataCentres))
}

// regions maps the data centres to their regions.
func (c *Config) regions() map[names.DataCentre]names.Region {
	regions := make(map[names.DataCentre]names.Region)
	for i := range max(c.DataCentres, 1) {
		regions[c.dataCentre(i)] = c.regionOf(i)
	}
	return regions
}

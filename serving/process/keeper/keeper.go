// Package keeper looks after the engines that this daemon keeps: it polls
// their reports, cache events and holdings, orders what they are to serve, and
// frees what nobody wants any more.
//
// Each engine has a goroutine of its own, so that one that hangs delays no
// other. Decisions are those of core/version/orders and core/process/keeping.
// All keepers of an engine decide alike when it is to get no new work; only
// the one that holds the lease sends orders, and it checks lease and version
// again immediately before it does.
package keeper

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/keeping"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/core/version/orders"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/version"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Times of the polls.
const (
	// ObserveEvery is the time between two renewals of the leases, and
	// AssignEvery between two looks at which engines are kept.
	ObserveEvery = 250 * time.Millisecond
	AssignEvery  = time.Second
	// ReportEvery is the time between two polls of an engine's report, and
	// LongestPoll its bound when a rate limits the polls.
	ReportEvery = 250 * time.Millisecond
	LongestPoll = 10 * time.Second
	// EventsEvery and HoldingsEvery are the times between polls of cache
	// events and of holdings while reports are polled every ReportEvery. They
	// grow with the time between those, up to LongestEvents and
	// LongestHoldings.
	EventsEvery     = time.Second
	HoldingsEvery   = 10 * time.Second
	LongestEvents   = 20 * time.Second
	LongestHoldings = time.Minute
	// PollBytes is the size of one poll of a report, both ways together, by
	// which a rate in bytes a second limits the polls.
	PollBytes = 700
)

// Place says what this daemon is to an engine, by its newest view of members.
type Place interface {
	// Keeps reports whether this daemon keeps an engine, and First whether
	// it is the first of the engine's keepers.
	Keeps(t names.Target) bool
	First(t names.Target) bool
	// Awake reports whether the view is up to date.
	Awake() bool
	// Running returns the incarnation known to run on a host, if any.
	Running(h names.Host) (names.Incarnation, bool)
}

// Sink takes what the polls find. Its methods do not block and may be called
// from several goroutines.
type Sink interface {
	// Report hands in a report, with the target's name set.
	Report(r target.Report)
	// Unreachable says that an engine did not report.
	Unreachable(t names.Target, err error)
	// Events hands in cache events; boot is that of the last report.
	Events(t names.Target, boot uint64, events []target.CacheEvent)
	// Quiet says whether an engine is to get no new work since it is about
	// to read new weights.
	Quiet(t names.Target, quiet bool)
	// Fence hands in an engine's fencing number.
	Fence(v names.Version)
}

// Config holds what a Keeper needs. All fields but Fresh, Now, Limits and
// PollRate are required.
type Config struct {
	Versions *version.Holder
	Place    Place
	Engine   func(address string) targetapi.Engine
	Sink     Sink
	Logger   *zap.Logger
	Registry metrics.Registry
	// Fresh reports whether an engine has told its load by itself within a
	// time, so that this daemon need not ask unless it gives the orders. It
	// may be nil.
	Fresh func(t names.Target, within time.Duration) bool
	// Limits bound rollouts; nil means the defaults.
	Limits *orders.Limits
	// PollRate bounds the polls of reports, in bytes a second; nil or zero
	// means that each engine is polled every ReportEvery.
	PollRate func() float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Keeper looks after engines.
type Keeper struct {
	config Config
	counts counts
	work   sync.WaitGroup
	// The rest is only used by Run's goroutine. Assigned are the engines that
	// this daemon kept by a version, at a time.
	watched    map[names.Target]*worker
	assigned   map[names.Target]*manifest.Target
	assignedBy *version.Snapshot
	assignedAt time.Time
}

// New returns a Keeper that does nothing until Run.
func New(config Config) *Keeper {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Limits == nil {
		limits := orders.DefaultLimits()
		config.Limits = &limits
	}
	return &Keeper{config: config, counts: counts{config.Registry}, watched: map[names.Target]*worker{}}
}

// Run works until ctx ends, and returns when all its goroutines have.
func (k *Keeper) Run(ctx context.Context) {
	defer k.work.Wait()
	installed, cancel := k.config.Versions.Subscribe()
	defer cancel()
	ticker := time.NewTicker(ObserveEvery)
	defer ticker.Stop()
	for {
		k.observe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-installed:
		case <-ticker.C:
		}
	}
}

// observe brings the workers into line with the assignment and renews their
// leases.
func (k *Keeper) observe(ctx context.Context) {
	state := k.config.Versions.Current()
	if state == nil {
		return
	}
	now := k.config.Now()
	if state != k.assignedBy || now.Sub(k.assignedAt) >= AssignEvery {
		k.assigned, k.assignedBy, k.assignedAt = k.kept(state), state, now
	}
	kept := k.assigned
	for name, w := range k.watched {
		if kept[name] == nil || kept[name].Address != w.address {
			w.stop()
			delete(k.watched, name)
		}
	}
	pace := keeping.PollInterval(len(kept), PollBytes, k.pollRate(), ReportEvery, LongestPoll)
	awake := k.config.Place.Awake()
	for name, t := range kept {
		if k.watched[name] == nil {
			k.watch(ctx, t)
		}
		k.watched[name].observed(now, awake && k.config.Place.First(name), pace)
	}
	k.counts.gauge("kept", int64(len(kept)))
}

func (k *Keeper) pollRate() float64 {
	if k.config.PollRate == nil {
		return 0
	}
	return k.config.PollRate()
}

func (k *Keeper) kept(state *version.Snapshot) map[names.Target]*manifest.Target {
	kept := map[names.Target]*manifest.Target{}
	for i := range state.Manifest.Targets {
		t := &state.Manifest.Targets[i]
		if t.Service == "" && k.config.Place.Keeps(t.Name) {
			kept[t.Name] = t
		}
	}
	return kept
}

func (k *Keeper) watch(ctx context.Context, t *manifest.Target) {
	ctx, cancel := context.WithCancel(ctx)
	w := &worker{k: k, name: t.Name, address: t.Address, engine: k.config.Engine(t.Address), stop: cancel, pace: ReportEvery}
	k.watched[t.Name] = w
	k.work.Go(func() { w.run(ctx) })
}

// counts are the metrics of a Keeper. All names begin with "keeper.".
type counts struct{ registry metrics.Registry }

func (c counts) add(name string) {
	metrics.GetOrRegisterCounter("keeper."+name, c.registry).Inc(1)
}

func (c counts) gauge(name string, v int64) {
	metrics.GetOrRegisterGauge("keeper."+name, c.registry).Update(v)
}

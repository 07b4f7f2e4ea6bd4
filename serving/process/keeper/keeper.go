// Package keeper runs this daemon's duties as a keeper of engines: it polls their
// reports, cache events and holdings, orders the state that they are to serve, and
// frees streams and handles that are no longer needed.
//
// Each engine has a separate goroutine, so that an engine that hangs does not
// delay the others. The decisions are made by core/version/orders and
// core/process/keeping. All keepers of an engine reach the same decision about
// when it is to get no new work. Only the keeper that holds the lease sends
// orders, and it checks the lease and the version again immediately before it
// sends one.
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

// Intervals and size of the polls.
const (
	// ObserveInterval is the interval between renewals of the leases.
	// AssignInterval is the interval between updates of the list of kept engines.
	ObserveInterval = 250 * time.Millisecond
	AssignInterval  = time.Second
	// ReportInterval is the interval between polls of an engine's report.
	// MaxReportInterval is its upper bound if a rate limits the polls.
	ReportInterval    = 250 * time.Millisecond
	MaxReportInterval = 10 * time.Second
	// EventsInterval and HoldingsInterval are the intervals between polls of
	// cache events and of holdings while reports are polled every
	// ReportInterval. They grow in proportion to the interval of reports, up to
	// MaxEventsInterval and MaxHoldingsInterval.
	EventsInterval      = time.Second
	HoldingsInterval    = 10 * time.Second
	MaxEventsInterval   = 20 * time.Second
	MaxHoldingsInterval = time.Minute
	// ReportPollBytes is the assumed size of one poll of a report, request and
	// response together. It converts a rate in bytes per second to an interval
	// between polls.
	ReportPollBytes = 700
)

// FleetView is this daemon's latest view of the fleet. Its methods may be called
// from several goroutines.
type FleetView interface {
	// Keeps reports whether this daemon is a keeper of the engine.
	Keeps(t names.Target) bool
	// IsFirstKeeper reports whether this daemon is the first of the engine's
	// keepers.
	IsFirstKeeper(t names.Target) bool
	// ViewIsCurrent reports whether the view is up to date.
	ViewIsCurrent() bool
	// RunningIncarnation returns the incarnation that is known to run on a
	// host, if any.
	RunningIncarnation(h names.Host) (names.Incarnation, bool)
}

// Sink receives the results of the polls. Its methods do not block and may be
// called from several goroutines.
type Sink interface {
	// Report receives a report, with the target's name set.
	Report(r target.Report)
	// Unreachable is called if an engine's report could not be read.
	Unreachable(t names.Target, err error)
	// Events receives cache events. boot is the boot ID of the last report.
	Events(t names.Target, boot uint64, events []target.CacheEvent)
	// NoNewWork receives whether an engine is to get no new work because it is
	// about to load new weights.
	NoNewWork(t names.Target, noNewWork bool)
	// Fence receives an engine's fencing token.
	Fence(v names.Version)
}

// Config holds the dependencies and settings of a Keeper. All fields except
// LoadIsFresh, Limits, PollRate and Now are required.
type Config struct {
	Versions  *version.Holder
	FleetView FleetView
	Engine    func(address string) targetapi.Engine
	Sink      Sink
	Logger    *zap.Logger
	Registry  metrics.Registry
	// LoadIsFresh reports whether an engine's answers have reported its load
	// within the given time. The engine's report is then polled only by the
	// daemon that sends its orders. It may be nil.
	LoadIsFresh func(t names.Target, within time.Duration) bool
	// Limits bound rollouts; nil means the defaults.
	Limits *orders.Limits
	// PollRate returns the limit on the polls of all reports, in bytes per
	// second. If it is nil or returns zero, each engine is polled every
	// ReportInterval.
	PollRate func() float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Keeper polls the engines that this daemon keeps and sends them orders.
type Keeper struct {
	config  Config
	counts  counts
	running sync.WaitGroup
	// The fields below are only used by the goroutine of Run. assigned holds the
	// engines that this daemon keeps as of assignedSnapshot and assignedAt.
	workers          map[names.Target]*worker
	assigned         map[names.Target]*manifest.Target
	assignedSnapshot *version.Snapshot
	assignedAt       time.Time
}

// New returns a Keeper that does nothing until Run is called.
func New(config Config) *Keeper {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Limits == nil {
		limits := orders.DefaultLimits()
		config.Limits = &limits
	}
	return &Keeper{config: config, counts: counts{config.Registry}, workers: map[names.Target]*worker{}}
}

// Run polls and orders engines until ctx is done. It returns after all its
// goroutines have ended.
func (k *Keeper) Run(ctx context.Context) {
	defer k.running.Wait()
	installed, cancel := k.config.Versions.Subscribe()
	defer cancel()
	ticker := time.NewTicker(ObserveInterval)
	defer ticker.Stop()
	for {
		k.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-installed:
		case <-ticker.C:
		}
	}
}

// reconcile starts and stops workers according to the assignment, and renews their
// leases.
func (k *Keeper) reconcile(ctx context.Context) {
	state := k.config.Versions.Current()
	if state == nil {
		return
	}
	now := k.config.Now()
	if state != k.assignedSnapshot || now.Sub(k.assignedAt) >= AssignInterval {
		k.assigned, k.assignedSnapshot, k.assignedAt = k.keptEngines(state), state, now
	}
	kept := k.assigned
	for name, w := range k.workers {
		if kept[name] == nil || kept[name].Address != w.address {
			w.stop()
			delete(k.workers, name)
		}
	}
	interval := keeping.PollInterval(len(kept), ReportPollBytes, k.pollRate(), ReportInterval, MaxReportInterval)
	current := k.config.FleetView.ViewIsCurrent()
	for name, t := range kept {
		if k.workers[name] == nil {
			k.startWorker(ctx, t)
		}
		k.workers[name].observe(now, current && k.config.FleetView.IsFirstKeeper(name), interval)
	}
	k.counts.gauge("kept", int64(len(kept)))
}

func (k *Keeper) pollRate() float64 {
	if k.config.PollRate == nil {
		return 0
	}
	return k.config.PollRate()
}

func (k *Keeper) keptEngines(state *version.Snapshot) map[names.Target]*manifest.Target {
	kept := map[names.Target]*manifest.Target{}
	for i := range state.Manifest.Targets {
		t := &state.Manifest.Targets[i]
		if t.Service == "" && k.config.FleetView.Keeps(t.Name) {
			kept[t.Name] = t
		}
	}
	return kept
}

func (k *Keeper) startWorker(ctx context.Context, t *manifest.Target) {
	ctx, cancel := context.WithCancel(ctx)
	w := &worker{k: k, name: t.Name, address: t.Address, engine: k.config.Engine(t.Address), stop: cancel, interval: ReportInterval}
	k.workers[t.Name] = w
	k.running.Go(func() { w.run(ctx) })
}

// counts registers and updates the metrics of a Keeper. Their names begin with
// "keeper.".
type counts struct{ registry metrics.Registry }

func (c counts) add(name string) {
	metrics.GetOrRegisterCounter("keeper."+name, c.registry).Inc(1)
}

func (c counts) gauge(name string, v int64) {
	metrics.GetOrRegisterGauge("keeper."+name, c.registry).Update(v)
}

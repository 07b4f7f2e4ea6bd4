package daemon

import (
	"sync"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/prefix"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/process/keeper"
)

// keeperAdapter connects the keeper of engines with the tables that it feeds. It
// implements keeper.FleetView, keeper.Sink and admission.Cache, the last from its
// prefix index.
type keeperAdapter struct {
	d *Daemon

	mu    sync.Mutex
	index *prefix.Index
	// quiesced holds the engines that get no new work because they are about
	// to load new weights.
	quiesced map[names.Target]bool
}

func newKeeperAdapter(d *Daemon) *keeperAdapter {
	scope := func(c names.Customer) string { return string(c) }
	return &keeperAdapter{d: d, index: prefix.New(scope), quiesced: make(map[names.Target]bool)}
}

func (d *Daemon) buildKeeper() {
	d.keeper = keeper.New(keeper.Config{
		Versions:    d.versions,
		FleetView:   d.keeperAdapter,
		Engine:      func(address string) targetapi.Engine { return targetapi.NewClient(address, d.pollTransport) },
		Sink:        d.keeperAdapter,
		Logger:      d.log,
		Registry:    d.counters.Registry(),
		PollRate:    d.pollRate,
		LoadIsFresh: d.admitter.HasRecentReport,
	})
}

func (d *Daemon) pollRate() float64 { return keeper.PollRate(len(d.members.Live())) }

// Keeps implements keeper.FleetView.
func (k *keeperAdapter) Keeps(t names.Target) bool { return k.d.fleet.View().Assignment.Keeps(t) }

// IsFirstKeeper implements keeper.FleetView.
func (k *keeperAdapter) IsFirstKeeper(t names.Target) bool {
	return k.d.fleet.View().Assignment.IsFirstKeeper(t)
}

// ViewIsCurrent implements keeper.FleetView.
func (k *keeperAdapter) ViewIsCurrent() bool { return k.d.members.ViewTrusted() }

// RunningIncarnation implements keeper.FleetView.
func (k *keeperAdapter) RunningIncarnation(h names.Host) (names.Incarnation, bool) {
	incarnation := k.d.fleet.IncarnationOf(h)
	return incarnation, incarnation != 0
}

// Report implements keeper.Sink.
func (k *keeperAdapter) Report(r target.Report) {
	k.mu.Lock()
	k.index.SetBoot(r.Target, r.BootID)
	k.mu.Unlock()
	k.d.admitter.Report(r)
}

// Unreachable implements keeper.Sink. It only counts: the engine's last report
// becomes stale by age.
func (k *keeperAdapter) Unreachable(names.Target, error) { k.d.counters.Add("keeper.unreachable", 1) }

// Events implements keeper.Sink.
func (k *keeperAdapter) Events(t names.Target, boot uint64, events []target.CacheEvent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index.SetBoot(t, boot)
	for _, event := range events {
		if k.index.ApplyEvent(t, event) {
			k.d.counters.Add("prefix.gaps", 1)
		}
	}
}

// NoNewWork implements keeper.Sink.
func (k *keeperAdapter) NoNewWork(t names.Target, noNewWork bool) {
	k.mu.Lock()
	k.quiesced[t] = noNewWork
	k.mu.Unlock()
	k.d.updateKeptTargets(k.d.fleet.View())
}

// Fence implements keeper.Sink.
func (k *keeperAdapter) Fence(v names.Version) { k.d.distributor.ObserveFence(v) }

// Tokens implements admission.Cache.
func (k *keeperAdapter) Tokens(t names.Target, r *facts.Request) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index.Tokens(t, r)
}

// setTargets sets the targets that the prefix index covers.
func (k *keeperAdapter) setTargets(targets []names.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index.SetTargets(targets)
}

func (k *keeperAdapter) isQuiesced(t names.Target) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.quiesced[t]
}

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

// keeping connects the keeper of engines with the tables that it feeds. It
// implements keeper.Place and keeper.Sink, and admission.Cache by its index.
type keeping struct {
	d *Daemon

	mu    sync.Mutex
	index *prefix.Index
	// quiet engines are about to read new weights.
	quiet map[names.Target]bool
}

func newKeeping(d *Daemon) *keeping {
	scope := func(c names.Customer) string { return string(c) }
	return &keeping{d: d, index: prefix.New(scope), quiet: make(map[names.Target]bool)}
}

func (d *Daemon) buildKeeper() {
	d.keeper = keeper.New(keeper.Config{
		Versions: d.versions,
		Place:    d.keeping,
		Engine:   func(address string) targetapi.Engine { return targetapi.NewClient(address, d.polling) },
		Sink:     d.keeping,
		Logger:   d.log,
		Registry: d.counters.Registry(),
		PollRate: d.pollRate,
		Fresh:    d.admitter.Fresh,
	})
}

func (d *Daemon) pollRate() float64 { return keeper.PollRate(len(d.members.Live())) }

// Keeps implements keeper.Place.
func (k *keeping) Keeps(t names.Target) bool { return k.d.fleet.View().Assignment.Keeps(t) }

// First implements keeper.Place.
func (k *keeping) First(t names.Target) bool { return k.d.fleet.View().Assignment.IsFirstKeeper(t) }

// Awake implements keeper.Place.
func (k *keeping) Awake() bool { return k.d.members.ViewTrusted() }

// Running implements keeper.Place.
func (k *keeping) Running(h names.Host) (names.Incarnation, bool) {
	incarnation := k.d.fleet.IncarnationOf(h)
	return incarnation, incarnation != 0
}

// Report implements keeper.Sink.
func (k *keeping) Report(r target.Report) {
	k.mu.Lock()
	k.index.SetBoot(r.Target, r.BootID)
	k.mu.Unlock()
	k.d.admitter.Report(r)
}

// Unreachable implements keeper.Sink. The engine's report goes stale.
func (k *keeping) Unreachable(names.Target, error) { k.d.counters.Add("keeper.unreachable", 1) }

// Events implements keeper.Sink.
func (k *keeping) Events(t names.Target, boot uint64, events []target.CacheEvent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index.SetBoot(t, boot)
	for _, event := range events {
		if k.index.ApplyEvent(t, event) {
			k.d.counters.Add("prefix.gaps", 1)
		}
	}
}

// Quiet implements keeper.Sink.
func (k *keeping) Quiet(t names.Target, quiet bool) {
	k.mu.Lock()
	k.quiet[t] = quiet
	k.mu.Unlock()
	k.d.keepTargets(k.d.fleet.View())
}

// Fence implements keeper.Sink.
func (k *keeping) Fence(v names.Version) { k.d.distributor.FenceSeen(v) }

// Tokens implements admission.Cache.
func (k *keeping) Tokens(t names.Target, r *facts.Request) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index.Tokens(t, r)
}

// keep sets the targets of the index.
func (k *keeping) keep(targets []names.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index.SetTargets(targets)
}

func (k *keeping) isQuiet(t names.Target) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.quiet[t]
}

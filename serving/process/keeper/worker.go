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
	"go.uber.org/zap"
)

// worker looks after one engine.
type worker struct {
	k       *Keeper
	name    names.Target
	address string
	engine  targetapi.Engine
	stop    context.CancelFunc

	// mutex guards lease and pace, which Keeper.observe writes.
	mutex sync.Mutex
	lease keeping.Lease
	pace  time.Duration

	// The rest is only used by the worker's goroutine.
	boot     uint64
	after    uint64
	events   time.Time
	holdings time.Time
	sweeper  keeping.Sweeper
	memory   orders.History
	quiet    bool
}

// observed notes whether this daemon is the engine's first keeper.
func (w *worker) observed(now time.Time, first bool, pace time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lease.Observe(now, first)
	w.pace = pace
}

func (w *worker) leased() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lease.Holds(w.k.config.Now())
}

func (w *worker) wait() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.pace
}

func (w *worker) run(ctx context.Context) {
	defer w.setQuiet(false)
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.wait()):
		}
	}
}

// poll does what is due.
func (w *worker) poll(ctx context.Context) {
	if !w.told() {
		w.pollReport(ctx)
	}
	now := w.k.config.Now()
	if now.Sub(w.events) >= w.stretched(EventsEvery, LongestEvents) {
		w.events = now
		w.readEvents(ctx)
	}
	if w.leased() && now.Sub(w.holdings) >= w.stretched(HoldingsEvery, LongestHoldings) {
		w.holdings = now
		w.sweep(ctx, now)
	}
}

// told reports whether the engine's answers have told enough of its load.
func (w *worker) told() bool {
	fresh := w.k.config.Fresh
	return fresh != nil && !w.leased() && fresh(w.name, w.wait())
}

// stretched returns a time between polls that grows with that of reports.
func (w *worker) stretched(every, longest time.Duration) time.Duration {
	return Stretched(every, w.wait(), longest)
}

func (w *worker) pollReport(ctx context.Context) {
	report, err := w.engine.Report(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.k.counts.add("report_failed")
		w.k.config.Sink.Unreachable(w.name, err)
		w.order(ctx, target.Report{}, false)
		return
	}
	w.reported(report)
	w.order(ctx, report, true)
}

func (w *worker) reported(r target.Report) {
	r.Target = w.name
	if r.BootID != w.boot {
		w.boot, w.after = r.BootID, 0
	}
	w.k.config.Sink.Report(r)
	if v := names.Version(r.Fence); v > 0 && v <= manifest.MaxVersion {
		w.k.config.Sink.Fence(v)
	}
}

func (w *worker) readEvents(ctx context.Context) {
	events, err := w.engine.Events(ctx, w.after)
	if err != nil || len(events) == 0 {
		return
	}
	w.after = events[len(events)-1].Seq
	w.k.config.Sink.Events(w.name, w.boot, events)
}

// sweep frees what nobody wants any more.
func (w *worker) sweep(ctx context.Context, now time.Time) {
	holdings, err := w.engine.Holdings(ctx)
	if err != nil {
		w.k.counts.add("holdings_failed")
		return
	}
	left := w.sweeper.Sweep(holdings, now, w.k.config.Place.Running)
	for _, handle := range left.Handles {
		w.freed("handle", string(handle.ID), handle.Cause, w.engine.Free(ctx, handle.ID))
	}
	for _, stream := range left.Streams {
		w.freed("stream", string(stream.ID), stream.Cause, w.engine.Cancel(ctx, stream.ID))
	}
}

func (w *worker) freed(kind, id string, cause keeping.Cause, err error) {
	if err != nil {
		w.k.counts.add("free_failed")
		return
	}
	w.k.counts.add("freed_" + kind + "_" + string(cause))
	w.k.config.Logger.Info("freed what nobody wants", zap.String("target", string(w.name)),
		zap.String("kind", kind), zap.String("id", id), zap.String("cause", string(cause)))
}

// order decides what the engine is to serve, and orders it if this daemon is
// the one to do so.
func (w *worker) order(ctx context.Context, report target.Report, known bool) {
	state := w.k.config.Versions.Current()
	t, found := state.Index.Target(w.name)
	if !found {
		return
	}
	_, leaving := state.Index.Departure(w.name)
	in := orders.Input{
		Version: state.Version(), Target: t, Leaving: leaving,
		ReportFresh: known, Report: report, History: w.memory,
	}
	if known && !leaving && !orders.Converged(t.Want, report.State) {
		in.Before, in.After = w.lane(ctx, state, t)
	}
	decision, memory := orders.Decide(in, w.k.config.Now())
	w.k.counts.add("decision_" + string(decision.Reason))
	w.setQuiet(decision.NoNewWork)
	if decision.Send && !w.send(ctx, state, decision) {
		memory.LastSent, memory.SendCount = w.memory.LastSent, w.memory.SendCount
	}
	w.memory = memory
}

// lane reads the reports of the other engines of this one's lane.
func (w *worker) lane(ctx context.Context, state *version.Snapshot, t *manifest.Target) (before, after []orders.LaneMember) {
	engines := state.Index.EnginesOf(t.Want.Model)
	lanes := w.k.config.Limits.LaneCount(len(engines), orders.WeightBytes(state.Index, t))
	first, last := orders.LaneNeighbours(engines, t, lanes)
	return w.look(ctx, state, first), w.look(ctx, state, last)
}

// look reads engines' reports. Those that leave are not ordered any more, and
// count as ones that cannot be reached.
func (w *worker) look(ctx context.Context, state *version.Snapshot, engines []*manifest.Target) []orders.LaneMember {
	list := make([]orders.LaneMember, 0, len(engines))
	for _, other := range engines {
		if _, leaving := state.Index.Departure(other.Name); leaving {
			continue
		}
		report, err := w.k.config.Engine(other.Address).Report(ctx)
		if err != nil {
			list = append(list, orders.LaneMember{})
			continue
		}
		list = append(list, orders.MemberFromReport(other.Want, report))
	}
	return list
}

// send sends an order if this daemon still holds the lease and the version is
// still the one in force, and reports whether it did.
func (w *worker) send(ctx context.Context, state *version.Snapshot, d orders.Decision) bool {
	if !w.leased() || w.k.config.Versions.Current() != state {
		return false
	}
	err := w.engine.Order(ctx, d.Order)
	fields := []zap.Field{
		zap.String("target", string(w.name)), zap.Uint64("version", d.Order.Fence),
		zap.String("model", string(d.Order.Want.Model)), zap.String("weights", d.Order.Want.Version),
	}
	if err != nil {
		w.k.counts.add("order_failed")
		w.k.config.Logger.Warn("order failed", append(fields, zap.Error(err))...)
		return true
	}
	w.k.counts.add("order_sent")
	w.k.config.Logger.Info("order sent", append(fields, zap.String("reason", string(d.Reason)))...)
	return true
}

func (w *worker) setQuiet(quiet bool) {
	if w.quiet != quiet {
		w.quiet = quiet
		w.k.config.Sink.Quiet(w.name, quiet)
	}
}

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

// worker polls one engine and sends it orders.
type worker struct {
	k       *Keeper
	name    names.Target
	address string
	engine  targetapi.Engine
	stop    context.CancelFunc

	// mutex guards lease and interval, which Keeper.reconcile sets.
	mutex    sync.Mutex
	lease    keeping.Lease
	interval time.Duration

	// The fields below are only used by the worker's goroutine. lastEvent is the
	// sequence number of the last cache event that was read; eventsPolled and
	// holdingsPolled are the times of the last polls.
	bootID         uint64
	lastEvent      uint64
	eventsPolled   time.Time
	holdingsPolled time.Time
	sweeper        keeping.Sweeper
	history        orders.History
	noNewWork      bool
}

// observe records whether this daemon is the engine's first keeper, and the
// interval between polls of the engine's report.
func (w *worker) observe(now time.Time, first bool, interval time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lease.Observe(now, first)
	w.interval = interval
}

func (w *worker) holdsLease() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lease.Holds(w.k.config.Now())
}

func (w *worker) reportInterval() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.interval
}

func (w *worker) run(ctx context.Context) {
	defer w.setNoNewWork(false)
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.reportInterval()):
		}
	}
}

// poll makes the polls that are due.
func (w *worker) poll(ctx context.Context) {
	if !w.loadIsFresh() {
		w.pollReport(ctx)
	}
	now := w.k.config.Now()
	if now.Sub(w.eventsPolled) >= w.scaled(EventsInterval, MaxEventsInterval) {
		w.eventsPolled = now
		w.pollEvents(ctx)
	}
	if w.holdsLease() && now.Sub(w.holdingsPolled) >= w.scaled(HoldingsInterval, MaxHoldingsInterval) {
		w.holdingsPolled = now
		w.sweep(ctx, now)
	}
}

// loadIsFresh reports whether the engine's answers have reported its load recently
// enough for its report not to be polled. The holder of the lease always polls it.
func (w *worker) loadIsFresh() bool {
	fresh := w.k.config.LoadIsFresh
	return fresh != nil && !w.holdsLease() && fresh(w.name, w.reportInterval())
}

// scaled returns the interval every, scaled in proportion to the interval of reports
// and bounded by longest.
func (w *worker) scaled(every, longest time.Duration) time.Duration {
	return ScaledInterval(every, w.reportInterval(), longest)
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
	w.handleReport(report)
	w.order(ctx, report, true)
}

func (w *worker) handleReport(r target.Report) {
	r.Target = w.name
	if r.BootID != w.bootID {
		w.bootID, w.lastEvent = r.BootID, 0
	}
	w.k.config.Sink.Report(r)
	if v := names.Version(r.Fence); v > 0 && v <= manifest.MaxVersion {
		w.k.config.Sink.Fence(v)
	}
}

func (w *worker) pollEvents(ctx context.Context) {
	events, err := w.engine.Events(ctx, w.lastEvent)
	if err != nil || len(events) == 0 {
		return
	}
	w.lastEvent = events[len(events)-1].Seq
	w.k.config.Sink.Events(w.name, w.bootID, events)
}

// sweep frees the engine's streams and handles that are no longer needed.
func (w *worker) sweep(ctx context.Context, now time.Time) {
	holdings, err := w.engine.Holdings(ctx)
	if err != nil {
		w.k.counts.add("holdings_failed")
		return
	}
	if !w.holdsLease() {
		return // it was lost during the read
	}
	unneeded := w.sweeper.Sweep(holdings, now, w.k.config.FleetView.RunningIncarnation)
	for _, handle := range unneeded.Handles {
		w.recordFreed("handle", string(handle.ID), handle.Cause, w.engine.Free(ctx, handle.ID))
	}
	for _, stream := range unneeded.Streams {
		w.recordFreed("stream", string(stream.ID), stream.Cause, w.engine.Cancel(ctx, stream.ID))
	}
}

func (w *worker) recordFreed(kind, id string, cause keeping.Cause, err error) {
	if err != nil {
		w.k.counts.add("free_failed")
		return
	}
	w.k.counts.add("freed_" + kind + "_" + string(cause))
	w.k.config.Logger.Info("freed a stream or handle that is no longer needed", zap.String("target", string(w.name)),
		zap.String("kind", kind), zap.String("id", id), zap.String("cause", string(cause)))
}

// order decides which state the engine is to serve, and sends the order if this
// daemon holds the lease. fresh reports whether report was just read.
func (w *worker) order(ctx context.Context, report target.Report, fresh bool) {
	state := w.k.config.Versions.Current()
	t, found := state.Index.Target(w.name)
	if !found {
		return
	}
	_, leaving := state.Index.Departure(w.name)
	in := orders.Input{
		Version: state.Version(), Target: t, Leaving: leaving,
		ReportFresh: fresh, Report: report, History: w.history,
	}
	if fresh && !leaving && !orders.Converged(t.Want, report.State) {
		in.Before, in.After = w.laneStates(ctx, state, t)
	}
	decision, history := orders.Decide(in, w.k.config.Now())
	w.k.counts.add("decision_" + string(decision.Reason))
	w.setNoNewWork(decision.NoNewWork)
	if decision.Send && !w.send(ctx, state, decision) {
		history.LastSent, history.SendCount = w.history.LastSent, w.history.SendCount
	}
	w.history = history
}

// laneStates reads the reports of the other engines in the lane of t. It returns
// the states of those before and after t.
func (w *worker) laneStates(ctx context.Context, state *version.Snapshot, t *manifest.Target) (before, after []orders.LaneMember) {
	engines := state.Index.EnginesOf(t.Want.Model)
	lanes := w.k.config.Limits.LaneCount(len(engines), orders.WeightBytes(state.Index, t))
	enginesBefore, enginesAfter := orders.LaneNeighbours(engines, t, lanes)
	return w.readStates(ctx, state, enginesBefore), w.readStates(ctx, state, enginesAfter)
}

// readStates reads the reports of engines. It omits engines that are leaving, which
// get no more orders; one that cannot be reached has the zero LaneMember. Neither
// blocks the lane.
func (w *worker) readStates(ctx context.Context, state *version.Snapshot, engines []*manifest.Target) []orders.LaneMember {
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
// still in force. It reports whether it tried, even if the engine returned an
// error.
func (w *worker) send(ctx context.Context, state *version.Snapshot, d orders.Decision) bool {
	if !w.holdsLease() || w.k.config.Versions.Current() != state {
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

// setNoNewWork passes a change of the decision to the sink.
func (w *worker) setNoNewWork(noNewWork bool) {
	if w.noNewWork != noNewWork {
		w.noNewWork = noNewWork
		w.k.config.Sink.NoNewWork(w.name, noNewWork)
	}
}

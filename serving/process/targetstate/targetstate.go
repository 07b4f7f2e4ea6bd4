// Package targetstate holds a daemon's state of the targets: their health, the
// dispatches of all daemons in flight at them, and the requests suspected of
// crashing them. It places requests by this state. One lock guards all of it, and
// no I/O is done while the lock is held.
package targetstate

import (
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/process/health"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/request/relay"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Broadcaster sends the dispatch events of this daemon to its peers.
type Broadcaster interface {
	Begun(d *inflight.Dispatch)
	FirstEvent(number uint64)
	Ended(number uint64)
}

// Config holds the settings and dependencies of a Board.
type Config struct {
	Self        names.Host
	Incarnation names.Incarnation
	Placer      *placement.Placer
	// Targets returns the usable targets of a service.
	Targets     func(names.Service) []replicas.Target
	Broadcaster Broadcaster
	// KnowsPeerWork reports whether this daemon knows the dispatches of its peers.
	KnowsPeerWork func() bool
	// BroadcastCrash sends the crash status of a request to the peers.
	BroadcastCrash func(crash.Entry)
	Log            *zap.Logger
}

// Board is the state of the targets and places requests on them. It implements
// relay.Board and relay.Crashes, and is safe for concurrent use.
type Board struct {
	config Config

	mu sync.Mutex
	// lastNumber is the number of the last dispatch of this daemon.
	lastNumber uint64
	work       *inflight.Table
	health     *health.Table
	crashes    *crash.Table
	// brokenRuns counts the broken runs of a request at this daemon: those in
	// which the connection broke while a target ran the request.
	brokenRuns map[crash.Digest]int
}

// New returns a board with no dispatches.
func New(c Config) *Board {
	return &Board{
		config: c, work: inflight.New(), health: health.New(), crashes: crash.New(), brokenRuns: make(map[crash.Digest]int),
	}
}

// Place implements relay.Board.
func (b *Board) Place(r *placement.Request, service *routing.Service) (*relay.Placement, error) {
	targets := b.config.Targets(service.Name)
	now := time.Now()
	b.mu.Lock()
	decision := b.config.Placer.Place(r, service, b.candidates(targets, now))
	if decision.Refusal != nil {
		b.mu.Unlock()
		return nil, decision.Refusal
	}
	b.lastNumber++
	dispatch := inflight.Dispatch{
		Key:   inflight.Key{Host: b.config.Self, Incarnation: b.config.Incarnation, Number: b.lastNumber},
		Parts: decision.Parts, MaxDuration: r.TimeLeft,
	}
	b.work.Begin(dispatch, now)
	b.health.RequestSent(decision.Target, now)
	b.mu.Unlock()
	b.config.Broadcaster.Begun(&dispatch)
	return b.placed(dispatch.Key, decision, targets), nil
}

// candidates returns the placement candidates for the targets. The caller must hold
// b.mu.
func (b *Board) candidates(targets []replicas.Target, now time.Time) []placement.Candidate {
	list := make([]placement.Candidate, 0, len(targets))
	knowsPeerWork := b.config.KnowsPeerWork()
	for i := range targets {
		t := &targets[i]
		list = append(list, placement.Candidate{
			Target: t.ID, Slots: t.Slots,
			Load:        b.work.Load(t.ID, now),
			BreakerOpen: b.health.Excluded(t.ID, now), FailureScore: b.health.Score(t.ID, now),
			Unresponsive: b.health.Unresponsive(t.ID, now),
			Order:        b.order(t.ID, knowsPeerWork),
		})
	}
	return list
}

// order returns the position of a target among those of its service, in [0, 1). It
// is a hash of the target's name, and so the same at all daemons that know each
// other's dispatches. A daemon that does not know them mixes its own name into the
// hash, so that such daemons do not all fill the same targets first.
func (b *Board) order(id names.Target, knowsPeerWork bool) float64 {
	name := string(id)
	if !knowsPeerWork {
		name += string(b.config.Self)
	}
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}

// placed returns the result of a placement with the targets' addresses.
func (b *Board) placed(k inflight.Key, d placement.Decision, targets []replicas.Target) *relay.Placement {
	addresses := make(map[names.Target]string, len(targets))
	for i := range targets {
		addresses[targets[i].ID] = targets[i].Address
	}
	placed := &relay.Placement{Key: k, Decision: d, Address: addresses[d.Target]}
	for _, h := range d.Helpers {
		placed.Helpers = append(placed.Helpers, addresses[h.Target])
	}
	return placed
}

// FirstEvent implements relay.Board.
func (b *Board) FirstEvent(k inflight.Key) {
	if b.recordFirstEvent(k) {
		b.config.Broadcaster.FirstEvent(k.Number)
	}
}

// recordFirstEvent records the first event of a dispatch. It reports whether the
// dispatch is known and the event was not recorded before.
func (b *Board) recordFirstEvent(k inflight.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work.FirstEvent(k, time.Now())
}

// End implements relay.Board.
func (b *Board) End(k inflight.Key, id names.Target) {
	b.mu.Lock()
	b.work.End(k, time.Now())
	b.health.RequestEnded(id)
	b.mu.Unlock()
	b.config.Broadcaster.Ended(k.Number)
}

// Succeeded implements relay.Board.
func (b *Board) Succeeded(id names.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health.Succeeded(id, time.Now())
}

// RecordActivity implements relay.Board.
func (b *Board) RecordActivity(id names.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health.RecordActivity(id, time.Now())
}

// Unresponsive implements relay.Board.
func (b *Board) Unresponsive(id names.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health.Unresponsive(id, time.Now())
}

// RecordRequestCount implements relay.Board.
func (b *Board) RecordRequestCount(id names.Target, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.SetReportedRequests(id, requests, time.Now())
}

// Failed implements relay.Board.
func (b *Board) Failed(id names.Target, reason verdict.Reason) {
	b.mu.Lock()
	excluded := b.health.Failed(id, time.Now())
	b.mu.Unlock()
	if excluded {
		b.config.Log.Info("target spared", zap.String("target", string(id)), zap.String("reason", string(reason)))
	}
}

// Unreachable implements relay.Board.
func (b *Board) Unreachable(id names.Target) {
	b.mu.Lock()
	excluded := b.health.Unreachable(id, time.Now())
	b.mu.Unlock()
	if excluded {
		b.config.Log.Info("target spared", zap.String("target", string(id)), zap.String("reason", string(verdict.TargetUnreachable)))
	}
}

// maxBrokenRequests bounds the number of requests whose broken runs are counted. All
// counts are dropped when it is reached.
const maxBrokenRequests = 4096

// brokenRunsToRefuse is the number of broken runs of a request at this daemon after
// which it is refused. A request that was already suspect on arrival is refused
// after one, because an earlier run of it broke elsewhere.
const brokenRunsToRefuse = 3

// Check implements relay.Crashes.
func (b *Board) Check(d crash.Digest) crash.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Check(d, time.Now())
}

// RecordConnectionLoss implements relay.Crashes.
func (b *Board) RecordConnectionLoss(d crash.Digest, arrived crash.Status) {
	now := time.Now()
	b.mu.Lock()
	if len(b.brokenRuns) >= maxBrokenRequests {
		clear(b.brokenRuns)
	}
	b.brokenRuns[d]++
	refused := b.brokenRuns[d] >= brokenRunsToRefuse || arrived == crash.Suspect
	b.crashes.Crashed(d, refused, now)
	entry := b.crashes.Entry(d, now)
	b.mu.Unlock()
	b.config.Log.Info("request suspected", zap.String("digest", d.String()), zap.Bool("refused", refused))
	b.config.BroadcastCrash(entry)
}

// MergeCrash merges the crash status of a request that a peer has sent.
func (b *Board) MergeCrash(e crash.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes.Merge([]crash.Entry{e}, time.Now())
}

// PeerSink returns the sink for the dispatch events of peers.
func (b *Board) PeerSink() PeerSink { return PeerSink{board: b} }

// PeerSink records the dispatch events of peers. It does not forward them.
type PeerSink struct{ board *Board }

// Begin implements dispatchsync.Sink.
func (p PeerSink) Begin(d inflight.Dispatch) {
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	p.board.work.Begin(d, time.Now())
}

// FirstEvent implements dispatchsync.Sink.
func (p PeerSink) FirstEvent(k inflight.Key) { p.board.recordFirstEvent(k) }

// End implements dispatchsync.Sink.
func (p PeerSink) End(k inflight.Key) {
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	p.board.work.End(k, time.Now())
}

// RemoveIncarnations drops the dispatches of a daemon's incarnations earlier than
// before.
func (b *Board) RemoveIncarnations(h names.Host, before names.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.RemoveIncarnations(h, before, time.Now())
}

// Sweep drops the dispatches that have expired without an end event and the state
// of targets that are no longer listed, and logs the targets that are no longer
// excluded.
func (b *Board) Sweep(listed func(names.Target) bool, now time.Time) {
	for _, id := range b.sweep(listed, now) {
		b.config.Log.Info("target let back", zap.String("target", string(id)))
	}
}

func (b *Board) sweep(listed func(names.Target) bool, now time.Time) []names.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.Expire(now)
	b.work.Prune(listed)
	b.health.Forget(listed)
	return b.health.Readmitted(now)
}

// ExcludedCount returns the number of targets that are excluded from placement.
func (b *Board) ExcludedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health.ExcludedCount(time.Now())
}

// DispatchCount returns the number of known dispatches of all daemons.
func (b *Board) DispatchCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work.Size()
}

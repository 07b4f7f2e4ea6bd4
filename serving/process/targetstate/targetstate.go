// Package targetstate holds a daemon's state of the targets: their health and the
// dispatches in flight at them. It places
// this daemon's requests by asking the homes of the targets, and those of other
// daemons as a home; see core/process/homes. One lock guards all of the state, and no
// I/O is done while the lock is held.
package targetstate

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/backoff"
	"carobspoke.example/core/process/health"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/leaving"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/refusals"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/dispatchsync"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Messenger sends messages to the homes of targets; see dispatchsync.Exchange.
type Messenger interface {
	Ask(ctx context.Context, home names.Host, number uint64, a *dispatchsync.Ask) (dispatchsync.Answer, error)
	Begin(to []names.Host, d *inflight.Dispatch, idle time.Duration)
	FirstEvent(to []names.Host, number uint64)
	End(to []names.Host, number uint64)
	RecordOutcome(to []names.Host, id names.Target, o dispatchsync.Outcome)
	RecordLeaving(to []names.Host, i replicas.Incarnation)
	RecordLimit(to []names.Host, i replicas.Incarnation, s ratelimits.Statement)
	RecordUse(to []names.Host, i replicas.Incarnation)
}

// Config holds the settings and dependencies of a Board.
type Config struct {
	Self        names.Host
	Incarnation names.Incarnation
	Placer      *placement.Placer
	// Random is used with the lock of the board held.
	Random *rand.Rand
	// Service returns the parameters of a service, or nil if it is unknown.
	Service func(names.Service) *routing.Service
	// Services returns the names of the known services. It is called with the lock of the
	// board held.
	Services func() []names.Service
	// Targets returns the usable targets of a service, sorted by ID.
	Targets func(names.Service) []replicas.Target
	// Listed returns the usable target with an ID, and whether there is one. It is
	// called with the lock of the board held.
	Listed func(names.Target) (replicas.Target, bool)
	// StopReuse closes the idle connections to a target that is leaving. It is
	// called without the lock of the board.
	StopReuse func(names.Target)
	// Homes returns the homes of a group. It is called with the lock of the board
	// held.
	Homes     func(homes.Group) homes.Homes
	Messenger Messenger
	// FleetShare returns the share of the targets' limits that this daemon may let
	// through as a home, see ratelimits.Fleet.
	FleetShare func() float64
	// CutOff reports whether this daemon is cut off from all targets, so that failures of
	// its requests say nothing about them.
	CutOff func() bool
	// Evacuated reports whether operators want a data centre evacuated, and TakenBack
	// returns when this daemon learnt that they no longer do; zero if they never did. They
	// may be called with the lock of the board held.
	Evacuated func(names.DataCentre) bool
	TakenBack func(names.DataCentre) time.Time
	// ColdOverage and ColdSlack bound the requests at a cold target, see edge.Settings.
	ColdOverage float64
	ColdSlack   float64
	// RegionOf returns the region of a data centre; empty if it is unknown.
	RegionOf func(names.DataCentre) names.Region
	// BootTime returns a clock that also runs while the host is suspended.
	BootTime func() time.Duration
	// Count adds one to a counter.
	Count func(name string)
	Log   *zap.Logger
}

// Board is the state of the targets and places requests on them. It implements
// relay.Board, and is safe for concurrent use.
type Board struct {
	config Config
	// lastNumber is the number of the last dispatch of this daemon.
	lastNumber atomic.Uint64

	mu sync.Mutex
	// work holds the dispatches of this daemon and, where it is a home, those of
	// others. own holds the dispatches of this daemon by number.
	work   *inflight.Table
	own    map[uint64]*ownDispatch
	health *health.Table
	// leaving holds the targets that have stated that they are leaving.
	leaving *leaving.Table
	// asked holds the targets that have asked this daemon for time.
	asked *backoff.Table
	// limits holds the rates that targets have named.
	limits *ratelimits.Table
	// refused holds the requests that this daemon has refused as a home.
	refused *refusals.Table
	// coldTargets holds the state of cold targets; nil if no service has had any.
	coldTargets *coldState
	// promises spreads the callers that this daemon refuses as a home.
	promises ratelimits.Promises
	// skipUntil is the time until which a home that did not answer is not asked.
	skipUntil map[names.Host]time.Time
	// pressure holds the loads of groups that their homes reported.
	pressure map[homes.Group]groupPressure
	// groupsMu guards groups, the targets of the groups that this daemon is a home
	// of. It is a leaf lock.
	groupsMu sync.Mutex
	groups   map[homes.Group]groupMembers
	// sites holds the data centres of the targets of services. groupsMu guards it as well.
	sites map[names.Service]*sites
}

// New returns a board with no dispatches. Evacuated, TakenBack and RegionOf may be nil where no
// data centre is evacuated and none has a region, and Services where no targets are cold.
func New(c Config) *Board {
	if c.Services == nil {
		c.Services = func() []names.Service { return nil }
	}
	if c.Evacuated == nil {
		c.Evacuated = func(names.DataCentre) bool { return false }
	}
	if c.TakenBack == nil {
		c.TakenBack = func(names.DataCentre) time.Time { return time.Time{} }
	}
	if c.RegionOf == nil {
		c.RegionOf = func(names.DataCentre) names.Region { return "" }
	}
	return &Board{
		config: c, work: inflight.New(), own: make(map[uint64]*ownDispatch), health: health.New(), leaving: leaving.New(), asked: backoff.New(), limits: ratelimits.New(), refused: refusals.New(),
		skipUntil: make(map[names.Host]time.Time), pressure: make(map[homes.Group]groupPressure), groups: make(map[homes.Group]groupMembers),
		sites: make(map[names.Service]*sites),
	}
}

// candidates returns the placement candidates for the targets, without those that are
// leaving. Targets to avoid count as excluded. salt is mixed into the order of the targets, see order. The caller must
// hold b.mu.
func (b *Board) candidates(targets []replicas.Target, avoid []names.Target, now time.Time, salt string) []placement.Candidate {
	list := make([]placement.Candidate, 0, len(targets))
	for i := range targets {
		t := &targets[i]
		if b.leaving.Leaving(t.Incarnation()) {
			continue
		}
		load := b.work.Load(t.ID, now)
		rate, _ := b.limits.Rate(t.Incarnation(), now)
		list = append(list, placement.Candidate{
			Target: t.ID, Slots: t.Slots, Load: load,
			BreakerOpen:  b.health.Excluded(t.ID, now) || slices.Contains(avoid, t.ID),
			FailureScore: b.health.Score(t.ID, now),
			Unresponsive: b.health.Unresponsive(t.ID, load.Pending, homeUnresponsiveTimeout, now),
			Limited:      rate > 0,
			Cold:         b.isCold(t, now),
			Order:        order(t.ID, salt),
		})
	}
	return list
}

// order returns the position of a target among those of its service, in [0, 1). It is
// a hash of the target's name and the salt. Homes use no salt, so that the next home
// continues with the same order. A daemon that places requests alone uses its own
// name, so that such daemons do not all fill the same targets first.
func order(id names.Target, salt string) float64 {
	return float64(xxhash.Sum64String(string(id)+salt)>>11) / (1 << 53)
}

// FirstEvent implements relay.Board.
func (b *Board) FirstEvent(k inflight.Key) {
	if to, ok := b.recordOwnFirstEvent(k); ok {
		b.config.Messenger.FirstEvent(to, k.Number)
	}
}

// recordOwnFirstEvent records the first event of a dispatch of this daemon, and returns
// the homes to tell. It returns false if the event was recorded before.
func (b *Board) recordOwnFirstEvent(k inflight.Key) ([]names.Host, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, ok := b.own[k.Number]
	if !ok || own.dispatch.Prefilled {
		return nil, false
	}
	own.dispatch.Prefilled = true
	b.work.FirstEvent(k, time.Now())
	return b.listeners(own), true
}

// listeners returns the other daemons to report the progress of a dispatch to. The caller
// must hold b.mu.
func (b *Board) listeners(own *ownDispatch) []names.Host {
	return without(b.config.Homes(own.group).Listeners, b.config.Self)
}

// recordFirstEvent records the first event of a dispatch of another daemon.
func (b *Board) recordFirstEvent(k inflight.Key) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if id, ok := b.work.FirstTarget(k); ok {
		b.health.RecordActivity(id, now)
	}
	b.work.FirstEvent(k, now)
}

// End implements relay.Board.
func (b *Board) End(k inflight.Key, _ names.Target) {
	b.mu.Lock()
	var to []names.Host
	if own, ok := b.own[k.Number]; ok {
		to = b.listeners(own)
		delete(b.own, k.Number)
	}
	b.work.End(k, time.Now())
	b.mu.Unlock()
	b.config.Messenger.End(to, k.Number)
}

// RecordActivity implements relay.Board.
func (b *Board) RecordActivity(k inflight.Key, id names.Target) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health.RecordActivity(id, now)
	if own, ok := b.own[k.Number]; ok {
		own.lastActivity = now
	}
}

// Unresponsive implements relay.Board.
func (b *Board) Unresponsive(id names.Target) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health.Unresponsive(id, b.work.Load(id, now).Pending, health.UnresponsiveTimeout, now)
}

// RecordRequestCount implements relay.Board.
func (b *Board) RecordRequestCount(id names.Target, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.SetReportedRequests(id, requests, time.Now())
}

// Succeeded implements relay.Board.
func (b *Board) Succeeded(k inflight.Key, id names.Target) {
	b.recordOwnOutcome(k, id, dispatchsync.Succeeded, "")
}

// Failed implements relay.Board.
func (b *Board) Failed(k inflight.Key, id names.Target, reason verdict.Reason) {
	b.recordOwnOutcome(k, id, dispatchsync.Failed, reason)
}

// Unreachable implements relay.Board.
func (b *Board) Unreachable(k inflight.Key, id names.Target) {
	b.recordOwnOutcome(k, id, dispatchsync.Unreachable, verdict.TargetUnreachable)
}

// recordOwnOutcome records the outcome of a send of this daemon, and tells the homes.
func (b *Board) recordOwnOutcome(k inflight.Key, id names.Target, o dispatchsync.Outcome, reason verdict.Reason) {
	if o != dispatchsync.Succeeded && b.config.CutOff() {
		return
	}
	b.recordOutcome(id, o, reason)
	b.mu.Lock()
	var to []names.Host
	if own, ok := b.own[k.Number]; ok {
		to = b.listeners(own)
	}
	b.mu.Unlock()
	b.config.Messenger.RecordOutcome(to, id, o)
}

// recordOutcome records the outcome of a send to a target. The reason of a failure is
// only logged.
func (b *Board) recordOutcome(id names.Target, o dispatchsync.Outcome, reason verdict.Reason) {
	now := time.Now()
	excluded := false
	b.mu.Lock()
	switch o {
	case dispatchsync.Succeeded:
		b.health.Succeeded(id, now)
	case dispatchsync.Failed:
		excluded = b.health.Failed(id, now)
	case dispatchsync.Unreachable:
		excluded = b.health.Unreachable(id, now)
	}
	b.mu.Unlock()
	if excluded {
		b.config.Log.Info("target spared", zap.String("target", string(id)), zap.String("reason", string(reason)))
	}
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
	b.sweepStatements(now)
	b.sweepCold(now)
	b.refused.Sweep(now)
	b.limits.SetHomes(b.isHome, now)
	b.limits.SetShare(b.config.FleetShare(), now, b.config.Random.Float64)
	maps.DeleteFunc(b.skipUntil, func(_ names.Host, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(b.pressure, func(_ homes.Group, p groupPressure) bool { return now.Sub(p.at) > pressureValidity })
	return b.health.Readmitted(now)
}

// ExcludedCount returns the number of targets that are excluded from placement.
func (b *Board) ExcludedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.health.ExcludedTargets(time.Now()))
}

// DispatchCount returns the number of known dispatches: those of this daemon and, at
// a home, those of others.
func (b *Board) DispatchCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work.Size()
}

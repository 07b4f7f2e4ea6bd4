package targetstate

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/request/relay"
	"go.uber.org/zap"
)

// source says how this daemon learned of a statement of a target.
type source struct {
	// request is the ID of the request that received the answer; empty for an order or
	// a probe.
	request string
	// peer is the daemon that received the answer; empty for this one.
	peer names.Host
}

func (s source) fields(i replicas.Incarnation) []zap.Field {
	return []zap.Field{
		zap.String("target", string(i.ID)), zap.Int64("started", i.Started), zap.String("request", s.request), zap.String("peer", string(s.peer)),
	}
}

// RecordStatement implements relay.Board.
func (b *Board) RecordStatement(p *relay.Placement, s relay.Statement, request string) {
	b.recordStatement(p.Incarnation, s, p.SentAt, source{request: request})
}

// recordStatement records what a target has stated in the answer to a request that this
// daemon sent at sentAt.
func (b *Board) recordStatement(i replicas.Incarnation, s relay.Statement, sentAt time.Time, from source) {
	if s.Leaving {
		b.recordLeaving(i, from)
	}
	if s.RetryAfter > 0 {
		b.recordRetryAfter(i, s.RetryAfter, from)
	}
	if s.Cold.Stated {
		b.recordCold(i, s.Cold.Left, sentAt, from)
	}
	if s.RetryAfterInvalid {
		b.config.Count(countInvalid)
	}
	if s.Limit.Invalid {
		b.config.Count(countLimitInvalid)
	}
	if s.Limit.Named {
		b.config.Count(countLimits)
		b.recordRate(i, ratelimits.Statement{Rate: max(s.Limit.Rate, ratelimits.MinRate), SentAt: sentAt, ReadAt: time.Now()}, from)
	}
}

// Names of counters.
const (
	// countAsked counts the answers in which targets asked for time, countBounded those
	// of them that asked for more than backoff.MaxDelay, and countInvalid those with a
	// time that cannot be used.
	countAsked   = "target_retry_after"
	countBounded = "target_retry_after_bounded"
	countInvalid = "target_retry_after_invalid"
	// countLimits counts the answers in which targets named a limit, countLimitBounded
	// those of them that changed it to a rate out of bounds, and countLimitInvalid those
	// with a limit that cannot be used.
	countLimits       = "target_limit"
	countLimitBounded = "target_limit_bounded"
	countLimitInvalid = "target_limit_invalid"
	// countWithheld counts the orders and probes that were not sent because a target has
	// asked for time.
	countWithheld = "target_orders_withheld"
)

// recordRetryAfter records that a target has asked this daemon for time. The homes are not
// told, since the time is about this daemon alone.
func (b *Board) recordRetryAfter(i replicas.Incarnation, asked time.Duration, from source) {
	b.mu.Lock()
	recorded := b.asked.Record(i, asked, time.Now())
	b.mu.Unlock()
	b.config.Count(countAsked)
	if recorded.Bounded {
		b.config.Count(countBounded)
	}
	if recorded.Noticeable {
		b.config.Log.Info("target asks for time", append(from.fields(i), zap.Duration("asked", asked), zap.Duration("granted", recorded.Granted))...)
	}
}

// recordLeaving records that a target is leaving. If this daemon received the answer, it
// tells the homes of the target's group, so that they place no requests there.
func (b *Board) recordLeaving(i replicas.Incarnation, from source) {
	b.mu.Lock()
	isNew := b.leaving.Record(i, time.Now())
	b.mu.Unlock()
	if !isNew {
		return
	}
	b.config.Log.Info("target is leaving", from.fields(i)...)
	b.config.StopReuse(i.ID)
	if from.peer == "" {
		b.config.Messenger.RecordLeaving(b.homesOfTarget(i.ID), i)
	}
}

// homesOfTarget returns the other daemons that place requests on a target; none if the
// target is not listed any more.
func (b *Board) homesOfTarget(id names.Target) []names.Host {
	target, ok := b.config.Listed(id)
	if !ok {
		return nil
	}
	group := b.groupOf(&target)
	b.mu.Lock()
	defer b.mu.Unlock()
	return without(b.config.Homes(group).Listeners, b.config.Self)
}

// groupOf returns the group of a listed target.
func (b *Board) groupOf(t *replicas.Target) homes.Group {
	groups := homes.Groups(len(b.config.Targets(t.Service)))
	return homes.Group{Service: t.Service, Index: homes.GroupOf(t.ID, groups), Groups: groups}
}

// MaySend implements relay.Board.
func (b *Board) MaySend(p *relay.Placement) error {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if refusal := b.evacuationRefusal(p); refusal != nil {
		return refusal
	}
	if refusal := b.refusal(p.Incarnation, now); refusal != nil {
		return refusal
	}
	if refusal := b.limitRefusal(p, now); refusal != nil {
		return refusal
	}
	for _, helper := range p.HelperIncarnations {
		if refusal := b.refusal(helper, now); refusal != nil {
			return refusal
		}
	}
	p.SentAt = now
	if own, ok := b.own[p.Key.Number]; ok {
		own.sent = true
	}
	return nil
}

// refusal returns why no caller's request may be sent to a target because of what it has
// stated, or nil. The caller must hold b.mu.
func (b *Board) refusal(i replicas.Incarnation, now time.Time) *verdict.Error {
	if b.leaving.Leaving(i) {
		return verdict.Newf(verdict.NotRun, verdict.TargetLeaving, "target %s is leaving", i.ID)
	}
	if left := b.asked.Left(i, now); left > 0 {
		return verdict.Newf(verdict.NotRun, verdict.TargetRefused, "target %s has asked for time", i.ID).WithRetryAfter(left)
	}
	return nil
}

// Leaving reports whether a listed target has stated that it is leaving.
func (b *Board) Leaving(i replicas.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving.Leaving(i)
}

// LeavingCount returns the number of targets that are known to be leaving.
func (b *Board) LeavingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving.Len()
}

// AskedCount returns the number of targets that have asked this daemon for time.
func (b *Board) AskedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked.Len()
}

// unusable returns the targets of a list that must not get requests because of what they
// have stated: first those that have asked for time, which the homes do not know, the
// longest times first. Those in evacuated data centres are omitted, which a question names as
// such.
func (b *Board) unusable(targets []replicas.Target) []names.Target {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []names.Target
	for _, i := range slices.Concat(b.asked.Current(now), b.leaving.Current()) {
		at, ok := find(targets, i.ID)
		if !ok || b.config.Evacuated(targets[at].DataCentre) || slices.Contains(list, i.ID) {
			continue
		}
		if b.refusal(targets[at].Incarnation(), now) != nil {
			list = append(list, i.ID)
		}
	}
	return list
}

// refuseAll returns the refusal of a request if no target of its service that it may reach
// takes requests, as the targets have stated, and nil otherwise.
func (b *Board) refuseAll(r *placement.Request, service *routing.Service, targets []replicas.Target, rule *placeRule) *verdict.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	none, after := b.roomAfter(targets, rule, time.Now())
	switch {
	case !none || len(targets) == 0:
		return nil
	case after > 0:
		return verdict.New(verdict.NotRun, verdict.Overloaded, "all targets of the service have asked for time").WithRetryAfter(after)
	default:
		return b.config.Placer.Place(r, service, nil).Refusal
	}
}

// retrySpread bounds the random time that is added to the retry delay of callers.
const retrySpread = 500 * time.Millisecond

// roomAfter reports whether no target of a list that a request may reach takes requests, and
// after which time one does that has asked for time; zero if none has. The caller must hold b.mu.
func (b *Board) roomAfter(targets []replicas.Target, rule *placeRule, now time.Time) (none bool, after time.Duration) {
	reached := false
	for i := range targets {
		// Mostly the targets of a data centre follow each other in the list.
		if i == 0 || targets[i].DataCentre != targets[i-1].DataCentre {
			reached = b.mayReach(targets[i].DataCentre, rule)
		}
		if !reached {
			continue
		}
		refusal := b.refusal(targets[i].Incarnation(), now)
		if refusal == nil {
			return false, 0
		}
		if left := refusal.RetryAfter; left > 0 && (after == 0 || left < after) {
			after = left
		}
	}
	if after > 0 {
		after += time.Duration(b.config.Random.Int64N(int64(retrySpread)))
	}
	return true, after
}

// RoomAfter implements relay.Board.
func (b *Board) RoomAfter(service names.Service) time.Duration {
	targets := b.config.Targets(service)
	b.mu.Lock()
	defer b.mu.Unlock()
	_, after := b.roomAfter(targets, &placeRule{}, time.Now())
	return after
}

// rejectedTargets returns the targets of a decision that must not get the request: those
// that this daemon does not list, those that have stated so, and those in data centres that the
// request must not reach. outside is true if there are such ones.
func (b *Board) rejectedTargets(d *placement.Decision, q *question) (rejected []names.Target, outside bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range d.Parts {
		at, ok := find(q.targets, d.Parts[i].Target)
		reached := ok && b.mayReach(q.targets[at].DataCentre, &q.extent.rule)
		outside = outside || ok && !reached
		if !reached || b.refusal(q.targets[at].Incarnation(), now) != nil || b.lacksLeave(d, q.targets[at].Incarnation(), now) {
			rejected = append(rejected, d.Parts[i].Target)
		}
	}
	return rejected, outside
}

// sweepStatements drops the statements that have ended. The caller must hold b.mu.
func (b *Board) sweepStatements(now time.Time) {
	b.asked.Expire(now)
	b.leaving.Sweep(func(id names.Target) (int64, bool) {
		target, ok := b.config.Listed(id)
		return target.Started, ok
	}, now)
	b.limits.Sweep(func(id names.Target) (int64, bool) {
		target, ok := b.config.Listed(id)
		return target.Started, ok
	}, now)
}

package targetstate

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/dispatchsync"
	"carobspoke.example/serving/request/relay"
	"go.uber.org/zap"
)

// RecordNoLimit implements relay.Board.
func (b *Board) RecordNoLimit(p *relay.Placement, request string) {
	b.recordRate(p.Incarnation, ratelimits.Statement{SentAt: p.SentAt, ReadAt: time.Now()}, source{request: request})
}

// recordRate records the rate that a target takes, and logs a change. If this daemon
// received the answer, it tells the homes of the target's group.
func (b *Board) recordRate(i replicas.Incarnation, s ratelimits.Statement, from source) {
	now := time.Now()
	b.mu.Lock()
	change := b.limits.Record(i, s, now)
	b.mu.Unlock()
	if change.Tell && from.peer == "" {
		b.config.Messenger.RecordLimit(b.homesOfTarget(i.ID), i, s)
	}
	if !change.Changed {
		return
	}
	if change.Bounded {
		b.config.Count(countLimitBounded)
	}
	b.config.Log.Info("limit of a target changed", append(from.fields(i), zap.Float64("before", change.Before),
		zap.Float64("limit", change.After), zap.Duration("age", now.Sub(s.ReadAt)))...)
}

// RecordLimit implements dispatchsync.Sink. A target that is not listed is ignored, so that
// peers cannot fill the table.
func (p PeerSink) RecordLimit(i replicas.Incarnation, s ratelimits.Statement, from names.Host) {
	if _, ok := p.board.config.Listed(i.ID); ok {
		p.board.recordRate(i, s, source{peer: from})
	}
}

// RecordUse implements dispatchsync.Sink.
func (p PeerSink) RecordUse(i replicas.Incarnation) {
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	now := time.Now()
	p.board.limits.Take(i, now)
	if target, ok := p.board.config.Listed(i.ID); ok {
		p.board.chargeCold(&target, now)
	}
}

// recordClaims records what a daemon that asks this one knows of the limits of targets.
func (b *Board) recordClaims(claims []ratelimits.Claim, from names.Host) {
	for _, c := range claims {
		if _, ok := b.config.Listed(c.ID); ok {
			b.recordRate(c.Incarnation, ratelimits.Statement{Rate: c.Rate, SentAt: c.ReadAt, ReadAt: c.ReadAt}, source{peer: from})
		}
	}
}

// maxClaims bounds the limits that a question names. At some 30 bytes each they leave the
// question within a network packet.
const maxClaims = 12

// claims returns what this daemon knows of the limits of the targets of a group.
func (b *Board) claims(g homes.Group) []ratelimits.Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []ratelimits.Claim
	for _, c := range b.limits.Claims(time.Now()) {
		target, ok := b.config.Listed(c.ID)
		if ok && len(list) < maxClaims && target.Service == g.Service && homes.GroupOf(c.ID, g.Groups) == g.Index {
			list = append(list, c)
		}
	}
	return list
}

// learnLimit records what the answer of a home says about the limit of the target that it
// has chosen. A home that does not limit a target although it was told of the limit knows a
// later answer.
func (b *Board) learnLimit(q *question, ask *dispatchsync.Ask, answer *dispatchsync.Answer, home names.Host, asked time.Time) {
	d := &answer.Decision
	at, ok := find(q.targets, d.Target)
	if !ok {
		return
	}
	i := q.targets[at].Incarnation()
	if d.Limit > 0 {
		readAt := asked.Add(-d.LimitAge)
		b.recordRate(i, ratelimits.Statement{Rate: d.Limit, SentAt: readAt, ReadAt: readAt}, source{peer: home})
		return
	}
	claimed := slices.ContainsFunc(ask.Limits, func(c ratelimits.Claim) bool { return c.Incarnation == i && c.Rate > 0 })
	if claimed && answer.LimitsKnown {
		b.recordRate(i, ratelimits.Statement{SentAt: asked, ReadAt: asked}, source{peer: home})
	}
}

// placeWithinLimits places a request of the group's targets on one that takes any number of
// requests, or whose limit or rate while it is cold leaves room. The caller must hold b.mu.
func (b *Board) placeWithinLimits(a *dispatchsync.Ask, service *routing.Service, targets []replicas.Target, candidates []placement.Candidate, now time.Time) placement.Decision {
	full, cold := fullTargets{}, fullTargets{}
	usable := make([]placement.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Limited {
			i := incarnationOf(targets, c.Target)
			if wait := b.limits.Wait(i, now); wait > 0 {
				rate, _ := b.limits.Rate(i, now)
				full.add(&a.Request, c.Target, wait, rate)
				continue
			}
		}
		if c.Cold {
			if wait, rate := b.coldWait(targets, c.Target, now); wait > 0 {
				cold.add(&a.Request, c.Target, wait, rate)
				continue
			}
			c.Limited = true // orders to a helper would count
		}
		usable = append(usable, c)
	}
	d := b.placeWarmFirst(&a.Request, service, usable)
	switch {
	case d.Refusal == nil:
		d.Limit, d.LimitAge = b.limits.Rate(incarnationOf(targets, d.Target), now)
		d.ColdLeave = b.giveColdLeave(a, targets, usable, d.Target, now)
	case d.Refusal.Reason == verdict.NoTarget && full.count > 0:
		d.Refusal = b.limitedRefusal(a.Group.Service, full, now)
	case d.Refusal.Reason == verdict.NoTarget && cold.count > 0:
		d.Refusal = b.coldRefusal(a.Group.Service, cold, b.warmAfter(targets, now), now)
	}
	return d
}

// fullTargets sums up the targets that have no room for a request.
type fullTargets struct {
	count int
	// first is the time until one of them has room, and rate the sum of their rates in
	// requests per second.
	first time.Duration
	rate  float64
}

// add adds a target unless the request must not be sent there.
func (f *fullTargets) add(r *placement.Request, id names.Target, wait time.Duration, rate float64) {
	if slices.Contains(r.Exclude, id) {
		return
	}
	if f.count == 0 || wait < f.first {
		f.first = wait
	}
	f.count++
	f.rate += rate
}

// limitedRefusal returns the refusal of a request for which no target has room. The caller
// must hold b.mu.
func (b *Board) limitedRefusal(service names.Service, full fullTargets, now time.Time) *verdict.Error {
	after := b.promises.Next(service, full.first, full.rate, now)
	spread := min(time.Duration(float64(time.Second)/full.rate), retrySpread)
	after += time.Duration(b.config.Random.Float64() * float64(spread))
	return verdict.New(verdict.NotRun, verdict.TargetLimited, "the targets of the service have named limits and have no room").WithRetryAfter(after)
}

// aloneRetryAfter is the retry delay of callers if no home can be asked and all targets
// have named limits. A home that was lost is replaced by then.
const aloneRetryAfter = 2 * time.Second

// placeUnlimited places a request without asking a home: on a target that is warm and has
// named no limit, since only a home knows what others send to the rest. The caller must hold
// b.mu.
func (b *Board) placeUnlimited(r *placement.Request, service *routing.Service, candidates []placement.Candidate) placement.Decision {
	unlimited := slices.DeleteFunc(slices.Clone(candidates), func(c placement.Candidate) bool { return c.Limited || c.Cold })
	d := b.config.Placer.Place(r, service, unlimited)
	switch {
	case d.Refusal == nil || d.Refusal.Reason != verdict.NoTarget || len(unlimited) == len(candidates):
	case !slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return c.Limited }):
		now := time.Now()
		d.Refusal = b.coldRefusal(service.Name, fullTargets{}, b.warmAfter(b.config.Targets(service.Name), now), now)
	default:
		after := aloneRetryAfter + time.Duration(b.config.Random.Int64N(int64(retrySpread)))
		d.Refusal = verdict.New(verdict.NotRun, verdict.TargetLimited, "no daemon can be asked which targets have room").WithRetryAfter(after)
	}
	return d
}

// isFull reports whether a request was refused because the targets of a group have no room.
func isFull(refusal *verdict.Error) bool {
	return refusal != nil && (refusal.Reason == verdict.Overloaded || refusal.Reason == verdict.TargetLimited || refusal.Reason == verdict.TargetCold)
}

// limitRefusal returns why a placed request may not be sent because of the limits of its
// targets, or because they are cold, or nil. The caller must hold b.mu.
func (b *Board) limitRefusal(p *relay.Placement, now time.Time) *verdict.Error {
	if refusal := b.coldSendRefusal(p, now); refusal != nil {
		return refusal
	}
	d := &p.Decision
	if d.Limit > 0 && b.config.BootTime()-p.AskedAt > ratelimits.LeaveTime {
		return verdict.Newf(verdict.NotRun, verdict.TargetLimited, "the leave for target %s has expired", d.Target)
	}
	if b.lacksLeave(d, p.Incarnation, now) {
		return verdict.Newf(verdict.NotRun, verdict.TargetLimited, "target %s has named a limit", d.Target)
	}
	for _, helper := range p.HelperIncarnations {
		if b.lacksLeave(d, helper, now) {
			return verdict.Newf(verdict.NotRun, verdict.TargetLimited, "helper %s has named a limit", helper.ID)
		}
	}
	return nil
}

// lacksLeave reports whether a target of a decision is limited or cold and no home has given
// leave for a request there. The caller must hold b.mu.
func (b *Board) lacksLeave(d *placement.Decision, i replicas.Incarnation, now time.Time) bool {
	if b.lacksColdLeave(d, i.ID, now) {
		return true
	}
	if d.Limit > 0 && i.ID == d.Target {
		return false
	}
	rate, _ := b.limits.Rate(i, now)
	return rate > 0
}

// chargeLimit charges a dispatch that is new to this daemon to the limit of its target, and to
// its rate while it is cold. One
// that is repeated after its first event was sent before. The caller must hold b.mu.
func (b *Board) chargeLimit(d *inflight.Dispatch, now time.Time) {
	if d.Prefilled {
		return
	}
	if target, ok := b.config.Listed(d.Parts[0].Target); ok {
		b.limits.Take(target.Incarnation(), now)
		b.chargeCold(&target, now)
	}
}

// chargeOrder charges an order that keeps running work alive to the limit of its target,
// here and at the homes.
func (b *Board) chargeOrder(i replicas.Incarnation, now time.Time) {
	b.mu.Lock()
	b.limits.Take(i, now)
	b.mu.Unlock()
	b.config.Messenger.RecordUse(b.homesOfTarget(i.ID), i)
}

// isHome reports whether this daemon decides for a target. The caller must hold b.mu.
func (b *Board) isHome(id names.Target) bool {
	target, ok := b.config.Listed(id)
	if !ok {
		return false
	}
	return slices.Contains(b.config.Homes(b.groupOf(&target)).Deciders, b.config.Self)
}

// incarnationOf returns the start of a target in a list that is sorted by ID. It is unknown
// if the target is not listed.
func incarnationOf(targets []replicas.Target, id names.Target) replicas.Incarnation {
	at, ok := find(targets, id)
	if !ok {
		return replicas.Incarnation{ID: id}
	}
	return targets[at].Incarnation()
}

// LimitedCount returns the number of targets that have named a limit.
func (b *Board) LimitedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Len()
}

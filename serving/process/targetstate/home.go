package targetstate

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/health"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/serving/process/dispatchsync"
)

const (
	// RefreshInterval is the interval at which a daemon repeats its dispatches to
	// the homes. A daemon that has become a home thus soon knows all of them.
	RefreshInterval = time.Second
	// lease is how long a home counts a dispatch that is not repeated.
	lease = 2500 * time.Millisecond
	// homeUnresponsiveTimeout is how long a target with pending answers may send
	// nothing, as far as a home knows.
	homeUnresponsiveTimeout = health.UnresponsiveTimeout + RefreshInterval
)

// PeerSink returns the sink for the messages of other daemons.
func (b *Board) PeerSink() PeerSink { return PeerSink{board: b} }

// PeerSink is the part of a home: it places the requests of other daemons and records
// the progress of their dispatches.
type PeerSink struct{ board *Board }

// Place implements dispatchsync.Sink.
func (p PeerSink) Place(k inflight.Key, a *dispatchsync.Ask) dispatchsync.Answer {
	return p.board.decide(a, k.Host, func(d placement.Decision, now time.Time) {
		p.board.beginLocked(&inflight.Dispatch{Key: k, Parts: d.Parts, MaxDuration: min(a.Request.TimeLeft, lease)}, now)
	})
}

// Begin implements dispatchsync.Sink.
func (p PeerSink) Begin(d inflight.Dispatch, idle time.Duration) {
	if len(d.Parts) == 0 {
		return
	}
	now := time.Now()
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	p.board.beginLocked(&d, now)
	if idle >= 0 {
		p.board.health.RecordActivity(d.Parts[0].Target, now.Add(-idle))
	}
}

// FirstEvent implements dispatchsync.Sink.
func (p PeerSink) FirstEvent(k inflight.Key) { p.board.recordFirstEvent(k) }

// End implements dispatchsync.Sink.
func (p PeerSink) End(k inflight.Key) {
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	p.board.work.End(k, time.Now())
}

// RecordOutcome implements dispatchsync.Sink.
func (p PeerSink) RecordOutcome(id names.Target, o dispatchsync.Outcome) {
	p.board.recordOutcome(id, o, "")
}

// RecordLeaving implements dispatchsync.Sink. A target that is not listed is ignored, so
// that peers cannot fill the table.
func (p PeerSink) RecordLeaving(i replicas.Incarnation, from names.Host) {
	if _, ok := p.board.config.Listed(i.ID); ok {
		p.board.recordLeaving(i, source{peer: from})
	}
}

// otherHomes returns the homes of a group if this daemon is none of them and knows the
// members, else nil.
func (b *Board) otherHomes(g homes.Group) []names.Host {
	selected := b.config.Homes(g)
	if slices.Contains(selected.Listeners, b.config.Self) || slices.Contains(selected.Deciders, b.config.Self) {
		return nil
	}
	return selected.Deciders
}

// decide places a request on the targets of a group by the work that this daemon
// knows. It calls begin with the lock of the board held if the request is placed.
func (b *Board) decide(a *dispatchsync.Ask, from names.Host, begin func(placement.Decision, time.Time)) dispatchsync.Answer {
	if !a.Redirected {
		if others := b.otherHomes(a.Group); len(others) > 0 {
			return dispatchsync.Answer{Homes: others}
		}
	}
	service := b.config.Service(a.Group.Service)
	if service == nil {
		return dispatchsync.Answer{UnknownService: true}
	}
	targets := b.groupTargets(b.config.Targets(a.Group.Service), a.Group)
	b.recordClaims(a.Limits, from)
	b.recordColdClaims(a.Cold, from)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	rule := ruleOf(a)
	usable := b.eligible(targets, rule)
	if len(usable) == 0 && len(targets) > 0 {
		return dispatchsync.Answer{Decision: placement.Decision{Refusal: b.placeRefusalLocked(centresOf(targets), rule)}, LimitsKnown: true}
	}
	a.Request.Returned = b.refused.Returned(a.Request.Fingerprint, now)
	candidates := b.candidates(usable, a.Avoid, now, "")
	answer := dispatchsync.Answer{Decision: b.placeWithinLimits(a, service, targets, candidates, now), LimitsKnown: true}
	if a.Group.Groups > 1 {
		answer.Pressure = pressure(candidates)
	}
	b.recordDecision(&a.Request, &answer.Decision, now)
	if answer.Decision.Refusal == nil {
		begin(answer.Decision, now)
	}
	return answer
}

// groupTargets returns the targets of a group among those of its service. The targets of
// a group are computed once for each list.
func (b *Board) groupTargets(targets []replicas.Target, g homes.Group) []replicas.Target {
	if g.Groups <= 1 || len(targets) == 0 {
		return targets
	}
	b.groupsMu.Lock()
	defer b.groupsMu.Unlock()
	if cached, ok := b.groups[g]; ok && cached.list == &targets[0] && cached.length == len(targets) {
		return cached.members
	}
	var members []replicas.Target
	for i := range targets {
		if homes.GroupOf(targets[i].ID, g.Groups) == g.Index {
			members = append(members, targets[i])
		}
	}
	if len(b.groups) >= maxCachedGroups {
		clear(b.groups)
	}
	b.groups[g] = groupMembers{list: &targets[0], length: len(targets), members: members}
	return members
}

// maxCachedGroups bounds the groups whose targets are cached. A daemon is a home of a few.
const maxCachedGroups = 64

// groupMembers holds the targets of a group as of a list, which is not changed once it is
// published.
type groupMembers struct {
	list    *replicas.Target
	length  int
	members []replicas.Target
}

// pressure returns the mean prefill backlog in seconds plus the mean answers per slot.
func pressure(candidates []placement.Candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum := 0.0
	for i := range candidates {
		c := &candidates[i]
		sum += c.Load.Backlog.Seconds() + float64(c.Load.Requests)/float64(max(c.Slots, 1))
	}
	return sum / float64(len(candidates))
}

// Refresh repeats the dispatches of this daemon to the homes of their groups. It is
// called every RefreshInterval.
func (b *Board) Refresh() {
	type repetition struct {
		to       []names.Host
		dispatch inflight.Dispatch
		idle     time.Duration
	}
	var list []repetition
	b.mu.Lock()
	now := time.Now() // after the wait for the lock, in which targets may have sent something
	for _, own := range b.own {
		r := repetition{dispatch: own.leased(now), idle: noActivity}
		if !own.lastActivity.IsZero() {
			r.idle = now.Sub(own.lastActivity)
		}
		r.to = without(b.config.Homes(own.group).Listeners, b.config.Self)
		list = append(list, r)
	}
	b.mu.Unlock()
	for i := range list {
		b.config.Messenger.Begin(list[i].to, &list[i].dispatch, list[i].idle)
	}
}

// leased returns the dispatch as it is told to homes at now.
func (o *ownDispatch) leased(now time.Time) inflight.Dispatch {
	d := o.dispatch
	d.MaxDuration = min(max(o.ends.Sub(now), 0), lease)
	return d
}

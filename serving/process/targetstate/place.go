package targetstate

import (
	"cmp"
	"context"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/dispatchsync"
	"carobspoke.example/serving/request/relay"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// homeRetryInterval is how long a home that did not answer is not asked again.
	homeRetryInterval = 3 * time.Second
	// maxReplacements bounds the answers of homes that name a target which this
	// daemon does not list. Each is followed by another question.
	maxReplacements = 2
	// maxAvoided bounds the targets to avoid that a question names.
	maxAvoided = 8
	// maxUnusableNamed bounds the targets that a question excludes because of what
	// they have stated. At some 15 bytes each they leave the question within a network
	// packet.
	maxUnusableNamed = 32
	// pressureValidity is how long the load of a group that its home reported is
	// used to choose among groups.
	pressureValidity = 2 * time.Second
)

// errNoHome is returned if no home of a group has placed a request.
var errNoHome = errors.New("targetstate: no home placed the request")

// ownDispatch is a dispatch of this daemon.
type ownDispatch struct {
	group    homes.Group
	dispatch inflight.Dispatch
	// ends is when the dispatch must have ended.
	ends time.Time
	// lastActivity is when the target last sent something; zero if it has sent
	// nothing.
	lastActivity time.Time
	// centres holds the data centres of its targets when it was placed.
	centres map[names.Target]names.DataCentre
	// sent is true once the request may have been written to its target.
	sent bool
}

// groupPressure is the load of a group as its home reported it.
type groupPressure struct {
	value float64
	at    time.Time
}

// Place implements relay.Board. It asks a home of a group of the service's targets. If
// no home answers, it places the request by what this daemon knows.
func (b *Board) Place(ctx context.Context, r *placement.Request, service *routing.Service) (*relay.Placement, error) {
	targets := b.config.Targets(service.Name)
	reach := b.extentOf(r, service.Name, targets)
	if reach.refusal != nil {
		return nil, reach.refusal
	}
	if refusal := b.refuseAll(r, service, targets, &reach.rule); refusal != nil {
		return nil, refusal
	}
	groups := homes.Groups(len(targets))
	chosen, other := b.chooseGroups(service.Name, groups, &reach)
	d, err := b.placeInGroup(ctx, r, homes.Group{Service: service.Name, Index: chosen, Groups: groups}, targets, &reach)
	if err == nil && other != chosen && (isFull(d.decision.Refusal) || refusedAsEvacuated(d.decision.Refusal)) {
		d, err = b.placeInGroup(ctx, r, homes.Group{Service: service.Name, Index: other, Groups: groups}, targets, &reach)
	}
	if err != nil {
		alone := *r
		alone.Exclude = slices.Concat(r.Exclude, b.unusable(targets))
		d = b.placeAlone(&alone, service, targets, &reach)
	}
	if d.decision.Refusal != nil {
		return nil, d.decision.Refusal
	}
	p := placed(&d, targets)
	b.recordCentres(p, targets)
	return p, nil
}

// keyedDecision is a decision with the key of its dispatch.
type keyedDecision struct {
	key      inflight.Key
	decision placement.Decision
	// askedAt is when the home was asked, by Config.BootTime.
	askedAt time.Duration
}

// chooseGroups returns the group to ask first, and the one to ask if that refuses, among those
// that a request may reach.
func (b *Board) chooseGroups(service names.Service, groups int, reach *extent) (chosen, other int) {
	if groups <= 1 {
		return 0, 0
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	pressure := func(index int) float64 {
		p := b.pressure[homes.Group{Service: service, Index: index, Groups: groups}]
		if now.Sub(p.at) > pressureValidity {
			return 0
		}
		return p.value
	}
	if !reach.restricted {
		return homes.Choose(groups, pressure, b.config.Random)
	}
	chosen, other = homes.Choose(len(reach.groups), func(at int) float64 { return pressure(reach.groups[at]) }, b.config.Random)
	return reach.groups[chosen], reach.groups[other]
}

// placeInGroup asks the homes of a group in turn. It returns errNoHome if none places
// or refuses the request.
func (b *Board) placeInGroup(ctx context.Context, r *placement.Request, g homes.Group, targets []replicas.Target, reach *extent) (keyedDecision, error) {
	selected := b.config.Homes(g)
	q := &question{request: *r, group: g, targets: targets, extent: *reach, listeners: selected.Listeners, unusable: b.unusable(targets)}
	for _, home := range selected.Deciders {
		if b.skipped(home) {
			continue
		}
		d, named, err := b.askUntilListed(ctx, q, home)
		if err == nil {
			return d, nil
		}
		q.redirected = true
		for _, other := range named {
			if b.skipped(other) {
				continue
			}
			if d, _, err := b.askUntilListed(ctx, q, other); err == nil {
				return d, nil
			}
		}
		q.redirected = false
	}
	return keyedDecision{}, errors.WithStack(errNoHome)
}

// question is what a daemon asks the homes of a group.
type question struct {
	request    placement.Request
	group      homes.Group
	targets    []replicas.Target
	extent     extent
	listeners  []names.Host
	redirected bool
	// unusable holds the listed targets that must not get the request because of
	// what they have stated, the most important ones first.
	unusable []names.Target
}

// errRedirected is returned for a daemon that is no home of the group.
var errRedirected = errors.New("targetstate: the daemon is no home of the group")

// askUntilListed asks a home until it answers with targets that this daemon lists. If the
// asked daemon is no home, it returns errRedirected and the hosts that are, as that daemon
// knows them.
func (b *Board) askUntilListed(ctx context.Context, q *question, home names.Host) (keyedDecision, []names.Host, error) {
	for range maxReplacements + 1 {
		d, named, err := b.askHome(ctx, q, home)
		if err != nil {
			return keyedDecision{}, named, err
		}
		rejected, outside := b.rejectedTargets(&d.decision, q)
		if len(rejected) == 0 {
			return d, nil, nil
		}
		// These targets are leaving, gone or out of reach, have asked this daemon for
		// time or have named it a limit, which the home does not know.
		b.End(d.key, d.decision.Target)
		q.request.Exclude = append(slices.Clone(q.request.Exclude), rejected...)
		if outside {
			b.logRejected(home, q, &d.decision)
			q.request.Exclude = append(q.request.Exclude, b.outOfReach(q, maxUnusableNamed-min(len(q.unusable), maxUnusableNamed))...)
		}
	}
	return keyedDecision{}, nil, errors.WithStack(errNoHome)
}

// askHome asks one home, which may be this daemon, and counts the dispatch if the
// request is placed. It returns an error if the home did not answer or cannot decide, with
// the hosts to ask instead if it named some.
func (b *Board) askHome(ctx context.Context, q *question, home names.Host) (keyedDecision, []names.Host, error) {
	key := b.newKey()
	asked, askedBoot := time.Now(), b.config.BootTime()
	ask := dispatchsync.Ask{Group: q.group, Request: q.request, Redirected: q.redirected, Evacuated: q.extent.evacuated}
	ask.Request.Exclude = slices.Concat(q.request.Exclude, q.unusable)
	if home == b.config.Self {
		d, err := b.decideOwn(key, &ask, without(q.listeners, home))
		d.askedAt = askedBoot
		return d, nil, err
	}
	ask.Request.Exclude = ask.Request.Exclude[:min(len(ask.Request.Exclude), len(q.request.Exclude)+maxUnusableNamed)]
	ask.Avoid = b.failingTargets(q.group)
	ask.Limits, ask.Cold = b.claims(q.group), b.coldClaims(q.group)
	answer, err := b.config.Messenger.Ask(ctx, home, key.Number, &ask)
	if err != nil {
		b.homeUnanswered(home, q.group, err)
		b.config.Messenger.End(without(q.listeners, b.config.Self), key.Number) // the home may have counted it
		return keyedDecision{}, nil, err
	}
	if len(answer.Homes) > 0 {
		return keyedDecision{}, answer.Homes, errors.WithStack(errRedirected)
	}
	b.recordPressure(q.group, answer.Pressure)
	d := keyedDecision{key: key, decision: answer.Decision, askedAt: askedBoot}
	switch refusal := answer.Decision.Refusal; {
	case answer.UnknownService || refusal != nil && refusal.Reason == verdict.NoTarget:
		return keyedDecision{}, nil, errors.WithStack(errNoHome) // this daemon may know more
	case refusal != nil && b.rejectsRefusal(refusal, q):
		return keyedDecision{}, nil, errors.WithStack(errNoHome)
	case refusal != nil:
		return d, nil, nil
	case len(answer.Decision.Parts) == 0:
		return keyedDecision{}, nil, errors.WithStack(errNoHome)
	}
	b.learnLimit(q, &ask, &answer, home, asked)
	now := time.Now()
	b.mu.Lock()
	leased := b.beginOwn(key, answer.Decision, q.group, q.request.TimeLeft, now)
	b.mu.Unlock()
	b.config.Messenger.Begin(without(without(q.listeners, home), b.config.Self), &leased, noActivity)
	return d, nil, nil
}

// decideOwn places a request of this daemon as a home, and tells the other listeners.
func (b *Board) decideOwn(k inflight.Key, a *dispatchsync.Ask, tell []names.Host) (keyedDecision, error) {
	var leased inflight.Dispatch
	a.Redirected = true // there is no other daemon to name
	answer := b.decide(a, "", func(d placement.Decision, now time.Time) {
		leased = b.beginOwn(k, d, a.Group, a.Request.TimeLeft, now)
	})
	if answer.UnknownService {
		return keyedDecision{}, errors.WithStack(errNoHome)
	}
	if answer.Decision.Refusal == nil {
		b.config.Messenger.Begin(tell, &leased, noActivity)
	}
	return keyedDecision{key: k, decision: answer.Decision}, nil
}

// beginOwn counts a dispatch of this daemon, and returns it as it is told to homes. The
// caller must hold b.mu.
func (b *Board) beginOwn(k inflight.Key, d placement.Decision, g homes.Group, timeLeft time.Duration, now time.Time) inflight.Dispatch {
	own := &ownDispatch{group: g, dispatch: inflight.Dispatch{Key: k, Parts: d.Parts, MaxDuration: timeLeft}, ends: now.Add(timeLeft)}
	b.own[k.Number] = own
	b.beginLocked(&own.dispatch, now)
	return own.leased(now)
}

// noActivity is the idle time of a dispatch for which the target has sent nothing.
const noActivity = -1

// beginLocked adds a dispatch to the work in flight. The caller must hold b.mu.
func (b *Board) beginLocked(d *inflight.Dispatch, now time.Time) {
	if len(d.Parts) > 0 && !b.work.Has(d.Key) {
		id := d.Parts[0].Target
		b.health.RequestSent(id, b.work.Load(id, now).Pending, now)
		b.chargeLimit(d, now)
	}
	b.work.Begin(*d, now)
}

// placeAlone places a request by what this daemon knows.
func (b *Board) placeAlone(r *placement.Request, service *routing.Service, targets []replicas.Target, reach *extent) keyedDecision {
	groups := homes.Groups(len(targets))
	g := homes.Group{Service: service.Name, Groups: groups}
	key := b.newKey()
	now := time.Now()
	var leased inflight.Dispatch
	b.mu.Lock()
	decision := b.placeUnlimited(r, service, b.candidates(b.eligible(targets, &reach.rule), nil, now, string(b.config.Self)))
	if decision.Refusal == nil {
		g.Index = homes.GroupOf(decision.Target, groups)
		leased = b.beginOwn(key, decision, g, r.TimeLeft, now)
	}
	b.mu.Unlock()
	if decision.Refusal == nil {
		b.config.Messenger.Begin(without(b.config.Homes(g).Listeners, b.config.Self), &leased, noActivity)
	}
	return keyedDecision{key: key, decision: decision}
}

func (b *Board) newKey() inflight.Key {
	return inflight.Key{Host: b.config.Self, Incarnation: b.config.Incarnation, Number: b.lastNumber.Add(1)}
}

// skipped reports whether a home is not asked because it did not answer recently.
func (b *Board) skipped(home names.Host) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.skipUntil[home])
}

func (b *Board) homeUnanswered(home names.Host, g homes.Group, err error) {
	b.mu.Lock()
	b.skipUntil[home] = time.Now().Add(homeRetryInterval)
	b.mu.Unlock()
	b.config.Log.Info("home did not answer", zap.String("home", string(home)), zap.String("service", string(g.Service)),
		zap.Int("group", g.Index), zap.String("error", err.Error()))
}

func (b *Board) recordPressure(g homes.Group, value float64) {
	if g.Groups <= 1 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pressure[g] = groupPressure{value: value, at: time.Now()}
}

// failingTargets returns targets of a group that fail at this daemon.
func (b *Board) failingTargets(g homes.Group) []names.Target {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []names.Target
	for _, id := range b.health.ExcludedTargets(now) {
		if len(list) < maxAvoided && homes.GroupOf(id, g.Groups) == g.Index {
			list = append(list, id)
		}
	}
	return list
}

// without returns the hosts of a list other than host.
func without(list []names.Host, host names.Host) []names.Host {
	return slices.DeleteFunc(slices.Clone(list), func(h names.Host) bool { return h == host })
}

// placed returns the result of a placement with the targets' addresses.
func placed(d *keyedDecision, targets []replicas.Target) *relay.Placement {
	listed := func(id names.Target) replicas.Target {
		at, ok := find(targets, id)
		if !ok {
			return replicas.Target{ID: id}
		}
		return targets[at]
	}
	target := listed(d.decision.Target)
	p := &relay.Placement{Key: d.key, Decision: d.decision, AskedAt: d.askedAt, Address: target.Address, Incarnation: target.Incarnation()}
	for _, h := range d.decision.Helpers {
		helper := listed(h.Target)
		p.Helpers = append(p.Helpers, helper.Address)
		p.HelperIncarnations = append(p.HelperIncarnations, helper.Incarnation())
	}
	return p
}

// find returns the index of a target in a list that is sorted by ID, and whether it is
// listed.
func find(targets []replicas.Target, id names.Target) (int, bool) {
	return slices.BinarySearchFunc(targets, id, func(t replicas.Target, id names.Target) int { return cmp.Compare(t.ID, id) })
}

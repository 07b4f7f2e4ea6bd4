package targetstate

import (
	"context"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/process/dispatchsync"
	"carobspoke.example/serving/request/relay"
	"go.uber.org/zap"
)

const (
	// minPlaceRetryAfter and maxPlaceRetryAfter bound the random retry delay of callers whose
	// requests no data centre may take. Only operators end that, so that callers gain nothing
	// by returning at once.
	minPlaceRetryAfter = time.Second
	maxPlaceRetryAfter = 3 * time.Second
	// takenBackDoubt is how long after a data centre was taken back a home may still hold it
	// as evacuated.
	takenBackDoubt = 5 * time.Second
	// maxEvacuatedNamed bounds the data centres that a question names, so that it stays
	// within a network packet.
	maxEvacuatedNamed = 32
)

// placeRule says which data centres a request may reach, beside those that this daemon knows
// as evacuated.
type placeRule struct {
	// regions are the regions that the request may reach; empty if there is no
	// restriction.
	regions []names.Region
	// evacuated are data centres that a peer knows as evacuated.
	evacuated []names.DataCentre
}

// isEvacuated reports whether a request must not reach a data centre because it is evacuated.
func (b *Board) isEvacuated(dc names.DataCentre, rule *placeRule) bool {
	return b.config.Evacuated(dc) || slices.Contains(rule.evacuated, dc)
}

// inRegions reports whether a data centre is in one of the regions that a request may reach.
// One whose region is unknown is in none.
func (b *Board) inRegions(dc names.DataCentre, rule *placeRule) bool {
	if len(rule.regions) == 0 {
		return true
	}
	region := b.config.RegionOf(dc)
	return region != "" && slices.Contains(rule.regions, region)
}

// mayReach reports whether a request may reach a data centre.
func (b *Board) mayReach(dc names.DataCentre, rule *placeRule) bool {
	return !b.isEvacuated(dc, rule) && b.inRegions(dc, rule)
}

// eligible returns the targets of a list in data centres that a request may reach.
func (b *Board) eligible(targets []replicas.Target, rule *placeRule) []replicas.Target {
	known := make(map[names.DataCentre]bool)
	reached := 0
	for i := range targets {
		dc := targets[i].DataCentre
		may, ok := known[dc]
		if !ok {
			may = b.mayReach(dc, rule)
			known[dc] = may
		}
		if may {
			reached++
		}
	}
	if reached == len(targets) {
		return targets
	}
	list := make([]replicas.Target, 0, reached)
	for i := range targets {
		if known[targets[i].DataCentre] {
			list = append(list, targets[i])
		}
	}
	return list
}

// placeRefusal returns the refusal of a request that may reach none of some data centres.
func (b *Board) placeRefusal(centres []names.DataCentre, rule *placeRule) *verdict.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placeRefusalLocked(centres, rule)
}

// placeRefusalLocked is placeRefusal for a caller that holds b.mu.
func (b *Board) placeRefusalLocked(centres []names.DataCentre, rule *placeRule) *verdict.Error {
	after := b.placeRetryAfter()
	if !slices.ContainsFunc(centres, func(dc names.DataCentre) bool { return b.inRegions(dc, rule) }) {
		return verdict.New(verdict.NotRun, verdict.RegionNotAllowed, "no target of the service is in a region that the request may reach").WithRetryAfter(after)
	}
	return verdict.New(verdict.NotRun, verdict.Evacuated, "the data centres of the service's targets are evacuated").WithRetryAfter(after)
}

// placeRetryAfter returns a random retry delay of callers. The caller must hold b.mu.
func (b *Board) placeRetryAfter() time.Duration {
	return minPlaceRetryAfter + time.Duration(b.config.Random.Int64N(int64(maxPlaceRetryAfter-minPlaceRetryAfter)))
}

// sites are the data centres of the targets of a service, by a list that is not changed once
// it is published.
type sites struct {
	list    *replicas.Target
	length  int
	centres []names.DataCentre
	// groups holds the indexes of the groups that have targets in each data centre.
	groups map[names.DataCentre][]int
}

// maxCachedSites bounds the services whose data centres are cached.
const maxCachedSites = 256

// sitesOf returns the data centres of the targets of a service. They are computed once for
// each list.
func (b *Board) sitesOf(service names.Service, targets []replicas.Target) *sites {
	if len(targets) == 0 {
		return &sites{}
	}
	b.groupsMu.Lock()
	defer b.groupsMu.Unlock()
	if cached, ok := b.sites[service]; ok && cached.list == &targets[0] && cached.length == len(targets) {
		return cached
	}
	s := &sites{list: &targets[0], length: len(targets), groups: make(map[names.DataCentre][]int)}
	count := homes.Groups(len(targets))
	for i := range targets {
		dc, group := targets[i].DataCentre, homes.GroupOf(targets[i].ID, count)
		if _, ok := s.groups[dc]; !ok {
			s.centres = append(s.centres, dc)
		}
		if !slices.Contains(s.groups[dc], group) {
			s.groups[dc] = append(s.groups[dc], group)
		}
	}
	if len(b.sites) >= maxCachedSites {
		clear(b.sites)
	}
	b.sites[service] = s
	return s
}

// extent is the part of a service that a request may reach.
type extent struct {
	rule placeRule
	// groups are the groups with targets that it may reach, all if restricted is false.
	groups     []int
	restricted bool
	// evacuated are the data centres with targets of the service that this daemon knows as
	// evacuated.
	evacuated []names.DataCentre
	// refusal is the refusal of a request that may reach no target of the service, else nil.
	refusal *verdict.Error
}

// extentOf returns the part of a service that a request may reach.
func (b *Board) extentOf(r *placement.Request, service names.Service, targets []replicas.Target) extent {
	s := b.sitesOf(service, targets)
	e := extent{rule: placeRule{regions: r.Regions}}
	for _, dc := range s.centres {
		if b.config.Evacuated(dc) && len(e.evacuated) < maxEvacuatedNamed {
			e.evacuated = append(e.evacuated, dc)
		}
		if !b.mayReach(dc, &e.rule) {
			e.restricted = true
		}
	}
	if !e.restricted {
		return e
	}
	for _, dc := range s.centres {
		if !b.mayReach(dc, &e.rule) {
			continue
		}
		for _, group := range s.groups[dc] {
			if !slices.Contains(e.groups, group) {
				e.groups = append(e.groups, group)
			}
		}
	}
	if len(e.groups) == 0 {
		e.refusal = b.placeRefusal(s.centres, &e.rule)
	}
	return e
}

// rejectsRefusal reports whether this daemon knows better than a home which has refused a
// request because of data centres: the home has other settings or another list, or has not
// heard yet that a data centre was taken back.
func (b *Board) rejectsRefusal(refusal *verdict.Error, q *question) bool {
	switch refusal.Reason {
	case verdict.RegionNotAllowed:
		return true
	case verdict.Evacuated:
		for _, dc := range b.sitesOf(q.group.Service, q.targets).centres {
			if b.mayReach(dc, &q.extent.rule) && time.Since(b.config.TakenBack(dc)) < takenBackDoubt {
				return true
			}
		}
	default:
	}
	return false
}

// outOfReach returns targets of a question's group, up to a number, that its request must not
// reach because of their data centres. A home of an earlier build has to be told their names.
func (b *Board) outOfReach(q *question, most int) []names.Target {
	var list []names.Target
	for i := range q.targets {
		t := &q.targets[i]
		if len(list) >= most {
			break
		}
		if homes.GroupOf(t.ID, q.group.Groups) == q.group.Index && !b.mayReach(t.DataCentre, &q.extent.rule) && !slices.Contains(q.request.Exclude, t.ID) {
			list = append(list, t.ID)
		}
	}
	return list
}

// recordCentres records the data centres of a placement's targets, which may be removed from
// the list before the request is sent.
func (b *Board) recordCentres(p *relay.Placement, targets []replicas.Target) {
	centres := make(map[names.Target]names.DataCentre, 1+len(p.Decision.Helpers))
	record := func(id names.Target) {
		if at, ok := find(targets, id); ok {
			centres[id] = targets[at].DataCentre
		}
	}
	record(p.Decision.Target)
	for _, h := range p.Decision.Helpers {
		record(h.Target)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if own, ok := b.own[p.Key.Number]; ok {
		own.centres = centres
	}
}

// evacuatedTarget reports whether a target is in an evacuated data centre, as listed or as it
// was when a dispatch of this daemon was placed there; own may be nil. The caller must hold
// b.mu.
func (b *Board) evacuatedTarget(id names.Target, own *ownDispatch) bool {
	if own != nil {
		if dc, ok := own.centres[id]; ok && b.config.Evacuated(dc) {
			return true
		}
	}
	target, ok := b.config.Listed(id)
	return ok && b.config.Evacuated(target.DataCentre)
}

// evacuationRefusal returns why a placed request may not be sent because of an evacuation, or
// nil. The caller must hold b.mu.
func (b *Board) evacuationRefusal(p *relay.Placement) *verdict.Error {
	own := b.own[p.Key.Number]
	if b.evacuatedTarget(p.Incarnation.ID, own) {
		return b.evacuatedRefusal(p.Incarnation.ID)
	}
	for _, helper := range p.HelperIncarnations {
		if b.evacuatedTarget(helper.ID, own) {
			return b.evacuatedRefusal(helper.ID)
		}
	}
	return nil
}

// evacuatedRefusal returns the refusal of a request for a target in an evacuated data centre.
// The caller must hold b.mu.
func (b *Board) evacuatedRefusal(id names.Target) *verdict.Error {
	return verdict.Newf(verdict.NotRun, verdict.Evacuated, "the data centre of target %s is evacuated", id).WithRetryAfter(b.placeRetryAfter())
}

// mayReserve reports whether an order that reserves memory may be sent to a target. In an
// evacuated data centre only the reservations of requests that were sent are renewed.
func (b *Board) mayReserve(ctx context.Context, id names.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.ownOf(ctx)
	return own != nil && own.sent || !b.evacuatedTarget(id, own)
}

// inEvacuated reports whether a target is in an evacuated data centre, as listed or as it was
// when the dispatch that a context names was placed there.
func (b *Board) inEvacuated(ctx context.Context, id names.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evacuatedTarget(id, b.ownOf(ctx))
}

// ownOf returns the dispatch of this daemon that the context of an order or a probe names; nil
// if it names none that runs. The caller must hold b.mu.
func (b *Board) ownOf(ctx context.Context) *ownDispatch {
	key, ok := relay.DispatchOf(ctx)
	if !ok {
		return nil
	}
	return b.own[key.Number]
}

// logRejected logs that a home has named targets that this daemon does not use because of their
// data centres.
func (b *Board) logRejected(home names.Host, q *question, d *placement.Decision) {
	b.config.Log.Info("home names a target that the request must not reach", zap.String("home", string(home)),
		zap.String("target", string(d.Target)), zap.String("service", string(q.group.Service)))
}

// ruleOf returns the rule for a question of another daemon.
func ruleOf(a *dispatchsync.Ask) *placeRule {
	return &placeRule{regions: a.Request.Regions, evacuated: a.Evacuated}
}

// centresOf returns the data centres of some targets.
func centresOf(targets []replicas.Target) []names.DataCentre {
	var list []names.DataCentre
	for i := range targets {
		if !slices.Contains(list, targets[i].DataCentre) {
			list = append(list, targets[i].DataCentre)
		}
	}
	return list
}

// refusedAsEvacuated reports whether a request was refused because data centres are evacuated.
func refusedAsEvacuated(refusal *verdict.Error) bool {
	return refusal != nil && refusal.Reason == verdict.Evacuated
}

package targetstate

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/warmup"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/dispatchsync"
	"carobspoke.example/serving/request/relay"
	"go.uber.org/zap"
)

const (
	// dutyInterval is how long the homes of a group that were looked up are used. With
	// hundreds of members a look-up takes some 20 µs.
	dutyInterval = 250 * time.Millisecond
	// wholeSweepInterval is the interval at which all targets are looked at, and not only
	// cold ones: those that get no requests may have become cold.
	wholeSweepInterval = 2 * time.Second
	// dutyRetention is how long the homes of a group that gets no requests are followed as
	// closely as those of the others.
	dutyRetention = time.Minute
	// idleDutyInterval is the interval at which the homes of the other groups are looked up,
	// and maxIdleLookUps bounds these look-ups in a sweep. With hundreds of members they take
	// some 0.2% of a core.
	idleDutyInterval = 2 * time.Second
	maxIdleLookUps   = 50
	// settleTime is how long after its start a daemon does not follow changes of homes,
	// since it asks its seeds until homes.JoinTime.
	settleTime = homes.JoinTime + RefreshInterval
	// minColdRetryAfter is the shortest retry delay of callers that are refused because all
	// targets are cold.
	minColdRetryAfter = 300 * time.Millisecond
)

// coldState is a board's state of cold targets. The lock of the board guards it.
type coldState struct {
	table *warmup.Table
	// services holds the services whose targets are followed, with what they publish.
	services map[names.Service]*followedService
	duties   map[homes.Group]*followedDuty
	// sweptAt is when all targets of the services were last looked at.
	sweptAt time.Time
	// refused counts the requests that were refused because all targets are cold.
	refused uint64
}

// followedService is a service with targets that may be cold. list and length identify the
// list of targets that was last observed, which is not changed once it is published.
type followedService struct {
	coldTime time.Duration
	coldRate float64
	warmup   warmup.Warmup
	list     *replicas.Target
	length   int
}

type followedDuty struct {
	warmup.Duty
	observedAt, usedAt time.Time
	// listedAt is when the group was last one of a known service.
	listedAt time.Time
}

// cold returns the state of cold targets; nil if no service has had any. The caller must hold
// b.mu.
func (b *Board) cold() *coldState { return b.coldTargets }

// follow returns the state of cold targets and what a service publishes about them; nil if
// the service sets no bound. The targets that the service has when it is first followed
// do not count as newly started. The caller must hold b.mu.
func (b *Board) follow(name names.Service, now time.Time) (*coldState, *warmup.Warmup) {
	service := b.config.Service(name)
	if service == nil || service.ColdRate <= 0 {
		return nil, nil
	}
	s := b.cold()
	if s == nil {
		s = &coldState{table: warmup.New(), services: make(map[names.Service]*followedService), duties: make(map[homes.Group]*followedDuty)}
		b.coldTargets = s
	}
	f, known := s.services[name]
	if !known {
		f = &followedService{}
		s.services[name] = f
	}
	if f.coldRate != service.ColdRate || f.coldTime != service.ColdTime {
		f.coldRate, f.coldTime = service.ColdRate, service.ColdTime
		f.warmup = warmup.Warmup{Time: service.ColdTime, Rates: warmup.RatesOf(service.ColdRate, b.config.ColdOverage, b.config.ColdSlack)}
	}
	if !known {
		s.observeList(f, b.config.Targets(name), false, now)
	}
	return s, &f.warmup
}

// observeList observes the listed targets of a service, unless the list was observed before.
func (s *coldState) observeList(f *followedService, targets []replicas.Target, areNew bool, now time.Time) {
	if len(targets) == 0 || f.list == &targets[0] && f.length == len(targets) {
		return
	}
	f.list, f.length = &targets[0], len(targets)
	for i := range targets {
		s.table.Observe(&targets[i], &f.warmup, areNew, now)
	}
}

// isCold reports whether a listed target has not warmed up yet. The caller must hold b.mu.
func (b *Board) isCold(t *replicas.Target, now time.Time) bool { return b.coldLeft(t, now) > 0 }

// coldLeft returns how much longer a listed target is cold, zero if it is warm. The caller
// must hold b.mu.
func (b *Board) coldLeft(t *replicas.Target, now time.Time) time.Duration {
	s, w := b.follow(t.Service, now)
	if s == nil {
		return 0
	}
	s.table.Observe(t, w, true, now)
	return s.table.Left(t.Incarnation(), w, b.config.TakenBack(t.DataCentre), now)
}

// coldFlow returns what this daemon lets through to a target if it is cold. The caller must
// hold b.mu.
func (b *Board) coldFlow(t *replicas.Target, now time.Time) ratelimits.Flow {
	s, w := b.follow(t.Service, now)
	if s == nil {
		return ratelimits.Flow{}
	}
	d := b.duty(s, b.groupOf(t), now)
	return d.Flow(b.config.Self, w.Rates, now)
}

// duty returns what this daemon has to do for a group. The caller must hold b.mu.
func (b *Board) duty(s *coldState, g homes.Group, now time.Time) *followedDuty {
	d, ok := s.duties[g]
	if !ok {
		d = &followedDuty{}
		s.duties[g] = d
	}
	d.usedAt = now
	b.observeDuty(d, g, now)
	return d
}

// observeDuty looks up the homes of a group. The caller must hold b.mu.
func (b *Board) observeDuty(d *followedDuty, g homes.Group, now time.Time) {
	if now.Sub(d.observedAt) < dutyInterval {
		return
	}
	d.observedAt = now
	settled := now.Sub(time.Unix(0, int64(b.config.Incarnation))) > settleTime
	d.Observe(b.config.Self, b.config.Homes(g), b.config.FleetShare(), settled, now)
}

// coldWait returns the time until a home may place a request on a cold target, zero if it may
// now, and the requests per second that it lets through there. The caller must hold b.mu.
func (b *Board) coldWait(targets []replicas.Target, id names.Target, now time.Time) (time.Duration, float64) {
	at, ok := find(targets, id)
	if !ok {
		return 0, 0
	}
	flow := b.coldFlow(&targets[at], now)
	return b.cold().table.Wait(id, flow, now), flow.Rate
}

// chargeCold charges a request to a listed target, if the target is cold. The caller must hold
// b.mu.
func (b *Board) chargeCold(t *replicas.Target, now time.Time) {
	if b.coldLeft(t, now) > 0 {
		b.cold().table.Take(t.ID, b.coldFlow(t, now), now)
	}
}

// chargeColdOrder charges an order that keeps running work alive to the rate of its target,
// here and at the homes.
func (b *Board) chargeColdOrder(i replicas.Incarnation, now time.Time) {
	target, ok := b.config.Listed(i.ID)
	if !ok {
		return
	}
	b.mu.Lock()
	cold := b.coldLeft(&target, now) > 0
	if cold {
		b.chargeCold(&target, now)
	}
	limit, _ := b.limits.Rate(i, now)
	b.mu.Unlock()
	if cold && limit == 0 { // chargeOrder has told the homes otherwise
		b.config.Messenger.RecordUse(b.homesOfTarget(i.ID), i)
	}
}

// placeWarmFirst places a request on a warm target if one serves it well, else on any. Cold
// targets are slower, and take few requests a second, which are left to those that need them.
// The caller must hold b.mu.
func (b *Board) placeWarmFirst(r *placement.Request, service *routing.Service, usable []placement.Candidate) placement.Decision {
	isCold := func(c placement.Candidate) bool { return c.Cold }
	if !slices.ContainsFunc(usable, isCold) {
		return b.config.Placer.Place(r, service, usable)
	}
	warm := slices.DeleteFunc(slices.Clone(usable), isCold)
	if len(warm) == 0 {
		return b.config.Placer.Place(r, service, usable)
	}
	d := b.config.Placer.Place(r, service, warm)
	if serves(&d, r, warm) {
		return d
	}
	if other := b.config.Placer.Place(r, service, usable); other.Refusal == nil {
		return other
	}
	return d
}

// serves reports whether a decision serves a request well: a healthy target starts the answer
// to a prompt in time, or has a free slot for a call.
func serves(d *placement.Decision, r *placement.Request, candidates []placement.Candidate) bool {
	at := slices.IndexFunc(candidates, func(c placement.Candidate) bool { return c.Target == d.Target })
	if d.Refusal != nil || at < 0 {
		return false
	}
	c := &candidates[at]
	switch {
	case c.BreakerOpen || c.Unresponsive:
		return false
	case r.PromptTokens == 0:
		return c.Load.Requests < max(c.Slots, 1)
	default:
		return r.LatencyTarget == 0 || d.FirstEvent <= r.LatencyTarget
	}
}

// giveColdLeave reports whether a request is placed on a target that is cold as far as this
// daemon or the asking one knows, which makes the decision a leave. If this daemon knows the
// target as warm although it was told otherwise, it knows a later statement or has read the
// same one earlier. The caller must hold b.mu.
func (b *Board) giveColdLeave(a *dispatchsync.Ask, targets []replicas.Target, usable []placement.Candidate, id names.Target, now time.Time) bool {
	s, _ := b.follow(a.Group.Service, now)
	if s == nil {
		return false
	}
	if slices.ContainsFunc(usable, func(c placement.Candidate) bool { return c.Target == id && c.Cold }) {
		s.table.CountLeave(now)
		return true
	}
	i := incarnationOf(targets, id)
	return slices.ContainsFunc(a.Cold, func(c dispatchsync.ColdTarget) bool { return c.Incarnation == i })
}

// warmAfter returns the time until the first cold target of a list is warm, zero if none is
// cold. The caller must hold b.mu.
func (b *Board) warmAfter(targets []replicas.Target, now time.Time) time.Duration {
	first := time.Duration(0)
	for i := range targets {
		if left := b.coldLeft(&targets[i], now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// coldRefusal returns the refusal of a request for which no target is left but cold ones that
// have no room. Without a home that lets requests through, the caller is to return when a
// target is warm after left. The caller must hold b.mu.
func (b *Board) coldRefusal(service names.Service, full fullTargets, left time.Duration, now time.Time) *verdict.Error {
	after := left
	if full.rate > 0 {
		after = min(after, b.promises.Next(service, full.first, full.rate, now))
	}
	after = max(after, minColdRetryAfter) + time.Duration(b.config.Random.Int64N(int64(retrySpread)))
	if s := b.cold(); s != nil {
		s.refused++
	}
	return verdict.New(verdict.NotRun, verdict.TargetCold, "the targets of the service are cold and have no room").WithRetryAfter(after)
}

// coldSendRefusal returns why a placed request may not be sent because its targets are cold,
// or nil. The caller must hold b.mu.
func (b *Board) coldSendRefusal(p *relay.Placement, now time.Time) *verdict.Error {
	d := &p.Decision
	if d.ColdLeave && b.config.BootTime()-p.AskedAt > ratelimits.LeaveTime {
		return verdict.Newf(verdict.NotRun, verdict.TargetCold, "the leave for the cold target %s has expired", d.Target)
	}
	if b.lacksColdLeave(d, d.Target, now) {
		return verdict.Newf(verdict.NotRun, verdict.TargetCold, "target %s is cold", d.Target)
	}
	for _, helper := range p.HelperIncarnations {
		if b.lacksColdLeave(d, helper.ID, now) {
			return verdict.Newf(verdict.NotRun, verdict.TargetCold, "helper %s is cold", helper.ID)
		}
	}
	return nil
}

// lacksColdLeave reports whether a target of a decision is cold and no home has given leave
// for a request there. The caller must hold b.mu.
func (b *Board) lacksColdLeave(d *placement.Decision, id names.Target, now time.Time) bool {
	if d.ColdLeave && id == d.Target {
		return false
	}
	target, ok := b.config.Listed(id)
	return ok && b.isCold(&target, now)
}

// recordCold records what a target has stated about its warm-up in the answer to a request
// that was sent at sentAt.
func (b *Board) recordCold(i replicas.Incarnation, left time.Duration, sentAt time.Time, _ source) {
	b.updateCold(i.ID, func(t *warmup.Table, now time.Time) { t.RecordAnswer(i, left, sentAt, now) })
}

// recordColdClaims records what a daemon that asks this one knows of cold targets.
func (b *Board) recordColdClaims(claims []dispatchsync.ColdTarget, _ names.Host) {
	for _, c := range claims {
		b.updateCold(c.ID, func(t *warmup.Table, now time.Time) { t.RecordClaim(c.Incarnation, c.Left, now) })
	}
}

// updateCold changes what is known of a target, and logs the effect. A target that is not
// listed, or whose service sets no bound, is ignored.
func (b *Board) updateCold(id names.Target, update func(*warmup.Table, time.Time)) {
	target, ok := b.config.Listed(id)
	if !ok {
		return
	}
	now := time.Now()
	b.mu.Lock()
	var events []warmup.Event
	b.coldLeft(&target, now)
	if s, _ := b.follow(target.Service, now); s != nil {
		update(s.table, now)
		b.coldLeft(&target, now)
		events = s.table.TakeEvents()
	}
	b.mu.Unlock()
	b.logCold(events)
}

// logCold logs the targets that have become cold or warm.
func (b *Board) logCold(events []warmup.Event) {
	for _, e := range events {
		message := "target is warm"
		if e.Cold {
			message = "target is cold"
		}
		b.config.Log.Info(message, zap.String("target", string(e.ID)), zap.Int64("started", e.Started),
			zap.String("source", string(e.Source)), zap.Duration("left", e.Left))
	}
}

// coldClaims returns cold targets of a group that this daemon knows, as many as a question
// names, and follows the homes of the group.
func (b *Board) coldClaims(g homes.Group) []dispatchsync.ColdTarget {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s, _ := b.follow(g.Service, now)
	if s == nil {
		return nil
	}
	b.duty(s, g, now)
	var list []dispatchsync.ColdTarget
	for id := range s.table.Cold() {
		if homes.GroupOf(id, g.Groups) != g.Index {
			continue
		}
		target, ok := b.config.Listed(id)
		if !ok || target.Service != g.Service {
			continue
		}
		if left := b.coldLeft(&target, now); left > 0 {
			list = append(list, dispatchsync.ColdTarget{Incarnation: target.Incarnation(), Left: s.table.Claim(id, left, now)})
		}
		if len(list) == maxClaims {
			break
		}
	}
	return list
}

// sweepCold observes the targets and the homes, and drops the warm-up state that has ended.
// The caller must hold b.mu.
func (b *Board) sweepCold(now time.Time) {
	s := b.followAll(now)
	if s == nil {
		return
	}
	b.observeDuties(s, now)
	for name, f := range s.services {
		s.observeList(f, b.config.Targets(name), true, now)
	}
	if now.Sub(s.sweptAt) >= wholeSweepInterval {
		s.sweptAt = now
		b.sweepAllTargets(s, now)
	}
	for id := range s.table.Cold() {
		if t, ok := b.config.Listed(id); ok && b.isCold(&t, now) {
			d := b.duty(s, b.groupOf(&t), now)
			s.table.SetHome(id, b.coldFlow(&t, now), d.Decides(b.config.Self), now)
		}
	}
	if events := s.table.TakeEvents(); len(events) > 0 {
		go b.logCold(events) // not with the lock held
	}
}

// followAll follows the groups of all services whose targets may be cold, since this daemon may
// become a home of any of them. Only one that knows the homes before can tell that it replaces
// another. followAll returns nil if no service has had cold targets. The caller must hold b.mu.
func (b *Board) followAll(now time.Time) *coldState {
	for _, name := range b.config.Services() {
		s, _ := b.follow(name, now)
		if s == nil {
			continue
		}
		groups := homes.Groups(len(b.config.Targets(name)))
		for i := range groups {
			g := homes.Group{Service: name, Index: i, Groups: groups}
			d, ok := s.duties[g]
			if !ok {
				d = &followedDuty{}
				s.duties[g] = d
			}
			d.listedAt = now
		}
	}
	return b.cold()
}

// observeDuties looks up the homes of the groups that are followed, and drops groups that are
// neither used nor listed any more. The caller must hold b.mu.
func (b *Board) observeDuties(s *coldState, now time.Time) {
	idle := 0
	for g, d := range s.duties { // in random order, so that each idle group has its turn
		switch used := now.Sub(d.usedAt) <= dutyRetention; {
		case used:
			b.observeDuty(d, g, now)
		case d.listedAt.Before(now):
			delete(s.duties, g)
		case idle < maxIdleLookUps && now.Sub(d.observedAt) >= idleDutyInterval:
			idle++
			b.observeDuty(d, g, now)
		}
	}
}

// sweepAllTargets looks at all targets of services with cold targets. The caller must hold
// b.mu.
func (b *Board) sweepAllTargets(s *coldState, now time.Time) {
	for name, f := range s.services {
		targets := b.config.Targets(name)
		for i := range targets {
			t := &targets[i]
			s.table.Left(t.Incarnation(), &f.warmup, b.config.TakenBack(t.DataCentre), now)
		}
	}
	s.table.Sweep(func(id names.Target) bool { _, ok := b.config.Listed(id); return ok }, now)
}

// ColdStats are the numbers of a daemon that are about cold targets.
type ColdStats struct {
	// Targets is the number of targets that are cold, as far as the daemon knows.
	Targets int
	// Used and Allowed are the requests per second that the daemon, as a home, let through
	// to cold targets in the last second and may let through.
	Used, Allowed float64
	// Refused is the number of requests that the daemon has refused because all targets
	// are cold.
	Refused uint64
}

// ColdStats returns the numbers that are about cold targets.
func (b *Board) ColdStats() ColdStats {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.cold()
	if s == nil {
		return ColdStats{}
	}
	stats := ColdStats{Used: float64(s.table.LeavesPerSecond(now)), Refused: s.refused}
	for id := range s.table.Cold() {
		target, ok := b.config.Listed(id)
		if !ok || !b.isCold(&target, now) {
			continue
		}
		stats.Targets++
		if d := s.duties[b.groupOf(&target)]; d != nil && d.Decides(b.config.Self) {
			stats.Allowed += b.coldFlow(&target, now).Rate
		}
	}
	return stats
}

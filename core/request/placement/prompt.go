package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/verdict"
)

// Priorities requested from engines; 0 is the highest.
const (
	defaultPriority       = 5
	lightPriority         = 2
	heavyPriority         = 4
	deferredLightPriority = 5
	longPrefillPriority   = 6
	lowestPriority        = 9
	// longPrefill is the prefill time above which a heavy prompt gets
	// longPrefillPriority instead of heavyPriority.
	longPrefill = time.Second
)

// placePrompt places a prompt, light or heavy, and refuses it if its answer is
// predicted to be too late.
func (p *Placer) placePrompt(a *arrival, usable []Candidate) Decision {
	prefill := PrefillTime(a.engine, a.PromptTokens)
	tokens := a.PromptTokens + a.AnswerTokens
	capacity := int(p.settings.MemoryShare * float64(a.engine.MemoryTokens))
	if a.engine.MemoryTokens <= 0 {
		capacity = math.MaxInt32 // the engine's memory is not published
	}
	a.exceedsRoom = p.exceedsRoom(a, prefill)
	var d Decision
	switch {
	case a.isOverShare():
		d.Refusal = p.refuse(a, 0)
	case tokens <= capacity && (prefill < p.settings.HeavyPrefill || !a.engine.ParallelPrefill):
		d = p.placeLight(a, usable, prefill)
	default:
		d = p.placeHeavy(a, usable, prefill, capacity)
	}
	switch {
	case d.Refusal != nil:
	case a.AnswerStarted:
		if d.FirstEvent > a.TimeLeft {
			d.Refusal = p.overloaded()
		}
	case d.FirstEvent > p.maxFirstEvent(a):
		d.Refusal = p.overloaded()
	case a.TimeToShutdown > 0 && time.Duration(p.settings.ShutdownTimeFactor*float64(d.Completion)) > a.TimeToShutdown:
		d.Refusal = verdict.New(verdict.NotRun, verdict.DaemonDraining, "the daemon stops before the answer would end").WithRetryAfter(p.settings.ShutdownRetryAfter)
	}
	return d
}

// maxFirstEvent returns the predicted time to the first event above which a
// request is refused at once, because it would most likely end without an
// answer.
func (p *Placer) maxFirstEvent(a *arrival) time.Duration {
	timeout := a.TimeLeft
	if a.FirstEventTimeout > 0 {
		timeout = min(timeout, a.FirstEventTimeout)
	}
	return time.Duration(p.settings.FirstEventTimeoutShare * float64(timeout))
}

// overloaded returns a refusal with a random retry delay, so that the refused
// callers do not all retry at the same time.
func (p *Placer) overloaded() *verdict.Error {
	spread := p.settings.OverloadRetryMax - p.settings.OverloadRetryMin
	delay := p.settings.OverloadRetryMin + time.Duration(p.random.Int64N(int64(spread)+1))
	return verdict.New(verdict.NotRun, verdict.Overloaded, "no target can serve the request in time").WithRetryAfter(delay)
}

// queueWait predicts how long a request waits at a candidate for a slot and for
// memory. A deferred request waits for all requests that are already there,
// other requests only for those that are not deferred.
func (p *Placer) queueWait(a *arrival, c *Candidate, deferred bool) time.Duration {
	wait := time.Duration(p.settings.FailurePenalty.Seconds() * c.FailureScore * float64(time.Second))
	slots := max(c.Slots, 1)
	ahead := c.Load.Answers
	if !deferred && c.Load.Deferred > 0 {
		// Deferred prompts are waiting, so all slots are taken.
		ahead = max(ahead-c.Load.Deferred, slots)
	}
	if ahead >= slots {
		slotTime := DecodeTime(a.engine, a.engine.MeanAnswerTokens, slots, a.engine.MeanPromptTokens)
		wait += time.Duration(ahead-slots+1) * slotTime / time.Duration(slots)
	}
	return wait + p.memoryWait(a, c)
}

// memoryWait predicts how long a request waits at a candidate for memory.
func (p *Placer) memoryWait(a *arrival, c *Candidate) time.Duration {
	if a.engine.MemoryTokens <= 0 {
		return 0
	}
	excess := c.Load.Tokens + a.PromptTokens + a.AnswerTokens - int(p.settings.MemoryShare*float64(a.engine.MemoryTokens))
	if excess <= 0 {
		return 0
	}
	return memoryTurnover * time.Duration(excess) / time.Duration(max(a.engine.MemoryTokens, 1))
}

// memoryTurnover is the time in which the answers that end at an engine free as
// much memory as it has.
const memoryTurnover = 4 * time.Second

// passesToFirstEvent is the mean number of decode passes that a prompt waits for
// at an engine that generates answers: half of the current pass, the pass that
// prefills the prompt, and half of another one, lengthened by other prompts. The
// median for short prompts at engines with 1 to 15 answers, on the users'
// bench, is 1.8 to 2.4 passes.
const passesToFirstEvent = 2.0

// firstEvent predicts the time to the first event of a prompt whose part at the
// candidate takes prefill.
func (p *Placer) firstEvent(a *arrival, c *Candidate, prefill time.Duration) time.Duration {
	return p.queueWait(a, c, false) + p.slotToFirstEvent(a, c, prefill)
}

// slotToFirstEvent predicts the time from when the prompt gets a slot to its
// first event. An engine that generates no answers sends the first event right
// after the prefill.
func (p *Placer) slotToFirstEvent(a *arrival, c *Candidate, prefill time.Duration) time.Duration {
	first := c.Load.Backlog + prefill
	if c.Load.Answers == 0 {
		return first + a.engine.StepTime
	}
	return first + time.Duration(passesToFirstEvent*float64(PassTime(a.engine, c.Load.Answers+1, a.PromptTokens)))
}

// placeLight selects the first target in order that is fast enough, or else the
// fastest. A prompt that would be late at every target is deferred: prompts that
// can still meet their latency target go first, so that during overload most
// are in time instead of all late.
func (p *Placer) placeLight(a *arrival, usable []Candidate, prefill time.Duration) Decision {
	slices.SortStableFunc(usable, func(a, b Candidate) int { return cmp.Compare(a.Order, b.Order) })
	acceptable := time.Duration(p.settings.PackingShare * float64(a.LatencyTarget))
	best, bestTime := 0, time.Duration(0)
	for i := range usable {
		first := p.firstEvent(a, &usable[i], prefill)
		if first <= acceptable {
			best, bestTime = i, first
			break
		}
		if i == 0 || first < bestTime {
			best, bestTime = i, first
		}
	}
	if bestTime > a.LatencyTarget {
		return p.placeLate(a, usable, prefill)
	}
	return p.useOne(a, &usable[best], prefill, bestTime, lightPriority)
}

// placeLate places or refuses a light prompt that would be late at every target. While slots are
// free it is deferred anywhere. If almost none is, a deferred prompt takes a slot that a
// later one would have found free, so that deferred prompts are kept to few targets.
func (p *Placer) placeLate(a *arrival, usable []Candidate, prefill time.Duration) Decision {
	anywhere, target := p.deferLight(a, usable, prefill)
	if a.AnswerStarted || p.isOpen(a, target) {
		return anywhere
	}
	maxLate := a.room.MaxLateEngines(a.Returned || a.Retried)
	list := slices.DeleteFunc(usable, func(c Candidate) bool {
		late := p.queueWait(a, &c, true)+p.slotToFirstEvent(a, &c, prefill) > p.maxFirstEvent(a)
		return late || a.room.LateEngines > maxLate || a.room.LateEngines == maxLate && c.Load.Deferred == 0
	})
	if len(list) == 0 {
		return Decision{Refusal: p.refuse(a, p.settings.OverloadRetryMin)}
	}
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Load.Deferred, a.Load.Deferred), cmp.Compare(b.Order, a.Order))
	})
	d, _ := p.deferLight(a, list[:1], prefill)
	return d
}

// isOpen reports whether a prompt need not wait for a slot or memory at a candidate.
func (p *Placer) isOpen(a *arrival, c *Candidate) bool {
	return c.Load.Answers < max(c.Slots, 1) && p.memoryWait(a, c) == 0
}

// refuse returns the refusal of a prompt for which there is predicted to be no room before wait.
func (p *Placer) refuse(a *arrival, wait time.Duration) *verdict.Error {
	delay := a.state.RetryAfter(&a.room, wait, a.TimeLeft, p.random.Float64(), a.now)
	return verdict.New(verdict.NotRun, verdict.Overloaded, "no target can serve the request in time").WithRetryAfter(delay)
}

// deferLight selects the target with the earliest predicted first event when
// the prompt waits for all requests that are already there.
func (p *Placer) deferLight(a *arrival, usable []Candidate, prefill time.Duration) (Decision, *Candidate) {
	best, bestTime := 0, time.Duration(0)
	for i := range usable {
		first := p.queueWait(a, &usable[i], true) + p.slotToFirstEvent(a, &usable[i], prefill)
		if i == 0 || first < bestTime {
			best, bestTime = i, first
		}
	}
	d := p.useOne(a, &usable[best], prefill, bestTime, deferredLightPriority)
	d.Parts[0].Deferred = true
	return d, &usable[best]
}

// useOne places a prompt at one target, without helpers.
func (p *Placer) useOne(a *arrival, c *Candidate, prefill, first time.Duration, priority int) Decision {
	return Decision{
		Target:     c.Target,
		Load:       c.Load,
		FirstEvent: first,
		Completion: first + DecodeTime(a.engine, a.AnswerTokens, c.Load.Answers+1, a.PromptTokens),
		Priority:   priority,
		Parts:      []inflight.Part{a.answerPart(c, prefill)},
	}
}

// ratedCandidate is a candidate with the cost of prefilling a part of a prompt
// there.
type ratedCandidate struct {
	candidate *Candidate
	// wait is the predicted time until the prefill of the part starts.
	wait time.Duration
	// delayedSize is the size of the answers at the target that the part would
	// pause for longer than their callers accept.
	delayedSize int
}

// rate returns the candidates for a part of a prompt that takes partPrefill,
// cheapest first. Of equally cheap ones, those last in Order come first.
func (p *Placer) rate(a *arrival, usable []Candidate, partPrefill time.Duration) []ratedCandidate {
	list := make([]ratedCandidate, 0, len(usable))
	for i := range usable {
		c := &usable[i]
		pause := partPrefill + PassTime(a.engine, c.Load.Answers, a.engine.MeanPromptTokens)
		item := ratedCandidate{candidate: c, wait: p.queueWait(a, c, false) + c.Load.Backlog}
		for class, bound := range inflight.GapClassBounds {
			if pause > bound-p.settings.PauseMargin {
				item.delayedSize += c.Load.SizeByGapClass[class]
			}
		}
		list = append(list, item)
	}
	cost := func(x *ratedCandidate) float64 {
		return a.weight*x.wait.Seconds()*p.settings.WaitCostPerSecond + float64(x.delayedSize)
	}
	slices.SortStableFunc(list, func(a, b ratedCandidate) int {
		return cmp.Or(cmp.Compare(cost(&a), cost(&b)), cmp.Compare(b.candidate.Order, a.candidate.Order))
	})
	return list
}

// placeHeavy splits the prefill of a prompt over several targets. It chooses the
// number of targets with the lowest cost: that of a late answer to the prompt
// itself, and that of the answers delayed by its parts. A prompt that is late
// with any number of targets gets few, so that it delays few other answers. A
// prompt that exceeds the memory of one engine gets at least as many targets as
// are needed to hold it together.
//
// A target that has named a limit is no helper, since orders to reserve and renew memory
// there would count. It prefills a prompt alone if there is no other target.
func (p *Placer) placeHeavy(a *arrival, usable []Candidate, prefill time.Duration, capacity int) Decision {
	minTargets := (a.PromptTokens + a.AnswerTokens + capacity - 1) / capacity
	maxTargets := min(len(usable), p.settings.MaxHelpers+1)
	if unlimited := withoutLimited(usable); len(unlimited) > 0 {
		usable, maxTargets = unlimited, min(maxTargets, len(unlimited))
	} else {
		maxTargets = min(maxTargets, 1)
	}
	if minTargets > maxTargets {
		return Decision{Refusal: p.overloaded()}
	}
	if a.exceedsRoom {
		if a.mayShed() {
			return Decision{Refusal: p.refuse(a, shedRetryAfter)}
		}
		maxTargets = minTargets // so that it delays few other answers
	}
	var best Decision
	bestCost := math.Inf(1)
	for n := minTargets; n <= maxTargets; n++ {
		partPrefill := prefill / time.Duration(n)
		list := p.rate(a, usable, partPrefill)[:n]
		d := p.useSeveral(a, list, partPrefill, heavyPromptPriority(prefill))
		if cost := p.splitCost(a, d.FirstEvent, list); cost < bestCost {
			bestCost, best = cost, d
		}
	}
	splitMemory(&best, minTargets, a.PromptTokens+a.AnswerTokens)
	if excess := best.FirstEvent - a.LatencyTarget; excess > 0 && p.shedsLate(a, len(usable), prefill) {
		return Decision{Refusal: p.refuse(a, max(excess, p.settings.OverloadRetryMin))}
	}
	return best
}

// shedsLate reports whether a heavy prompt that would be late is refused: it comes for the
// first time, and would be in time if the targets were free.
func (p *Placer) shedsLate(a *arrival, targets int, prefill time.Duration) bool {
	idle := prefill / time.Duration(min(targets, p.settings.MaxHelpers+1))
	return a.mayShed() && idle < a.LatencyTarget
}

// withoutLimited returns the candidates that have named no limit.
func withoutLimited(list []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(list), func(c Candidate) bool { return c.Limited })
}

// splitMemory divides the memory of a prompt that does not fit into one engine
// evenly among the first targets, with reservations at the helpers.
func splitMemory(d *Decision, targets, tokens int) {
	if targets <= 1 {
		return
	}
	part := tokens / targets
	for i := range targets - 1 {
		d.Helpers[i].ReservedTokens = part
		d.Parts[i+1].Tokens = part
	}
	d.Parts[0].Tokens = tokens - part*(targets-1)
}

// splitCost returns the cost of prefilling a prompt at the listed targets with a
// predicted time to the first event: the size of the answers that it delays too
// much, plus a cost for its own delay.
func (p *Placer) splitCost(a *arrival, first time.Duration, list []ratedCandidate) float64 {
	size := a.weight * float64(Size(a.Request))
	cost := 0.0
	for i := range list {
		cost += float64(list[i].delayedSize)
	}
	late := first > a.LatencyTarget-p.settings.FirstEventMargin
	switch {
	case first > time.Duration(p.settings.LateDeadlineShare*float64(a.TimeLeft)):
		cost += 2*size + a.weight*first.Seconds()*p.settings.WaitCostPerSecond
	case late:
		cost += size + float64(len(list))*p.settings.TargetCostShare*size
	default:
		cost += p.settings.LatencyCostShare * size * first.Seconds() / a.LatencyTarget.Seconds()
	}
	return cost
}

func heavyPromptPriority(prefill time.Duration) int {
	if prefill > longPrefill {
		return longPrefillPriority
	}
	return heavyPriority
}

// useSeveral places a prompt at the first target of the list, with the others as
// helpers.
func (p *Placer) useSeveral(a *arrival, list []ratedCandidate, partPrefill time.Duration, priority int) Decision {
	first := list[0].candidate
	var slowest time.Duration
	parts := []inflight.Part{a.answerPart(first, partPrefill)}
	var helpers []Helper
	for i, item := range list {
		slowest = max(slowest, p.firstEvent(a, item.candidate, partPrefill))
		if i > 0 {
			helpers = append(helpers, Helper{Target: item.candidate.Target})
			parts = append(parts, inflight.Part{Target: item.candidate.Target, Prefill: partPrefill})
		}
	}
	return Decision{
		Target:     first.Target,
		Load:       first.Load,
		Helpers:    helpers,
		FirstEvent: slowest,
		Completion: slowest + DecodeTime(a.engine, a.AnswerTokens, first.Load.Answers+1, a.PromptTokens),
		Priority:   priority,
		Parts:      parts,
	}
}

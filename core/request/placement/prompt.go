package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
)

// Priorities asked of engines, 0 first.
const (
	defaultPriority = 5
	lightPriority   = 2
	heavyPriority   = 4
	lateLight       = 5
	longestPriority = 6
	lowestPriority  = 9
	// longPrefill divides heavy prompts by priority.
	longPrefill = time.Second
)

func (p *Placer) placePrompt(r *Request, e *routing.Engine, usable []Candidate) Decision {
	alone := PrefillTime(e, r.PromptTokens)
	need := r.PromptTokens + r.AnswerTokens
	room := int(p.settings.MemoryShare * float64(e.MemoryTokens))
	var d Decision
	switch {
	case need <= room && (alone < p.settings.HeavyPrefill || !e.Parallel):
		d = p.placeLight(r, e, usable, alone)
	default:
		d = p.placeHeavy(r, e, usable, alone, room)
	}
	switch {
	case d.Refusal != nil:
	case r.Begun:
		if d.FirstEvent > r.Left {
			d.Refusal = p.overloaded()
		}
	case d.FirstEvent > p.longestWait(r):
		d.Refusal = p.overloaded()
	case r.Ends > 0 && time.Duration(p.settings.EndsFactor*float64(d.Whole)) > r.Ends:
		d.Refusal = verdict.New(verdict.NotRun, verdict.DaemonDraining, "the daemon stops before the answer would end").WithRetryAfter(p.settings.StoppingRetry)
	}
	return d
}

// longestWait is the predicted time to the first event from which a request is
// refused at once: it would most likely end without an answer.
func (p *Placer) longestWait(r *Request) time.Duration {
	wait := r.Left
	if r.Patience > 0 {
		wait = min(wait, r.Patience)
	}
	return time.Duration(p.settings.HopeShare * float64(wait))
}

func (p *Placer) overloaded() *verdict.Error {
	spread := p.settings.OverloadRetryMax - p.settings.OverloadRetryMin
	wait := p.settings.OverloadRetryMin + time.Duration(p.random.Int64N(int64(spread)+1))
	return verdict.New(verdict.NotRun, verdict.Overloaded, "no target can serve the request in time").WithRetryAfter(wait)
}

// queueWait predicts how long a request waits for a slot or for memory. A
// deferred one waits for all that are there.
func (p *Placer) queueWait(r *Request, e *routing.Engine, c *Candidate, deferred bool) time.Duration {
	wait := time.Duration(p.settings.SparePerScore.Seconds() * c.Score * float64(time.Second))
	slots := max(c.Slots, 1)
	ahead := c.Load.Writers
	if !deferred && c.Load.Deferred > 0 {
		// Deferred prompts wait there, so that no slot is free.
		ahead = max(ahead-c.Load.Deferred, slots)
	}
	if ahead >= slots {
		turn := WriteTime(e, e.UsualAnswer, slots, e.UsualPrompt)
		wait += time.Duration(ahead-slots+1) * turn / time.Duration(slots)
	}
	if over := c.Load.Tokens + r.PromptTokens + r.AnswerTokens - int(p.settings.MemoryShare*float64(e.MemoryTokens)); over > 0 {
		wait += memoryTurnover * time.Duration(over) / time.Duration(max(e.MemoryTokens, 1))
	}
	return wait
}

// memoryTurnover is the time in which an engine's answers free its whole
// memory.
const memoryTurnover = 4 * time.Second

// passesToFirst is how many passes a prompt waits for at an engine that writes
// answers: half of the one that runs, the one in which it is read, and on average
// half of one more, which other prompts lengthen. On the users' bench the median
// of short prompts at engines with 1 to 15 writers is 1.8 to 2.4 passes.
const passesToFirst = 2.0

// firstEvent predicts the time to the first event of a prompt whose part at the
// candidate takes prefill. An engine that writes nothing answers right after
// the prefill.
func (p *Placer) firstEvent(r *Request, e *routing.Engine, c *Candidate, prefill time.Duration) time.Duration {
	return p.queueWait(r, e, c, false) + p.read(r, e, c, prefill)
}

// read predicts the time from a slot to the first event.
func (p *Placer) read(r *Request, e *routing.Engine, c *Candidate, prefill time.Duration) time.Duration {
	first := c.Load.Backlog + prefill
	if c.Load.Writers == 0 {
		return first + e.Step
	}
	return first + time.Duration(passesToFirst*float64(PassTime(e, c.Load.Writers+1, r.PromptTokens)))
}

// placeLight takes the first target in order that is fast enough, or else the
// fastest. A prompt that comes late everywhere is deferred: it lets those go
// first that can still be in time, so that at a crest most are in time instead
// of all late.
func (p *Placer) placeLight(r *Request, e *routing.Engine, usable []Candidate, alone time.Duration) Decision {
	slices.SortStableFunc(usable, func(a, b Candidate) int { return cmp.Compare(a.Order, b.Order) })
	enough := time.Duration(p.settings.LightShare * float64(r.LatencyTarget))
	best, bestTime := 0, time.Duration(0)
	for i := range usable {
		first := p.firstEvent(r, e, &usable[i], alone)
		if first <= enough {
			best, bestTime = i, first
			break
		}
		if i == 0 || first < bestTime {
			best, bestTime = i, first
		}
	}
	if bestTime > r.LatencyTarget {
		return p.deferLight(r, e, usable, alone)
	}
	return p.alone(r, e, &usable[best], alone, bestTime, lightPriority)
}

// deferLight takes the target with the shortest wait for all that are there.
func (p *Placer) deferLight(r *Request, e *routing.Engine, usable []Candidate, alone time.Duration) Decision {
	best, bestTime := 0, time.Duration(0)
	for i := range usable {
		first := p.queueWait(r, e, &usable[i], true) + p.read(r, e, &usable[i], alone)
		if i == 0 || first < bestTime {
			best, bestTime = i, first
		}
	}
	d := p.alone(r, e, &usable[best], alone, bestTime, lateLight)
	d.Parts[0].Deferred = true
	return d
}

func (p *Placer) alone(r *Request, e *routing.Engine, c *Candidate, prefill, first time.Duration, priority int) Decision {
	return Decision{
		Target:     c.Target,
		Load:       c.Load,
		FirstEvent: first,
		Whole:      first + WriteTime(e, r.AnswerTokens, c.Load.Writers+1, r.PromptTokens),
		Priority:   priority,
		Parts:      []inflight.Part{p.writer(r, c, prefill)},
	}
}

func (p *Placer) writer(r *Request, c *Candidate, prefill time.Duration) inflight.Part {
	return inflight.Part{
		Target:  c.Target,
		Prefill: prefill,
		Tokens:  r.PromptTokens + r.AnswerTokens,
		Writes:  true,
		Size:    Size(r),
		Gap:     r.GapTarget,
	}
}

// rated is a candidate with what it costs to use it for a part of a prompt.
type rated struct {
	candidate *Candidate
	// ready is when it begins to read.
	ready time.Duration
	// harm is the size of the answers there that the part would delay by
	// more than their callers accept.
	harm int
}

// rate orders the candidates for parts of one length, the best first.
func (p *Placer) rate(r *Request, e *routing.Engine, usable []Candidate, part time.Duration) []rated {
	list := make([]rated, 0, len(usable))
	for i := range usable {
		c := &usable[i]
		pause := part + PassTime(e, c.Load.Writers, e.UsualPrompt)
		item := rated{candidate: c, ready: p.queueWait(r, e, c, false) + c.Load.Backlog}
		for class, bound := range inflight.Pauses {
			if pause > bound-p.settings.PauseMargin {
				item.harm += c.Load.Exposed[class]
			}
		}
		list = append(list, item)
	}
	cost := func(x *rated) float64 {
		return x.ready.Seconds()*p.settings.SizePerSecond + float64(x.harm)
	}
	slices.SortStableFunc(list, func(a, b rated) int {
		return cmp.Or(cmp.Compare(cost(&a), cost(&b)), cmp.Compare(b.candidate.Order, a.candidate.Order))
	})
	return list
}

// placeHeavy reads a prompt at several targets at once. It takes the number of
// targets at which the least is lost: the own answer if it comes late, and the
// answers that the parts delay. A prompt that comes late whatever is done takes
// few targets, so that it delays few others. One that no engine's memory holds
// takes as many as hold it together.
func (p *Placer) placeHeavy(r *Request, e *routing.Engine, usable []Candidate, alone time.Duration, room int) Decision {
	holders := (r.PromptTokens + r.AnswerTokens + room - 1) / room
	most := min(len(usable), p.settings.MaxHelpers+1)
	if holders > most {
		return Decision{Refusal: p.overloaded()}
	}
	var best Decision
	least := math.Inf(1)
	for n := holders; n <= most; n++ {
		part := alone / time.Duration(n)
		list := p.rate(r, e, usable, part)[:n]
		d := p.together(r, e, list, part, heavyOrLongest(alone))
		if loss := p.loss(r, d.FirstEvent, list); loss < least {
			least, best = loss, d
		}
	}
	hold(&best, holders, r.PromptTokens+r.AnswerTokens)
	return best
}

// hold spreads the memory of a prompt that no engine holds alone over the
// first targets; the helpers among them set it aside.
func hold(d *Decision, holders, tokens int) {
	if holders <= 1 {
		return
	}
	part := tokens / holders
	for i := range holders - 1 {
		d.Helpers[i].Reserve = part
		d.Parts[i+1].Tokens = part
	}
	d.Parts[0].Tokens = tokens - part*(holders-1)
}

// loss is the size of the answers that a placement delays too much.
func (p *Placer) loss(r *Request, first time.Duration, list []rated) float64 {
	size := float64(Size(r))
	loss := 0.0
	for i := range list {
		loss += float64(list[i].harm)
	}
	late := first > r.LatencyTarget-p.settings.FirstMargin
	switch {
	case first > time.Duration(p.settings.LateShare*float64(r.Left)):
		loss += 2*size + first.Seconds()*p.settings.SizePerSecond
	case late:
		loss += size + float64(len(list))*p.settings.HelperSize*size
	default:
		loss += p.settings.EarlySize * size * first.Seconds() / r.LatencyTarget.Seconds()
	}
	return loss
}

func heavyOrLongest(alone time.Duration) int {
	if alone > longPrefill {
		return longestPriority
	}
	return heavyPriority
}

// together places a prompt at the first of a list, with the rest as helpers.
func (p *Placer) together(r *Request, e *routing.Engine, list []rated, part time.Duration, priority int) Decision {
	first := list[0].candidate
	var slowest time.Duration
	parts := []inflight.Part{p.writer(r, first, part)}
	var helpers []Helper
	for i, item := range list {
		slowest = max(slowest, p.firstEvent(r, e, item.candidate, part))
		if i > 0 {
			helpers = append(helpers, Helper{Target: item.candidate.Target})
			parts = append(parts, inflight.Part{Target: item.candidate.Target, Prefill: part})
		}
	}
	return Decision{
		Target:     first.Target,
		Load:       first.Load,
		Helpers:    helpers,
		FirstEvent: slowest,
		Whole:      slowest + WriteTime(e, r.AnswerTokens, first.Load.Writers+1, r.PromptTokens),
		Priority:   priority,
		Parts:      parts,
	}
}

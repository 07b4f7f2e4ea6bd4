package experiment

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// tally counts jobs and attempts of one kind of prompts.
type tally struct {
	offered   int // jobs
	started   int // attempts sent to a target
	completed int // jobs answered completely before the deadline
	late      int // started attempts that passed their deadline
	aborted   int // started spans that ended without an answer
	waits     []time.Duration
	// slowdowns are the waits divided by the same prompt's time to first token
	// at an idle engine.
	slowdowns []float64
	// withinBound counts first tokens within firstTokenBound.
	withinBound int
}

// result holds the measurements of a run, or of several.
type result struct {
	start     time.Time
	kinds     [kindCount]tally
	customers map[names.Customer]int // tokens of completed answers and their prompts
	seconds   map[int]int            // tokens completed in each second
	refusals  []time.Duration
	// cachedTokens counts the prompt tokens found in prefix caches, out of
	// promptTokens.
	cachedTokens, promptTokens int
}

func (r *result) firstToken(a *attempt, now time.Time) {
	if a.done {
		return
	}
	t := &r.kinds[a.job.kind]
	wait := now.Sub(a.sent)
	t.waits = append(t.waits, wait)
	t.slowdowns = append(t.slowdowns, float64(wait)/float64(a.job.unloadedLatency()))
	if wait <= a.job.firstTokenBound() {
		t.withinBound++
	}
}

func (r *result) completed(a *attempt, now time.Time) {
	if r.customers == nil {
		r.customers = make(map[names.Customer]int)
		r.seconds = make(map[int]int)
	}
	r.kinds[a.job.kind].completed++
	r.customers[a.job.customer] += a.job.tokens()
	r.seconds[int(now.Sub(r.start).Seconds())] += a.job.tokens()
}

func (r *result) refused(a *attempt, now time.Time) {
	r.refusals = append(r.refusals, now.Sub(a.sent))
}

// goodput returns the rate of completed tokens, in tokens a second, between two
// times of the run, which are truncated to whole seconds.
func (r *result) goodput(from, to time.Duration) float64 {
	sum := 0
	for s := int(from.Seconds()); s < int(to.Seconds()); s++ {
		sum += r.seconds[s]
	}
	return float64(sum) / (to - from).Seconds()
}

func (r *result) started() int { return r.sum(func(t *tally) int { return t.started }) }
func (r *result) late() int    { return r.sum(func(t *tally) int { return t.late }) }

func (r *result) attempts() int { return r.started() + len(r.refusals) }

// add adds the counts and waits of another run. It leaves out the tokens per
// customer and per second, which are evaluated run by run.
func (r *result) add(o *result) {
	for i := range o.kinds {
		r.kinds[i].add(&o.kinds[i])
	}
	r.refusals = append(r.refusals, o.refusals...)
	r.cachedTokens += o.cachedTokens
	r.promptTokens += o.promptTokens
}

func (t *tally) add(o *tally) {
	t.offered += o.offered
	t.started += o.started
	t.completed += o.completed
	t.late += o.late
	t.aborted += o.aborted
	t.withinBound += o.withinBound
	t.waits = append(t.waits, o.waits...)
	t.slowdowns = append(t.slowdowns, o.slowdowns...)
}

func (r *result) sum(f func(*tally) int) int {
	sum := 0
	for i := range r.kinds {
		sum += f(&r.kinds[i])
	}
	return sum
}

// quantile returns the q-quantile of a list, or zero if it is empty.
func quantile[T cmp.Ordered](list []T, q float64) T {
	if len(list) == 0 {
		var zero T
		return zero
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}

package experiment

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// tally counts the attempts of one kind of prompts.
type tally struct {
	offered   int // jobs
	started   int // attempts that a target got
	completed int // jobs answered in time
	late      int // attempts that were started and ran out of time
	broken    int // spans that were started and ended without an answer
	waits     []time.Duration
	// slowdowns are waits in relation to the same prompt's at an idle engine.
	slowdowns []float64
	// timely counts first tokens within firstTokenBound.
	timely int
}

// result is what a run measured.
type result struct {
	start     time.Time
	kinds     [kinds]tally
	customers map[names.Customer]int // tokens of complete answers and their prompts
	seconds   map[int]int            // tokens completed in each second
	refusals  []time.Duration
	// saved are the prompt tokens found in prefix caches, of all prompts.
	saved, prompts int
}

func (r *result) first(a *attempt, now time.Time) {
	if a.done {
		return
	}
	t := &r.kinds[a.job.kind]
	wait := now.Sub(a.sent)
	t.waits = append(t.waits, wait)
	t.slowdowns = append(t.slowdowns, float64(wait)/float64(a.job.unloaded()))
	if wait <= a.job.firstTokenBound() {
		t.timely++
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

// goodput is the tokens a second of answers completed between two times of the
// run, in whole seconds.
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

// add takes in the counts and waits of another run.
func (r *result) add(o *result) {
	for i := range o.kinds {
		r.kinds[i].add(&o.kinds[i])
	}
	r.refusals = append(r.refusals, o.refusals...)
	r.saved += o.saved
	r.prompts += o.prompts
}

func (t *tally) add(o *tally) {
	t.offered += o.offered
	t.started += o.started
	t.completed += o.completed
	t.late += o.late
	t.broken += o.broken
	t.timely += o.timely
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

// quantile returns the q-quantile of durations, zero if there are none.
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

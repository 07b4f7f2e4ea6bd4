package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Times of the fake network and of callers.
const (
	oneWay         = time.Millisecond
	pollInterval   = 200 * time.Millisecond
	reportLagMin   = 50 * time.Millisecond
	reportLagRange = 200 * time.Millisecond
	// callerRetries is how often a caller sends again after a refusal or a
	// timeout.
	callerRetries = 2
	// callerBackoff is the caller's wait when nobody told it one.
	callerBackoff = 200 * time.Millisecond
)

// size is the size of a fleet.
type size struct {
	name    string
	engines int
	daemons int
	// whole selects engines that never interrupt a prefill.
	whole bool
	mix   mix
	// killEvery is the time between two deaths of an engine; zero for none.
	killEvery time.Duration
	// overstated is how many times their prefill rate engines report; zero
	// counts as one.
	overstated float64
}

// run is one run of a policy over a workload.
type run struct {
	clock   *clock
	random  *rand.Rand
	engines []*engine
	daemons []decider
	ids     int
	result  result
	size    size
}

// attempt is one try of a caller.
type attempt struct {
	job     *job
	request facts.Request
	sent    time.Time
	daemon  int
	retries int
	engine  *engine
	stream  *stream
	span    *spanRun
	done    bool
}

// simulate runs a policy over jobs and lets it end all that was begun.
func simulate(p policy, s size, list []job, seed uint64) *result {
	r := &run{
		clock:  newClock(),
		random: rand.New(rand.NewPCG(seed, 2)),
		size:   s,
	}
	for i := range s.engines {
		r.engines = append(r.engines, newEngine(r.clock, targetName(i), s.whole))
	}
	for i := range s.daemons {
		r.daemons = append(r.daemons, p.make(s, i, seed))
		r.watch(i)
	}
	r.result.start = r.clock.now
	if s.killEvery > 0 {
		r.clock.every(s.killEvery, s.killEvery, r.killOne)
	}
	for i := range list {
		j := &list[i]
		r.clock.at(r.clock.now.Add(j.at), func() {
			r.result.kinds[j.kind].offered++
			r.send(j, callerRetries)
		})
	}
	end := r.clock.now
	if len(list) > 0 {
		end = end.Add(list[len(list)-1].at)
	}
	r.clock.run(end.Add(2 * time.Minute))
	for _, e := range r.engines {
		r.result.saved += e.saved
		r.result.prompts += e.total
	}
	return &r.result
}

// downTime is how long a dead engine is away.
const downTime = 20 * time.Second

func (r *run) killOne() {
	e := r.engines[r.random.IntN(len(r.engines))]
	if !e.dead {
		e.kill(downTime)
	}
}

// watch polls every engine for a daemon.
func (r *run) watch(daemon int) {
	d := r.daemons[daemon]
	for _, e := range r.engines {
		phase := time.Duration(r.random.Int64N(int64(pollInterval)))
		r.clock.every(phase, pollInterval, func() {
			if e.dead {
				return
			}
			report := e.report()
			report.PrefillRate *= max(r.size.overstated, 1)
			lag := reportLagMin + time.Duration(r.random.Int64N(int64(reportLagRange)))
			events := r.lossy(e.cache.since(d.newest(e.name)))
			r.clock.after(lag, func() {
				d.report(r.clock.now, report)
				d.events(e.name, events)
			})
		})
	}
}

// eventLoss is the share of cache events that never come.
const eventLoss = 0.01

func (r *run) lossy(events []target.CacheEvent) []target.CacheEvent {
	var kept []target.CacheEvent
	for _, e := range events {
		if r.random.Float64() >= eventLoss {
			kept = append(kept, e)
		}
	}
	return kept
}

func (r *run) send(j *job, retries int) {
	r.ids++
	id := strconv.Itoa(r.ids)
	daemon := r.random.IntN(len(r.daemons))
	a := &attempt{job: j, sent: r.clock.now, daemon: daemon, retries: retries}
	a.request = facts.Request{
		ID: id, Customer: j.customer, Model: model,
		PromptTokens: j.prompt, MaxTokens: j.answer, Prefixes: j.digests,
		Deadline: r.clock.now.Add(j.patience()),
	}
	r.clock.at(a.request.Deadline, func() { r.timeout(a) })
	action := r.daemons[daemon].arrive(r.clock.now, a.request)
	switch action.Kind {
	case admission.Start:
		r.start(a, action)
		return
	case admission.Span:
		r.startSpan(a)
		return
	default:
	}
	r.refused(a, action.Refusal)
}

func (r *run) start(a *attempt, action admission.Action) {
	e := r.engineNamed(action.Decision.Target)
	d := r.daemons[a.daemon]
	s := &stream{id: a.request.ID, prompt: a.job.prompt, answer: a.job.answer, priority: action.Priority, digests: a.job.digests}
	s.first = func() {
		r.clock.after(oneWay, func() {
			r.result.first(a, r.clock.now)
			d.first(r.clock.now, s.id)
		})
	}
	s.end = func() {
		r.clock.after(oneWay, func() {
			r.completed(a, e)
		})
	}
	s.fail = func() { r.clock.after(oneWay, func() { r.lost(a, e) }) }
	a.engine, a.stream = e, s
	r.result.kinds[a.job.kind].started++
	r.clock.after(oneWay, func() {
		if !a.done {
			e.submit(s)
		}
	})
}

func (r *run) engineNamed(name names.Target) *engine {
	for _, e := range r.engines {
		if e.name == name {
			return e
		}
	}
	panic("no such engine: " + string(name))
}

func (r *run) completed(a *attempt, e *engine) {
	if a.done {
		return
	}
	a.done = true
	r.daemons[a.daemon].finished(r.clock.now, a.request.ID, e.name, load.Success, a.job.answer)
	r.result.completed(a, r.clock.now)
}

func (r *run) refused(a *attempt, refusal *verdict.Error) {
	a.done = true
	r.result.refused(a, r.clock.now)
	wait := refusal.RetryAfter
	if wait == 0 {
		wait = callerBackoff
	}
	r.again(a, wait)
}

func (r *run) again(a *attempt, wait time.Duration) {
	if a.retries == 0 {
		return
	}
	r.clock.after(wait, func() { r.send(a.job, a.retries-1) })
}

// lost ends an attempt whose engine died; the caller tries again.
func (r *run) lost(a *attempt, e *engine) {
	if a.done {
		return
	}
	a.done = true
	r.daemons[a.daemon].finished(r.clock.now, a.request.ID, e.name, load.Fault, 0)
	r.again(a, callerBackoff)
}

// timeout is the caller's end of patience.
func (r *run) timeout(a *attempt) {
	if a.done {
		return
	}
	a.done = true
	r.result.kinds[a.job.kind].late++
	if a.span != nil {
		a.span.cancel()
		return
	}
	a.engine.cancel(a.stream)
	r.daemons[a.daemon].finished(r.clock.now, a.request.ID, a.engine.name, load.Neutral, 0)
	r.again(a, callerBackoff)
}

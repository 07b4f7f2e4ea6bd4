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

// Parameters of the fake network and of callers.
const (
	networkDelay   = time.Millisecond
	pollInterval   = 200 * time.Millisecond
	reportLagMin   = 50 * time.Millisecond
	reportLagRange = 200 * time.Millisecond
	// callerRetries is the maximum number of retries of a caller after a
	// refusal, a timeout or an engine failure.
	callerRetries = 2
	// callerBackoff is the delay before a retry if no refusal named one.
	callerBackoff = 200 * time.Millisecond
)

// size describes a fleet and its load.
type size struct {
	name    string
	engines int
	daemons int
	// nonPreemptive selects engines that never interrupt a prefill.
	nonPreemptive bool
	mix           mix
	// killEvery is the interval between engine failures; zero for none.
	killEvery time.Duration
	// rateOverstatement is the factor by which engines overstate their prefill
	// rate; values below one count as one.
	rateOverstatement float64
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

// attempt is one attempt of a caller to get a job done.
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

// simulate runs a policy over jobs and continues for two minutes after the last
// arrival, so that started requests can finish.
func simulate(p policy, s size, list []job, seed uint64) *result {
	r := &run{
		clock:  newClock(),
		random: rand.New(rand.NewPCG(seed, 2)),
		size:   s,
	}
	for i := range s.engines {
		r.engines = append(r.engines, newEngine(r.clock, targetName(i), s.nonPreemptive))
	}
	for i := range s.daemons {
		r.daemons = append(r.daemons, p.make(s, i, seed))
		r.pollEngines(i)
	}
	r.result.start = r.clock.now
	if s.killEvery > 0 {
		r.clock.every(s.killEvery, s.killEvery, r.killRandomEngine)
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
		r.result.cachedTokens += e.cachedTokens
		r.result.promptTokens += e.promptTokens
	}
	return &r.result
}

// engineDowntime is the time until a killed engine is available again.
const engineDowntime = 20 * time.Second

func (r *run) killRandomEngine() {
	e := r.engines[r.random.IntN(len(r.engines))]
	if !e.dead {
		e.kill(engineDowntime)
	}
}

// pollEngines polls every engine on behalf of a daemon. Reports arrive after a
// random delay.
func (r *run) pollEngines(daemon int) {
	d := r.daemons[daemon]
	for _, e := range r.engines {
		phase := time.Duration(r.random.Int64N(int64(pollInterval)))
		r.clock.every(phase, pollInterval, func() {
			if e.dead {
				return
			}
			report := e.report()
			report.PrefillRate *= max(r.size.rateOverstatement, 1)
			lag := reportLagMin + time.Duration(r.random.Int64N(int64(reportLagRange)))
			events := r.dropEvents(e.cache.eventsAfter(d.lastCacheSeq(e.name)))
			r.clock.after(lag, func() {
				d.recordReport(r.clock.now, report)
				d.applyCacheEvents(e.name, events)
			})
		})
	}
}

// eventLossRate is the share of cache events that are lost.
const eventLossRate = 0.01

func (r *run) dropEvents(events []target.CacheEvent) []target.CacheEvent {
	var kept []target.CacheEvent
	for _, e := range events {
		if r.random.Float64() >= eventLossRate {
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
		Deadline: r.clock.now.Add(j.timeout()),
	}
	r.clock.at(a.request.Deadline, func() { r.timeout(a) })
	action := r.daemons[daemon].admit(r.clock.now, a.request)
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
	s.onFirstToken = func() {
		r.clock.after(networkDelay, func() {
			r.result.firstToken(a, r.clock.now)
			d.firstToken(r.clock.now, s.id)
		})
	}
	s.onComplete = func() {
		r.clock.after(networkDelay, func() {
			r.completed(a, e)
		})
	}
	s.onFailure = func() { r.clock.after(networkDelay, func() { r.engineFailed(a, e) }) }
	a.engine, a.stream = e, s
	r.result.kinds[a.job.kind].started++
	r.clock.after(networkDelay, func() {
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
	r.retry(a, wait)
}

func (r *run) retry(a *attempt, wait time.Duration) {
	if a.retries == 0 {
		return
	}
	r.clock.after(wait, func() { r.send(a.job, a.retries-1) })
}

// engineFailed ends an attempt whose engine failed; the caller retries.
func (r *run) engineFailed(a *attempt, e *engine) {
	if a.done {
		return
	}
	a.done = true
	r.daemons[a.daemon].finished(r.clock.now, a.request.ID, e.name, load.Fault, 0)
	r.retry(a, callerBackoff)
}

// timeout ends an attempt at its deadline. The caller cancels the stream and
// retries; a span is only cancelled.
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
	r.retry(a, callerBackoff)
}

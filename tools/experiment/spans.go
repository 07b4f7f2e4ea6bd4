package experiment

import (
	"fmt"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/span"
	"carobspoke.example/core/target"
)

// spanRun executes the actions of one span's state machine on fake engines and
// returns their outcomes to it.
type spanRun struct {
	run     *run
	attempt *attempt
	machine *span.Run
	streams map[target.HandleID]*stream
	ended   bool
}

// planner is a decider that can list the candidates for a span.
type planner interface {
	candidates(now time.Time) []choice.Candidate
}

func (r *run) startSpan(a *attempt) {
	r.result.kinds[a.job.kind].started++
	d := r.daemons[a.daemon]
	engines := span.EligibleEngines(&a.request, d.(planner).candidates(r.clock.now), func(t names.Target) string { return string(t) })
	plan, spares, refusal := span.MakePlan(&a.request, engines, admission.DefaultMaxSpanEngines, r.clock.now)
	if refusal != nil {
		d.finished(r.clock.now, a.request.ID, "", load.Neutral, 0)
		r.result.kinds[a.job.kind].started--
		r.refused(a, refusal)
		return
	}
	s := &spanRun{run: r, attempt: a, streams: make(map[target.HandleID]*stream)}
	a.span = s
	name := func(part, generation int) target.HandleID {
		return target.HandleID(fmt.Sprintf("%s/%d/%d", a.request.ID, part, generation))
	}
	machine, actions := span.Start(plan, spares, name, a.request.Deadline, r.clock.now)
	s.machine = machine
	s.performAll(actions)
	s.tick()
}

func (s *spanRun) tick() {
	if s.ended {
		return
	}
	s.step(span.Event{Kind: span.Tick})
	s.run.clock.after(span.TickInterval, s.tick)
}

func (s *spanRun) cancel() { s.step(span.Event{Kind: span.Cancelled}) }

func (s *spanRun) step(e span.Event) { s.performAll(s.machine.Step(s.run.clock.now, e)) }

// postResult delivers the outcome of an action to the state machine after a
// network round trip.
func (s *spanRun) postResult(kind span.EventKind, a span.Action) {
	event := span.Event{Kind: kind, Part: a.Part, Generation: a.Generation}
	s.run.clock.after(2*networkDelay, func() { s.step(event) })
}

func (s *spanRun) performAll(actions []span.Action) {
	for _, a := range actions {
		s.perform(a)
	}
}

func (s *spanRun) perform(a span.Action) {
	if a.Kind == span.End {
		s.end(a)
		return
	}
	e := s.run.engineNamed(a.Target)
	switch a.Kind {
	case span.Reserve:
		s.reserve(e, a)
	case span.SubmitPart:
		s.submit(e, a, &stream{prompt: a.Tokens, memoryReserved: true})
	case span.SubmitFinal:
		e.release(a.Handle)
		s.submit(e, a, &stream{prompt: a.Tokens, answer: s.attempt.job.answer})
	case span.Free:
		if st := s.streams[a.Handle]; st != nil {
			e.cancel(st)
		}
		e.release(a.Handle)
	default:
	}
}

func (s *spanRun) reserve(e *engine, a span.Action) {
	switch {
	case e.dead:
		s.postResult(span.Failed, a)
	case e.reserve(a.Handle, a.Tokens):
		s.postResult(span.Reserved, a)
	default:
		s.postResult(span.Busy, a)
	}
}

func (s *spanRun) submit(e *engine, a span.Action, st *stream) {
	done := span.PartDone
	if !st.memoryReserved {
		done = span.Answered
	}
	st.onFirstToken = func() { s.run.result.firstToken(s.attempt, s.run.clock.now) }
	st.onComplete = func() { s.postResult(done, a) }
	st.onFailure = func() { s.postResult(span.Failed, a) }
	s.streams[a.Handle] = st
	e.submit(st)
}

func (s *spanRun) end(a span.Action) {
	s.ended = true
	r, attempt := s.run, s.attempt
	if attempt.done {
		r.daemons[attempt.daemon].finished(r.clock.now, attempt.request.ID, "", load.Neutral, 0)
		return
	}
	attempt.done = true
	r.daemons[attempt.daemon].finished(r.clock.now, attempt.request.ID, "", load.Neutral, 0)
	if a.Refusal == nil {
		r.result.completed(attempt, r.clock.now)
		return
	}
	tally := &r.result.kinds[attempt.job.kind]
	if a.Refusal.Verdict == 0 {
		tally.started--
		r.result.refused(attempt, r.clock.now)
	} else {
		tally.aborted++
	}
	r.retry(attempt, a.Refusal.RetryAfter)
}

func (o *productDecider) candidates(now time.Time) []choice.Candidate {
	return o.controller.Candidates(model, now)
}

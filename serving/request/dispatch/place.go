package dispatch

import (
	"context"
	"strconv"
	"sync"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/answer"
)

// placed is what becomes of one placement.
type placed struct {
	request      facts.Request
	priority     int
	outcome      load.Outcome
	first        bool
	answerTokens int
}

// placing places the attempts of one generation through admission. It
// implements answer.Targets.
type placing struct {
	d       *Dispatcher
	view    *View
	request facts.Request
	bytes   int
	share   float64
	made    int
	// spanning is set once admission has said that the prompt needs several
	// engines.
	spanning bool
}

var _ answer.Targets = (*placing)(nil)

// Place implements answer.Targets.
func (p *placing) Place(_ context.Context, want answer.Want) (answer.Placement, error) {
	action := p.d.Admitter.Arrive(p.arrival(want))
	switch action.Kind {
	case admission.Start:
		return p.start(action)
	case admission.Span:
		p.spanning = true
		return answer.Placement{}, errSpan
	default:
		return answer.Placement{}, action.Refusal
	}
}

// errSpan ends the attempts at single engines. Its reason is one that is not
// retried; it never reaches a caller.
var errSpan = verdict.New(verdict.NotRun, verdict.PromptTooLong, "the prompt needs several engines")

func (p *placing) arrival(want answer.Want) admission.Arrival {
	request := p.request
	request.ID = request.ID + "." + strconv.Itoa(p.made)
	request.Offset = want.From
	request.Isolate = want.Isolate
	p.made++
	return admission.Arrival{Request: request, Share: p.share, Bytes: p.bytes, Exclude: want.Avoid}
}

func (p *placing) start(action admission.Action) (answer.Placement, error) {
	state := &placed{request: action.Request, priority: action.Priority, outcome: load.Neutral}
	release := sync.OnceFunc(func() {
		p.d.Admitter.Finished(state.request.ID, state.outcome, state.answerTokens)
	})
	engine, err := p.d.engine(p.view, action.Decision.Target)
	if err != nil {
		release()
		return answer.Placement{}, err
	}
	watched := &observed{
		Engine:  engine,
		placed:  state,
		started: func() { p.d.Admitter.FirstToken(state.request.ID) },
		told: func(report target.Report) {
			report.Target = action.Decision.Target
			p.d.Admitter.Report(report)
		},
	}
	return answer.Placement{Target: action.Decision.Target, Engine: watched, Release: release}, nil
}

// held places a stream that a target already runs, outside admission: the
// work is there, whoever reads it.
func (d *Dispatcher) held(view *View, t names.Target) (answer.Placement, error) {
	engine, err := d.engine(view, t)
	if err != nil {
		return answer.Placement{}, err
	}
	return answer.Placement{Target: t, Engine: engine, Release: func() {}}, nil
}

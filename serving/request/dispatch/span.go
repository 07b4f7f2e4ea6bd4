package dispatch

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/keeping"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/request/span"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/forward"
	"carobspoke.example/serving/request/spans"
)

// Spans says how prompts over one engine's memory are run.
type Spans struct {
	// MaxEngines is the most engines that one prompt may use.
	MaxEngines int
}

// span runs a prompt on several engines. Its parts count as load at theirs.
func (d *Dispatcher) span(ctx context.Context, view *View, r forward.Request, sink forward.Sink) error {
	id := r.Facts.ID + ".span"
	defer d.Admitter.Finished(r.Facts.ID+".0", load.Neutral, 0)
	plan, spares, refusal := d.planSpan(view, r)
	if refusal != nil {
		return refusal
	}
	d.countParts(id, plan)
	defer d.endParts(id, plan)
	return spans.Run(ctx, d.spanDeps(view, r, sink), plan, spares, d.submit(r))
}

func (d *Dispatcher) planSpan(view *View, r forward.Request) (span.Plan, []span.Engine, *verdict.Error) {
	address := func(t names.Target) string {
		if entry, ok := view.Index.Target(t); ok {
			return entry.Address
		}
		return ""
	}
	engines := span.EligibleEngines(&r.Facts, d.Admitter.Candidates(r.Facts.Model), address)
	return span.MakePlan(&r.Facts, engines, d.Spans.MaxEngines, time.Now())
}

func (d *Dispatcher) countParts(id string, plan span.Plan) {
	for i, part := range plan.Parts {
		d.Admitter.PartStarted(load.Dispatch{ID: id + strconv.Itoa(i), Target: part.Engine.Target, Tokens: part.Tokens})
	}
}

func (d *Dispatcher) endParts(id string, plan span.Plan) {
	for i := range plan.Parts {
		d.Admitter.PartFinished(id+strconv.Itoa(i), load.Neutral)
	}
}

// spanDeps names handles and streams of parts by one random number for the
// span, so that the names are pure functions of part and generation. The
// caller's ticket names the stream of the last part.
func (d *Dispatcher) spanDeps(view *View, r forward.Request, sink forward.Sink) spans.Deps {
	base := rand.Uint64()
	scope := string(r.Facts.Customer)
	deadline := r.Facts.Deadline
	number := func(part, generation int) uint64 {
		return base + uint64(part)<<spanPartShift + uint64(generation)
	}
	return spans.Deps{
		Engine: func(t names.Target) (targetapi.Engine, error) { return d.engine(view, t) },
		HandleID: func(part, generation int) target.HandleID {
			return keeping.NewHandleID(scope, d.Host, d.Incarnation, deadline, number(part, generation))
		},
		StreamID: func(part, generation int) target.StreamID {
			return keeping.NewStreamID(scope, d.Host, d.Incarnation, deadline, number(part, generation))
		},
		AnswerStarted: func(t names.Target, id target.StreamID) {
			if moved, ok := sink.(streamMover); ok {
				moved.moved(id)
			}
			sink.SetTarget(t)
		},
		Token: sink.Token,
	}
}

// spanPartShift keeps the numbers of parts apart from those of generations.
const spanPartShift = 16

// streamMover is a sink that tells the caller the name of its stream.
type streamMover interface {
	moved(id target.StreamID)
}

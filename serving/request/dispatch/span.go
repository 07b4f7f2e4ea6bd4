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

// SpanLimits holds the limits for prompts that exceed the memory of one engine.
type SpanLimits struct {
	// MaxEngines is the maximum number of engines that one prompt may use.
	MaxEngines int
}

// runSpan runs a prompt on several engines. Each part counts as load of its
// engine.
func (d *Dispatcher) runSpan(ctx context.Context, manifest *ManifestState, r forward.Request, sink forward.Sink) error {
	id := r.Facts.ID + ".span"
	defer d.Admitter.Finished(r.Facts.ID+".0", load.Neutral, 0)
	plan, spares, refusal := d.planSpan(manifest, r)
	if refusal != nil {
		return refusal
	}
	d.recordParts(id, plan)
	defer d.finishParts(id, plan)
	return spans.Run(ctx, d.spanDeps(manifest, r, sink), plan, spares, d.submit(r))
}

func (d *Dispatcher) planSpan(manifest *ManifestState, r forward.Request) (span.Plan, []span.Engine, *verdict.Error) {
	address := func(t names.Target) string {
		if entry, ok := manifest.Index.Target(t); ok {
			return entry.Address
		}
		return ""
	}
	engines := span.EligibleEngines(&r.Facts, d.Admitter.Candidates(r.Facts.Model), address)
	return span.MakePlan(&r.Facts, engines, d.SpanLimits.MaxEngines, time.Now())
}

func (d *Dispatcher) recordParts(id string, plan span.Plan) {
	for i, part := range plan.Parts {
		d.Admitter.PartStarted(load.Dispatch{ID: id + strconv.Itoa(i), Target: part.Engine.Target, Tokens: part.Tokens})
	}
}

func (d *Dispatcher) finishParts(id string, plan span.Plan) {
	for i := range plan.Parts {
		d.Admitter.PartFinished(id+strconv.Itoa(i), load.Neutral)
	}
}

// spanDeps returns the dependencies of a span. It derives the IDs of the parts'
// handles and streams from one random number for the span, so that each ID is a
// pure function of part and generation. The caller's ticket contains the stream
// ID of the last part.
func (d *Dispatcher) spanDeps(manifest *ManifestState, r forward.Request, sink forward.Sink) spans.Deps {
	base := rand.Uint64()
	scope := string(r.Facts.Customer)
	deadline := r.Facts.Deadline
	number := func(part, generation int) uint64 {
		return base + uint64(part)<<spanPartShift + uint64(generation)
	}
	return spans.Deps{
		Engine: func(t names.Target) (targetapi.Engine, error) { return d.engine(manifest, t) },
		HandleID: func(part, generation int) target.HandleID {
			return keeping.NewHandleID(scope, d.Host, d.Incarnation, deadline, number(part, generation))
		},
		StreamID: func(part, generation int) target.StreamID {
			return keeping.NewStreamID(scope, d.Host, d.Incarnation, deadline, number(part, generation))
		},
		AnswerStarted: func(t names.Target, id target.StreamID) {
			if setter, ok := sink.(streamSetter); ok {
				setter.setStream(id)
			}
			sink.SetTarget(t)
		},
		Token: sink.Token,
	}
}

// spanPartShift is the number of bits by which part numbers are shifted, so that
// they do not overlap the numbers of generations.
const spanPartShift = 16

// streamSetter is a sink that puts the ID of the stream into the caller's
// tickets.
type streamSetter interface {
	setStream(id target.StreamID)
}

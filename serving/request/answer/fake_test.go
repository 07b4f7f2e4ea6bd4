package answer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
)

const answerTokens = 12

// engine is a fake engine that holds one request's stream. Its faults are
// drawn from random.
type engine struct {
	targetapi.Engine
	name   names.Target
	random *rand.Rand
	// faulty is the chance of a fault at each frame, in percent.
	faulty int
	// crashing prompts kill the engine at the first frame.
	crashing bool
	// cuts is how many resumes are cut before their first frame.
	cuts    int
	held    bool
	crashes int
	submits int
}

func (e *engine) Submit(ctx context.Context, s target.Submit) (targetapi.Stream, error) {
	if e.random.IntN(100) < e.faulty {
		return nil, verdict.New(verdict.NotRun, verdict.TargetRefused, "busy")
	}
	e.submits++
	e.held = true
	if e.random.IntN(100) < e.faulty {
		return nil, verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "reset")
	}
	return &frames{ctx: ctx, engine: e, attempt: s.Attempt, next: s.StartOffset}, nil
}

func (e *engine) Resume(ctx context.Context, _ target.StreamID, attempt uint32, from int) (targetapi.Stream, error) {
	if !e.held {
		return nil, verdict.New(verdict.MayHaveRun, verdict.StreamUnknown, "unknown")
	}
	if e.cuts > 0 {
		e.cuts--
		return &frames{ctx: ctx, engine: e, ended: true}, nil
	}
	return &frames{ctx: ctx, engine: e, attempt: attempt, next: from}, nil
}

func (e *engine) crash() {
	e.held = false
	e.crashes++
}

// frames is one attempt's answer.
type frames struct {
	ctx     context.Context
	engine  *engine
	attempt uint32
	next    int
	ended   bool
}

func (f *frames) Close() error { return nil }

func (f *frames) Next() (target.Frame, error) {
	cut := verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
	if f.ended {
		return target.Frame{}, cut
	}
	if f.engine.crashing {
		f.engine.crash()
		return target.Frame{}, cut
	}
	frame := target.Frame{Attempt: f.attempt, Offset: f.next, Text: text(f.next), End: f.next >= answerTokens}
	if f.engine.random.IntN(100) >= f.engine.faulty {
		f.next++
		f.ended = frame.End
		return frame, nil
	}
	switch f.engine.random.IntN(7) {
	case 0:
		return frame, cut
	case 1:
		f.engine.crash()
		return frame, cut
	case 2: // a late frame of an attempt that was given up
		frame.Attempt--
		frame.Text = "late"
		return frame, nil
	case 3: // another request's answer
		frame.Attempt += 7
		frame.Text = "other"
		return frame, nil
	case 4: // the end, too soon
		f.ended = true
		return target.Frame{Attempt: f.attempt, Offset: f.next, End: true, Failure: "evicted"}, nil
	case 5: // a lost token
		f.next++
		return target.Frame{Attempt: f.attempt, Offset: f.next, Text: text(f.next), End: f.next >= answerTokens}, nil
	default: // silence
		select {
		case <-f.ctx.Done():
		case <-time.After(time.Hour):
		}
		return frame, cut
	}
}

func text(offset int) string { return "t" + strconv.Itoa(offset) + " " }

// fleet places attempts at engines in turn, and suspects at the last one.
type fleet struct {
	engines  []*engine
	next     int
	isolated int
	used     int
}

func (f *fleet) Place(_ context.Context, want Want) (Placement, error) {
	e := f.engines[len(f.engines)-1]
	if want.Isolate {
		f.isolated++
	} else {
		e = f.engines[f.next%(len(f.engines)-1)]
		f.next++
	}
	f.used++
	return Placement{Target: e.name, Engine: e, Release: func() { f.used-- }}, nil
}

func (f *fleet) crashes() (n int) {
	for _, e := range f.engines {
		n += e.crashes
	}
	return n
}

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

// fakeEngine is an engine that holds the stream of one request. Its faults are
// chosen by random.
type fakeEngine struct {
	targetapi.Engine
	name   names.Target
	random *rand.Rand
	// faultPercent is the probability of a fault at each frame, in percent.
	faultPercent int
	// crashesOnPrompt makes the engine crash at the first frame.
	crashesOnPrompt bool
	// cutResumes is the number of next resumes that are cut before their first
	// frame.
	cutResumes  int
	holdsStream bool
	crashes     int
	submits     int
}

func (e *fakeEngine) Submit(ctx context.Context, s target.Submit) (targetapi.Stream, error) {
	if e.random.IntN(100) < e.faultPercent {
		return nil, verdict.New(verdict.NotRun, verdict.TargetRefused, "busy")
	}
	e.submits++
	e.holdsStream = true
	if e.random.IntN(100) < e.faultPercent {
		return nil, verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "reset")
	}
	return &fakeStream{ctx: ctx, engine: e, attempt: s.Attempt, next: s.StartOffset}, nil
}

func (e *fakeEngine) Resume(ctx context.Context, _ target.StreamID, attempt uint32, from int) (targetapi.Stream, error) {
	if !e.holdsStream {
		return nil, verdict.New(verdict.MayHaveRun, verdict.StreamUnknown, "unknown")
	}
	if e.cutResumes > 0 {
		e.cutResumes--
		return &fakeStream{ctx: ctx, engine: e, ended: true}, nil
	}
	return &fakeStream{ctx: ctx, engine: e, attempt: attempt, next: from}, nil
}

func (e *fakeEngine) crash() {
	e.holdsStream = false
	e.crashes++
}

// fakeStream is the answer to one attempt.
type fakeStream struct {
	ctx     context.Context
	engine  *fakeEngine
	attempt uint32
	next    int
	ended   bool
}

func (f *fakeStream) Close() error { return nil }

func (f *fakeStream) Next() (target.Frame, error) {
	cut := verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
	if f.ended {
		return target.Frame{}, cut
	}
	if f.engine.crashesOnPrompt {
		f.engine.crash()
		return target.Frame{}, cut
	}
	frame := target.Frame{Attempt: f.attempt, Offset: f.next, Text: tokenText(f.next), End: f.next >= answerTokens}
	if f.engine.random.IntN(100) >= f.engine.faultPercent {
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
	case 2: // a stale frame of an earlier attempt
		frame.Attempt--
		frame.Text = "late"
		return frame, nil
	case 3: // another request's answer
		frame.Attempt += 7
		frame.Text = "other"
		return frame, nil
	case 4: // an early end
		f.ended = true
		return target.Frame{Attempt: f.attempt, Offset: f.next, End: true, Failure: "evicted"}, nil
	case 5: // a lost token
		f.next++
		return target.Frame{Attempt: f.attempt, Offset: f.next, Text: tokenText(f.next), End: f.next >= answerTokens}, nil
	default: // a stall
		select {
		case <-f.ctx.Done():
		case <-time.After(time.Hour):
		}
		return frame, cut
	}
}

func tokenText(offset int) string { return "t" + strconv.Itoa(offset) + " " }

// fakeFleet places suspects at the last engine and other attempts at the rest in
// turn.
type fakeFleet struct {
	engines        []*fakeEngine
	next           int
	isolated       int
	openPlacements int
}

func (f *fakeFleet) Place(_ context.Context, want PlacementRequest) (Placement, error) {
	e := f.engines[len(f.engines)-1]
	if want.Isolate {
		f.isolated++
	} else {
		e = f.engines[f.next%(len(f.engines)-1)]
		f.next++
	}
	f.openPlacements++
	return Placement{Target: e.name, Engine: e, Release: func() { f.openPlacements-- }}, nil
}

func (f *fakeFleet) crashes() (n int) {
	for _, e := range f.engines {
		n += e.crashes
	}
	return n
}

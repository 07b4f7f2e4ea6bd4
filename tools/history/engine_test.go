package history

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/answer"
	"github.com/cespare/xxhash/v2"
)

// engine is a fake engine that keeps its streams until it crashes.
type engine struct {
	targetapi.Engine
	name names.Target
	seed uint64

	mu      sync.Mutex
	streams map[target.StreamID]bool
	down    bool
}

// pseudoRandom returns a number below n that depends only on labels.
func pseudoRandom(n int, labels ...any) int {
	return int(xxhash.Sum64String(fmt.Sprint(labels...)) % uint64(n))
}

// token returns the text of the token at an offset of a stream, and whether the
// offset is below tokenCount(stream).
func token(stream string, offset int) (string, bool) {
	return fmt.Sprint(stream, "#", offset), offset < tokenCount(stream)
}

func tokenCount(stream string) int { return 5 + pseudoRandom(25, "tokens", stream) }

// Submit implements targetapi.Engine.
func (e *engine) Submit(ctx context.Context, s target.Submit) (targetapi.Stream, error) {
	if e.isDown() {
		return nil, refusedConnection()
	}
	e.mu.Lock()
	e.streams[s.Stream] = true
	e.mu.Unlock()
	return &engineStream{ctx: ctx, engine: e, id: s.Stream, attempt: s.Attempt, next: s.StartOffset}, nil
}

// Resume implements targetapi.Engine.
func (e *engine) Resume(ctx context.Context, id target.StreamID, attempt uint32, from int) (targetapi.Stream, error) {
	if e.isDown() {
		return nil, refusedConnection()
	}
	if !e.hasStream(id) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.StreamUnknown, "unknown")
	}
	return &engineStream{ctx: ctx, engine: e, id: id, attempt: attempt, next: from}, nil
}

func refusedConnection() error {
	return verdict.Wrap(syscall.ECONNREFUSED, verdict.NotRun, verdict.TargetUnreachable, "refused")
}

func (e *engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func (e *engine) hasStream(id target.StreamID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// crash drops all streams and refuses connections for the time down.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	e.streams, e.down = map[target.StreamID]bool{}, true
	e.mu.Unlock()
	time.Sleep(down)
	e.mu.Lock()
	e.down = false
	e.mu.Unlock()
}

// engineStream is a connection that returns the frames of a stream, with faults
// drawn from the seed: cut answers, and frames of another attempt.
type engineStream struct {
	ctx     context.Context
	engine  *engine
	id      target.StreamID
	attempt uint32
	next    int
	sent    int
}

// Close implements targetapi.Stream.
func (s *engineStream) Close() error { return nil }

// Next implements targetapi.Stream.
func (s *engineStream) Next() (target.Frame, error) {
	s.sent++
	step := fmt.Sprint(s.engine.seed, s.engine.name, s.id, s.attempt, "/", s.next, "/", s.sent)
	cut := verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
	select {
	case <-time.After(1 + time.Duration(pseudoRandom(int(200*time.Millisecond), "step", step))):
	case <-s.ctx.Done():
		return target.Frame{}, cut
	}
	if !s.engine.hasStream(s.id) {
		return target.Frame{}, cut
	}
	text, more := token(string(s.id), s.next)
	frame := target.Frame{Attempt: s.attempt, Offset: s.next, Text: text, End: !more}
	switch pseudoRandom(60, "fault", step) {
	case 0:
		return frame, cut
	case 1:
		frame.Attempt, frame.Text = s.attempt-1, "late"
	case 2:
		frame.Attempt, frame.Text = s.attempt+9, "another's"
	default:
		s.next++
	}
	return frame, nil
}

// enginePool places attempts at engines in turn. The last engine is reserved for
// isolated requests, one at a time.
type enginePool struct {
	all []*engine

	mu   sync.Mutex
	next int
	// isolated has a capacity of one and is full while an isolated request runs.
	isolated chan struct{}
}

// Place implements answer.Targets.
func (p *enginePool) Place(ctx context.Context, want answer.PlacementRequest) (answer.Placement, error) {
	last := p.all[len(p.all)-1]
	if want.Isolate {
		select {
		case p.isolated <- struct{}{}:
			return answer.Placement{Target: last.name, Engine: last, Release: func() { <-p.isolated }}, nil
		case <-ctx.Done():
			return answer.Placement{}, verdict.New(verdict.NotRun, verdict.NoTarget, "none is free")
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.all[p.next%(len(p.all)-1)]
	p.next++
	return answer.Placement{Target: e.name, Engine: e, Release: func() {}}, nil
}

// placementAt returns a placement at the named engine.
func (p *enginePool) placementAt(name names.Target) answer.Placement {
	for _, e := range p.all {
		if e.name == name {
			return answer.Placement{Target: name, Engine: e, Release: func() {}}
		}
	}
	return answer.Placement{}
}

package dispatch

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

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
	answerTokens int
	// started is set with the first token; next is the number of the next.
	started atomic.Bool
	next    atomic.Int64
	// moving is set when the work has to leave its target; cancel ends the
	// reading of its stream.
	moving atomic.Bool
	mu     sync.Mutex
	cancel context.CancelFunc
}

// move makes the attempt end with TargetLeaving, so that another follows
// elsewhere.
func (p *placed) move() {
	p.moving.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel()
	}
}

// cancellable returns a context that move ends.
func (p *placed) cancellable(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
	return ctx
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
	// began is set once the request was placed.
	began bool
	// spanning is set once admission has said that the prompt needs several
	// engines.
	spanning bool
}

var _ answer.Targets = (*placing)(nil)

// Place implements answer.Targets. A request that has run before is not
// refused for want of capacity: it waits, since it was admitted.
func (p *placing) Place(ctx context.Context, want answer.Want) (answer.Placement, error) {
	action := p.d.Admitter.Arrive(p.arrival(want))
	for p.began && outOfCapacity(action) && pause(ctx) {
		action = p.d.Admitter.Arrive(p.arrival(want))
	}
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

// replaceEvery is the time between two tries to place a request again.
const replaceEvery = 100 * time.Millisecond

func outOfCapacity(action admission.Action) bool {
	if action.Kind != admission.Refuse {
		return false
	}
	return action.Refusal.Reason == verdict.Overloaded || action.Refusal.Reason == verdict.QueueFull
}

// pause waits before another try, and reports whether there is time for it.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(replaceEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// errSpan ends the attempts at single engines. Its reason is one that is not
// retried; it never reaches a caller.
var errSpan = verdict.New(verdict.NotRun, verdict.PromptTooLong, "the prompt needs several engines")

func (p *placing) arrival(want answer.Want) admission.Arrival {
	request := p.request
	request.ID = request.ID + "." + strconv.Itoa(p.made)
	request.DeliveredTokens = want.From
	request.Isolate = want.Isolate
	p.made++
	return admission.Arrival{Request: request, Share: p.share, Bytes: p.bytes, Exclude: want.Avoid}
}

func (p *placing) start(action admission.Action) (answer.Placement, error) {
	p.began = true
	state := &placed{request: action.Request, priority: action.Priority, outcome: load.Neutral}
	state.next.Store(int64(action.Request.DeliveredTokens))
	at := action.Decision.Target
	p.d.active.add(at, state)
	release := sync.OnceFunc(func() {
		p.d.active.remove(at, state)
		p.d.Admitter.Finished(state.request.ID, state.outcome, state.answerTokens)
	})
	engine, err := p.d.engine(p.view, at)
	if err != nil {
		release()
		return answer.Placement{}, err
	}
	watched := &observed{
		Engine:  engine,
		placed:  state,
		started: func() { p.d.Admitter.FirstToken(state.request.ID) },
		told: func(report target.Report) {
			report.Target = at
			p.d.Admitter.Told(report)
		},
	}
	return answer.Placement{Target: at, Engine: watched, Release: release}, nil
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

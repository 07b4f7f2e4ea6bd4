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

// placementState is the state of one placement.
type placementState struct {
	request      facts.Request
	priority     int
	outcome      load.Outcome
	answerTokens int
	// started is set when the first token arrives.
	started atomic.Bool
	// nextOffset is the offset of the next token.
	nextOffset atomic.Int64
	// moving is set when the work has to leave its target.
	moving atomic.Bool
	mu     sync.Mutex
	// cancel cancels the reading of the stream. It is protected by mu.
	cancel context.CancelFunc
}

// startMove ends the attempt with the reason TargetLeaving, so that another
// attempt continues at another target.
func (p *placementState) startMove() {
	p.moving.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel()
	}
}

// cancellable returns a context that startMove cancels.
func (p *placementState) cancellable(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
	return ctx
}

// placer places the attempts of one generation through admission. It implements
// answer.Targets.
type placer struct {
	d        *Dispatcher
	manifest *ManifestState
	request  facts.Request
	bytes    int
	share    float64
	// arrivals is the number of arrivals so far, which makes their IDs unique.
	arrivals int
	// placed is set once an attempt has been placed.
	placed bool
	// needsSpan is set once admission has decided that the prompt needs several
	// engines.
	needsSpan bool
}

var _ answer.Targets = (*placer)(nil)

// Place implements answer.Targets. A request that was placed before is not
// refused for lack of capacity, because it was admitted: Place waits until there
// is capacity or the context ends.
func (p *placer) Place(ctx context.Context, want answer.PlacementRequest) (answer.Placement, error) {
	action := p.d.Admitter.Admit(p.arrival(want))
	for p.placed && isOutOfCapacity(action) && waitForRetry(ctx) {
		action = p.d.Admitter.Admit(p.arrival(want))
	}
	switch action.Kind {
	case admission.Start:
		return p.start(action)
	case admission.Span:
		p.needsSpan = true
		return answer.Placement{}, errNeedsSpan
	default:
		return answer.Placement{}, action.Refusal
	}
}

// placementRetryInterval is the time between two tries to place a request that
// was placed before.
const placementRetryInterval = 100 * time.Millisecond

func isOutOfCapacity(action admission.Action) bool {
	if action.Kind != admission.Refuse {
		return false
	}
	return action.Refusal.Reason == verdict.Overloaded || action.Refusal.Reason == verdict.QueueFull
}

// waitForRetry waits for placementRetryInterval. It returns false if the context
// ends first.
func waitForRetry(ctx context.Context) bool {
	timer := time.NewTimer(placementRetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// errNeedsSpan ends the attempts at single engines. Its reason is not retried,
// and it never reaches a caller, because the prompt is then run as a span.
var errNeedsSpan = verdict.New(verdict.NotRun, verdict.PromptTooLong, "the prompt needs several engines")

func (p *placer) arrival(want answer.PlacementRequest) admission.Arrival {
	request := p.request
	request.ID = request.ID + "." + strconv.Itoa(p.arrivals)
	request.DeliveredTokens = want.From
	request.Isolate = want.Isolate
	p.arrivals++
	return admission.Arrival{Request: request, Share: p.share, Bytes: p.bytes, Exclude: want.Avoid}
}

func (p *placer) start(action admission.Action) (answer.Placement, error) {
	p.placed = true
	state := &placementState{request: action.Request, priority: action.Priority, outcome: load.Neutral}
	state.nextOffset.Store(int64(action.Request.DeliveredTokens))
	at := action.Decision.Target
	p.d.active.add(at, state)
	release := sync.OnceFunc(func() {
		p.d.active.remove(at, state)
		p.d.Admitter.Finished(state.request.ID, state.outcome, state.answerTokens)
	})
	engine, err := p.d.engine(p.manifest, at)
	if err != nil {
		release()
		return answer.Placement{}, err
	}
	watched := &observedEngine{
		Engine:       engine,
		placement:    state,
		onFirstToken: func() { p.d.Admitter.FirstToken(state.request.ID) },
		onReport: func(report target.Report) {
			report.Target = at
			p.d.Admitter.ReportFromAnswer(report)
		},
	}
	return answer.Placement{Target: at, Engine: watched, Release: release}, nil
}

// heldPlacement returns a placement for a stream that a target already runs. It
// bypasses admission, because the target does the work regardless of which daemon
// reads the stream.
func (d *Dispatcher) heldPlacement(manifest *ManifestState, t names.Target) (answer.Placement, error) {
	engine, err := d.engine(manifest, t)
	if err != nil {
		return answer.Placement{}, err
	}
	return answer.Placement{Target: t, Engine: engine, Release: func() {}}, nil
}

package calls

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/process/owned"
	"carobspoke.example/core/verdict"
)

// ownedCalls is the table of the calls that this incarnation owns, with the means
// to wait for running ones. It is safe for concurrent use.
type ownedCalls struct {
	mu      sync.Mutex
	table   *owned.Table
	running map[string]*runningCall
}

// runningCall is a call that is running. answer is valid once done is closed.
type runningCall struct {
	done   chan struct{}
	answer owned.Answer
}

func newOwnedCalls(limits owned.Limits) *ownedCalls {
	return &ownedCalls{table: owned.New(limits), running: make(map[string]*runningCall)}
}

// do runs a call, unless an earlier send of the call runs or ran it. It then
// returns the answer of that send and sets replayed. now returns the time since
// the incarnation started.
func (o *ownedCalls) do(ctx context.Context, c owned.Call, now func() time.Duration, run func() owned.Answer) (answer owned.Answer, replayed bool) {
	decision, running := o.begin(c, now)
	switch decision.Action {
	case owned.Run:
		return o.run(c.ID, running, now, run), false
	case owned.Join:
		return running.wait(ctx), true
	case owned.Replay:
		return decision.Answer, true
	default:
		return owned.Answer{Failure: decision.Refusal}, false
	}
}

// begin decides about a send and returns the call if it is running. It reads the
// clock while it holds the lock, so that the table's time never decreases.
func (o *ownedCalls) begin(c owned.Call, now func() time.Duration) (owned.Decision, *runningCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	decision := o.table.Begin(c, now())
	if decision.Action == owned.Run {
		o.running[c.ID] = &runningCall{done: make(chan struct{})}
	}
	return decision, o.running[c.ID]
}

// run runs a call and stores its answer. If run panics, the stored answer is a
// failure with MayHaveRun.
func (o *ownedCalls) run(id string, running *runningCall, now func() time.Duration, run func() owned.Answer) owned.Answer {
	running.answer.Failure = verdict.New(verdict.MayHaveRun, verdict.Internal, "the call was interrupted")
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.table.Finish(id, running.answer, now())
		delete(o.running, id)
		close(running.done)
	}()
	running.answer = run()
	return running.answer
}

// commit checks, immediately before a request is written to a replica, whether
// it may be written.
func (o *ownedCalls) commit(id string, now func() time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Commit(id, now())
}

func (o *ownedCalls) size() (calls, answerBytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Len(), o.table.AnswerBytes()
}

// wait waits for the answer of a call that an earlier send started.
func (r *runningCall) wait(ctx context.Context) owned.Answer {
	select {
	case <-r.done:
		return r.answer
	case <-ctx.Done():
		return owned.Answer{Failure: verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.DeadlineExceeded, "the call is still running")}
	}
}

package calls

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/process/owned"
	"carobspoke.example/core/verdict"
)

// owner shares the table of owned calls among requests.
type owner struct {
	mu      sync.Mutex
	table   *owned.Table
	running map[string]*flight
}

// flight is a running call. Answer is set before done is closed.
type flight struct {
	done   chan struct{}
	answer owned.Answer
}

func newOwner(limits owned.Limits) *owner {
	return &owner{table: owned.New(limits), running: make(map[string]*flight)}
}

// do runs the call if this send is the one that may, and else returns the
// answer of the send that did; replayed then is true.
func (o *owner) do(ctx context.Context, c owned.Call, age func() time.Duration, run func() owned.Answer) (answer owned.Answer, replayed bool) {
	decision, f := o.begin(c, age)
	switch decision.Action {
	case owned.Run:
		return o.run(c.ID, f, age, run), false
	case owned.Join:
		return f.wait(ctx), true
	case owned.Replay:
		return decision.Answer, true
	default:
		return owned.Answer{Failure: decision.Refusal}, false
	}
}

// begin reads the clock under the lock, so that the table sees it in order.
func (o *owner) begin(c owned.Call, age func() time.Duration) (owned.Decision, *flight) {
	o.mu.Lock()
	defer o.mu.Unlock()
	decision := o.table.Begin(c, age())
	if decision.Action == owned.Run {
		o.running[c.ID] = &flight{done: make(chan struct{})}
	}
	return decision, o.running[c.ID]
}

// run records an outcome even if run panics.
func (o *owner) run(id string, f *flight, age func() time.Duration, run func() owned.Answer) owned.Answer {
	f.answer.Failure = verdict.New(verdict.MayHaveRun, verdict.Internal, "the call was interrupted")
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.table.Finish(id, f.answer, age())
		delete(o.running, id)
		close(f.done)
	}()
	f.answer = run()
	return f.answer
}

// commit is the check immediately before a write.
func (o *owner) commit(id string, age func() time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Commit(id, age())
}

func (o *owner) size() (calls, answerBytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Len(), o.table.AnswerBytes()
}

func (f *flight) wait(ctx context.Context) owned.Answer {
	select {
	case <-f.done:
		return f.answer
	case <-ctx.Done():
		return owned.Answer{Failure: verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.DeadlineExceeded, "the call is still running")}
	}
}

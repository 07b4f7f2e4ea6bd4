package load

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/load/caller"
	"carobspoke.example/tools/load/measure"
	"carobspoke.example/tools/load/workload"
)

// Limits of a request's time.
const (
	// overdue is how much later than its time an end is counted as overdue.
	overdue = 500 * time.Millisecond
)

// retryStream is the stream of random numbers of callers' own decisions.
const retryStream = 1 << 40

// Run is a run of a workload.
type Run struct {
	Workload *workload.Workload
	Schedule []workload.Request
	Caller   caller.Caller
	Label    string
	// Standins are the stand-ins that faults go to and checks read; nil if
	// they are unknown.
	Standins *Standins
	// Cause carries out the faults that stand-ins cannot, and reports whether
	// it did; it may be nil. It is called by a goroutine of its own.
	Cause func(ctx context.Context, f workload.Fault) bool
	// Settle is how long the engines may take to be empty after the run.
	Settle time.Duration
}

// runner is a run while it runs.
type runner struct {
	Run
	start    time.Time
	recorder *measure.Recorder
	calls    *callLog

	mu       sync.Mutex
	inFlight int
	most     int
}

// Do sends the schedule and returns what was seen. It ends early if ctx does.
func (r Run) Do(ctx context.Context) (*measure.Result, error) {
	current := &runner{Run: r, start: time.Now(), recorder: measure.NewRecorder(), calls: &callLog{}}
	faults, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	go current.cause(faults)
	current.send(ctx)
	return current.result(ctx)
}

// cause carries out the workload's faults at their times.
func (r *runner) cause(ctx context.Context) {
	faults := slices.Clone(r.Workload.Faults)
	slices.SortStableFunc(faults, func(a, b workload.Fault) int { return cmp.Compare(a.At, b.At) })
	for _, f := range faults {
		if !waitUntil(ctx, r.start.Add(time.Duration(f.At))) {
			return
		}
		go r.causeOne(ctx, f)
	}
}

func (r *runner) causeOne(ctx context.Context, f workload.Fault) {
	if r.Cause != nil && r.Cause(ctx, f) {
		return
	}
	if r.Standins != nil {
		r.Standins.command(ctx, f)
	}
}

// send starts each request at its time and returns when all have ended.
func (r *runner) send(ctx context.Context) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for i := range r.Schedule {
		request := &r.Schedule[i]
		if !waitUntil(ctx, r.start.Add(request.At)) {
			return
		}
		sent.Go(func() { r.one(ctx, request) })
	}
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) one(ctx context.Context, request *workload.Request) {
	r.count(1)
	defer r.count(-1)
	due := r.start.Add(request.At)
	sent := time.Now()
	ctx, cancel := context.WithDeadline(ctx, due.Add(request.Timeout+caller.Grace))
	defer cancel()
	random := rand.New(rand.NewPCG(r.Workload.Seed, retryStream+uint64(request.Index)))
	answer := r.ask(ctx, request, random)
	r.recorder.Add(r.sample(request, due, sent, answer))
	if request.Call != nil {
		r.calls.add(request, answer)
	}
}

func (r *runner) ask(ctx context.Context, request *workload.Request, random *rand.Rand) caller.Answer {
	if request.Call != nil {
		return r.Caller.Call(ctx, request, random)
	}
	return r.Caller.Generate(ctx, request, random)
}

func (r *runner) sample(request *workload.Request, due, sent time.Time, answer caller.Answer) measure.Sample {
	ended := time.Since(due)
	s := measure.Sample{
		Request: request.Name(),
		Limit:   request.Timeout,
		At:      request.At,
		Class:   request.Class,
		Crest:   request.Crest,
		Short:   len(r.Workload.Classes) > 0 && request.Class == r.Workload.Classes[0].Name,
		Late:    sent.Sub(due),
		Whole:   answer.Whole,
		Verdict: answer.Verdict,
		Code:    answer.Code,
		Total:   ended,
		Sends:   answer.Sends,
		Resumes: answer.Resumes,
		Wrong:   answer.Wrong,
		Overdue: ended > request.Timeout+overdue,
	}
	if len(answer.Tokens) > 0 {
		s.FirstToken = answer.Tokens[0].Sub(due)
	}
	for i := 1; i < len(answer.Tokens); i++ {
		s.InterToken = append(s.InterToken, answer.Tokens[i].Sub(answer.Tokens[i-1]))
	}
	if answer.Whole {
		s.Verdict = verdict.Ran
	}
	return s
}

func (r *runner) count(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight += change
	r.most = max(r.most, r.inFlight)
}

func (r *runner) result(ctx context.Context) (*measure.Result, error) {
	result := &measure.Result{
		Workload:    r.Workload.Name,
		Seed:        r.Workload.Seed,
		Label:       r.Label,
		Speedup:     r.Workload.Speedup,
		Seconds:     time.Duration(r.Workload.Duration).Seconds(),
		MaxInFlight: r.most,
	}
	if err := r.recorder.Fill(result); err != nil {
		return nil, err
	}
	if r.Standins != nil {
		r.Standins.check(ctx, r.calls.list(), r.Settle, &result.Checks)
	}
	return result, nil
}

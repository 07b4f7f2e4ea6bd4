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

const (
	// overdueMargin is how long after its deadline a request may end before it
	// is counted as overdue.
	overdueMargin = 500 * time.Millisecond
)

// retryStream is the first of the PCG streams, one for each request, from which
// callers draw retry delays, daemons and targets. It is above all streams that
// schedules use.
const retryStream = 1 << 40

// Run is the configuration of one run of a workload.
type Run struct {
	Workload *workload.Workload
	Schedule []workload.Request
	Caller   caller.Caller
	Label    string
	// Standins are the stand-ins that receive faults and whose records are
	// checked; nil if they are unknown.
	Standins *Standins
	// FaultHook handles faults that stand-ins cannot inject, and reports whether
	// it handled f; it may be nil. Each call is in a separate goroutine.
	FaultHook func(ctx context.Context, f workload.Fault) bool
	// SettleTimeout bounds the wait for engines to release all resources after
	// the run.
	SettleTimeout time.Duration
}

// runner is the state of a run in progress.
type runner struct {
	Run
	start    time.Time
	recorder *measure.Recorder
	calls    *callLog

	mu          sync.Mutex
	inFlight    int
	maxInFlight int
}

// Do sends the schedule, waits until all requests have ended and returns the
// result. If ctx ends, Do sends no further requests and cancels those in
// flight.
func (r Run) Do(ctx context.Context) (*measure.Result, error) {
	current := &runner{Run: r, start: time.Now(), recorder: measure.NewRecorder(), calls: &callLog{}}
	faults, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	go current.injectFaults(faults)
	current.sendSchedule(ctx)
	return current.result(ctx)
}

// injectFaults injects the workload's faults at their scheduled times.
func (r *runner) injectFaults(ctx context.Context) {
	faults := slices.Clone(r.Workload.Faults)
	slices.SortStableFunc(faults, func(a, b workload.Fault) int { return cmp.Compare(a.At, b.At) })
	for _, f := range faults {
		if !waitUntil(ctx, r.start.Add(time.Duration(f.At))) {
			return
		}
		go r.injectFault(ctx, f)
	}
}

func (r *runner) injectFault(ctx context.Context, f workload.Fault) {
	if r.FaultHook != nil && r.FaultHook(ctx, f) {
		return
	}
	if r.Standins != nil {
		r.Standins.sendFault(ctx, f)
	}
}

// sendSchedule starts each request at its scheduled time and returns when all
// have ended.
func (r *runner) sendSchedule(ctx context.Context) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for i := range r.Schedule {
		request := &r.Schedule[i]
		if !waitUntil(ctx, r.start.Add(request.At)) {
			return
		}
		sent.Go(func() { r.sendRequest(ctx, request) })
	}
}

// waitUntil waits until a time and returns true, or returns false as soon as ctx
// ends.
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

func (r *runner) sendRequest(ctx context.Context, request *workload.Request) {
	r.addInFlight(1)
	defer r.addInFlight(-1)
	due := r.start.Add(request.At)
	sent := time.Now()
	ctx, cancel := context.WithDeadline(ctx, due.Add(request.Timeout+caller.DeadlineGrace))
	defer cancel()
	random := rand.New(rand.NewPCG(r.Workload.Seed, retryStream+uint64(request.Index)))
	answer := r.execute(ctx, request, random)
	r.recorder.Add(r.sample(request, due, sent, answer))
	if request.Call != nil {
		r.calls.add(request, answer)
	}
}

func (r *runner) execute(ctx context.Context, request *workload.Request, random *rand.Rand) caller.Answer {
	if request.Call != nil {
		return r.Caller.Call(ctx, request, random)
	}
	return r.Caller.Generate(ctx, request, random)
}

func (r *runner) sample(request *workload.Request, due, sent time.Time, answer caller.Answer) measure.Sample {
	ended := time.Since(due)
	s := measure.Sample{
		Request:              request.Name(),
		Timeout:              request.Timeout,
		At:                   request.At,
		Class:                request.Class,
		Peak:                 request.Crest,
		FirstTokenInTimeline: len(r.Workload.Classes) > 0 && request.Class == r.Workload.Classes[0].Name,
		Lateness:             sent.Sub(due),
		Complete:             answer.Complete,
		Verdict:              answer.Verdict,
		Code:                 answer.Code,
		Total:                ended,
		Retries:              answer.Retries,
		Resumes:              answer.Resumes,
		WrongTokens:          answer.WrongTokens,
		Overdue:              ended > request.Timeout+overdueMargin,
	}
	if len(answer.TokenTimes) > 0 {
		s.FirstToken = answer.TokenTimes[0].Sub(due)
	}
	for i := 1; i < len(answer.TokenTimes); i++ {
		s.InterToken = append(s.InterToken, answer.TokenTimes[i].Sub(answer.TokenTimes[i-1]))
	}
	if answer.Complete {
		s.Verdict = verdict.Ran
	}
	return s
}

func (r *runner) addInFlight(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight += change
	r.maxInFlight = max(r.maxInFlight, r.inFlight)
}

func (r *runner) result(ctx context.Context) (*measure.Result, error) {
	result := &measure.Result{
		Workload:    r.Workload.Name,
		Seed:        r.Workload.Seed,
		Label:       r.Label,
		Speedup:     r.Workload.Speedup,
		Seconds:     time.Duration(r.Workload.Duration).Seconds(),
		MaxInFlight: r.maxInFlight,
	}
	if err := r.recorder.Fill(result); err != nil {
		return nil, err
	}
	if r.Standins != nil {
		r.Standins.check(ctx, r.calls.list(), r.SettleTimeout, &result.Checks)
	}
	return result, nil
}

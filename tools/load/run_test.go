package load

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/load/caller"
	"carobspoke.example/tools/load/measure"
	"carobspoke.example/tools/load/workload"
)

// Load on stallingServer, and its behaviour.
const (
	arrivalInterval = 20 * time.Millisecond
	serviceTime     = 10 * time.Millisecond
	stallAt         = 2 * time.Second
	stallDuration   = 2 * time.Second
	requests        = 500
)

// stallingServer is a caller that answers one request at a time and stalls once.
type stallingServer struct {
	free    chan struct{} // holds a value while no request is served
	start   time.Time
	stalled bool
}

func newStallingServer() *stallingServer {
	s := &stallingServer{free: make(chan struct{}, 1), start: time.Now()}
	s.free <- struct{}{}
	return s
}

func (s *stallingServer) Generate(context.Context, *workload.Request, *rand.Rand) caller.Answer {
	<-s.free
	defer func() { s.free <- struct{}{} }()
	if !s.stalled && time.Since(s.start) >= stallAt {
		s.stalled = true
		time.Sleep(stallDuration)
	}
	time.Sleep(serviceTime)
	return caller.Answer{Complete: true, Verdict: verdict.Ran, TokenTimes: []time.Time{time.Now()}}
}

func (s *stallingServer) Call(context.Context, *workload.Request, *rand.Rand) caller.Answer {
	return caller.Answer{}
}

// expectedLatencies returns the latencies of all requests, sorted, by the
// recurrence of a queue with one server (Lindley).
func expectedLatencies() []time.Duration {
	free := time.Duration(0)
	stalled := false
	latencies := make([]time.Duration, 0, requests)
	for i := range requests {
		at := time.Duration(i) * arrivalInterval
		begin := max(at, free)
		if !stalled && begin >= stallAt {
			stalled = true
			begin += stallDuration
		}
		free = begin + serviceTime
		latencies = append(latencies, free-at)
	}
	slices.Sort(latencies)
	return latencies
}

// TestStallDelaysEveryQueuedRequest guards against coordinated omission: it
// compares the recorded latencies with those of a queue with one server. A
// closed-loop tool, which sends one request after another and measures from the
// time of sending, records the stall only once.
func TestStallDelaysEveryQueuedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := Run{Workload: &workload.Workload{Duration: workload.Duration(requests * arrivalInterval)}}
		for i := range requests {
			at := time.Duration(i) * arrivalInterval
			run.Schedule = append(run.Schedule, workload.Request{Index: i, At: at, Class: "short", Timeout: time.Minute})
		}
		run.Caller = newStallingServer()
		result, err := run.Do(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		got := result.Find("short", measure.AllPhases).FirstToken
		want := expectedLatencies()
		assertNear(t, "p50", got.P50MS, want[requests*50/100-1])
		assertNear(t, "p90", got.P90MS, want[requests*90/100-1])
		assertNear(t, "p99", got.P99MS, want[requests*99/100-1])
		assertNear(t, "max", got.MaxMS, want[requests-1])
		if closed := measureClosedLoop(t); got.P90MS < 50*closed.P90MS {
			t.Fatalf("open loop p90 %.1f ms, closed loop p90 %.1f ms: expected a factor of at least 50", got.P90MS, closed.P90MS)
		}
	})
}

// assertNear fails the test if a latency in milliseconds differs from the
// expected one by more than 0.2%. Histograms keep three significant figures.
func assertNear(t *testing.T, what string, got float64, want time.Duration) {
	t.Helper()
	wanted := float64(want) / float64(time.Millisecond)
	if math.Abs(got-wanted) > 0.002*wanted {
		t.Errorf("%s: recorded %.3f ms, expected %.3f ms", what, got, wanted)
	}
}

// measureClosedLoop returns the latencies that a closed-loop tool records.
func measureClosedLoop(t *testing.T) measure.Latency {
	t.Helper()
	server := newStallingServer()
	recorder := measure.NewRecorder()
	for range requests {
		sent := time.Now()
		server.Generate(t.Context(), nil, nil)
		took := time.Since(sent)
		recorder.Add(measure.Sample{Class: "short", Complete: true, FirstToken: took, Total: took})
		time.Sleep(max(0, arrivalInterval-took))
	}
	var result measure.Result
	if err := recorder.Fill(&result); err != nil {
		t.Fatal(err)
	}
	return result.Find("short", measure.AllPhases).FirstToken
}

func TestChecksCountEachViolation(t *testing.T) {
	runs := map[uint64]int{1: 1, 2: 2, 3: 2, 4: 1}
	calls := []callRecord{
		{digest: 1, complete: true},
		{digest: 2, complete: true},
		{digest: 3, complete: true, repeatable: true},
		{digest: 4, notRun: true},
		{digest: 5, notRun: true},
		{digest: 6, complete: true},
	}
	var got measure.Checks
	compareRuns(calls, runs, &got)
	want := measure.Checks{RepeatedCalls: 1, FalselyNotRun: 1, FalselyAnswered: 1}
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

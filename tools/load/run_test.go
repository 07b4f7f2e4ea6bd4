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

// Shape of the server below.
const (
	spacing  = 20 * time.Millisecond
	work     = 10 * time.Millisecond
	stallAt  = 2 * time.Second
	stall    = 2 * time.Second
	requests = 500
)

// serial is a server that answers one request at a time and stalls once.
type serial struct {
	free    chan struct{} // holds a value while the server is free
	start   time.Time
	stalled bool
}

func newSerial() *serial {
	s := &serial{free: make(chan struct{}, 1), start: time.Now()}
	s.free <- struct{}{}
	return s
}

func (s *serial) Generate(context.Context, *workload.Request, *rand.Rand) caller.Answer {
	<-s.free
	defer func() { s.free <- struct{}{} }()
	if !s.stalled && time.Since(s.start) >= stallAt {
		s.stalled = true
		time.Sleep(stall)
	}
	time.Sleep(work)
	return caller.Answer{Whole: true, Verdict: verdict.Ran, Tokens: []time.Time{time.Now()}}
}

func (s *serial) Call(context.Context, *workload.Request, *rand.Rand) caller.Answer {
	return caller.Answer{}
}

// expected returns the latencies that the arrivals meet, by the recurrence of
// a queue with one server.
func expected() []time.Duration {
	free := time.Duration(0)
	stalled := false
	latencies := make([]time.Duration, 0, requests)
	for i := range requests {
		at := time.Duration(i) * spacing
		begin := max(at, free)
		if !stalled && begin >= stallAt {
			stalled = true
			begin += stall
		}
		free = begin + work
		latencies = append(latencies, free-at)
	}
	slices.Sort(latencies)
	return latencies
}

// TestAStallIsSeenByAllWhoWereHeldUp compares the recorded distribution with
// the queue's own. A tool that measures from the moment of sending, one
// request after the other, sees the stall once.
func TestAStallIsSeenByAllWhoWereHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := Run{Workload: &workload.Workload{Duration: workload.Duration(requests * spacing)}}
		for i := range requests {
			at := time.Duration(i) * spacing
			run.Schedule = append(run.Schedule, workload.Request{Index: i, At: at, Class: "short", Timeout: time.Minute})
		}
		run.Caller = newSerial()
		result, err := run.Do(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		got := result.Find("short", measure.AllPhases).FirstToken
		want := expected()
		near(t, "p50", got.P50MS, want[requests*50/100-1])
		near(t, "p90", got.P90MS, want[requests*90/100-1])
		near(t, "p99", got.P99MS, want[requests*99/100-1])
		near(t, "max", got.MaxMS, want[requests-1])
		if naive := closedLoop(t); got.P90MS < 50*naive.P90MS {
			t.Fatalf("open loop p90 %.1f ms, closed loop %.1f ms: the test shows nothing", got.P90MS, naive.P90MS)
		}
	})
}

func near(t *testing.T, what string, got float64, want time.Duration) {
	t.Helper()
	wanted := float64(want) / float64(time.Millisecond)
	if math.Abs(got-wanted) > 0.002*wanted {
		t.Errorf("%s: %.3f ms, the queue's own is %.3f ms", what, got, wanted)
	}
}

// closedLoop is the naive tool.
func closedLoop(t *testing.T) measure.Latency {
	t.Helper()
	server := newSerial()
	recorder := measure.NewRecorder()
	for range requests {
		sent := time.Now()
		server.Generate(t.Context(), nil, nil)
		took := time.Since(sent)
		recorder.Add(measure.Sample{Class: "short", Whole: true, FirstToken: took, Total: took})
		time.Sleep(max(0, spacing-took))
	}
	var result measure.Result
	if err := recorder.Fill(&result); err != nil {
		t.Fatal(err)
	}
	return result.Find("short", measure.AllPhases).FirstToken
}

func TestChecksFindEachBrokenPromise(t *testing.T) {
	runs := map[uint64]int{1: 1, 2: 2, 3: 2, 4: 1}
	calls := []told{
		{digest: 1, whole: true},
		{digest: 2, whole: true},
		{digest: 3, whole: true, repeatable: true},
		{digest: 4, notRun: true},
		{digest: 5, notRun: true},
		{digest: 6, whole: true},
	}
	var got measure.Checks
	compareRuns(calls, runs, &got)
	want := measure.Checks{RepeatedCalls: 1, FalseNotRun: 1, FalseWhole: 1}
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

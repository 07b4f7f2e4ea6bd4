package history

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/answer"
	"carobspoke.example/serving/request/retries"
)

const (
	crashDaemons    = 9
	crashEngines    = 12
	isolatedEngines = 2
	crashingSends   = 50
	normalPrompts   = 120
	crashingPrompt  = "crashing"
	// gossipInterval is the time between two rounds in which each daemon sends
	// its crash digests to one other daemon.
	gossipInterval = 100 * time.Millisecond
)

// crashableEngine is a fake engine that the crashing prompt crashes. It restarts
// without streams.
type crashableEngine struct {
	targetapi.Engine
	name names.Target

	mu        sync.Mutex
	boot      int
	downUntil time.Time
	streams   map[target.StreamID]bool
	crashes   int
}

func (e *crashableEngine) Submit(ctx context.Context, s target.Submit) (targetapi.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		return nil, refusedConnection()
	}
	e.streams[s.Stream] = true
	return &crashableStream{ctx: ctx, engine: e, boot: e.boot, submit: s, next: s.StartOffset}, nil
}

func (e *crashableEngine) Resume(context.Context, target.StreamID, uint32, int) (targetapi.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		return nil, refusedConnection()
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.StreamUnknown, "unknown")
}

func (e *crashableEngine) Holdings(context.Context) (target.Holdings, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		return target.Holdings{}, refusedConnection()
	}
	return target.Holdings{Streams: make([]target.StreamInfo, len(e.streams))}, nil
}

func (e *crashableEngine) Cancel(_ context.Context, id target.StreamID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
	return nil
}

// crash restarts the engine: it loses its streams and refuses connections for 2 s.
// The caller holds e.mu.
func (e *crashableEngine) crash() {
	e.boot++
	e.crashes++
	e.streams = map[target.StreamID]bool{}
	e.downUntil = time.Now().Add(2 * time.Second)
}

type crashableStream struct {
	ctx    context.Context
	engine *crashableEngine
	boot   int
	submit target.Submit
	next   int
}

func (s *crashableStream) Close() error { return nil }

// Next returns a token about every 100 ms. The crashing prompt crashes the engine
// instead of its third token.
func (s *crashableStream) Next() (target.Frame, error) {
	const answerLength = 10
	step := fmt.Sprint(s.submit.Stream, s.submit.Attempt, "/", s.next)
	time.Sleep(90*time.Millisecond + time.Duration(pseudoRandom(int(20*time.Millisecond), step)))
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != s.boot || !e.streams[s.submit.Stream] || s.ctx.Err() != nil {
		return target.Frame{}, verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
	}
	if s.submit.Prompt == crashingPrompt && s.next == 2 {
		e.crash()
		return target.Frame{}, verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
	}
	frame := target.Frame{Attempt: s.submit.Attempt, Offset: s.next, Text: "t", End: s.next == answerLength}
	if frame.End {
		delete(e.streams, s.submit.Stream)
	}
	s.next++
	return frame, nil
}

// crashFleet places the requests of its daemons at engines. The last engines are
// used only for isolated requests.
type crashFleet struct {
	engines []*crashableEngine
	naive   bool

	mu   sync.Mutex
	next int
}

// Place implements answer.Targets: it selects engines in turn and skips those to
// avoid.
func (f *crashFleet) Place(_ context.Context, want answer.PlacementRequest) (answer.Placement, error) {
	first, count := 0, crashEngines
	if want.Isolate {
		first, count = crashEngines, isolatedEngines
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for range count {
		e := f.engines[first+f.next%count]
		f.next++
		avoid := false
		for _, name := range want.Avoid {
			avoid = avoid || name == e.name
		}
		if !avoid {
			return answer.Placement{Target: e.name, Engine: e, Release: func() {}}, nil
		}
	}
	return answer.Placement{}, verdict.New(verdict.NotRun, verdict.NoTarget, "none")
}

// noCrashRecord is the crash record of the naive version: it ignores crashes and
// never refuses a prompt.
type noCrashRecord struct{}

func (noCrashRecord) Status() crash.Status      { return crash.Clear }
func (noCrashRecord) Crashed(bool) crash.Status { return crash.Clear }
func (noCrashRecord) Ended()                    {}
func (noCrashRecord) Refusal() *verdict.Error   { return nil }

// crashOutcome counts the effects of the crashing prompt in a run.
type crashOutcome struct {
	// lost counts the crashes of all engines, lostIsolated those of the isolated
	// ones.
	lost, lostIsolated int
	// normal counts the other prompts; each was answered, refused before it ran
	// (notRun) or ended with another error (cut).
	normal, answered, notRun, cut int
}

func (o *crashOutcome) add(err error) {
	o.normal++
	switch {
	case err == nil:
		o.answered++
	case verdict.From(err).Verdict == verdict.NotRun:
		o.notRun++
	default:
		o.cut++
	}
}

// runCrashingPrompt sends the crashing prompt 50 times, concurrently or one after
// the other, while normal prompts run.
func runCrashingPrompt(t *testing.T, concurrent, naive bool) (out crashOutcome) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &crashFleet{naive: naive}
		for i := range crashEngines + isolatedEngines {
			f.engines = append(f.engines, &crashableEngine{name: names.Target(fmt.Sprint("e", i)), streams: map[target.StreamID]bool{}})
		}
		daemons := make([]*crashDaemon, crashDaemons)
		for i := range daemons {
			daemons[i] = f.daemon(i)
		}
		stop := make(chan struct{})
		go spreadDigests(daemons, stop)
		var wait sync.WaitGroup
		var mu sync.Mutex
		for i := range normalPrompts {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				err := daemons[i%crashDaemons].send(fmt.Sprint("innocent ", i))
				mu.Lock()
				defer mu.Unlock()
				out.add(err)
			})
		}
		wait.Go(func() { sendCrashing(t, daemons, concurrent) })
		wait.Wait()
		close(stop)
		for i, e := range f.engines {
			out.lost += e.crashes
			if i >= crashEngines {
				out.lostIsolated += e.crashes
			}
		}
	})
	return out
}

func sendCrashing(t *testing.T, daemons []*crashDaemon, concurrent bool) {
	t.Helper()
	var wait sync.WaitGroup
	for i := range crashingSends {
		send := func() {
			if daemons[i%crashDaemons].send(crashingPrompt) == nil {
				t.Error("the crashing prompt was answered")
			}
		}
		if concurrent {
			wait.Go(send)
			continue
		}
		send()
		time.Sleep(time.Second)
	}
	wait.Wait()
}

// spreadDigests merges the crash table of each daemon into that of a random one
// every gossipInterval, until stop is closed.
func spreadDigests(daemons []*crashDaemon, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(1, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(gossipInterval):
		}
		for _, d := range daemons {
			daemons[random.IntN(len(daemons))].crashes.Merge(d.crashes.Entries())
		}
	}
}

type crashDaemon struct {
	fleet   *crashFleet
	targets answer.Targets
	crashes *answer.CrashTable
	retries *retries.Retries
	name    int

	mu    sync.Mutex
	count int
}

func (f *crashFleet) daemon(i int) *crashDaemon {
	count := func(retry.Outcome, verdict.Reason) {}
	return &crashDaemon{
		fleet: f, name: i, targets: answer.NewIsolator(nil).Wrap(f),
		crashes: answer.NewCrashTable(time.Now, nil),
		retries: retries.New(retry.Default(), time.Now, rand.New(rand.NewPCG(1, uint64(i))), count),
	}
}

func (d *crashDaemon) send(prompt string) error {
	d.mu.Lock()
	d.count++
	id := target.StreamID(fmt.Sprint(d.name, "-", d.count))
	d.mu.Unlock()
	record := d.crashes.Record(crash.DigestOf("a", "m", "", prompt))
	if d.fleet.naive {
		record = noCrashRecord{}
	}
	next := 0
	submit := target.Submit{Stream: id, Prompt: prompt, Deadline: time.Now().Add(time.Minute)}
	d.retries.RecordFirstAttempt()
	time.Sleep(time.Duration(pseudoRandom(int(5*time.Millisecond), id)))
	return answer.Run(context.Background(), answer.Deps{
		Targets: d.targets, CrashRecord: record, Retries: d.retries, StallTimeout: 5 * time.Second,
		Abandon: func(names.Target, targetapi.Engine, target.StreamID) {},
		Started: func(names.Target) {},
	}, submit, func(f target.Frame) error {
		if f.Offset != next {
			return errors.New("token missing or repeated")
		}
		next++
		return nil
	})
}

// TestCrashingPromptThroughNineDaemons checks the bound on the engines that a
// crashing prompt crashes. Concurrent sends reach every engine before the first
// crash is known; the normal prompts that run at that time must still not be cut.
func TestCrashingPromptThroughNineDaemons(t *testing.T) {
	sequential := runCrashingPrompt(t, false, false)
	concurrent := runCrashingPrompt(t, true, false)
	naiveSequential := runCrashingPrompt(t, false, true)
	naiveConcurrent := runCrashingPrompt(t, true, true)
	t.Logf("sequential: serving code %+v, naive %+v", sequential, naiveSequential)
	t.Logf("concurrent: serving code %+v, naive %+v", concurrent, naiveConcurrent)
	if sequential.lost > 2 || sequential.answered != normalPrompts {
		t.Errorf("sequential sends: %+v", sequential)
	}
	if concurrent.lost-concurrent.lostIsolated > crashingSends || concurrent.lostIsolated > crashDaemons || concurrent.cut > 0 {
		t.Errorf("concurrent sends: %+v", concurrent)
	}
	if naiveSequential.lost <= 10*sequential.lost {
		t.Error("the naive version lost too few engines for a meaningful comparison")
	}
}

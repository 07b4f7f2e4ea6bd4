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
	crashDaemons  = 9
	crashEngines  = 12
	isolations    = 2
	crashingSends = 50
	innocents     = 120
	crashing      = "crashing"
	// gossip is the time between two rounds in which each daemon tells its
	// digests to one other.
	gossip = 100 * time.Millisecond
)

// fragile is an engine that dies of the crashing prompt and restarts empty.
type fragile struct {
	targetapi.Engine
	name names.Target

	mu      sync.Mutex
	boot    int
	downTo  time.Time
	streams map[target.StreamID]bool
	crashes int
}

func (e *fragile) Submit(ctx context.Context, s target.Submit) (targetapi.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downTo) {
		return nil, refusedConnection()
	}
	e.streams[s.Stream] = true
	return &fragileStream{ctx: ctx, engine: e, boot: e.boot, submit: s, next: s.StartOffset}, nil
}

func (e *fragile) Resume(context.Context, target.StreamID, uint32, int) (targetapi.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downTo) {
		return nil, refusedConnection()
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.StreamUnknown, "unknown")
}

func (e *fragile) Holdings(context.Context) (target.Holdings, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downTo) {
		return target.Holdings{}, refusedConnection()
	}
	return target.Holdings{Streams: make([]target.StreamInfo, len(e.streams))}, nil
}

func (e *fragile) Cancel(_ context.Context, id target.StreamID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
	return nil
}

func (e *fragile) crash() {
	e.boot++
	e.crashes++
	e.streams = map[target.StreamID]bool{}
	e.downTo = time.Now().Add(2 * time.Second)
}

type fragileStream struct {
	ctx    context.Context
	engine *fragile
	boot   int
	submit target.Submit
	next   int
}

func (s *fragileStream) Close() error { return nil }

// Next sends a token about every 100 ms. The crashing prompt kills the engine in its
// third step.
func (s *fragileStream) Next() (target.Frame, error) {
	const answerLength = 10
	what := fmt.Sprint(s.submit.Stream, s.submit.Attempt, "/", s.next)
	time.Sleep(90*time.Millisecond + time.Duration(draw(int(20*time.Millisecond), what)))
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != s.boot || !e.streams[s.submit.Stream] || s.ctx.Err() != nil {
		return target.Frame{}, verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
	}
	if s.submit.Prompt == crashing && s.next == 2 {
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

// crashFleet is daemons before engines, the last of which are isolated.
type crashFleet struct {
	engines []*fragile
	naive   bool

	mu   sync.Mutex
	next int
}

// Place takes engines in turn.
func (f *crashFleet) Place(_ context.Context, want answer.PlacementRequest) (answer.Placement, error) {
	first, count := 0, crashEngines
	if want.Isolate {
		first, count = crashEngines, isolations
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

// unsuspecting is a prompt against which nothing is ever held.
type unsuspecting struct{}

func (unsuspecting) Status() crash.Status      { return crash.Clear }
func (unsuspecting) Crashed(bool) crash.Status { return crash.Clear }
func (unsuspecting) Ended()                    {}
func (unsuspecting) Refusal() *verdict.Error   { return nil }

// crashOutcome is what a run of the crashing prompt cost.
type crashOutcome struct {
	lost, lostIsolated int
	// Innocent prompts: answered, refused before they ran, and cut.
	innocents, answered, notRun, cut int
}

func (o *crashOutcome) add(err error) {
	o.innocents++
	switch {
	case err == nil:
		o.answered++
	case verdict.From(err).Verdict == verdict.NotRun:
		o.notRun++
	default:
		o.cut++
	}
}

// crashingRun sends the crashing prompt 50 times, at once or one after the other,
// while innocent prompts run.
func crashingRun(t *testing.T, atOnce, naive bool) (out crashOutcome) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &crashFleet{naive: naive}
		for i := range crashEngines + isolations {
			f.engines = append(f.engines, &fragile{name: names.Target(fmt.Sprint("e", i)), streams: map[target.StreamID]bool{}})
		}
		daemons := make([]*crashDaemon, crashDaemons)
		for i := range daemons {
			daemons[i] = f.daemon(i)
		}
		stop := make(chan struct{})
		go spreadDigests(daemons, stop)
		var wait sync.WaitGroup
		var mu sync.Mutex
		for i := range innocents {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				err := daemons[i%crashDaemons].send(fmt.Sprint("innocent ", i))
				mu.Lock()
				defer mu.Unlock()
				out.add(err)
			})
		}
		wait.Go(func() { sendCrashing(t, daemons, atOnce) })
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

func sendCrashing(t *testing.T, daemons []*crashDaemon, atOnce bool) {
	t.Helper()
	var wait sync.WaitGroup
	for i := range crashingSends {
		send := func() {
			if daemons[i%crashDaemons].send(crashing) == nil {
				t.Error("the crashing prompt was answered")
			}
		}
		if atOnce {
			wait.Go(send)
			continue
		}
		send()
		time.Sleep(time.Second)
	}
	wait.Wait()
}

func spreadDigests(daemons []*crashDaemon, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(1, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(gossip):
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
	held := d.crashes.Record(crash.DigestOf("a", "m", "", prompt))
	if d.fleet.naive {
		held = unsuspecting{}
	}
	next := 0
	submit := target.Submit{Stream: id, Prompt: prompt, Deadline: time.Now().Add(time.Minute)}
	d.retries.RecordFirstAttempt()
	time.Sleep(time.Duration(draw(int(5*time.Millisecond), id)))
	return answer.Run(context.Background(), answer.Deps{
		Targets: d.targets, CrashRecord: held, Retries: d.retries, StallTimeout: 5 * time.Second,
		Abandon: func(names.Target, targetapi.Engine, target.StreamID) {},
		Started: func(names.Target) {},
	}, submit, func(f target.Frame) error {
		if f.Offset != next {
			return errors.New("not whole")
		}
		next++
		return nil
	})
}

// TestCrashingPromptThroughNineDaemons holds the bound on targets lost. When the
// sends come at once they take every engine before the first crash is known;
// what ran then is still answered.
func TestCrashingPromptThroughNineDaemons(t *testing.T) {
	inTurn := crashingRun(t, false, false)
	atOnce := crashingRun(t, true, false)
	naiveInTurn := crashingRun(t, false, true)
	naiveAtOnce := crashingRun(t, true, true)
	t.Logf("one after the other: ours %+v, naive %+v", inTurn, naiveInTurn)
	t.Logf("all at once:         ours %+v, naive %+v", atOnce, naiveAtOnce)
	if inTurn.lost > 2 || inTurn.answered != innocents {
		t.Errorf("one after the other: %+v", inTurn)
	}
	if atOnce.lost-atOnce.lostIsolated > crashingSends || atOnce.lostIsolated > crashDaemons || atOnce.cut > 0 {
		t.Errorf("all at once: %+v", atOnce)
	}
	if naiveInTurn.lost <= 10*inTurn.lost {
		t.Error("the naive version lost little: the test proves nothing")
	}
}

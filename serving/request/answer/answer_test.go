package answer

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/retries"
)

func newFakeFleet(seed uint64, faultPercent int) *fakeFleet {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &fakeFleet{}
	for i := range 5 {
		f.engines = append(f.engines, &fakeEngine{name: names.Target("e" + strconv.Itoa(i)), random: random, faultPercent: faultPercent})
	}
	return f
}

func newDeps(f *fakeFleet, crashes *CrashTable) Deps {
	policy := retry.Default()
	return Deps{
		Targets:      f,
		CrashRecord:  crashes.Record(crash.DigestOf("a", "m", "", "p")),
		Retries:      retries.New(policy, time.Now, rand.New(rand.NewPCG(1, 1)), func(retry.Outcome, verdict.Reason) {}),
		StallTimeout: 5 * time.Second,
		Abandon:      func(names.Target, targetapi.Engine, target.StreamID) {},
		Started:      func(names.Target) {},
	}
}

func request() target.Submit {
	return target.Submit{Stream: "s", Prompt: "p", Deadline: time.Now().Add(time.Minute)}
}

func fullAnswer() string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

// runNaive is a baseline without frame checks: when an answer is cut, it submits
// the whole prompt again and skips as many tokens as it has passed on. It accepts
// any end frame as the end of the answer.
func runNaive(f *fakeFleet, submit target.Submit, sink Sink) error {
	delivered := 0
	for range 5 {
		placement, _ := f.Place(context.Background(), PlacementRequest{})
		stream, err := placement.Engine.Submit(context.Background(), submit)
		if err != nil {
			continue
		}
		for seen := 0; ; seen++ {
			frame, err := stream.Next()
			if err != nil {
				break
			}
			if frame.End {
				return sink(frame)
			}
			if seen >= delivered {
				delivered++
				_ = sink(frame)
			}
		}
	}
	return verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
}

// TestAnswersAreCompleteDespiteFaults injects random faults with fixed seeds:
// refusals, resets, cuts, crashes, stalls, stale frames, frames of another
// request, lost tokens and early ends. Run must return the complete answer or an
// error, never a wrong answer. The faults must make the naive baseline return
// wrong answers.
func TestAnswersAreCompleteDespiteFaults(t *testing.T) {
	const schedules = 1000
	var ok, failed, wrong, naiveWrong int
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(seed, int(seed%40))
			got, err := collect(func(sink Sink) error {
				return Run(t.Context(), newDeps(f, NewCrashTable(time.Now, nil)), request(), sink)
			})
			switch {
			case err == nil && got == fullAnswer():
				ok++
			case err == nil || !strings.HasPrefix(fullAnswer(), got):
				wrong++
			default:
				failed++
			}
			if f.openPlacements != 0 {
				t.Errorf("seed %d: %d placements were not released", seed, f.openPlacements)
			}
			f = newFakeFleet(seed, int(seed%40))
			got, err = collect(func(sink Sink) error { return runNaive(f, request(), sink) })
			if (err == nil && got != fullAnswer()) || !strings.HasPrefix(fullAnswer(), got) {
				naiveWrong++
			}
		})
	}
	t.Logf("%d schedules: %d complete, %d failed with a verdict, %d wrong; naive: %d wrong", schedules, ok, failed, wrong, naiveWrong)
	if wrong > 0 || naiveWrong == 0 || ok < schedules/2 {
		t.Fatal("some answers were wrong, or the faults do not affect the naive baseline")
	}
}

func collect(run func(Sink) error) (string, error) {
	var b strings.Builder
	err := run(func(f target.Frame) error {
		if !f.End {
			b.WriteString(f.Text)
		}
		return nil
	})
	return b.String(), err
}

// TestCrashingPromptCrashesTwoTargets sends a prompt that crashes targets 50
// times. The first send crashes one shared and one isolation target; the others
// must be refused without crashing any.
func TestCrashingPromptCrashesTwoTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 0)
		for _, e := range f.engines {
			e.crashesOnPrompt = true
		}
		deps := newDeps(f, NewCrashTable(time.Now, nil))
		for i := range 50 {
			_, err := collect(func(sink Sink) error { return Run(t.Context(), deps, request(), sink) })
			e := verdict.From(err)
			if e.Reason != verdict.CrashSuspect || e.Verdict != verdict.Ran || e.RetryAfter == 0 {
				t.Fatalf("send %d: %v", i, e)
			}
		}
		if f.crashes() != 2 || f.isolated != 1 {
			t.Fatalf("%d targets crashed, %d isolated placements", f.crashes(), f.isolated)
		}
	})
}

// TestPromptBesideCrashIsCleared crashes an engine that runs a harmless prompt.
// The prompt must be completed by an isolation target and then be cleared.
func TestPromptBesideCrashIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 0)
		crashes := NewCrashTable(time.Now, nil)
		deps := newDeps(f, crashes)
		got, err := collect(func(sink Sink) error {
			return Run(t.Context(), deps, request(), func(frame target.Frame) error {
				if frame.Offset == 4 && f.crashes() == 0 {
					f.engines[0].crash()
					f.engines[0].crashesOnPrompt = true
				}
				return sink(frame)
			})
		})
		if err != nil || got != fullAnswer() || f.isolated != 1 {
			t.Fatalf("%q, %v, isolated %d", got, err, f.isolated)
		}
		if len(crashes.Entries()) != 0 {
			t.Fatal("a harmless prompt is still suspect")
		}
	})
}

// TestResumeAfterDaemonDeath resumes a stream at the engine that holds it. If
// the engine has lost the stream and there is no prompt to submit again, Resume
// must return an error.
func TestResumeAfterDaemonDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 0)
		f.engines[2].holdsStream = true
		placement := Placement{Target: "e2", Engine: f.engines[2], Release: func() {}}
		submit := request()
		submit.Prompt, submit.StartOffset = "", 5
		got, err := collect(func(sink Sink) error {
			return Resume(t.Context(), newDeps(f, NewCrashTable(time.Now, nil)), placement, submit, sink)
		})
		if err != nil || tokenText(0)+tokenText(1)+tokenText(2)+tokenText(3)+tokenText(4)+got != fullAnswer() {
			t.Fatalf("%q, %v", got, err)
		}
		f.engines[2].crash()
		_, err = collect(func(sink Sink) error {
			return Resume(t.Context(), newDeps(f, NewCrashTable(time.Now, nil)), placement, submit, sink)
		})
		if e := verdict.From(err); e.Verdict != verdict.Ran || f.engines[2].submits != 0 {
			t.Fatalf("%v", e)
		}
	})
}

// TestCutResumeDoesNotCancelStream cuts a resumed answer for which there is a
// ticket but no prompt. The stream must stay at its engine, so that the next
// resume returns the complete answer.
func TestCutResumeDoesNotCancelStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 0)
		holder := f.engines[2]
		holder.holdsStream, holder.cutResumes = true, 1
		placement := Placement{Target: "e2", Engine: holder, Release: func() {}}
		submit := request()
		submit.Prompt = ""
		deps := newDeps(f, NewCrashTable(time.Now, nil))
		deps.Abandon = func(names.Target, targetapi.Engine, target.StreamID) { holder.holdsStream = false }
		resume := func() (string, error) {
			return collect(func(sink Sink) error { return Resume(t.Context(), deps, placement, submit, sink) })
		}
		if _, err := resume(); verdict.From(err).Reason != verdict.AnswerCut {
			t.Fatalf("%v", err)
		}
		if got, err := resume(); err != nil || got != fullAnswer() {
			t.Fatalf("%q, %v", got, err)
		}
	})
}

func TestCallerDisconnectEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(1, 0)
		err := Run(t.Context(), newDeps(f, NewCrashTable(time.Now, nil)), request(), func(target.Frame) error { return errors.New("closed") })
		if e := verdict.From(err); e.Reason != verdict.CallerGone || f.openPlacements != 0 || f.next != 1 {
			t.Fatalf("%v, %d placements", e, f.next)
		}
	})
}

// cuttingEngine is an engine that cuts every answer before the first token.
type cuttingEngine struct {
	fakeEngine
	streams int
}

func (c *cuttingEngine) Submit(ctx context.Context, _ target.Submit) (targetapi.Stream, error) {
	c.streams++
	return &fakeStream{ctx: ctx, engine: &c.fakeEngine, ended: true}, nil
}

func (c *cuttingEngine) Resume(ctx context.Context, _ target.StreamID, _ uint32, _ int) (targetapi.Stream, error) {
	return c.Submit(ctx, target.Submit{})
}

func (c *cuttingEngine) Place(context.Context, PlacementRequest) (Placement, error) {
	return Placement{Target: "c", Engine: c, Release: func() {}}, nil
}

// TestRetriesAreBounded runs a request on an engine that cuts every answer. The
// request must end after the maximum number of attempts, or before its deadline
// if that is earlier.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, timeout := range []time.Duration{time.Hour, time.Second} {
			c := &cuttingEngine{}
			deps := newDeps(newFakeFleet(1, 0), NewCrashTable(time.Now, nil))
			deps.Targets = c
			submit := request()
			submit.Deadline = time.Now().Add(timeout)
			_, err := collect(func(sink Sink) error { return Run(t.Context(), deps, submit, sink) })
			e := verdict.From(err)
			if err == nil || e.Verdict != verdict.Ran || c.streams > retry.Default().MaxAttemptsAfterStart || time.Now().After(submit.Deadline) {
				t.Errorf("%s: %v after %d attempts", timeout, err, c.streams)
			}
		}
	})
}

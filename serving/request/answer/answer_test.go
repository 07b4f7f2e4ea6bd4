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

func newFleet(seed uint64, faulty int) *fleet {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{}
	for i := range 5 {
		f.engines = append(f.engines, &engine{name: names.Target("e" + strconv.Itoa(i)), random: random, faulty: faulty})
	}
	return f
}

func newDeps(f *fleet, crashes *Crashes) Deps {
	policy := retry.Default()
	return Deps{
		Targets: f,
		Prompt:  crashes.Prompt(crash.DigestOf("a", "m", "", "p")),
		Retries: retries.New(policy, time.Now, rand.New(rand.NewPCG(1, 1)), func(retry.Outcome, verdict.Reason) {}),
		Stall:   5 * time.Second,
		Abandon: func(names.Target, targetapi.Engine, target.StreamID) {},
		Started: func(names.Target) {},
	}
}

func request() target.Submit {
	return target.Submit{Stream: "s", Prompt: "p", Deadline: time.Now().Add(time.Minute)}
}

func whole() string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(text(i))
	}
	return b.String()
}

// naive submits the whole prompt again when an answer breaks off, skips what
// it has by counting, and takes whatever ends a stream for its end.
func naive(f *fleet, submit target.Submit, sink Sink) error {
	have := 0
	for range 5 {
		at, _ := f.Place(context.Background(), Want{})
		stream, err := at.Engine.Submit(context.Background(), submit)
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
			if seen >= have {
				have++
				_ = sink(frame)
			}
		}
	}
	return verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
}

// TestWholeAnswers runs an answer through seeded faults: refusals, resets,
// cuts, crashes, silence, late and crossed frames, lost tokens and early ends.
func TestWholeAnswers(t *testing.T) {
	const schedules = 1000
	var ok, failed, wrong, naiveWrong int
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, int(seed%40))
			got, err := collect(func(sink Sink) error {
				return Run(t.Context(), newDeps(f, NewCrashes(time.Now, nil)), request(), sink)
			})
			switch {
			case err == nil && got == whole():
				ok++
			case err == nil || !strings.HasPrefix(whole(), got):
				wrong++
			default:
				failed++
			}
			if f.used != 0 {
				t.Errorf("seed %d: %d placements are kept", seed, f.used)
			}
			f = newFleet(seed, int(seed%40))
			got, err = collect(func(sink Sink) error { return naive(f, request(), sink) })
			if (err == nil && got != whole()) || !strings.HasPrefix(whole(), got) {
				naiveWrong++
			}
		})
	}
	t.Logf("%d schedules: %d whole, %d failed with a verdict, %d wrong; naive: %d wrong", schedules, ok, failed, wrong, naiveWrong)
	if wrong > 0 || naiveWrong == 0 || ok < schedules/2 {
		t.Fatal("answers were wrong, or the faults prove nothing")
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

// TestCrashingPrompt sends a prompt that crashes targets 50 times: the first
// send costs one shared and one isolation target, the others none.
func TestCrashingPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 0)
		for _, e := range f.engines {
			e.crashing = true
		}
		deps := newDeps(f, NewCrashes(time.Now, nil))
		for i := range 50 {
			_, err := collect(func(sink Sink) error { return Run(t.Context(), deps, request(), sink) })
			e := verdict.From(err)
			if e.Reason != verdict.CrashSuspect || e.Verdict != verdict.Ran || e.RetryAfter == 0 {
				t.Fatalf("send %d: %v", i, e)
			}
		}
		if f.crashes() != 2 || f.isolated != 1 {
			t.Fatalf("%d targets lost, %d isolated", f.crashes(), f.isolated)
		}
	})
}

// TestNeighbourOfACrashingPrompt crashes the engine under an innocent prompt: it
// is answered whole, from an isolation target, and is cleared.
func TestNeighbourOfACrashingPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 0)
		crashes := NewCrashes(time.Now, nil)
		deps := newDeps(f, crashes)
		got, err := collect(func(sink Sink) error {
			return Run(t.Context(), deps, request(), func(frame target.Frame) error {
				if frame.Offset == 4 && f.crashes() == 0 {
					f.engines[0].crash()
					f.engines[0].crashing = true
				}
				return sink(frame)
			})
		})
		if err != nil || got != whole() || f.isolated != 1 {
			t.Fatalf("%q, %v, isolated %d", got, err, f.isolated)
		}
		if len(crashes.Digests()) != 0 {
			t.Fatal("an innocent prompt stays suspect")
		}
	})
}

// TestResumeAfterDaemonDeath continues a stream at the engine that holds it,
// and reports an engine that has lost it when there is no prompt to run anew.
func TestResumeAfterDaemonDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 0)
		f.engines[2].held = true
		at := Placement{Target: "e2", Engine: f.engines[2], Release: func() {}}
		submit := request()
		submit.Prompt, submit.StartOffset = "", 5
		got, err := collect(func(sink Sink) error {
			return Resume(t.Context(), newDeps(f, NewCrashes(time.Now, nil)), at, submit, sink)
		})
		if err != nil || text(0)+text(1)+text(2)+text(3)+text(4)+got != whole() {
			t.Fatalf("%q, %v", got, err)
		}
		f.engines[2].crash()
		_, err = collect(func(sink Sink) error {
			return Resume(t.Context(), newDeps(f, NewCrashes(time.Now, nil)), at, submit, sink)
		})
		if e := verdict.From(err); e.Verdict != verdict.Ran || f.engines[2].submits != 0 {
			t.Fatalf("%v", e)
		}
	})
}

// TestCutResumeKeepsTheStream cuts the answer to a caller that resumes by its
// ticket: the stream stays at its engine, and the next resume is whole.
func TestCutResumeKeepsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 0)
		holder := f.engines[2]
		holder.held, holder.cuts = true, 1
		at := Placement{Target: "e2", Engine: holder, Release: func() {}}
		submit := request()
		submit.Prompt = ""
		deps := newDeps(f, NewCrashes(time.Now, nil))
		deps.Abandon = func(names.Target, targetapi.Engine, target.StreamID) { holder.held = false }
		resume := func() (string, error) {
			return collect(func(sink Sink) error { return Resume(t.Context(), deps, at, submit, sink) })
		}
		if _, err := resume(); verdict.From(err).Reason != verdict.AnswerCut {
			t.Fatalf("%v", err)
		}
		if got, err := resume(); err != nil || got != whole() {
			t.Fatalf("%q, %v", got, err)
		}
	})
}

func TestCallerGoneEndsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 0)
		err := Run(t.Context(), newDeps(f, NewCrashes(time.Now, nil)), request(), func(target.Frame) error { return errors.New("closed") })
		if e := verdict.From(err); e.Reason != verdict.CallerGone || f.used != 0 || f.next != 1 {
			t.Fatalf("%v, %d placements", e, f.next)
		}
	})
}

// cutter is an engine whose every answer is cut before its first token.
type cutter struct {
	engine
	opened int
}

func (c *cutter) Submit(ctx context.Context, _ target.Submit) (targetapi.Stream, error) {
	c.opened++
	return &frames{ctx: ctx, engine: &c.engine, ended: true}, nil
}

func (c *cutter) Resume(ctx context.Context, _ target.StreamID, _ uint32, _ int) (targetapi.Stream, error) {
	return c.Submit(ctx, target.Submit{})
}

func (c *cutter) Place(context.Context, Want) (Placement, error) {
	return Placement{Target: "c", Engine: c, Release: func() {}}, nil
}

// TestRetriesEnd gives a request an engine that cuts each answer: the request
// ends by its attempts, or, if its time is short, before its deadline.
func TestRetriesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, timeout := range []time.Duration{time.Hour, time.Second} {
			c := &cutter{}
			deps := newDeps(newFleet(1, 0), NewCrashes(time.Now, nil))
			deps.Targets = c
			submit := request()
			submit.Deadline = time.Now().Add(timeout)
			_, err := collect(func(sink Sink) error { return Run(t.Context(), deps, submit, sink) })
			e := verdict.From(err)
			if err == nil || e.Verdict != verdict.Ran || c.opened > retry.Default().MaxAttemptsAfterStart || time.Now().After(submit.Deadline) {
				t.Errorf("%s: %v after %d attempts", timeout, err, c.opened)
			}
		}
	})
}

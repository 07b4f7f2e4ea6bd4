package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/request/ticket"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/answer"
	"carobspoke.example/serving/request/retries"
	"github.com/anishathalye/porcupine"
)

const (
	streamDaemons = 4
	streamCallers = 8
	streamTries   = 8
)

// streaming is a schedule of generations.
type streaming struct {
	seed     uint64
	recorder *Recorder
	ring     *ticket.Keyring
	engines  *engines

	mu    sync.Mutex
	dead  [streamDaemons]chan struct{}
	whole int
}

// frameOrEnd is what a caller's connection brings: a frame, a ticket for where
// the stream runs, or the error that ends it.
type frameOrEnd struct {
	frame  target.Frame
	ticket string
	err    error
}

func streams(t *testing.T, seed uint64, plain bool) (ops []porcupine.Operation, whole int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newStreaming(t, seed)
		var wait sync.WaitGroup
		for i := range 6 {
			wait.Go(func() { s.fault(i) })
		}
		for i := range streamCallers {
			wait.Go(func() { s.caller(i, plain) })
		}
		wait.Wait()
		ops, whole = s.recorder.Operations(), s.whole
	})
	return ops, whole
}

func newStreaming(t *testing.T, seed uint64) *streaming {
	t.Helper()
	ring, err := ticket.NewKeyring([]byte(strings.Repeat("k", ticket.SecretBytes)))
	if err != nil {
		t.Fatal(err)
	}
	s := &streaming{seed: seed, recorder: &Recorder{}, ring: ring, engines: &engines{isolated: make(chan struct{}, 1)}}
	for i := range 4 {
		name := names.Target(fmt.Sprint("e", i))
		s.engines.all = append(s.engines.all, &engine{name: name, seed: seed, held: map[target.StreamID]bool{}})
	}
	for i := range s.dead {
		s.dead[i] = make(chan struct{})
	}
	return s
}

// fault kills a daemon, which is replaced at once, or crashes an engine.
func (s *streaming) fault(i int) {
	time.Sleep(1 + time.Duration(draw(int(4*time.Second), s.seed, "fault", i)))
	if draw(2, s.seed, "kind", i) == 0 {
		e := s.engines.all[draw(len(s.engines.all), s.seed, "engine", i)]
		e.crash(1 + time.Duration(draw(int(2*time.Second), s.seed, "down", i)))
		return
	}
	n := draw(streamDaemons, s.seed, "daemon", i)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.dead[n])
	s.dead[n] = make(chan struct{})
}

// caller reads one answer, through other daemons when its own dies.
func (s *streaming) caller(i int, plain bool) {
	time.Sleep(1 + time.Duration(draw(int(2*time.Second), s.seed, "begin", i)))
	id := fmt.Sprint("stream", s.seed, "-", i)
	deadline := time.Now().Add(time.Minute)
	received, where := 0, ""
	for try := range streamTries {
		time.Sleep(1 + time.Duration(draw(int(500*time.Millisecond), s.seed, "try", i, try)))
		s.mu.Lock()
		dead := s.dead[draw(streamDaemons, s.seed, "through", i, try)]
		s.mu.Unlock()
		skip := received
		lines := s.open(dead, id, where, received, deadline, plain)
		for line := range lines {
			switch {
			case line.ticket != "":
				where = line.ticket
			case line.err != nil:
				return // a failure with a verdict
			case line.frame.End:
				s.recorder.Point(i, StreamInput{Stream: id, End: true}, StreamOutput{Tokens: line.frame.Offset})
				s.mu.Lock()
				s.whole++
				s.mu.Unlock()
				return
			case plain && skip > 0:
				skip--
			default:
				s.recorder.Point(i, StreamInput{Stream: id}, StreamOutput{Text: line.frame.Text})
				received++
			}
		}
		if where == "" && !plain {
			return // the daemon died before it told where the stream runs
		}
	}
}

// open starts or resumes a stream at a daemon. The channel is closed without an
// end when the daemon dies.
func (s *streaming) open(dead chan struct{}, id, where string, from int, deadline time.Time, plain bool) <-chan frameOrEnd {
	lines := make(chan frameOrEnd)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { // a dead daemon's connections end
		select {
		case <-dead:
			cancel()
		case <-ctx.Done():
		}
	}()
	tell := func(line frameOrEnd) error {
		select {
		case <-dead:
			return context.Canceled
		default:
		}
		select {
		case lines <- line:
			return nil
		case <-dead:
			return context.Canceled
		}
	}
	go func() {
		defer cancel()
		defer close(lines)
		submit := target.Submit{Stream: target.StreamID(id), Prompt: "p " + id, Deadline: deadline}
		var err error
		if plain {
			err = s.plainly(ctx, submit, tell)
		} else {
			err = s.run(ctx, submit, where, from, tell)
		}
		if err != nil && ctx.Err() == nil {
			_ = tell(frameOrEnd{err: err})
		}
	}()
	return lines
}

// run serves a stream with the real code.
func (s *streaming) run(ctx context.Context, submit target.Submit, where string, from int, tell func(frameOrEnd) error) error {
	sink := func(f target.Frame) error { return tell(frameOrEnd{frame: f}) }
	deps := s.deps(submit, tell)
	if where == "" {
		return answer.Run(ctx, deps, submit, sink)
	}
	at, err := s.ring.OpenStream(where, "a", time.Now())
	if err != nil {
		return err
	}
	submit.StartOffset = from
	return answer.Resume(ctx, deps, s.engines.at(at.Target), submit, sink)
}

func (s *streaming) deps(submit target.Submit, tell func(frameOrEnd) error) answer.Deps {
	digest := crash.DigestOf("a", "m", "", submit.Prompt)
	return answer.Deps{
		Targets:      s.engines,
		CrashRecord:  answer.NewCrashTable(time.Now, nil).Record(digest),
		Retries:      retries.New(retry.Default(), time.Now, rand.New(rand.NewPCG(s.seed, uint64(draw(1<<62, submit.Stream)))), func(retry.Outcome, verdict.Reason) {}),
		StallTimeout: 5 * time.Second,
		Abandon:      func(names.Target, targetapi.Engine, target.StreamID) {},
		Started: func(at names.Target) {
			text, err := s.ring.SealStream(ticket.Stream{Customer: "a", Target: at, Stream: submit.Stream, Deadline: submit.Deadline}, rand.NewChaCha8([32]byte{1}))
			if err == nil {
				_ = tell(frameOrEnd{ticket: text}) // the caller is gone when the daemon is
			}
		},
	}
}

// plainly serves a stream as many systems do: it submits again from the start
// when an answer breaks off, counts what it has sent, and passes on what comes.
func (s *streaming) plainly(ctx context.Context, submit target.Submit, tell func(frameOrEnd) error) error {
	sent := 0
	for range 5 {
		at, err := s.engines.Place(ctx, answer.PlacementRequest{})
		if err != nil {
			return err
		}
		stream, err := at.Engine.Submit(ctx, submit)
		if err != nil {
			continue
		}
		for seen := 0; ; seen++ {
			frame, err := stream.Next()
			if err != nil {
				break
			}
			if frame.End || seen >= sent {
				sent++
				if err := tell(frameOrEnd{frame: frame}); err != nil || frame.End {
					return err
				}
			}
		}
	}
	return verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
}

// TestStreamsAreWhole checks what callers received under daemon deaths, engine
// crashes, cut connections, and late and crossed frames.
func TestStreamsAreWhole(t *testing.T) {
	var ours, naive struct{ schedules, broken, streams, whole, tokens int }
	for seed := range uint64(*schedules) {
		ops, whole := streams(t, seed, false)
		ours.schedules++
		ours.streams += streamCallers
		ours.whole += whole
		ours.tokens += len(ops)
		if !Check(StreamModel(token), ops) {
			ours.broken++
			t.Errorf("seed %d: an answer was not whole", seed)
		}
		ops, whole = streams(t, seed, true)
		naive.schedules++
		naive.streams += streamCallers
		naive.whole += whole
		naive.tokens += len(ops)
		if !Check(StreamModel(token), ops) {
			naive.broken++
		}
	}
	t.Logf("ours:  %+v", ours)
	t.Logf("naive: %+v", naive)
	if naive.broken == 0 || ours.whole < ours.streams/2 {
		t.Error("the schedules prove nothing")
	}
}

// TestSameSeedSameStreams runs schedules twice.
func TestSameSeedSameStreams(t *testing.T) {
	for seed := range uint64(50) {
		ops, _ := streams(t, seed, false)
		again, _ := streams(t, seed, false)
		if Fingerprint(DescribeStream, ops) != Fingerprint(DescribeStream, again) {
			t.Errorf("seed %d: two histories", seed)
		}
	}
}

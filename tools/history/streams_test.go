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

// streamSchedule is the state of one schedule of streams, with faults drawn from a
// seed.
type streamSchedule struct {
	seed     uint64
	recorder *Recorder
	ring     *ticket.Keyring
	engines  *enginePool

	mu sync.Mutex
	// dead has a channel for each daemon, which is closed when the daemon dies.
	dead [streamDaemons]chan struct{}
	// completed counts the streams of which a caller received the end.
	completed int
}

// streamEvent is an item that a caller receives: a frame, a ticket that names the
// engine of the stream, or the error that ends it.
type streamEvent struct {
	frame  target.Frame
	ticket string
	err    error
}

// runStreams runs the schedule of a seed and returns its history and the number of
// completed streams.
func runStreams(t *testing.T, seed uint64, naive bool) (ops []porcupine.Operation, completed int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newStreamSchedule(t, seed)
		var wait sync.WaitGroup
		for i := range 6 {
			wait.Go(func() { s.injectFault(i) })
		}
		for i := range streamCallers {
			wait.Go(func() { s.runCaller(i, naive) })
		}
		wait.Wait()
		ops, completed = s.recorder.Operations(), s.completed
	})
	return ops, completed
}

func newStreamSchedule(t *testing.T, seed uint64) *streamSchedule {
	t.Helper()
	ring, err := ticket.NewKeyring([]byte(strings.Repeat("k", ticket.SecretBytes)))
	if err != nil {
		t.Fatal(err)
	}
	s := &streamSchedule{seed: seed, recorder: &Recorder{}, ring: ring, engines: &enginePool{isolated: make(chan struct{}, 1)}}
	for i := range 4 {
		name := names.Target(fmt.Sprint("e", i))
		s.engines.all = append(s.engines.all, &engine{name: name, seed: seed, streams: map[target.StreamID]bool{}})
	}
	for i := range s.dead {
		s.dead[i] = make(chan struct{})
	}
	return s
}

// injectFault kills a daemon, which is replaced at once, or crashes an engine.
func (s *streamSchedule) injectFault(i int) {
	time.Sleep(1 + time.Duration(pseudoRandom(int(4*time.Second), s.seed, "fault", i)))
	if pseudoRandom(2, s.seed, "kind", i) == 0 {
		e := s.engines.all[pseudoRandom(len(s.engines.all), s.seed, "engine", i)]
		e.crash(1 + time.Duration(pseudoRandom(int(2*time.Second), s.seed, "down", i)))
		return
	}
	n := pseudoRandom(streamDaemons, s.seed, "daemon", i)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.dead[n])
	s.dead[n] = make(chan struct{})
}

// runCaller reads one answer, and resumes it through another daemon when its daemon
// dies.
func (s *streamSchedule) runCaller(i int, naive bool) {
	time.Sleep(1 + time.Duration(pseudoRandom(int(2*time.Second), s.seed, "begin", i)))
	id := fmt.Sprint("stream", s.seed, "-", i)
	deadline := time.Now().Add(time.Minute)
	received, streamTicket := 0, ""
	for try := range streamTries {
		time.Sleep(1 + time.Duration(pseudoRandom(int(500*time.Millisecond), s.seed, "try", i, try)))
		s.mu.Lock()
		dead := s.dead[pseudoRandom(streamDaemons, s.seed, "through", i, try)]
		s.mu.Unlock()
		skip := received
		events := s.open(dead, id, streamTicket, received, deadline, naive)
		for event := range events {
			switch {
			case event.ticket != "":
				streamTicket = event.ticket
			case event.err != nil:
				return // the stream failed with a verdict
			case event.frame.End:
				s.recorder.RecordInstant(i, StreamInput{Stream: id, End: true}, StreamOutput{Tokens: event.frame.Offset})
				s.mu.Lock()
				s.completed++
				s.mu.Unlock()
				return
			case naive && skip > 0:
				skip--
			default:
				s.recorder.RecordInstant(i, StreamInput{Stream: id}, StreamOutput{Text: event.frame.Text})
				received++
			}
		}
		if streamTicket == "" && !naive {
			return // the daemon died before it sent the ticket, so the stream cannot be resumed
		}
	}
}

// open starts or resumes a stream at a daemon. If the daemon dies, the channel is
// closed without an end frame or an error.
func (s *streamSchedule) open(dead chan struct{}, id, streamTicket string, from int, deadline time.Time, naive bool) <-chan streamEvent {
	events := make(chan streamEvent)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { // closes the connections of a dead daemon
		select {
		case <-dead:
			cancel()
		case <-ctx.Done():
		}
	}()
	send := func(event streamEvent) error {
		select {
		case <-dead:
			return context.Canceled
		default:
		}
		select {
		case events <- event:
			return nil
		case <-dead:
			return context.Canceled
		}
	}
	go func() {
		defer cancel()
		defer close(events)
		submit := target.Submit{Stream: target.StreamID(id), Prompt: "p " + id, Deadline: deadline}
		var err error
		if naive {
			err = s.runNaively(ctx, submit, send)
		} else {
			err = s.run(ctx, submit, streamTicket, from, send)
		}
		if err != nil && ctx.Err() == nil {
			_ = send(streamEvent{err: err})
		}
	}()
	return events
}

// run serves a stream with the real serving code. It resumes the stream of ticket
// streamTicket at the offset from, or starts a stream if there is no ticket.
func (s *streamSchedule) run(ctx context.Context, submit target.Submit, streamTicket string, from int, send func(streamEvent) error) error {
	sink := func(f target.Frame) error { return send(streamEvent{frame: f}) }
	deps := s.deps(submit, send)
	if streamTicket == "" {
		return answer.Run(ctx, deps, submit, sink)
	}
	at, err := s.ring.OpenStream(streamTicket, "a", time.Now())
	if err != nil {
		return err
	}
	submit.StartOffset = from
	return answer.Resume(ctx, deps, s.engines.placementAt(at.Target), submit, sink)
}

func (s *streamSchedule) deps(submit target.Submit, send func(streamEvent) error) answer.Deps {
	digest := crash.DigestOf("a", "m", "", submit.Prompt)
	return answer.Deps{
		Targets:      s.engines,
		CrashRecord:  answer.NewCrashTable(time.Now, nil).Record(digest),
		Retries:      retries.New(retry.Default(), time.Now, rand.New(rand.NewPCG(s.seed, uint64(pseudoRandom(1<<62, submit.Stream)))), func(retry.Outcome, verdict.Reason) {}),
		StallTimeout: 5 * time.Second,
		Abandon:      func(names.Target, targetapi.Engine, target.StreamID) {},
		Started: func(at names.Target) {
			text, err := s.ring.SealStream(ticket.Stream{Customer: "a", Target: at, Stream: submit.Stream, Deadline: submit.Deadline}, rand.NewChaCha8([32]byte{1}))
			if err == nil {
				_ = send(streamEvent{ticket: text}) // an error means that the daemon is dead
			}
		},
	}
}

// runNaively serves a stream in a way that many systems do: when an answer breaks
// off it submits the prompt again, skips as many frames as it has already sent, and
// forwards the rest unchecked.
func (s *streamSchedule) runNaively(ctx context.Context, submit target.Submit, send func(streamEvent) error) error {
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
				if err := send(streamEvent{frame: frame}); err != nil || frame.End {
					return err
				}
			}
		}
	}
	return verdict.New(verdict.Ran, verdict.AnswerCut, "cut")
}

// TestStreamsAreComplete checks that callers receive each token once and in order
// despite daemon deaths, engine crashes, cut connections, late frames and frames of
// another attempt. The naive version must violate the model in some schedules.
func TestStreamsAreComplete(t *testing.T) {
	var serving, naive struct{ schedules, violations, streams, completed, tokens int }
	for seed := range uint64(*scheduleCount) {
		ops, completed := runStreams(t, seed, false)
		serving.schedules++
		serving.streams += streamCallers
		serving.completed += completed
		serving.tokens += len(ops)
		if !Check(StreamModel(token), ops) {
			serving.violations++
			t.Errorf("seed %d: a stream has missing, repeated or wrong tokens", seed)
		}
		ops, completed = runStreams(t, seed, true)
		naive.schedules++
		naive.streams += streamCallers
		naive.completed += completed
		naive.tokens += len(ops)
		if !Check(StreamModel(token), ops) {
			naive.violations++
		}
	}
	t.Logf("serving code: %+v", serving)
	t.Logf("naive:        %+v", naive)
	if naive.violations == 0 || serving.completed < serving.streams/2 {
		t.Error("naive violations are missing or fewer than half of the streams completed: too little for a meaningful check")
	}
}

// TestSameSeedSameStreams runs each schedule twice and checks that its history
// depends on the seed alone.
func TestSameSeedSameStreams(t *testing.T) {
	for seed := range uint64(50) {
		ops, _ := runStreams(t, seed, false)
		again, _ := runStreams(t, seed, false)
		if Fingerprint(DescribeStream, ops) != Fingerprint(DescribeStream, again) {
			t.Errorf("seed %d: two runs have different histories", seed)
		}
	}
}

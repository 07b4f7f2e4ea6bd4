package targetstate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/serving/process/dispatchsync"
	"github.com/pkg/errors"
)

// slowHomes is a messenger whose first home does not answer in time. It records the time left
// that each question names, and the idle times that homes are told.
type slowHomes struct {
	link
	silent    names.Host
	timesLeft []time.Duration
	idle      []time.Duration
}

func (s *slowHomes) Ask(ctx context.Context, home names.Host, number uint64, a *dispatchsync.Ask) (dispatchsync.Answer, error) {
	s.timesLeft = append(s.timesLeft, a.Request.TimeLeft)
	if home == s.silent {
		time.Sleep(dispatchsync.AskTimeout)
		return dispatchsync.Answer{}, errors.New("no answer in time")
	}
	return s.link.Ask(ctx, home, number, a)
}

func (s *slowHomes) Begin(to []names.Host, d *inflight.Dispatch, idle time.Duration) {
	s.idle = append(s.idle, idle)
	s.link.Begin(to, d, idle)
}

// TestSecondHomeIsToldTheTimeThatIsLeft has the first home not answer. Guards against the time
// left of a request that is read before all questions: the second home then places a request that
// cannot be answered in time, and its dispatch counts beyond the deadline.
func TestSecondHomeIsToldTheTimeThatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 2)
		board := c.boards[host(2)]
		messenger := &slowHomes{link: link{cluster: c, self: host(2)}, silent: host(0)}
		board.config.Messenger = messenger
		r := call()
		deadline := time.Now().Add(r.TimeLeft)
		if _, err := board.Place(t.Context(), r, &service); err != nil {
			t.Fatal(err)
		}
		if n := len(messenger.timesLeft); n != 2 {
			t.Fatalf("%d homes were asked", n)
		}
		if left := messenger.timesLeft[1]; left > time.Until(deadline) {
			t.Errorf("the second home is told that %s are left, want %s", left, time.Until(deadline))
		}
		for _, own := range board.own {
			if own.ends.After(deadline) {
				t.Errorf("the dispatch counts until %s after the deadline", own.ends.Sub(deadline))
			}
		}
	})
}

// TestRepetitionThatWaitsTellsActivity has a target send an event while the repetition of its
// dispatch waits for the lock. Guards against an idle time below zero, which stands for no
// activity: the homes then know less of the target than before the event.
func TestRepetitionThatWaitsTellsActivity(t *testing.T) {
	c := newCluster(3, 2)
	board := c.boards[host(2)]
	if _, err := board.Place(t.Context(), call(), &service); err != nil {
		t.Fatal(err)
	}
	messenger := &slowHomes{link: link{cluster: c, self: host(2)}}
	board.config.Messenger = messenger
	done := make(chan struct{})
	board.mu.Lock()
	go func() {
		defer close(done)
		board.Refresh()
	}()
	time.Sleep(100 * time.Millisecond) // Refresh waits for the lock
	for _, own := range board.own {
		own.lastActivity = time.Now()
	}
	board.mu.Unlock()
	<-done
	if len(messenger.idle) != 1 || messenger.idle[0] < 0 {
		t.Errorf("idle times %v are told to the homes, want one that is not below zero", messenger.idle)
	}
}

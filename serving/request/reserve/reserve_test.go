package reserve

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// engine holds reservations in virtual time. Orders may go unanswered and be
// carried out late.
type engine struct {
	mu       sync.Mutex
	until    map[string]time.Time
	reserves int
	releases int
	late     time.Duration // of reserve orders; zero answers at once
	cut      bool
	gone     bool
}

func (e *engine) Reserve(_ context.Context, _ string, _ names.Target, id string, _ int, hold time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reserves++
	carryOut := func() { e.until[id] = time.Now().Add(hold) }
	if e.late > 0 {
		time.AfterFunc(e.late, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			carryOut()
		})
		return errors.New("no answer")
	}
	if e.cut {
		return errors.New("no answer")
	}
	carryOut()
	return nil
}

func (e *engine) Release(_ context.Context, _ string, _ names.Target, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releases++
	if e.gone {
		return ErrGone
	}
	if e.cut {
		return errors.New("no answer")
	}
	delete(e.until, id)
	return nil
}

func (e *engine) held() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, until := range e.until {
		if time.Now().Before(until) {
			return true
		}
	}
	return false
}

func (e *engine) set(change func(*engine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// longest returns the longest stretch for which memory is held from now on.
func longest(e *engine, lasts time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	var most, run time.Duration
	for range lasts / step {
		time.Sleep(step)
		run += step
		if !e.held() {
			run = 0
		}
		most = max(most, run)
	}
	return most
}

func keeper() (*Keeper, *engine) {
	e := &engine{until: make(map[string]time.Time)}
	return New(e, "me", zap.NewNop()), e
}

func TestAReservationLastsUntilItsRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, e := keeper()
		id, err := k.Reserve(t.Context(), "a", "t", 100)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		if !e.held() {
			t.Fatal("it was not renewed")
		}
		k.Release(id)
		k.Release(id)
		synctest.Wait()
		if e.held() || e.count() != 1 {
			t.Fatalf("held %t, %d releases", e.held(), e.count())
		}
		time.Sleep(time.Minute)
		if e.held() {
			t.Fatal("it was renewed after its release")
		}
	})
}

// TestAReleaseThatIsLostIsRepeated cuts the target off while the request ends.
func TestAReleaseThatIsLostIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, e := keeper()
		id, err := k.Reserve(t.Context(), "a", "t", 100)
		if err != nil {
			t.Fatal(err)
		}
		e.set(func(e *engine) { e.cut = true })
		k.Release(id)
		time.Sleep(time.Second)
		e.set(func(e *engine) { e.cut = false })
		time.Sleep(retryEvery + time.Millisecond)
		if e.held() {
			t.Fatal("still held after the target could be reached")
		}
		time.Sleep(time.Minute)
	})
}

// TestARenewalThatIsCarriedOutLateIsReleasedAgain is what broke a day of the
// users' bench: the target was silent for seconds, and then took up what it had
// been sent.
func TestARenewalThatIsCarriedOutLateIsReleasedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, e := keeper()
		id, err := k.Reserve(t.Context(), "a", "t", 100)
		if err != nil {
			t.Fatal(err)
		}
		e.set(func(e *engine) { e.late = 8 * time.Second })
		time.Sleep(renewEvery + time.Millisecond)
		k.Release(id)
		if most := longest(e, 30*time.Second); most > againEvery+100*time.Millisecond {
			t.Fatalf("memory was set aside for %s after the release", most)
		}
	})
}

func TestARefusedReservationLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, e := keeper()
		e.late = 3 * time.Second
		if _, err := k.Reserve(t.Context(), "a", "t", 100); err == nil {
			t.Fatal("an order without an answer counts as granted")
		}
		if most := longest(e, 30*time.Second); most > againEvery+100*time.Millisecond {
			t.Fatalf("memory was set aside for %s", most)
		}
	})
}

func TestATargetThatIsGoneIsNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, e := keeper()
		id, err := k.Reserve(t.Context(), "a", "t", 100)
		if err != nil {
			t.Fatal(err)
		}
		e.set(func(e *engine) { e.gone = true })
		k.Release(id)
		time.Sleep(time.Minute)
		if e.count() != 1 {
			t.Fatalf("%d releases", e.count())
		}
	})
}

func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.releases
}

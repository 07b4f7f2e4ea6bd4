package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// mortal answers looks until it dies.
type mortal struct{ dies time.Time }

func (m mortal) Alive(ctx context.Context, _ string, _ names.Target) error {
	if time.Now().Before(m.dies) {
		return nil
	}
	<-ctx.Done()
	return errors.New("no answer")
}

// TestARequestThatHoldsMemoryEndsSoonAfterItsTarget bounds the time by the 4 s
// in which the users allow memory to stay set aside.
func TestARequestThatHoldsMemoryEndsSoonAfterItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dies := time.Now().Add(5 * time.Second)
		a := &attempt{
			request: &request{relay: New(Deps{Prober: mortal{dies: dies}, Log: zap.NewNop()})},
			placed:  &Placed{},
		}
		a.ctx, a.cancel = context.WithCancelCause(t.Context())
		go a.probe()
		<-a.ctx.Done()
		if took := time.Since(dies); took < 0 || took > 3*time.Second {
			t.Fatalf("ended %s after the target died", took)
		}
		if !errors.Is(context.Cause(a.ctx), errHung) {
			t.Fatalf("cause %v", context.Cause(a.ctx))
		}
	})
}

func TestOnlyRequestsThatHoldMemoryAreLookedAt(t *testing.T) {
	if holdsMemory([]HelperAddress{{Address: "a"}}) || !holdsMemory([]HelperAddress{{Address: "a"}, {Address: "b", Reservation: "r"}}) {
		t.Fatal("helpers without reservations hold no memory")
	}
}

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

// failingProber answers probes until failsAt. It answers none that names no dispatch.
type failingProber struct{ failsAt time.Time }

func (m failingProber) Probe(ctx context.Context, _ string, _ names.Target) error {
	if _, ok := DispatchOf(ctx); !ok {
		return errors.New("the probe names no dispatch")
	}
	if time.Now().Before(m.failsAt) {
		return nil
	}
	<-ctx.Done()
	return errors.New("no answer")
}

// TestProbesEndRequestSoonAfterItsTargetDies checks that a request with
// reserved memory ends well within the 4 s for which users allow the memory to
// stay reserved after its target died.
func TestProbesEndRequestSoonAfterItsTargetDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		diesAt := time.Now().Add(5 * time.Second)
		a := &attempt{
			request: &request{relay: New(Deps{Prober: failingProber{failsAt: diesAt}, Log: zap.NewNop()})},
			placed:  &Placement{},
		}
		a.ctx, a.cancel = context.WithCancelCause(t.Context())
		go a.probe()
		<-a.ctx.Done()
		if took := time.Since(diesAt); took < 0 || took > 3*time.Second {
			t.Fatalf("ended %s after the target died", took)
		}
		if !errors.Is(context.Cause(a.ctx), errUnresponsive) {
			t.Fatalf("cause %v", context.Cause(a.ctx))
		}
	})
}

func TestOnlyReservationsHoldMemory(t *testing.T) {
	if hasReservation([]HelperAddress{{Address: "a"}}) || !hasReservation([]HelperAddress{{Address: "a"}, {Address: "b", Reservation: "r"}}) {
		t.Fatal("only helpers with a reservation hold memory")
	}
}

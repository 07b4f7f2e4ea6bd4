package reserve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"go.uber.org/zap"
)

// slowConnection writes orders only after a time, in which it opens the connection.
type slowConnection struct {
	*fakeEngine
	opens time.Duration
}

func (s slowConnection) Reserve(ctx context.Context, address string, target names.Target, id string, tokens int, hold time.Duration) error {
	time.Sleep(s.opens)
	return s.fakeEngine.Reserve(ctx, address, target, id, tokens, hold)
}

// TestOrderOfSlowConnectionIsReleased has an order be written just before its timeout, and be
// executed as late as a target may. Guards against counting MaxOrderDelay from before the
// connection: the last release then comes before the order, whose memory stays reserved.
func TestOrderOfSlowConnectionIsReleased(t *testing.T) {
	for opens := time.Duration(0); opens < orderTimeout; opens += orderTimeout / 12 {
		synctest.Test(t, func(t *testing.T) {
			_, e := newTestManager()
			e.delay = MaxOrderDelay
			m := New(slowConnection{fakeEngine: e, opens: opens}, "me", zap.NewNop())
			if _, err := m.Reserve(t.Context(), "a", "t", 100); err == nil {
				t.Fatal("an order without an answer has succeeded")
			}
			e.update(func(e *fakeEngine) { e.delay = 0 })
			held := longestHeld(e, 3*MaxOrderDelay)
			if most := repeatReleaseInterval + 100*time.Millisecond; held > most {
				t.Errorf("the connection opens in %s: memory is held for %s, want at most %s", opens, held, most)
			}
		})
	}
}

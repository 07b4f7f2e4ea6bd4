package joint

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"carobspoke.example/serving/process/daemon"
)

// oneWayFor is how long one direction is cut.
const oneWayFor = 10 * time.Second

// TestOneWayLossKillsNobody loses all that one daemon sends to another, and
// sends prompts through all of them meanwhile.
func TestOneWayLossKillsNobody(t *testing.T) {
	t.Parallel()
	b := start(t, 6)
	daemons := b.Daemons()
	b.net.Cut(daemons[0].Host(), daemons[1].Host())
	over := time.Now().Add(oneWayFor)
	var callers sync.WaitGroup
	slowest := make([]time.Duration, len(daemons))
	count := make([]int, len(daemons))
	for i, d := range daemons {
		callers.Go(func() {
			for time.Now().Before(over) {
				began := time.Now()
				got := post(t.Context(), d.CallerAddress(), completions, prompt, nil)
				if got.status != http.StatusOK {
					t.Errorf("daemon %d: %d %s", i, got.status, got.body)
				}
				slowest[i] = max(slowest[i], time.Since(began))
				count[i]++
				time.Sleep(poll)
			}
		})
	}
	var missing time.Duration
	for time.Now().Before(over) {
		began := time.Now()
		time.Sleep(poll)
		if !b.see(len(daemons)) {
			missing += time.Since(began)
		}
	}
	callers.Wait()
	back := within(t, "all see each other in spite of the loss", func() bool { return b.see(len(daemons)) })
	ready := all(daemons, func(d *daemon.Daemon) bool { return d.Ready() == nil })
	t.Logf("a member was missing for %s, then %s; answers %v, the slowest after %v", missing, back, count, slowest)
	if !ready {
		t.Error("a daemon is not ready")
	}
	if missing > oneWayFor/2 {
		t.Error("one lost direction of fifteen pairs took a member away for most of the time")
	}
}

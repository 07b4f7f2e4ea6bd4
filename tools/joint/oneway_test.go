package joint

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/process/daemon"
)

// oneWayFor is how long one direction is cut.
const oneWayFor = 10 * time.Second

// twoKeepers leaves one engine and two daemons that keep it, so that the others
// must pass requests on.
func twoKeepers(m *manifest.Manifest) {
	m.Policy.Keepers = 2
	kept := m.Targets[:0:0]
	engines := 0
	for _, target := range m.Targets {
		if target.Service == "" {
			engines++
		}
		if target.Service != "" || engines == 1 {
			kept = append(kept, target)
		}
	}
	m.Targets = kept
}

// pair returns a daemon that keeps no engine and one that does.
func pair(t *testing.T, daemons []*daemon.Daemon) (from, to *daemon.Daemon) {
	t.Helper()
	for _, d := range daemons {
		if d.KeepsEngineOf("draft") {
			to = d
		} else {
			from = d
		}
	}
	if from == nil || to == nil {
		t.Fatal("all daemons keep the engine, or none")
	}
	return from, to
}

// TestOneWayLossKillsNobody loses all that one daemon sends to another, which
// keeps the only engine, and sends prompts through all of them meanwhile. A
// second daemon keeps the engine too.
func TestOneWayLossKillsNobody(t *testing.T) {
	t.Parallel()
	b := startWith(t, 6, nil, twoKeepers)
	daemons := b.Daemons()
	answers(t, daemons) // so that there are connections to hold back
	from, to := pair(t, daemons)
	b.net.Cut(from.Host(), to.Host())
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
	lost, held := b.net.Lost()
	t.Logf("%d datagrams lost, %d waits; a member was missing for %s, then %s; answers %v, the slowest after %v", lost, held, missing, back, count, slowest)
	if !ready {
		t.Error("a daemon is not ready")
	}
	if lost == 0 {
		t.Error("nothing was lost")
	}
	if missing > oneWayFor/2 {
		t.Error("one lost direction of fifteen pairs took a member away for most of the time")
	}
}

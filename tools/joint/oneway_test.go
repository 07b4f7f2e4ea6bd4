package joint

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/process/daemon"
)

// oneWayLossDuration is how long one direction is cut.
const oneWayLossDuration = 10 * time.Second

// singleEngineTwoKeepers reduces a manifest to one engine with two keepers, so
// that the other daemons must relay requests.
func singleEngineTwoKeepers(m *manifest.Manifest) {
	m.Policy.Keepers = 2
	targets := m.Targets[:0:0]
	engines := 0
	for _, target := range m.Targets {
		if target.Service == "" {
			engines++
		}
		if target.Service != "" || engines == 1 {
			targets = append(targets, target)
		}
	}
	m.Targets = targets
}

// keeperAndNonKeeper returns a daemon that keeps no engine, and a keeper.
func keeperAndNonKeeper(t *testing.T, daemons []*daemon.Daemon) (from, to *daemon.Daemon) {
	t.Helper()
	for _, d := range daemons {
		if d.KeepsEngineOf("draft") {
			to = d
		} else {
			from = d
		}
	}
	if from == nil || to == nil {
		t.Fatal("no daemon keeps the engine, or all of them do")
	}
	return from, to
}

// TestOneWayLossRemovesNoMember cuts the direction from one daemon to one of the
// two keepers of the only engine while prompts are sent through all daemons. Loss
// in one direction must neither fail prompts nor remove a member for most of the
// time.
func TestOneWayLossRemovesNoMember(t *testing.T) {
	t.Parallel()
	b := startWith(t, 6, nil, singleEngineTwoKeepers)
	daemons := b.Daemons()
	requireAnswers(t, daemons) // establishes the connections that the cut affects
	from, to := keeperAndNonKeeper(t, daemons)
	b.net.Cut(from.Host(), to.Host())
	deadline := time.Now().Add(oneWayLossDuration)
	var callers sync.WaitGroup
	slowest := make([]time.Duration, len(daemons))
	count := make([]int, len(daemons))
	for i, d := range daemons {
		callers.Go(func() {
			for time.Now().Before(deadline) {
				began := time.Now()
				got := post(t.Context(), d.CallerAddress(), completionsPath, promptBody, nil)
				if got.status != http.StatusOK {
					t.Errorf("daemon %d: %d %s", i, got.status, got.body)
				}
				slowest[i] = max(slowest[i], time.Since(began))
				count[i]++
				time.Sleep(pollInterval)
			}
		})
	}
	var missing time.Duration
	for time.Now().Before(deadline) {
		began := time.Now()
		time.Sleep(pollInterval)
		if !b.seesMembers(len(daemons)) {
			missing += time.Since(began)
		}
	}
	callers.Wait()
	recovered := waitFor(t, "all daemons see each other despite the loss", func() bool { return b.seesMembers(len(daemons)) })
	ready := all(daemons, func(d *daemon.Daemon) bool { return d.Ready() == nil })
	lost, waits := b.net.Stats()
	t.Logf("%d datagrams lost, %d waits; a member was missing for %s, then for %s; answers per daemon %v, slowest %v", lost, waits, missing, recovered, count, slowest)
	if !ready {
		t.Error("a daemon is not ready")
	}
	if lost == 0 {
		t.Error("no datagram was lost")
	}
	if missing > oneWayLossDuration/2 {
		t.Error("loss in one direction of one of fifteen pairs removed a member for most of the time")
	}
}

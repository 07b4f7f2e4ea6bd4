package joint

import (
	"context"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/tools/standin/engine"
)

// staleObservation is how long restarted daemons are observed while the
// configuration service is stale.
const staleObservation = 8 * time.Second

// reportLag exceeds the delay between an engine accepting a command and its
// reports showing it.
const reportLag = time.Second

// waitForFencing waits until all engines that check fencing tokens report the
// token of a version.
func (b *cluster) waitForFencing(t *testing.T, version names.Version) {
	t.Helper()
	waitFor(t, "the engines have the fencing token of the version", func() bool {
		for i, e := range b.Fleet.Engines() {
			orders := e.AcceptedOrders()
			if !b.Manifest().Targets[i].ChecksFencing {
				continue
			}
			if len(orders) == 0 || orders[len(orders)-1].Fence < uint64(version) {
				return false
			}
		}
		return true
	})
	time.Sleep(reportLag)
}

// kill stops a daemon as if its process were killed: none of its datagrams
// announces the departure.
func (b *cluster) kill(t *testing.T, d *daemon.Daemon) {
	t.Helper()
	b.net.DropDatagramsFrom(d.Host())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = b.RemoveDaemon(ctx, d) // the cancelled context aborts requests in flight
}

// restartAll kills all daemons and starts the same number of new ones.
func (b *cluster) restartAll(t *testing.T) {
	t.Helper()
	old := b.Daemons()
	for _, d := range old {
		b.kill(t, d)
	}
	for range old {
		if _, err := b.AddDaemon(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestAllRestartedAgainstStaleServiceNotReady restarts all daemons while the
// configuration service serves the version before the last one. Only the engines'
// fencing tokens still indicate the last version. No daemon may put the stale
// version in force or become ready until the service serves the last one.
func TestAllRestartedAgainstStaleServiceNotReady(t *testing.T) {
	t.Parallel()
	b := start(t, 3)
	serveCheckpoint := b.Fleet.Platform().Checkpoint()
	last := b.publishNext(t)
	waitFor(t, "the version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == last })
	})
	b.waitForFencing(t, last)
	serveCheckpoint()
	b.restartAll(t)
	for deadline := time.Now().Add(staleObservation); time.Now().Before(deadline); time.Sleep(pollInterval) {
		for _, d := range b.Daemons() {
			if got := version(d); got != 0 || d.Ready() == nil {
				t.Fatalf("version %d is in force or the daemon is ready; last version %d", got, last)
			}
		}
	}
	b.Fleet.Platform().SetStale(false)
	elapsed := waitFor(t, "the last version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == last && d.Ready() == nil })
	})
	requireAnswers(t, b.Daemons())
	t.Logf("not ready during %s of stale service; version in force %s after the service recovered", staleObservation, elapsed)
}

// TestAllRestartedWithoutFencingRevert restarts all daemons against a stale
// service with engines that do not check fencing tokens. No component retains the
// last version then, so by design the old version is in force until the service
// recovers.
func TestAllRestartedWithoutFencingRevert(t *testing.T) {
	t.Parallel()
	b := startWith(t, 3, func(_ int, c *engine.Config) { c.Fencing = false }, func(m *manifest.Manifest) {
		for i := range m.Targets {
			m.Targets[i].ChecksFencing = false
		}
	})
	old := b.Manifest().Version
	serveCheckpoint := b.Fleet.Platform().Checkpoint()
	last := b.publishNext(t)
	waitFor(t, "the version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == last })
	})
	serveCheckpoint()
	b.restartAll(t)
	elapsed := waitFor(t, "the old version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == old && d.Ready() == nil })
	})
	b.Fleet.Platform().SetStale(false)
	recovered := waitFor(t, "the last version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == last })
	})
	t.Logf("old version in force after %s, last version %s after the service recovered", elapsed, recovered)
}

// TestPlatformDownKeepsServing kills the platform. Running daemons must keep
// answering, and a new daemon must get the version from its peers.
func TestPlatformDownKeepsServing(t *testing.T) {
	t.Parallel()
	b := start(t, 3)
	next := b.publishNext(t)
	waitFor(t, "the version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == next })
	})
	old := b.Daemons()
	if err := b.Fleet.Platform().Kill(); err != nil {
		t.Fatal(err)
	}
	requireAnswers(t, old)
	b.setSeeds(hostsOf(old))
	added, err := b.AddDaemon()
	if err != nil {
		t.Fatal(err)
	}
	elapsed := waitFor(t, "the new daemon is ready", func() bool { return added.Ready() == nil })
	if got := version(added); got != next {
		t.Errorf("version %d is in force on the new daemon", got)
	}
	b.kill(t, old[0])
	requireAnswers(t, b.Daemons())
	if err := b.Fleet.Platform().Restart(); err != nil {
		t.Fatal(err)
	}
	after := b.publishNext(t)
	recovered := waitFor(t, "the next version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == after })
	})
	t.Logf("booted from peers after %s; next version in force %s after the platform restarted", elapsed, recovered)
}

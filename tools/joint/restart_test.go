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

// staleFor is how long restarted daemons are watched beside a stale service.
const staleFor = 8 * time.Second

// reportLag is longer than an engine's reports lag behind what it obeyed.
const reportLag = time.Second

// fencedBy waits until all engines that keep fencing numbers report that of a
// version.
func (b *bench) fencedBy(t *testing.T, version names.Version) {
	t.Helper()
	within(t, "the engines have the version's fencing number", func() bool {
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

// kill ends a daemon as the end of its process would: none of its datagrams
// says goodbye.
func (b *bench) kill(t *testing.T, d *daemon.Daemon) {
	t.Helper()
	b.net.Mute(d.Host())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = b.RemoveDaemon(ctx, d) // requests in flight are cut
}

// restartAll kills all daemons and starts as many.
func (b *bench) restartAll(t *testing.T) {
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

// TestAllRestartedAgainstAStaleService restarts all daemons while the service
// serves the version before the last. Nothing but the engines' fencing numbers
// knows of the last.
func TestAllRestartedAgainstAStaleService(t *testing.T) {
	t.Parallel()
	b := start(t, 3)
	goBack := b.Fleet.Platform().Checkpoint()
	last := b.publishNext(t)
	within(t, "the version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == last })
	})
	b.fencedBy(t, last)
	goBack()
	b.restartAll(t)
	for over := time.Now().Add(staleFor); time.Now().Before(over); time.Sleep(poll) {
		for _, d := range b.Daemons() {
			if got := version(d); got != 0 || d.Ready() == nil {
				t.Fatalf("version %d is in force, after %d", got, last)
			}
		}
	}
	b.Fleet.Platform().SetStale(false)
	took := within(t, "the last version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == last && d.Ready() == nil })
	})
	answers(t, b.Daemons())
	t.Logf("not ready beside the stale service for %s; in force %s after the service was mended", staleFor, took)
}

// TestAllRestartedWithoutFencingGoBack is the same with engines that keep no
// fencing numbers. Then nothing remembers the last version, and the design
// says that the old one is taken until the service is mended.
func TestAllRestartedWithoutFencingGoBack(t *testing.T) {
	t.Parallel()
	b := startWith(t, 3, func(_ int, c *engine.Config) { c.Fencing = false }, func(m *manifest.Manifest) {
		for i := range m.Targets {
			m.Targets[i].ChecksFencing = false
		}
	})
	old := b.Manifest().Version
	goBack := b.Fleet.Platform().Checkpoint()
	last := b.publishNext(t)
	within(t, "the version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == last })
	})
	goBack()
	b.restartAll(t)
	took := within(t, "the old version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == old && d.Ready() == nil })
	})
	b.Fleet.Platform().SetStale(false)
	mended := within(t, "the last version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == last })
	})
	t.Logf("the old version after %s, the last one %s after the service was mended", took, mended)
}

// TestPlatformDown ends the platform. What runs goes on, and a daemon that
// starts takes the version from its peers.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	b := start(t, 3)
	next := b.publishNext(t)
	within(t, "the version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == next })
	})
	old := b.Daemons()
	if err := b.Fleet.Platform().Kill(); err != nil {
		t.Fatal(err)
	}
	answers(t, old)
	b.setSeeds(hostsOf(old))
	added, err := b.AddDaemon()
	if err != nil {
		t.Fatal(err)
	}
	took := within(t, "the new daemon is ready", func() bool { return added.Ready() == nil })
	if got := version(added); got != next {
		t.Errorf("the new daemon has version %d in force", got)
	}
	b.kill(t, old[0])
	answers(t, b.Daemons())
	if err := b.Fleet.Platform().Restart(); err != nil {
		t.Fatal(err)
	}
	after := b.publishNext(t)
	back := within(t, "the next version is in force", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == after })
	})
	t.Logf("booted from peers after %s; the next version %s after the platform was back", took, back)
}

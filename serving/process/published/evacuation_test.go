package published

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/watching"
)

// evacuated returns the data centres that a follower's view holds as evacuated.
func evacuated(f *Follower) string {
	view := f.View()
	if view == nil {
		return "no view"
	}
	var list []string
	for dc := range view.Evacuated {
		list = append(list, string(dc))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// sourceWithTarget returns a source with a configuration and a target.
func sourceWithTarget() *fakeSource {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	return s
}

// Guards against an evacuation that is noticed or ended late, that takes targets from the list,
// or that ends because the source does not answer.
func TestEvacuationIsInForceUntilItsKeyIsRemoved(t *testing.T) {
	s := sourceWithTarget()
	f := follow(t, s, &fakePeers{})
	eventually(t, "one target", func() bool { return targets(f) == 1 })
	s.put("evacuate/b", "anything")
	eventually(t, "the evacuation", func() bool { return evacuated(f) == "b" && targets(f) == 1 })
	if since := f.View().Evacuated["b"]; time.Since(since) > time.Second {
		t.Errorf("evacuated since %s", since)
	}
	s.set(func(s *fakeSource) { s.down = true })
	eventually(t, "the outage", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.sourceDown
	})
	time.Sleep(replicas.RepublishGrace)
	if evacuated(f) != "b" {
		t.Fatal("the evacuation ended during the outage")
	}
	s.set(func(s *fakeSource) { s.down = false })
	s.put("evacuate/b", "")
	eventually(t, "the end", func() bool { return evacuated(f) == "" && !f.View().TakenBack["b"].IsZero() })
}

// The source has lost its changes while the key was removed or written. Guards against a list
// that is read as if its keys were entries that expire.
func TestListWithoutKeyEndsEvacuation(t *testing.T) {
	f := newFollower(newSource(), &fakePeers{}, true)
	list := func(revision uint64, keys ...string) {
		b := Batch{Position: at(revision), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 1}}}
		for _, key := range keys {
			b.Records = append(b.Records, Record{Key: key, Revision: revision})
		}
		f.applyBatch(b, "source")
	}
	list(5, "evacuate/a", "evacuate/b")
	f.markSourceLost()
	list(9, "evacuate/b", "evacuate/c")
	if got := evacuated(f); got != "b c" {
		t.Fatalf("evacuated: %s", got)
	}
	list(7)
	if got := evacuated(f); got != "b c" {
		t.Fatalf("evacuated after an older list: %s", got)
	}
	if view := f.View(); view.Table.Version != 1 {
		t.Fatalf("an evacuation was read as configuration %d", view.Table.Version)
	}
}

// The source is restored from a copy that lacks one key and holds one that was removed. A
// daemon that starts then, and reads from peers alone, must know both at its first view and
// take the first one back when the others do. Times are virtual.
func TestRestoredSourceLeavesDataCentresEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sourceWithTarget()
		s.put("evacuate/removed", "x")
		copied, revision := s.snapshot()
		s.put("evacuate/removed", "")
		s.put("evacuate/late", "x")
		old := follow(t, s, &fakePeers{})
		synctest.Wait()
		if got := evacuated(old); got != "late" {
			t.Fatalf("evacuated: %s", got)
		}
		s.restore(copied, revision)
		for old.Position().Era == 0 {
			time.Sleep(time.Millisecond)
		}
		synctest.Wait() // the position is set before the view
		restored := time.Now()
		if got := evacuated(old); got != "late removed" {
			t.Fatalf("evacuated after the restoration: %s", got)
		}
		down := newSource()
		down.down = true
		young := follow(t, down, &fakePeers{follower: old})
		for young.View() == nil {
			time.Sleep(time.Millisecond)
		}
		if got := evacuated(young); got != "late removed" {
			t.Fatalf("a daemon that started knows: %s", got)
		}
		third := newFollower(newSource(), &fakePeers{}, true)
		third.applyBatch(young.Records(replicas.Position{}), "peer")
		if got := evacuated(third); got != "removed" {
			t.Fatalf("a peer hands on what another one holds: %s", got)
		}
		time.Sleep(replicas.RestoreGrace - time.Since(restored) - time.Millisecond)
		if got := evacuated(old) + ", " + evacuated(young); got != "late removed, late removed" {
			t.Fatalf("evacuated before %s: %s", replicas.RestoreGrace, got)
		}
		time.Sleep(2 * time.Second)
		if got := evacuated(old) + ", " + evacuated(young); got != "removed, removed" {
			t.Fatalf("evacuated after %s: %s", replicas.RestoreGrace, got)
		}
		s.put("evacuate/removed", "")
		time.Sleep(time.Second)
		if got := evacuated(old); got != "" {
			t.Fatalf("evacuated after the removal: %s", got)
		}
		if got := slices.Sorted(maps.Keys(old.View().TakenBack)); !slices.Equal(got, []names.DataCentre{"late", "removed"}) {
			t.Fatalf("taken back: %v", got)
		}
	})
}

// A daemon that does not call the source reads the changes from a peer. Guards against changes
// of evacuations that are not kept for peers.
func TestEvacuationIsReadFromPeers(t *testing.T) {
	s := sourceWithTarget()
	watcher := follow(t, s, &fakePeers{})
	down := newSource()
	down.down = true
	f := followAs(t, down, &fakePeers{follower: watcher}, false)
	eventually(t, "the list", func() bool { return targets(f) == 1 })
	for _, value := range []string{"x", ""} {
		s.put("evacuate/b", value)
		began := time.Now()
		eventually(t, "the change", func() bool {
			f.ObserveHeartbeat("watcher", watcher.Heartbeat())
			return (evacuated(f) == "b") == (value != "")
		})
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("the change to %q took %s", value, took)
		}
	}
}

// A daemon is paused while a data centre is evacuated. Guards against a request that it sends by
// the records from before the pause.
func TestPausedDaemonLearnsOfEvacuationFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := newFollower(newSource(), &fakePeers{}, true)
		list := Batch{Position: at(5), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 5}}}
		peer.applyBatch(list, "source")
		f := newFollower(newSource(), &fakePeers{follower: peer}, false)
		f.applyBatch(list, "source")
		f.evidence.advance(Evidence{ConfirmedAt: time.Now()})
		f.pause.Ran(time.Now())
		peer.applyBatch(Batch{Position: at(6), Records: []Record{{Key: "evacuate/b", Revision: 6}}}, "source")
		time.Sleep(10 * time.Second) // none of its loops runs
		peer.evidence.advance(Evidence{ConfirmedAt: time.Now()})
		go func() {
			time.Sleep(50 * time.Millisecond)
			f.ObserveHeartbeat("peer", peer.Heartbeat())
			f.readPeer(t.Context())
		}()
		resumed := time.Now()
		f.AwaitAfterPause()
		if got := evacuated(f); got != "b" || time.Since(resumed) > watching.ResumeTime {
			t.Errorf("evacuated after %s: %q", time.Since(resumed), got)
		}
	})
}

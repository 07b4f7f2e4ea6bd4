package published

import (
	"context"
	"testing"
	"time"

	"carobspoke.example/core/process/replicas"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// TestAListenerCostsTheSourceNoWatch follows by the beats of a watcher, reads
// the changes from it, and watches by itself once the beats end.
func TestAListenerCostsTheSourceNoWatch(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	watcher := follow(t, s, &fakePeers{})
	eventually(t, "version 1", func() bool { return version(watcher) == 1 })
	own := newSource()
	own.put("config", "v")
	own.put("target/a", "ready")
	listener := New(own, fakeDecoder{}, &fakePeers{of: watcher}, zap.NewNop(), func(uint64) {}, func() bool { return false })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	listener.Heard("watcher", watcher.Revision(), 0, false)
	go func() {
		defer close(done)
		listener.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	beat := func() { listener.Heard("watcher", watcher.Revision(), watcher.Age(), false) }
	s.put("config", "vv")
	s.put("target/b", "ready")
	s.put("target/a", "")
	eventually(t, "version 2 and b alone", func() bool {
		beat()
		return version(listener) == 2 && targets(listener) == 1
	})
	if b := watcher.Records(3); b.Whole || len(b.Records) != 3 {
		t.Fatalf("the watcher gives %+v", b)
	}
	for range 20 {
		beat()
		time.Sleep(50 * time.Millisecond)
	}
	own.set(func(o *fakeSource) {
		if o.watches != 0 {
			t.Errorf("the listener watched %d times", o.watches)
		}
	})
	if !listener.Recent() {
		t.Fatal("not recent though a watcher confirms it")
	}
	eventually(t, "a watch of its own", func() bool {
		own.mu.Lock()
		defer own.mu.Unlock()
		return own.watches > 0
	})
}

// TestABeatWithoutConfirmationIsNoBeat is a watcher that the source turns away.
func TestABeatWithoutConfirmationIsNoBeat(t *testing.T) {
	f := New(newSource(), fakeDecoder{}, &fakePeers{}, zap.NewNop(), func(uint64) {}, func() bool { return false })
	f.Heard("watcher", 0, Recent+time.Second, false)
	if !f.alone() {
		t.Fatal("a watcher that is cut off counts")
	}
	f.Heard("watcher", 0, 0, false)
	if f.alone() || !f.Recent() {
		t.Fatal("a watcher's beat does not count")
	}
}

// TestALateListenerAsksTheSource is told of a revision that no peer gives.
func TestALateListenerAsksTheSource(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	f := followAs(t, s, &fakePeers{}, false)
	eventually(t, "version 1", func() bool { return version(f) == 1 })
	f.Heard("watcher", f.Revision(), 0, false)
	s.put("config", "vvv")
	began := time.Now()
	f.Told(f.Revision()+1, "watcher")
	eventually(t, "version 3", func() bool {
		f.heard.Set(time.Now())
		return version(f) == 3
	})
	if took := time.Since(began); took > peersLate+time.Second {
		t.Fatalf("took %s", took)
	}
}

// TestAListenerTrustsItsWatchers is turned away by the source once, and hears a
// watcher from then on: a target that vanishes is gone, and not taken for one
// that lapsed in an outage. (Found by a score: tuuraj-carob-grown, scale-2.)
func TestAListenerTrustsItsWatchers(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	s.put("target/b", "ready")
	f := followAs(t, s, &fakePeers{}, false)
	eventually(t, "two targets", func() bool { return targets(f) == 2 })
	s.set(func(s *fakeSource) { s.down = true })
	eventually(t, "the loss", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.lost
	})
	f.Heard("watcher", f.Revision(), 0, false)
	until := time.Now().Add(replicas.RepublishGrace + 100*time.Millisecond)
	for time.Now().Before(until) {
		f.Heard("watcher", f.Revision(), 0, false)
		time.Sleep(50 * time.Millisecond)
	}
	f.apply(Batch{Revision: 50, Records: []Record{{Key: "target/a", Revision: 50, Deleted: true}}}, "peer")
	if targets(f) != 1 {
		t.Fatalf("%d targets after one has vanished", targets(f))
	}
}

// TestNewsOfNewsDoesNotExtendTheWait tells one revision after the other, none of
// which a peer gives. (Found by a hunt: tuuraj-carob, days of our own,
// partitions, seed 664690967066: a watcher that was cut off was asked again and
// again while revisions came.)
func TestNewsOfNewsDoesNotExtendTheWait(t *testing.T) {
	p := &fakePeers{}
	f := New(newSource(), fakeDecoder{}, p, zap.NewNop(), func(uint64) {}, func() bool { return false })
	f.apply(Batch{Revision: 1, Whole: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 1}}}, "source")
	began := time.Now()
	for revision := uint64(2); !f.lagging(); revision++ {
		f.Told(revision, "")
		time.Sleep(20 * time.Millisecond)
		if time.Since(began) > peersLate+200*time.Millisecond {
			t.Fatal("not late though nothing came")
		}
	}
	f.Heard("beating", 1, 0, false)
	f.readPeer(t.Context())
	f.readPeer(t.Context())
	if p.asked[0] != "beating" || p.asked[1] != "" {
		t.Fatalf("asked %q: first who beats, then any", p.asked)
	}
}

// TestAnEntryThatPeersKnowToBeGoneIsDropped cuts a daemon off from the source,
// and lets a target leave: the daemon's own doubt must not keep it, whether it
// hears of it by the changes or by a beat.
func TestAnEntryThatPeersKnowToBeGoneIsDropped(t *testing.T) {
	leave := Batch{Records: []Record{{Key: "target/a", Revision: 9, Deleted: true}}, Revision: 9}
	for _, settled := range []bool{false, true} {
		f := New(newSource(), fakeDecoder{}, &fakePeers{}, zap.NewNop(), func(uint64) {}, func() bool { return false })
		f.apply(Batch{Records: []Record{{Key: "target/a", Value: []byte("x"), Revision: 8}}, Revision: 8}, "source")
		f.away(t.Context(), errors.New("cut off"))
		leave.Settled = settled
		f.apply(leave, "peer")
		if kept := len(f.directory.List()) == 1; kept == settled {
			t.Errorf("changes of a peer that is settled (%t): the target is kept: %t", settled, kept)
		}
		f.Heard("watcher", 8, 0, true) // it does not know of the change
		f.Heard("watcher", 9, 0, false)
		if kept := len(f.directory.List()) == 1; kept == settled {
			t.Errorf("after beats that prove nothing, settled (%t): the target is kept: %t", settled, kept)
		}
		f.Heard("watcher", 9, 0, true)
		if len(f.directory.List()) != 0 {
			t.Error("the target is kept after a beat of a watcher that is settled")
		}
	}
}

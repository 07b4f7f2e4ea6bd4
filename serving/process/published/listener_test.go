package published

import (
	"context"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/watching"
	"github.com/pkg/errors"
)

// TestListenerWatchesSourceOnlyWithoutHeartbeats checks that a daemon which
// receives a watcher's heartbeats reads changes from the watcher, without a watch
// of its own, and watches the source once the heartbeats stop.
func TestListenerWatchesSourceOnlyWithoutHeartbeats(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	watcher := follow(t, s, &fakePeers{})
	eventually(t, "version 1", func() bool { return version(watcher) == 1 })
	own := newSource()
	own.put("config", "v")
	own.put("target/a", "ready")
	listener := newFollower(own, &fakePeers{follower: watcher}, false)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	listener.ObserveHeartbeat("watcher", Heartbeat{Position: watcher.Position(), ConfirmedAt: time.Now()})
	go func() {
		defer close(done)
		listener.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	heartbeat := func() {
		listener.ObserveHeartbeat("watcher", Heartbeat{Position: watcher.Position(), ConfirmedAt: watcher.Evidence().ConfirmedAt})
	}
	s.put("config", "vv")
	s.put("target/b", "ready")
	s.put("target/a", "")
	eventually(t, "version 2 and only target b", func() bool {
		heartbeat()
		return version(listener) == 2 && targets(listener) == 1
	})
	if b := watcher.Records(at(3)); b.Complete || len(b.Records) != 3 {
		t.Fatalf("records of the watcher: %+v", b)
	}
	for range 20 {
		heartbeat()
		time.Sleep(50 * time.Millisecond)
	}
	own.set(func(o *fakeSource) {
		if o.watches != 0 {
			t.Errorf("the listener watched %d times", o.watches)
		}
	})
	if !listener.UpToDate() {
		t.Fatal("not up to date although a watcher confirms the records")
	}
	eventually(t, "a watch by the listener", func() bool {
		own.mu.Lock()
		defer own.mu.Unlock()
		return own.watches > 0
	})
}

// TestUnconfirmedHeartbeatIsIgnored checks that heartbeats of a watcher which the
// source does not answer are ignored.
func TestUnconfirmedHeartbeatIsIgnored(t *testing.T) {
	f := newFollower(newSource(), &fakePeers{}, false)
	f.ObserveHeartbeat("watcher", Heartbeat{Position: at(0), ConfirmedAt: time.Now().Add(-(MaxFreshAge + time.Second))})
	if !f.heartbeatsExpired() {
		t.Fatal("a heartbeat without a current confirmation was accepted")
	}
	f.ObserveHeartbeat("watcher", Heartbeat{Position: at(0), ConfirmedAt: time.Now()})
	if f.heartbeatsExpired() || !f.UpToDate() {
		t.Fatal("a confirmed heartbeat was ignored")
	}
}

// TestListenerWatchesSourceIfPeersLag announces a revision that no peer returns.
func TestListenerWatchesSourceIfPeersLag(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	f := followAs(t, s, &fakePeers{}, false)
	eventually(t, "version 1", func() bool { return version(f) == 1 })
	f.ObserveHeartbeat("watcher", Heartbeat{Position: f.Position(), ConfirmedAt: time.Now()})
	s.put("config", "vvv")
	began := time.Now()
	f.ObservePeerPosition(at(f.Revision()+1), "watcher")
	eventually(t, "version 3", func() bool {
		f.lastHeartbeat.Set(time.Now())
		return version(f) == 3
	})
	if took := time.Since(began); took > peerLagTimeout+time.Second {
		t.Fatalf("took %s", took)
	}
}

// TestHeartbeatEndsOutage guards against keeping removed targets on a daemon that
// the source refused once and that has received a watcher's heartbeats since. The
// heartbeats end the outage, so that a target removed more than RepublishGrace
// later is dropped. Seen in scenario tuuraj-carob-grown, scale-2.
func TestHeartbeatEndsOutage(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	s.put("target/b", "ready")
	f := followAs(t, s, &fakePeers{}, false)
	eventually(t, "two targets", func() bool { return targets(f) == 2 })
	s.set(func(s *fakeSource) { s.down = true })
	eventually(t, "the source to be marked as down", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.sourceDown
	})
	f.ObserveHeartbeat("watcher", Heartbeat{Position: f.Position(), ConfirmedAt: time.Now()})
	until := time.Now().Add(replicas.RepublishGrace + 100*time.Millisecond)
	for time.Now().Before(until) {
		f.ObserveHeartbeat("watcher", Heartbeat{Position: f.Position(), ConfirmedAt: time.Now()})
		time.Sleep(50 * time.Millisecond)
	}
	f.applyBatch(Batch{Position: at(50), Records: []Record{{Key: "target/a", Revision: 50, Deleted: true}}}, "peer")
	if targets(f) != 1 {
		t.Fatalf("%d targets after one was removed", targets(f))
	}
}

// TestNewerRevisionDoesNotRestartPeerLagTimeout announces one revision after the
// other, none of which a peer returns. It guards against reading again and again
// from a watcher that is cut off while new revisions are announced, which happened
// in the partitions of tuuraj-carob with seed 664690967066.
func TestNewerRevisionDoesNotRestartPeerLagTimeout(t *testing.T) {
	p := &fakePeers{}
	f := newFollower(newSource(), p, false)
	f.applyBatch(Batch{Position: at(1), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 1}}}, "source")
	began := time.Now()
	for revision := uint64(2); !f.peersLagging(); revision++ {
		f.ObservePeerPosition(at(revision), "")
		time.Sleep(20 * time.Millisecond)
		if time.Since(began) > peerLagTimeout+200*time.Millisecond {
			t.Fatal("peerLagTimeout did not expire although no peer returned a revision")
		}
	}
	f.ObserveHeartbeat("beating", Heartbeat{Position: at(1), ConfirmedAt: time.Now()})
	f.readPeer(t.Context())
	f.readPeer(t.Context())
	if p.asked[0] != "beating" || p.asked[1] != "" {
		t.Fatalf("read from %q, want first the sender of the heartbeat, then any peer", p.asked)
	}
}

// TestEntryThatSettledPeerRemovedIsDropped removes a target while a daemon is cut
// off from the source. The daemon keeps the target because of the outage until a
// settled peer's changes, or a settled watcher's heartbeat at the same revision,
// show that it is gone.
func TestEntryThatSettledPeerRemovedIsDropped(t *testing.T) {
	leave := Batch{Records: []Record{{Key: "target/a", Revision: 9, Deleted: true}}, Position: at(9)}
	for _, settled := range []bool{false, true} {
		f := newFollower(newSource(), &fakePeers{}, false)
		f.applyBatch(Batch{Records: []Record{{Key: "target/a", Value: []byte("x"), Revision: 8}}, Position: at(8)}, "source")
		f.sourceFailed(t.Context(), errors.New("cut off"))
		leave.Settled = settled
		f.applyBatch(leave, "peer")
		if kept := len(f.directory.List(time.Now())) == 1; kept == settled {
			t.Errorf("after changes of a peer with settled %t: target kept: %t", settled, kept)
		}
		f.ObserveHeartbeat("watcher", Heartbeat{Position: at(8), Settled: true, ConfirmedAt: time.Now()}) // older than the change
		f.ObserveHeartbeat("watcher", Heartbeat{Position: at(9), ConfirmedAt: time.Now()})
		if kept := len(f.directory.List(time.Now())) == 1; kept == settled {
			t.Errorf("after heartbeats that are older or not settled, changes with settled %t: target kept: %t", settled, kept)
		}
		f.ObserveHeartbeat("watcher", Heartbeat{Position: at(9), Settled: true, ConfirmedAt: time.Now()})
		if len(f.directory.List(time.Now())) != 0 {
			t.Error("target kept after the heartbeat of a settled watcher")
		}
	}
}

// All watchers are refused by the source, and say so. Guards against waiting until their
// last confirmation is old: a daemon that the source would answer must call it and apply
// the changes soon.
func TestListenerCallsSourceIfWatchersAreRefused(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	f := followAs(t, s, &fakePeers{}, false)
	eventually(t, "version 1", func() bool { return f.View() != nil && version(f) == 1 })
	heartbeat := Heartbeat{Position: f.Position(), ConfigVersion: 1}
	beat := func() {
		heartbeat.ConfirmedAt = time.Now().Add(-100 * time.Millisecond)
		f.ObserveHeartbeat("watcher", heartbeat)
	}
	for range 10 {
		beat()
		time.Sleep(50 * time.Millisecond)
	}
	s.put("config", "vv")
	heartbeat.Lost = true
	began := time.Now()
	eventually(t, "version 2", func() bool {
		beat()
		return version(f) == 2
	})
	// Ten peers wait for up to 1 s after the heartbeats ended.
	if took := time.Since(began); took > 2*time.Second {
		t.Fatalf("in force after %s", took)
	}
	if f.Heartbeat().Lost {
		t.Fatal("a volunteer that the source answers calls it lost")
	}
}

// A daemon that hears only daemons which the source refuses must say so to those that
// depend on it.
func TestRelayTellsThatSourceIsLost(t *testing.T) {
	f := newFollower(newSource(), &fakePeers{}, false)
	f.ObserveHeartbeat("watcher", Heartbeat{ConfirmedAt: time.Now()})
	if f.Heartbeat().Lost {
		t.Fatal("lost while a watcher confirms the records")
	}
	time.Sleep(HeartbeatInterval + 50*time.Millisecond)
	f.ObserveHeartbeat("watcher", Heartbeat{Lost: true, ConfirmedAt: time.Now()})
	if !f.Heartbeat().Lost {
		t.Fatal("not lost though the only watcher is refused")
	}
	refused := newFollower(newSource(), &fakePeers{}, true)
	refused.sourceFailed(t.Context(), errors.New("refused"))
	if !refused.Heartbeat().Lost {
		t.Fatal("a watcher that is refused does not say so")
	}
}

// The watches of all watchers hang, and heartbeats go on. Guards against taking a heartbeat
// for a sign that the source was read: the listener, which the source would answer, must
// have a change in force within watching.ApplyTime.
func TestListenerCallsSourceIfWatchesOfWatchersHang(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	f := followAs(t, s, &fakePeers{}, false)
	eventually(t, "version 1", func() bool { return f.View() != nil && version(f) == 1 })
	position := f.Position()
	eventually(t, "no call of its own", func() bool {
		f.ObserveHeartbeat("watcher", Heartbeat{Position: position, ConfigVersion: 1, ConfirmedAt: time.Now()})
		return !f.Volunteering()
	})
	hung := time.Now()
	s.put("config", "vv")
	eventually(t, "version 2", func() bool {
		for _, from := range []names.Host{"watcher", "relay"} {
			f.ObserveHeartbeat(from, Heartbeat{Position: position, ConfirmedAt: hung, ConfigVersion: 1})
		}
		return version(f) == 2
	})
	if took := time.Since(hung); took > watching.ApplyTime-200*time.Millisecond {
		t.Fatalf("in force after %s", took)
	}
}

// A change that is read from a peer shows what the peer knows, at the age of the peer's
// confirmation. Guards against taking the read for a confirmation by the source.
func TestReadFromPeerIsAsOldAsPeersConfirmation(t *testing.T) {
	const age = time.Minute
	peer := Batch{Position: at(2), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 2}}, ConfirmedAt: time.Now().Add(-age)}
	f := newFollower(newSource(), &fakePeers{batch: peer}, false)
	f.readPeer(t.Context())
	if version(f) != 1 || f.Age() < age || f.UpToDate() {
		t.Fatalf("version %d, confirmed %s ago", version(f), f.Age())
	}
}

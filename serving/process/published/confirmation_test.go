package published

import (
	"context"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
)

// slowDecoder takes a time to decode a configuration, as a host does that is short of
// processor time. It signals on started that it has begun.
type slowDecoder struct {
	fakeDecoder
	started chan struct{}
	takes   time.Duration
}

func (d slowDecoder) Decode(r *Record) (*routing.Config, *replicas.Target, error) {
	if r.Key == "config" && d.takes > 0 {
		d.started <- struct{}{}
		time.Sleep(d.takes)
	}
	return d.fakeDecoder.Decode(r)
}

// TestHeartbeatOfBusyRelayIsAsOldAsItsWait has a relay send a heartbeat while it applies changes.
// Guards against a heartbeat that waits for the changes after its age was read: receivers then
// take records for complete that lack what was published meanwhile, and refuse its routes.
func TestHeartbeatOfBusyRelayIsAsOldAsItsWait(t *testing.T) {
	const applying = 500 * time.Millisecond
	decoder := slowDecoder{started: make(chan struct{}, 1), takes: applying}
	relay := newFollower(newSource(), &fakePeers{}, false)
	relay.applyBatch(Batch{Position: at(1), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 1}}}, FromSource)
	relay.decoder = decoder
	confirmed := time.Now()
	relay.evidence.advance(Evidence{ConfirmedAt: confirmed})

	go relay.applyBatch(Batch{Position: at(2), Records: []Record{{Key: "config", Value: []byte("vv"), Revision: 2}}}, FromPeer)
	<-decoder.started
	h := relay.Heartbeat()
	listener := newFollower(newSource(), &fakePeers{}, false)
	listener.applyBatch(Batch{Position: at(1), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 1}}}, FromPeer)
	listener.ObserveHeartbeat(names.Host("relay"), h)
	if late := listener.Evidence().ConfirmedAt.Sub(confirmed); late > applying/10 {
		t.Errorf("the records of position %d count as complete until %s after the relay's last confirmation", h.Position.Revision, late)
	}
}

// Guards against relying on a heartbeat whose sender's clock is not known, and against not asking
// the sender for it.
func TestHeartbeatOfUnknownClockIsFollowedByRead(t *testing.T) {
	p := &fakePeers{batch: Batch{Position: at(1), ConfirmedAt: time.Now()}}
	f := newFollower(newSource(), p, false)
	f.applyBatch(Batch{Position: at(1), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 1}}}, FromPeer)
	f.ObserveHeartbeat("relay", Heartbeat{Position: at(1), ConfirmedAt: time.Now(), ClockUnknown: true})
	if got := f.Evidence(); !got.ConfirmedAt.IsZero() {
		t.Fatalf("confirmed by %+v", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.readClocks(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	f.ObserveHeartbeat("relay", Heartbeat{Position: at(1), ConfirmedAt: time.Now(), ClockUnknown: true, MustRead: true})
	eventually(t, "a read from the sender", func() bool { return f.Evidence().Origin == FromPeer })
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.asked) != 1 || p.asked[0] != "relay" {
		t.Fatalf("read from %v", p.asked)
	}
}

// TestStateIsNotOlderThanItsEvidence puts versions in force one after the other, each confirmed
// after it is in force. Guards against requests that read the state before a version and the
// confirmation after it, and refuse the version's routes.
func TestStateIsNotOlderThanItsEvidence(t *testing.T) {
	const versions = 8000
	f := newFollower(newSource(), &fakePeers{}, false)
	apply := func(version int) {
		f.applyBatch(Batch{Position: at(uint64(version)), Records: []Record{{Key: "config", Value: make([]byte, version), Revision: uint64(version)}}}, FromPeer)
	}
	apply(1)
	began := time.Now()
	f.evidence.advance(Evidence{ConfirmedAt: began.Add(1)})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := 2; version <= versions; version++ {
			apply(version)
			f.evidence.advance(Evidence{ConfirmedAt: began.Add(time.Duration(version))})
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		view, evidence := f.Current()
		if confirmed := int(evidence.ConfirmedAt.Sub(began)); int(view.Table.Version) < confirmed {
			t.Fatalf("version %d is in force with the confirmation of version %d", view.Table.Version, confirmed)
		}
	}
}

// Guards against watching again from the same position after an answer with many versions that
// was not complete in time: the next one holds more versions and takes longer.
func TestChangesThatTakeTooLongAreListed(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	f := follow(t, s, &fakePeers{})
	eventually(t, "version 1", func() bool { return version(f) == 1 })
	s.set(func(s *fakeSource) { s.unfinished = true })
	s.put("config", "vv")
	s.put("config", "vvv")
	began := time.Now()
	eventually(t, "version 3", func() bool { return version(f) == 3 })
	if took := time.Since(began); took > time.Second {
		t.Errorf("in force after %s", took)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sourceDown {
		t.Error("a source that answers slowly counts as lost")
	}
}

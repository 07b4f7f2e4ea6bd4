package published

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
)

// pausedDecoder signals on started that it decodes a configuration, and waits for release.
type pausedDecoder struct {
	countingDecoder
	started, release chan struct{}
}

func (d *pausedDecoder) Decode(r *Record) (*routing.Config, *replicas.Target, error) {
	if r.Key == "config" {
		d.started <- struct{}{}
		<-d.release
	}
	return d.countingDecoder.Decode(r)
}

// newPausedFollower returns a follower that has version 1 in force at position 1, and whose
// decoder waits from then on.
func newPausedFollower() (*Follower, *pausedDecoder) {
	f, _ := newCountingFollower()
	f.applyBatch(changes(0, "1"), FromSource)
	d := &pausedDecoder{started: make(chan struct{}), release: make(chan struct{})}
	f.decoder = d
	return f, d
}

// TestHeartbeatsAndReadsDoNotWaitForADecode has a daemon decode a configuration for long. Guards
// against heartbeats that aren't sent or handled meanwhile, and peers whose reads time out.
func TestHeartbeatsAndReadsDoNotWaitForADecode(t *testing.T) {
	const bound = time.Second
	batches := map[string]Batch{
		"changes":       changes(1, "2"),
		"complete list": {Position: at(2), Complete: true, Records: changes(1, "2").Records},
		"older batch":   {Position: at(0), Complete: true, Records: changes(0, "2").Records},
	}
	calls := map[string]func(f *Follower){
		"heartbeat":         func(f *Follower) { f.Heartbeat() },
		"observe heartbeat": func(f *Follower) { f.ObserveHeartbeat("watcher", Heartbeat{Position: at(1), Settled: true}) },
		"read of a peer":    func(f *Follower) { f.Records(at(0)) },
		"settled":           func(f *Follower) { f.Settled() },
		"unusable":          func(f *Follower) { f.Unusable() },
		"source lost":       func(f *Follower) { f.markSourceLost() },
	}
	for kind, b := range batches {
		f, d := newPausedFollower()
		var applying sync.WaitGroup
		applying.Go(func() { f.applyBatch(b, FromPeer) })
		<-d.started
		for name, call := range calls {
			returned := make(chan struct{})
			go func() {
				defer close(returned)
				call(f)
			}()
			select {
			case <-returned:
			case <-time.After(bound):
				t.Errorf("%s: %s waits for the decoder", kind, name)
			}
		}
		if f.Position() != at(1) || version(f) != 1 {
			t.Errorf("%s: position %d and version %d during the decoding", kind, f.Position().Revision, version(f))
		}
		close(d.release)
		applying.Wait()
		if version(f) != 2 {
			t.Errorf("%s: version %d after the decoding", kind, version(f))
		}
	}
}

// TestSlowDecodeNeverRevertsTheConfiguration has a batch of the source arrive while an older one of a
// peer is decoded. Guards against an older configuration or position that replaces a newer one.
func TestSlowDecodeNeverRevertsTheConfiguration(t *testing.T) {
	f, d := newPausedFollower()
	var applying sync.WaitGroup
	applying.Go(func() { f.applyBatch(changes(1, "2"), FromPeer) })
	<-d.started
	applying.Go(func() { f.applyBatch(changes(1, "2", "3"), FromSource) })
	select {
	case <-d.started: // two batches are decoded at the same time
		d.release <- struct{}{}
	case <-time.After(50 * time.Millisecond):
	}
	go func() {
		for range d.started {
		}
	}()
	close(d.release)
	applying.Wait()
	close(d.started)
	if version(f) != 3 || f.Position() != at(3) {
		t.Errorf("version %d at position %d", version(f), f.Position().Revision)
	}
}

// TestPositionIsNotAheadOfItsState has the source and a peer bring the same versions, each at its own
// pace, and reads position and state meanwhile. Guards against a confirmation of a position whose
// changes are not in force yet, and against positions and versions that decrease.
func TestPositionIsNotAheadOfItsState(t *testing.T) {
	const versions = 3000
	f, _ := newCountingFollower()
	f.applyBatch(changes(0, "1"), FromSource)
	var appliers sync.WaitGroup
	for seed, from := range []Origin{FromSource, FromPeer} {
		appliers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			for f.Revision() < versions {
				after := f.Revision()
				var values []string
				for range 1 + random.IntN(3) {
					values = append(values, strconv.FormatUint(after+uint64(len(values))+1, 10))
				}
				f.applyBatch(changes(after, values...), from)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		appliers.Wait()
	}()
	var last replicas.Position
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		position := f.Position()
		inForce := uint64(version(f))
		if position.Compare(last) < 0 || inForce < position.Revision {
			t.Fatalf("version %d is in force at position %d, which follows position %d", inForce, position.Revision, last.Revision)
		}
		last = position
	}
}

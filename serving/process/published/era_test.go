package published

import (
	"maps"
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"github.com/pkg/errors"
)

// snapshot returns a copy of the source's contents.
func (s *fakeSource) snapshot() (map[string]Record, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.records), s.revision
}

// restore replaces the contents by those of a copy and begins a new era. Revisions after
// the copy are given out again.
func (s *fakeSource) restore(records map[string]Record, revision uint64) {
	s.set(func(s *fakeSource) {
		s.records, s.revision, s.changes = maps.Clone(records), revision, nil
		s.era++
	})
}

func listed(f *Follower) []names.Target {
	var ids []names.Target
	for _, t := range f.View().Targets["s"] {
		ids = append(ids, t.ID)
	}
	return ids
}

// The source is restored from a copy, and new changes are given revisions that were
// used before. Guards against joining a watch of the new era to the revisions of the old
// one, and against taking back what was in force.
func TestRestoredSourceDoesNotTakeBackWhatIsKnown(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/leaving", "ready")
	s.put("target/gone", "ready")
	copied, revision := s.snapshot()
	s.put("config", "vvvv")
	s.put("target/leaving", "draining")
	s.put("target/gone", "")
	s.put("target/late", "ready")
	f := follow(t, s, &fakePeers{})
	eventually(t, "all changes", func() bool { return version(f) == 4 && slices.Equal(listed(f), []names.Target{"late"}) })
	s.restore(copied, revision)
	for i := range 6 { // the watch from the old revision returns some of these changes
		s.put("target/other", []string{"ready", "draining"}[i%2])
	}
	s.put("target/other", "ready")
	eventually(t, "the new era", func() bool { return f.Position().Era == 1 })
	if version(f) != 4 {
		t.Fatalf("version %d in force", version(f))
	}
	if got := listed(f); slices.Contains(got, "leaving") || !slices.Contains(got, "late") {
		t.Fatalf("targets %v", got)
	}
	s.put("target/leaving", "draining")
	s.put("target/late", "ready")
	s.put("config", "vvvv")
	eventually(t, "what was written again", func() bool { return f.Revision() == s.position().Revision })
	s.put("config", "vvvvv")
	eventually(t, "the next version", func() bool { return version(f) == 5 })
	if got := listed(f); !slices.Equal(got, []names.Target{"gone", "late", "other"}) && !slices.Equal(got, []names.Target{"late", "other"}) {
		t.Fatalf("targets %v", got)
	}
}

// A daemon saw a target leave before the restoration. The copy lists it as ready. It must
// not be used until it is published again.
func TestTargetOfCopyIsNotUsed(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	s.put("target/gone", "ready")
	f := follow(t, s, &fakePeers{})
	eventually(t, "both targets", func() bool { return f.View() != nil && len(listed(f)) == 2 })
	copied, revision := s.snapshot()
	s.put("target/gone", "")
	eventually(t, "one target", func() bool { return slices.Equal(listed(f), []names.Target{"a"}) })
	s.restore(copied, revision)
	eventually(t, "the new era", func() bool { return f.Position().Era == 1 })
	if got := listed(f); !slices.Equal(got, []names.Target{"a"}) {
		t.Fatalf("targets %v", got)
	}
	if b := f.Records(replicas.Position{}); b.Suspended["target/gone"] <= 0 {
		t.Fatalf("suspended for peers: %v", b.Suspended)
	}
	s.put("target/gone", "ready")
	eventually(t, "the target that was published again", func() bool { return len(listed(f)) == 2 })
}

// A daemon that started after the restoration knows only the copy. Its peers have a newer
// configuration, and know which targets are gone.
func TestPeersCorrectCopy(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	s.put("target/gone", "ready")
	copied, revision := s.snapshot()
	old := follow(t, s, &fakePeers{})
	eventually(t, "the copy's state", func() bool { return version(old) == 1 && len(listed(old)) == 2 })
	s.put("config", "vvv")
	s.put("target/gone", "")
	eventually(t, "version 3", func() bool { return version(old) == 3 && len(listed(old)) == 1 })
	s.restore(copied, revision)
	eventually(t, "the new era", func() bool { return old.Position().Era == 1 })
	young := follow(t, s, &fakePeers{follower: old})
	eventually(t, "the copy", func() bool { return young.View() != nil })
	eventually(t, "version 3 from the peer", func() bool {
		young.ObserveHeartbeat("old", old.Heartbeat())
		return version(young) == 3
	})
	if got := listed(young); !slices.Equal(got, []names.Target{"a"}) {
		t.Fatalf("targets %v", got)
	}
	if b := young.Records(replicas.Position{}); !slices.ContainsFunc(b.Records, func(r Record) bool { return string(r.Value) == "vvv" }) {
		t.Fatal("the configuration of the copy is handed to peers")
	}
}

// A peer of the era before has a higher revision. Guards against reading from it, and
// against keeping its position from the new era.
func TestPeersOfEarlierEraAreIgnored(t *testing.T) {
	f := newFollower(newSource(), &fakePeers{}, true)
	f.applyBatch(Batch{Position: at(900), Complete: true, Records: []Record{{Key: "config", Value: []byte("vv"), Revision: 800}, {Key: "target/a", Value: []byte("ready"), Revision: 900}}}, "source")
	f.applyBatch(Batch{Position: replicas.Position{Era: 1, Revision: 20}, Complete: true, Records: []Record{{Key: "target/a", Value: []byte("ready"), Revision: 20}}}, "source")
	if f.Position() != (replicas.Position{Era: 1, Revision: 20}) || version(f) != 2 {
		t.Fatalf("position %+v, version %d", f.Position(), version(f))
	}
	f.ObservePeerPosition(at(1000), "old")
	if f.pending.Load() != nil {
		t.Fatal("the position of a peer in an earlier era is to be read")
	}
	confirmed := f.Age()
	f.ObserveHeartbeat("old", Heartbeat{Position: at(1000), Settled: true, ConfirmedAt: time.Now()})
	if f.Age() < confirmed {
		t.Fatal("a heartbeat of an earlier era confirmed the records")
	}
	f.applyBatch(Batch{Position: at(1000), Records: []Record{{Key: "target/a", Revision: 1000, Deleted: true}}}, "peer")
	f.applyBatch(Batch{Position: replicas.Position{Era: 2, Revision: 21}, Records: []Record{{Key: "target/a", Revision: 21, Deleted: true}}}, "peer")
	if f.Position().Era != 1 || !slices.Equal(listed(f), []names.Target{"a"}) {
		t.Fatalf("position %+v, targets %v", f.Position(), listed(f))
	}
	if b := f.Records(at(900)); !b.Complete || len(b.Records) != 2 {
		t.Fatalf("records for a peer in an earlier era: %+v", b)
	}
}

// An answer of the previous era arrives after the restoration was seen, and the answer of
// a failed call has a higher era.
func TestErasOfAnswers(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	f := follow(t, s, &fakePeers{})
	eventually(t, "the list", func() bool { return f.View() != nil })
	copied, revision := s.snapshot()
	s.restore(copied, revision)
	eventually(t, "era 1", func() bool { return f.Position().Era == 1 })
	s.set(func(s *fakeSource) { s.era = 0 })
	s.put("target/a", "draining")
	time.Sleep(200 * time.Millisecond)
	if f.Position().Era != 1 || len(listed(f)) != 1 {
		t.Fatalf("position %+v, targets %v after an answer of an earlier era", f.Position(), listed(f))
	}
	s.restore(copied, revision)
	s.set(func(s *fakeSource) { s.era = 5 })
	eventually(t, "era 5", func() bool { return f.Position().Era == 5 })
	if !f.restored(&Batch{Position: replicas.Position{Era: 6}}) || f.restored(&Batch{}) {
		t.Fatal("the era of a failed call is not compared")
	}
	if _, err := f.source.List(t.Context()); errors.Is(err, ErrCompacted) {
		t.Fatal(err)
	}
}

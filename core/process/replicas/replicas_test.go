package replicas

import (
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func entry(id names.Target, revision uint64) Target {
	return Target{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 1, Revision: revision}
}

func ids(d *Directory) []names.Target {
	var list []names.Target
	for _, t := range d.List(at(0)) {
		list = append(list, t.ID)
	}
	return list
}

func wantListed(t *testing.T, d *Directory, list ...names.Target) {
	t.Helper()
	if got := ids(d); !slices.Equal(got, list) {
		t.Fatalf("usable targets %v, want %v", got, list)
	}
}

func TestRemovedEntryIsNotListed(t *testing.T) {
	d := New()
	d.Put(entry("a", 1), at(0))
	d.Put(entry("b", 2), at(0))
	d.Remove("a", 3, at(0))
	wantListed(t, d, "b")
}

func TestDrainingTargetIsNotListed(t *testing.T) {
	d := New()
	d.Put(entry("a", 1), at(0))
	leaving := entry("a", 2)
	leaving.Draining = true
	d.Put(leaving, at(0))
	wantListed(t, d)
	d.Put(entry("a", 1), at(0)) // delayed older revision
	wantListed(t, d)
}

// TestEntriesExpiredInOutageAreKept guards against losing every target when the
// entries' leases expire while the store is unavailable.
func TestEntriesExpiredInOutageAreKept(t *testing.T) {
	d := New()
	d.Put(entry("back", 1), at(0))
	d.Put(entry("dead", 2), at(0))
	d.MarkUnavailable()
	d.MarkAvailable(at(0))
	d.Replace(nil, 9, at(0))
	wantListed(t, d, "back", "dead")
	d.Put(entry("back", 10), at(0))
	if d.Expire(at(RepublishGrace - time.Millisecond)) {
		t.Fatal("entry dropped before the end of RepublishGrace")
	}
	wantListed(t, d, "back", "dead")
	if !d.Expire(at(RepublishGrace)) {
		t.Fatal("missing entry was not dropped")
	}
	wantListed(t, d, "back")
}

func TestDrainingEntryRemovedInOutageIsDropped(t *testing.T) {
	d := New()
	leaving := entry("a", 1)
	leaving.Draining = true
	d.Put(leaving, at(0))
	d.MarkUnavailable()
	d.Remove("a", 2, at(0))
	if len(d.entries) != 0 {
		t.Fatal("draining target was kept")
	}
}

func TestReplaceWithOlderRevisionKeepsNewerEntries(t *testing.T) {
	d := New()
	d.Put(entry("new", 8), at(0))
	d.Put(entry("old", 2), at(0))
	d.Replace([]Target{entry("kept", 3)}, 5, at(0))
	wantListed(t, d, "kept", "new")
}

func TestSettledOnlyAfterRepublishGrace(t *testing.T) {
	d := New()
	if d.Settled(at(time.Hour)) {
		t.Fatal("settled before the publisher answered")
	}
	d.MarkAvailable(at(0))
	if d.Settled(at(RepublishGrace-1)) || !d.Settled(at(RepublishGrace)) {
		t.Fatal("want Settled false within RepublishGrace of the first answer and true afterwards")
	}
	d.MarkUnavailable()
	if d.Settled(at(time.Minute)) {
		t.Fatal("settled during an outage")
	}
	d.MarkAvailable(at(time.Minute))
	if d.Settled(at(time.Minute+RepublishGrace-1)) || !d.Settled(at(time.Minute+RepublishGrace)) {
		t.Fatal("want Settled false within RepublishGrace of the outage and true afterwards")
	}
}

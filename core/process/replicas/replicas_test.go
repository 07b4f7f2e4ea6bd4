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
	for _, t := range d.List() {
		list = append(list, t.ID)
	}
	return list
}

func want(t *testing.T, d *Directory, list ...names.Target) {
	t.Helper()
	if got := ids(d); !slices.Equal(got, list) {
		t.Fatalf("usable: %v, want %v", got, list)
	}
}

func TestAnEntryThatVanishesIsNotUsedAnyMore(t *testing.T) {
	d := New()
	d.Put(entry("a", 1))
	d.Put(entry("b", 2))
	d.Remove("a", 3, at(0))
	want(t, d, "b")
}

func TestDrainingTargetsTakeNoWork(t *testing.T) {
	d := New()
	d.Put(entry("a", 1))
	leaving := entry("a", 2)
	leaving.Draining = true
	d.Put(leaving)
	want(t, d)
	d.Put(entry("a", 1)) // late news
	want(t, d)
}

// TestEntriesThatLapseInAnOutageStay plays a store that is away while the
// entries' leases run out. The naive directory loses every target.
func TestEntriesThatLapseInAnOutageStay(t *testing.T) {
	d := New()
	d.Put(entry("back", 1))
	d.Put(entry("dead", 2))
	d.Away()
	d.Back(at(0))
	d.Replace(nil, 9, at(0))
	want(t, d, "back", "dead")
	d.Put(entry("back", 10))
	if d.Expire(at(Return - time.Millisecond)) {
		t.Fatal("dropped before the time for a return is over")
	}
	want(t, d, "back", "dead")
	if !d.Expire(at(Return)) {
		t.Fatal("nothing was dropped")
	}
	want(t, d, "back")
}

func TestADrainingEntryThatVanishesInAnOutageIsGone(t *testing.T) {
	d := New()
	leaving := entry("a", 1)
	leaving.Draining = true
	d.Put(leaving)
	d.Away()
	d.Remove("a", 2, at(0))
	if len(d.entries) != 0 {
		t.Fatal("a target that had announced its leaving was kept")
	}
}

func TestAWholeListAsOfAnOlderRevisionRemovesNothingNewer(t *testing.T) {
	d := New()
	d.Put(entry("new", 8))
	d.Put(entry("old", 2))
	d.Replace([]Target{entry("kept", 3)}, 5, at(0))
	want(t, d, "kept", "new")
}

func TestADirectoryIsSettledOnlyWhenItKnowsOfNoOutage(t *testing.T) {
	d := New()
	if d.Settled(at(time.Hour)) {
		t.Fatal("settled before the publisher answered")
	}
	d.Back(at(0))
	if d.Settled(at(Return-1)) || !d.Settled(at(Return)) {
		t.Fatal("a directory that was just started vouches for what it lacks")
	}
	d.Away()
	if d.Settled(at(time.Minute)) {
		t.Fatal("settled in an outage")
	}
	d.Back(at(time.Minute))
	if d.Settled(at(time.Minute+Return-1)) || !d.Settled(at(time.Minute+Return)) {
		t.Fatal("settled at the wrong time after an outage")
	}
}

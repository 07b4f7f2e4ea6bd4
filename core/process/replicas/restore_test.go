package replicas

import (
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

// listedAt checks the usable targets at a time.
func listedAt(t *testing.T, d *Directory, after time.Duration, want ...names.Target) {
	t.Helper()
	var got []names.Target
	for _, target := range d.List(at(after)) {
		got = append(got, target.ID)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("usable targets %v after %s, want %v", got, after, want)
	}
}

// drainingEntry is an entry of the target "draining" that says so.
func drainingEntry(revision uint64) Target {
	t := entry("draining", revision)
	t.Draining = true
	return t
}

// restored returns a directory at revision 50 with a usable, a draining and a removed
// target, whose publisher is then restored from a copy as of revision 20. In the copy all
// three are ready, and "new", which was published later, is missing.
func restored() *Directory {
	d := New()
	for _, id := range []names.Target{"draining", "gone", "new", "ready"} {
		d.Put(entry(id, 10), at(0))
	}
	d.Put(drainingEntry(30), at(0))
	d.Remove("gone", 40, at(0))
	d.Restore(20, at(0))
	d.Replace([]Target{entry("draining", 10), entry("gone", 11), entry("ready", 12)}, 20, at(0))
	return d
}

// Guards against work for targets that were draining or gone before the restoration,
// and against losing those that the copy lacks.
func TestCopyDoesNotBringBackTargets(t *testing.T) {
	d := restored()
	listedAt(t, d, 0, "new", "ready")
	if got := d.Suspended(at(0)); len(got) != 2 || got["gone"] != SuspensionTime {
		t.Fatalf("suspended %v", got)
	}
	d.Expire(at(RestoreGrace - time.Millisecond))
	listedAt(t, d, RestoreGrace-time.Millisecond, "new", "ready")
	if d.Settled(at(RestoreGrace - time.Millisecond)) {
		t.Fatal("settled while targets may be missing from the copy")
	}
	d.Expire(at(RestoreGrace))
	listedAt(t, d, RestoreGrace, "ready")
}

// The targets publish their entries again, at revisions that were given out before.
func TestEntriesPublishedAgainCountAtOnce(t *testing.T) {
	d := restored()
	d.Put(entry("new", 21), at(time.Second))
	d.Put(drainingEntry(22), at(time.Second))
	d.Put(entry("gone", 23), at(time.Second)) // started again under its ID
	d.Remove("ready", 24, at(time.Second))    // expired, its target may be alive
	listedAt(t, d, time.Second, "gone", "new", "ready")
	d.Expire(at(RestoreGrace))
	listedAt(t, d, RestoreGrace, "gone", "new")
	d.Expire(at(2 * SuspensionTime))
	listedAt(t, d, 2*SuspensionTime, "gone", "new")
}

// An entry of the copy does not expire, so its target is alive.
func TestSuspensionEnds(t *testing.T) {
	d := restored()
	if !d.Expire(at(SuspensionTime)) {
		t.Fatal("the end of a suspension is not reported")
	}
	listedAt(t, d, SuspensionTime, "draining", "gone", "ready")
}

// A target started again under its ID. The copy holds its earlier start, at another
// address.
func TestCopyDoesNotReplaceLaterStart(t *testing.T) {
	d := New()
	later, earlier := entry("a", 40), entry("a", 10)
	later.Started, later.Address = 2000, "10.0.0.2:80"
	earlier.Started = 1000
	d.Put(later, at(0))
	d.Restore(20, at(0))
	d.Replace([]Target{earlier}, 20, at(0))
	if list := d.List(at(0)); len(list) != 1 || list[0].Address != later.Address {
		t.Fatalf("targets %+v", list)
	}
	earlier.Revision, earlier.Started = 25, 3000
	d.Put(earlier, at(0))
	if list := d.List(at(0)); list[0].Address != earlier.Address {
		t.Fatalf("targets %+v after a later start", list)
	}
}

// The publisher is restored twice in a row, the second time from an older copy.
func TestSecondRestoration(t *testing.T) {
	d := restored()
	d.Put(drainingEntry(22), at(time.Second))
	d.Restore(15, at(2*time.Second))
	d.Replace([]Target{entry("draining", 10), entry("gone", 11)}, 15, at(2*time.Second))
	listedAt(t, d, 2*time.Second, "new", "ready")
	d.Put(drainingEntry(16), at(3*time.Second))
	d.Remove("gone", 17, at(3*time.Second))
	d.Expire(at(2*time.Second + SuspensionTime))
	listedAt(t, d, 2*time.Second+SuspensionTime)
}

// A daemon that started after the restoration learns from a peer which entries of the
// copy are not to be used.
func TestPeerSuspends(t *testing.T) {
	d := New()
	d.Put(entry("gone", 11), at(0))
	d.Put(entry("again", 21), at(0))
	d.Restore(20, at(0))
	d.Suspend("gone", time.Second, at(0))
	d.Suspend("unknown", time.Second, at(0))
	listedAt(t, d, 0, "again")
	d.Expire(at(time.Second))
	listedAt(t, d, time.Second, "again", "gone")
}

// An entry disappears during an outage. Guards against an older entry, read late, that
// brings it back for good.
func TestLateEntryDoesNotUndoRemoval(t *testing.T) {
	d := New()
	d.Put(entry("a", 5), at(0))
	d.MarkUnavailable()
	d.Remove("a", 9, at(0))
	d.Put(entry("a", 7), at(0))
	d.MarkAvailable(at(0))
	d.Expire(at(RepublishGrace))
	listedAt(t, d, RepublishGrace)
	d.Put(entry("a", 8), at(RepublishGrace))
	listedAt(t, d, RepublishGrace)
	d.Put(entry("a", 10), at(RepublishGrace))
	listedAt(t, d, RepublishGrace, "a")
}

// The publisher is stable again after a restoration, and a target leaves. Guards against
// keeping an entry for which the new era leaves no doubt: the grace is for targets that the
// copy lacks.
func TestEntryRemovedInNewEraIsNotKept(t *testing.T) {
	cases := map[string]struct {
		id           names.Target
		writtenAgain time.Duration // never if zero
		removed      time.Duration
		listed       bool // right after the removal
	}{
		"in the copy, may have expired while it was away": {id: "ready", removed: RepublishGrace - 1, listed: true},
		"in the copy":                            {id: "ready", removed: RepublishGrace},
		"lacking, written again":                 {id: "new", writtenAgain: 100 * time.Millisecond, removed: RepublishGrace},
		"lacking, written again late":            {id: "new", writtenAgain: 1500 * time.Millisecond, removed: RepublishGrace},
		"lacking, written again after the grace": {id: "new", writtenAgain: RestoreGrace - 2, removed: RestoreGrace - 1},
		"in the copy, written again":             {id: "ready", writtenAgain: time.Second, removed: 3 * time.Second},
	}
	for name, c := range cases {
		d := restored()
		revision := uint64(21)
		if c.writtenAgain > 0 {
			d.Put(entry(c.id, revision), at(c.writtenAgain))
			revision++
		}
		d.Expire(at(c.removed))
		d.Remove(c.id, revision, at(c.removed))
		d.Expire(at(c.removed))
		var got []names.Target
		for _, target := range d.List(at(c.removed)) {
			got = append(got, target.ID)
		}
		if slices.Contains(got, c.id) != c.listed {
			t.Errorf("%s: usable targets %v", name, got)
		}
		if !c.listed {
			continue
		}
		d.Expire(at(RepublishGrace))
		for _, target := range d.List(at(RepublishGrace)) {
			if target.ID == c.id {
				t.Errorf("%s: still usable after RepublishGrace", name)
			}
		}
	}
}

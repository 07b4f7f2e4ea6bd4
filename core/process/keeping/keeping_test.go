package keeping

import (
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

func TestAPausedDaemonHoldsNoLease(t *testing.T) {
	var l Lease
	now := time.Unix(0, 0)
	for range 10 {
		l.Observe(now, true)
		now = now.Add(500 * time.Millisecond)
	}
	if !l.Holds(now) {
		t.Fatal("the first keeper holds no lease")
	}
	now = now.Add(time.Minute)
	if l.Holds(now) {
		t.Fatal("a lease outlived a pause")
	}
	l.Observe(now, true)
	if l.Holds(now) || l.Holds(now.Add(Fresh)) {
		t.Fatal("a woken daemon orders before it has settled")
	}
	for range 5 {
		l.Observe(now, true)
		now = now.Add(500 * time.Millisecond)
	}
	if !l.Holds(now) {
		t.Fatal("the lease does not come back")
	}
	l.Observe(now, false)
	if l.Holds(now) {
		t.Fatal("a daemon that is not first holds a lease")
	}
}

func TestNamesSayTheirOwner(t *testing.T) {
	deadline := time.UnixMilli(1800000000123)
	for _, host := range []names.Host{"10.0.0.1:7000", "[fe80::1%eth0]:7000"} {
		id := NewStreamID("customer/a", host, 1<<63+5, deadline, 77)
		o, err := ParseStreamID(id)
		want := Owner{Scope: ScopeOf("customer/a"), Host: host, Incarnation: 1<<63 + 5, Deadline: deadline, Random: 77}
		if err != nil || o != want {
			t.Fatalf("%s: %+v, %v", id, o, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(string(NewHandleID("s", "h:1", 2, time.UnixMilli(3), 4)))
	f.Add("c1.....")
	f.Fuzz(func(t *testing.T, id string) {
		o, err := ParseHandleID(target.HandleID(id))
		if err != nil {
			return
		}
		if again, err := parse(o.String()); err != nil || again != o {
			t.Fatalf("%+v became %+v: %v", o, again, err)
		}
	})
}

func TestSweep(t *testing.T) {
	now := time.Unix(10000, 0)
	soon, past := now.Add(time.Minute), now.Add(-Grace-time.Second)
	running := func(host names.Host) (names.Incarnation, bool) { return 5, host == "replaced" }
	holdings := target.Holdings{
		Handles: []target.Handle{
			{ID: NewHandleID("s", "live", 1, soon, 1)},
			{ID: NewHandleID("s", "live", 1, past, 2)},
			{ID: NewHandleID("s", "live", 1, now.Add(-time.Second), 3)},
			{ID: NewHandleID("s", "replaced", 4, soon, 4)},
			{ID: NewHandleID("s", "replaced", 5, soon, 5)},
			{ID: "strange"},
			{ID: NewHandleID("s", "live", 1, now.Add(2*MaxLife), 6)},
		},
		Streams: []target.StreamInfo{
			{ID: NewStreamID("s", "replaced", 4, soon, 7)},
			{ID: NewStreamID("s", "replaced", 4, past, 8), Done: true},
		},
	}
	var s Sweeper
	left := s.Sweep(holdings, now, running)
	wantHandles := []LeftHandle{{holdings.Handles[1].ID, Overdue}, {holdings.Handles[3].ID, Orphaned}}
	if len(left.Handles) != 2 || left.Handles[0] != wantHandles[0] || left.Handles[1] != wantHandles[1] {
		t.Fatalf("handles %+v", left.Handles)
	}
	if len(left.Streams) != 1 || left.Streams[0] != (LeftStream{holdings.Streams[1].ID, Overdue}) {
		t.Fatalf("streams %+v", left.Streams)
	}
	later := s.Sweep(target.Holdings{Handles: holdings.Handles[5:]}, now.Add(ForeignLife), running)
	if len(later.Handles) != 2 || later.Handles[0].Cause != Foreign {
		t.Fatalf("names that cannot be believed are kept for ever: %+v", later)
	}
}

func TestPace(t *testing.T) {
	shortest, longest := 250*time.Millisecond, 10*time.Second
	if got := Pace(28, 700, 0, shortest, longest); got != shortest {
		t.Fatalf("without a limit: %s", got)
	}
	if got := Pace(32, 700, 4000, shortest, longest); got != 5600*time.Millisecond {
		t.Fatalf("with a limit: %s", got)
	}
}

package keeping

import (
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

func TestPausedDaemonHoldsNoLease(t *testing.T) {
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
		t.Fatal("a lease is still held after a pause")
	}
	l.Observe(now, true)
	if l.Holds(now) || l.Holds(now.Add(MaxObservationAge)) {
		t.Fatal("a resumed daemon holds the lease before LeaseSettleTime has passed")
	}
	for range 5 {
		l.Observe(now, true)
		now = now.Add(500 * time.Millisecond)
	}
	if !l.Holds(now) {
		t.Fatal("the lease is not regained")
	}
	l.Observe(now, false)
	if l.Holds(now) {
		t.Fatal("a daemon that is not first holds a lease")
	}
}

func TestIDsContainTheirOwner(t *testing.T) {
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
	future, past := now.Add(time.Minute), now.Add(-DeadlineGrace-time.Second)
	running := func(host names.Host) (names.Incarnation, bool) { return 5, host == "replaced" }
	holdings := target.Holdings{
		Handles: []target.Handle{
			{ID: NewHandleID("s", "live", 1, future, 1)},
			{ID: NewHandleID("s", "live", 1, past, 2)},
			{ID: NewHandleID("s", "live", 1, now.Add(-time.Second), 3)},
			{ID: NewHandleID("s", "replaced", 4, future, 4)},
			{ID: NewHandleID("s", "replaced", 5, future, 5)},
			{ID: "strange"},
			{ID: NewHandleID("s", "live", 1, now.Add(2*MaxLifetime), 6)},
		},
		Streams: []target.StreamInfo{
			{ID: NewStreamID("s", "replaced", 4, future, 7)},
			{ID: NewStreamID("s", "replaced", 4, past, 8), Done: true},
		},
	}
	var s Sweeper
	result := s.Sweep(holdings, now, running)
	wantHandles := []HandleToFree{{holdings.Handles[1].ID, Overdue}, {holdings.Handles[3].ID, Orphaned}}
	if len(result.Handles) != 2 || result.Handles[0] != wantHandles[0] || result.Handles[1] != wantHandles[1] {
		t.Fatalf("handles %+v", result.Handles)
	}
	if len(result.Streams) != 1 || result.Streams[0] != (StreamToCancel{holdings.Streams[1].ID, Overdue}) {
		t.Fatalf("streams %+v", result.Streams)
	}
	later := s.Sweep(target.Holdings{Handles: holdings.Handles[5:]}, now.Add(ForeignTTL), running)
	if len(later.Handles) != 2 || later.Handles[0].Cause != Foreign {
		t.Fatalf("foreign IDs are not freed after ForeignTTL: %+v", later)
	}
}

func TestPollInterval(t *testing.T) {
	shortest, longest := 250*time.Millisecond, 10*time.Second
	if got := PollInterval(28, 700, 0, shortest, longest); got != shortest {
		t.Fatalf("without a limit: %s", got)
	}
	if got := PollInterval(32, 700, 4000, shortest, longest); got != 5600*time.Millisecond {
		t.Fatalf("with a limit: %s", got)
	}
}

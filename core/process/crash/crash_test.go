package crash

import (
	"encoding/binary"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStatusTransitions(t *testing.T) {
	a, b := New(), New()
	d := DigestOf("a", "m", "", "boom")
	if d == DigestOf("b", "m", "", "boom") {
		t.Fatal("two customers share a digest")
	}
	if a.Crashed(d, false, start) != Suspect {
		t.Fatal("not suspect after a crash together with other requests")
	}
	a.Ended(d, start)
	if a.Check(d, start) != Clear {
		t.Fatal("not cleared after the prompt completed alone")
	}
	a.Crashed(d, false, start)
	if a.Crashed(d, true, start) != Refused || a.Crashed(d, false, start) != Refused {
		t.Fatal("a later crash together with other requests lowered the status")
	}
	b.Merge(a.Entries(start), start)
	b.Merge([]Entry{{Digest: d, Status: Suspect, Remaining: 100 * time.Hour}}, start)
	if b.Check(d, start.Add(RefusedFor-1)) != Refused || b.Check(d, start.Add(RefusedFor)) != Clear {
		t.Fatal("the status was not merged, or lasts too long")
	}
	if e := b.Refusal(d, start); e.RetryAfter != RefusedFor {
		t.Fatalf("retry after %s", e.RetryAfter)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	bad := DigestOf("a", "m", "", "boom")
	table.Crashed(bad, true, start)
	for i := range uint32(MaxDigests + 200) {
		var d Digest
		binary.BigEndian.PutUint32(d[:], i)
		table.Crashed(d, false, start.Add(time.Duration(i)))
	}
	if n := len(table.Entries(start)); n != MaxDigests {
		t.Fatalf("%d digests", n)
	}
	if table.Check(bad, start) != Refused {
		t.Fatal("a refused prompt was evicted for suspect ones")
	}
}

// send sends the prompt to one daemon, which retries it as answer.Run does. It
// returns the number of targets that crashed. A naive daemon makes a fixed number
// of attempts and ignores the status.
func send(table *Table, d Digest, naive bool, now time.Time) (crashed int) {
	const naiveAttempts = 5
	if naive {
		return naiveAttempts
	}
	for {
		status := table.Check(d, now)
		if status == Refused {
			return crashed
		}
		table.Crashed(d, status == Suspect, now)
		crashed++
	}
}

// TestRepeatedSendsCrashFewTargets sends a prompt 50 times through 9 daemons in
// turn, while the daemons of each partition exchange digests.
func TestRepeatedSendsCrashFewTargets(t *testing.T) {
	const daemons, sends = 9, 50
	countCrashed := func(naive bool, partitions int) (crashed int) {
		tables := make([]*Table, daemons)
		for i := range tables {
			tables[i] = New()
		}
		d := DigestOf("a", "m", "", "boom")
		for i := range sends {
			now := start.Add(time.Duration(i) * time.Second)
			crashed += send(tables[i%daemons], d, naive, now)
			for p := range partitions {
				gossip(tables[p*daemons/partitions:(p+1)*daemons/partitions], now)
			}
		}
		return crashed
	}
	whole, partitioned, separate, naive := countCrashed(false, 1), countCrashed(false, 3), countCrashed(false, daemons), countCrashed(true, 1)
	t.Logf("targets crashed by 50 sends through 9 daemons: %d; %d in three partitions; %d without gossip; naive %d", whole, partitioned, separate, naive)
	if whole != 2 || partitioned != 2*3 || separate != 2*daemons {
		t.Fatalf("%d targets crashed, %d in three partitions, and %d without gossip", whole, partitioned, separate)
	}
}

// gossip exchanges the digests of all tables.
func gossip(tables []*Table, now time.Time) {
	for range tables {
		gossipToNext(tables, now)
	}
}

// gossipToNext sends the digests of each table to the next one.
func gossipToNext(tables []*Table, now time.Time) {
	for i, table := range tables {
		tables[(i+1)%len(tables)].Merge(table.Entries(now), now)
	}
}

package crash

import (
	"encoding/binary"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStandings(t *testing.T) {
	a, b := New(), New()
	d := Of("a", "m", "", "boom")
	if d == Of("b", "m", "", "boom") {
		t.Fatal("two customers share a digest")
	}
	if a.Crashed(d, false, start) != Suspect {
		t.Fatal("not suspect after a crash beside others")
	}
	a.Ended(d, start)
	if a.Check(d, start) != Clear {
		t.Fatal("not cleared")
	}
	a.Crashed(d, false, start)
	if a.Crashed(d, true, start) != Refused || a.Crashed(d, false, start) != Refused {
		t.Fatal("a later crash beside others lowered the standing")
	}
	b.Learn(a.Digests(start), start)
	b.Learn([]Entry{{Digest: d, Standing: Suspect, Left: 100 * time.Hour}}, start)
	if b.Check(d, start.Add(RefusedFor-1)) != Refused || b.Check(d, start.Add(RefusedFor)) != Clear {
		t.Fatal("the standing did not travel, or lasts too long")
	}
	if e := b.Refusal(d, start); e.RetryAfter != RefusedFor {
		t.Fatalf("come back in %s", e.RetryAfter)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	bad := Of("a", "m", "", "boom")
	table.Crashed(bad, true, start)
	for i := range uint32(MaxDigests + 200) {
		var d Digest
		binary.BigEndian.PutUint32(d[:], i)
		table.Crashed(d, false, start.Add(time.Duration(i)))
	}
	if n := len(table.Digests(start)); n != MaxDigests {
		t.Fatalf("%d digests", n)
	}
	if table.Check(bad, start) != Refused {
		t.Fatal("suspects pushed out a refused prompt")
	}
}

// send is one send of the prompt to one daemon, retried as answer.Run does;
// it returns how many targets it killed.
func send(table *Table, d Digest, naive bool, now time.Time) (killed int) {
	const naiveAttempts = 5
	if naive {
		return naiveAttempts
	}
	for {
		standing := table.Check(d, now)
		if standing == Refused {
			return killed
		}
		table.Crashed(d, standing == Suspect, now)
		killed++
	}
}

// TestFiftySends lets a caller send a prompt 50 times through 9 daemons, one
// after the other, while the daemons of each partition tell each other.
func TestFiftySends(t *testing.T) {
	const daemons, sends = 9, 50
	lost := func(naive bool, sides int) (killed int) {
		tables := make([]*Table, daemons)
		for i := range tables {
			tables[i] = New()
		}
		d := Of("a", "m", "", "boom")
		for i := range sends {
			now := start.Add(time.Duration(i) * time.Second)
			killed += send(tables[i%daemons], d, naive, now)
			for side := range sides {
				spread(tables[side*daemons/sides:(side+1)*daemons/sides], now)
			}
		}
		return killed
	}
	whole, parted, alone, naive := lost(false, 1), lost(false, 3), lost(false, daemons), lost(true, 1)
	t.Logf("targets lost to 50 sends through 9 daemons: %d; %d in three partitions; %d if no daemon hears another; naive %d", whole, parted, alone, naive)
	if whole != 2 || parted != 2*3 || alone != 2*daemons {
		t.Fatalf("lost %d, %d in three partitions, and %d without gossip", whole, parted, alone)
	}
}

func spread(tables []*Table, now time.Time) {
	for range tables {
		tellNext(tables, now)
	}
}

func tellNext(tables []*Table, now time.Time) {
	for i, table := range tables {
		tables[(i+1)%len(tables)].Learn(table.Digests(now), now)
	}
}

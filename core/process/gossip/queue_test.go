package gossip

import (
	"fmt"
	"testing"
)

func limits(maxEntries, maxTransmits int) [Kinds]Limits {
	var all [Kinds]Limits
	for k := range all {
		all[k] = Limits{MaxEntries: maxEntries, MaxTransmits: maxTransmits}
	}
	return all
}

func entry(k Kind, key string) Entry[int] {
	return Entry[int]{Kind: k, Key: key, Bytes: 100}
}

func TestVersionAndCrashPrecedeQueuedLoads(t *testing.T) {
	q := New[int](limits(100, 3))
	for n := range 100 {
		q.Add(entry(Load, fmt.Sprint(n)))
	}
	q.Add(entry(Version, "root"))
	q.Add(entry(Crash, "digest"))
	got := q.Take(250)
	if len(got) != 2 || got[0].Kind != Version || got[1].Kind != Crash {
		t.Fatalf("took %v", got)
	}
	if q.Counters(Load).Deferred == 0 {
		t.Fatal("no load update was counted as deferred")
	}
}

func TestEachUpdateIsSentALimitedNumberOfTimes(t *testing.T) {
	q := New[int](limits(10, 3))
	for n := range 4 {
		q.Add(entry(Member, fmt.Sprint(n)))
	}
	sent := map[string]int{}
	for range 40 {
		for _, e := range q.Take(100) {
			sent[e.Key]++
		}
	}
	for key, times := range sent {
		if times != 3 {
			t.Errorf("%s was sent %d times", key, times)
		}
	}
	if len(sent) != 4 || q.Len(Member) != 0 {
		t.Fatalf("sent %v, %d updates still queued", sent, q.Len(Member))
	}
}

func TestEvictionDropsMostSentUpdate(t *testing.T) {
	q := New[int](limits(3, 5))
	q.Add(entry(Crash, "known"))
	q.Take(100)
	for n := range 3 {
		q.Add(entry(Crash, fmt.Sprint(n)))
	}
	if q.Len(Crash) != 3 || q.Counters(Crash).Evicted != 1 {
		t.Fatalf("len %d, counters %+v", q.Len(Crash), q.Counters(Crash))
	}
	for _, e := range q.Take(300) {
		if e.Key == "known" {
			t.Fatal("the update sent before should have been evicted")
		}
	}
}

func TestNewUpdatePrecedesBacklog(t *testing.T) {
	q := New[int](limits(100, 3))
	for n := range 50 {
		q.Add(entry(Member, fmt.Sprint(n)))
	}
	q.Take(1000)
	q.Add(entry(Member, "news"))
	if got := q.Take(100); len(got) != 1 || got[0].Key != "news" {
		t.Fatalf("took %v", got)
	}
}

func TestNewerUpdateReplacesOlder(t *testing.T) {
	q := New[int](limits(3, 2))
	q.Add(Entry[int]{Kind: Member, Key: "a", Bytes: 1, Value: 1})
	q.Add(Entry[int]{Kind: Member, Key: "a", Bytes: 1, Value: 2})
	got := q.Take(10)
	if len(got) != 1 || got[0].Value != 2 {
		t.Fatalf("took %v", got)
	}
}

package suspects

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRepeatedRefusalEndsInTime has daemons repeat a refusal to each other, whose messages take
// random times. Guards against the time left of a refusal that is read when it is announced and
// counted from when it is received: each repetition then makes it last longer by the time of the
// message.
func TestRepeatedRefusalEndsInTime(t *testing.T) {
	const daemons = 5
	for _, ends := range []int{EndsToRefuse, EndsToRefuseLong} {
		for _, longest := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
			lasts := RefusedShortlyFor
			if ends == EndsToRefuseLong {
				lasts = RefusedFor
			}
			last := repeatRefusal(t, daemons, ends, longest, lasts+30*time.Second)
			if late := last.Sub(at(lasts)); late > longest+TickInterval {
				t.Errorf("%d ends, messages take up to %s: the refusal lasts %s longer than the %s after the last end", ends, longest, late, lasts)
			}
		}
	}
}

// repeatRefusal lets the first of some daemons refuse the part "bad" after some ends, and returns
// when the last one refuses it no more.
func repeatRefusal(t *testing.T, daemons, ends int, longest, lasts time.Duration) (last time.Time) {
	t.Helper()
	type inFlight struct {
		to *Exchange
		at time.Time
		m  Message
	}
	random := rand.New(rand.NewPCG(1, 2))
	var all []*Exchange
	for range daemons {
		all = append(all, NewExchange(start.Add(-time.Hour)))
	}
	crash(all[0].table, 0, ends, start, "c", "bad")
	var messages []inFlight
	seen := make(map[*Exchange]map[string]uint64) // gossip drops what has a sequence that is not higher
	for _, x := range all {
		seen[x] = make(map[string]uint64)
	}
	for now := start; now.Before(start.Add(lasts)); now = now.Add(TickInterval) {
		rest := messages[:0]
		for _, m := range messages {
			if m.at.After(now) {
				rest = append(rest, m)
				continue
			}
			if m.m.Sequence <= seen[m.to][m.m.Key] {
				continue
			}
			seen[m.to][m.m.Key] = m.m.Sequence
			if _, err := m.to.Receive(&m.m, now); err != nil {
				t.Fatal(err)
			}
		}
		messages = rest
		for _, from := range all {
			for _, m := range from.Tick(now) {
				seen[from][m.Key] = max(seen[from][m.Key], m.Sequence)
				for _, to := range all {
					if to != from {
						messages = append(messages, inFlight{to: to, at: now.Add(time.Duration(random.Int64N(int64(longest)))), m: m})
					}
				}
			}
			if _, refused := from.Check(request("c", 1, "bad"), now); refused {
				last = now
			}
		}
	}
	return last
}

// TestLateClearanceDropsNoLaterEnd has a clearance arrive after the ends that followed its sound
// request. Guards against taking the request for a later one: the ends then count no more, and
// the part that crashes targets goes on to do so.
func TestLateClearanceDropsNoLaterEnd(t *testing.T) {
	const way = 1200 * time.Millisecond
	x, other := NewExchange(start.Add(-time.Hour)), NewExchange(start.Add(-time.Hour))
	crash(other.table, 0, 1, start, "c", "bad") // so that there is something to clear
	list := other.Sound(request("c", 1, "bad"), at(time.Second), at(time.Second))
	if len(list) == 0 {
		t.Fatal("no clearance")
	}
	crash(x.table, 10, 10+EndsToRefuse, at(1500*time.Millisecond), "c", "bad")
	for i := range list {
		if _, err := x.Receive(&list[i], at(time.Second+way)); err != nil {
			t.Fatal(err)
		}
	}
	if record := x.table.items[PartItem("bad")]; record == nil || len(record.ends) != EndsToRefuse {
		t.Errorf("the ends after the sound request are dropped by a clearance that came %s after it was sent", way)
	}
}

// TestLateAccusationDropsNoEnd has two daemons accuse a part of the same end; one accusation is
// late. Guards against taking the sound request before the end, of which it says how long ago it
// was, for one after it: the end then counts against the part no more.
func TestLateAccusationDropsNoEnd(t *testing.T) {
	const way, soundBefore = 500 * time.Millisecond, 200 * time.Millisecond
	collector, early, late := New(), New(), New()
	sound(late, request("c", 1, "bad"), at(-soundBefore))
	for n := range EndsToRefuse {
		a := early.Cut(end(n), service, request("c", 100+n, "bad"), start)
		collector.Merge(&a, start)
	}
	a := late.Cut(end(0), service, request("c", 200, "bad"), start)
	collector.Merge(&a, at(way))
	if record := collector.items[PartItem("bad")]; record == nil || len(record.ends) != EndsToRefuse {
		t.Errorf("an accusation that came %s late, with a sound request %s before the ends, drops them", way, soundBefore)
	}
}

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
			last := repeatRefusal(t, daemons, ends, longest, 0, 1, lasts+30*time.Second)
			if late := last.Sub(at(lasts)); late > longest+TickInterval {
				t.Errorf("%d ends, messages take up to %s: the refusal lasts %s longer than the %s after the last end", ends, longest, late, lasts)
			}
		}
	}
}

// TestRefusalOfStoppedDaemonEndsInTime has one of the daemons stand still for half of the time,
// whose messages wait for as long. Guards against a refusal that grows by each such wait, since
// the daemon hands on what it takes for the time left.
func TestRefusalOfStoppedDaemonEndsInTime(t *testing.T) {
	const daemons, longest, stopped = 5, time.Second, 2500 * time.Millisecond
	for seed := range uint64(10) {
		last := repeatRefusal(t, daemons, EndsToRefuseLong, longest, stopped, seed, RefusedFor+3*time.Minute)
		if late := last.Sub(at(RefusedFor)); late > longest+stopped+TickInterval {
			t.Errorf("seed %d: a daemon is stopped for %s at a time: the refusal lasts %s longer than the %s after the last end", seed, stopped, late, RefusedFor)
		}
	}
}

// repeatRefusal lets the first of some daemons refuse the part "bad" after some ends, and returns
// when the last one refuses it no more. The last daemon stands still for stopped, and runs for as
// long, in turn.
func repeatRefusal(t *testing.T, daemons, ends int, longest, stopped time.Duration, seed uint64, lasts time.Duration) (last time.Time) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 2))
	var all []*Exchange
	for range daemons {
		all = append(all, NewExchange(start.Add(-time.Hour)))
	}
	crash(all[0].table, 0, ends, start, "c", "bad")
	d := delivery{seen: make(map[*Exchange]map[string]uint64)}
	for _, x := range all {
		d.seen[x] = make(map[string]uint64)
	}
	for now := start; now.Before(start.Add(lasts)); now = now.Add(TickInterval) {
		stands := func(x *Exchange) bool { return x == all[daemons-1] && now.Sub(start)%max(2*stopped, 1) < stopped }
		d.deliver(t, now, stands)
		for _, from := range all {
			if stands(from) {
				continue
			}
			for _, m := range from.Tick(now) {
				d.seen[from][m.Key] = max(d.seen[from][m.Key], m.Sequence)
				for _, to := range all {
					if to != from {
						d.messages = append(d.messages, inFlight{to: to, at: now.Add(time.Duration(random.Int64N(int64(longest)))), m: m})
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

// delivery holds the messages that daemons send to each other.
type delivery struct {
	messages []inFlight
	// seen holds the sequences that the daemons know: gossip drops messages with lower ones.
	seen map[*Exchange]map[string]uint64
}

type inFlight struct {
	to *Exchange
	at time.Time
	m  Message
}

// deliver delivers the messages that are due to the daemons that do not stand still.
func (d *delivery) deliver(t *testing.T, now time.Time, stands func(*Exchange) bool) {
	t.Helper()
	rest := d.messages[:0]
	for _, m := range d.messages {
		if m.at.After(now) || stands(m.to) {
			rest = append(rest, m)
			continue
		}
		if m.m.Sequence <= d.seen[m.to][m.m.Key] {
			continue
		}
		d.seen[m.to][m.m.Key] = m.m.Sequence
		if _, err := m.to.Receive(&m.m, now); err != nil {
			t.Fatal(err)
		}
	}
	d.messages = rest
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

package suspects

import (
	"reflect"
	"testing"
	"time"
)

// All that a notice holds must arrive, and a message of an earlier release must be ignored.
func TestNoticesAreDecodedAsEncoded(t *testing.T) {
	for _, want := range []notice{
		{kind: suspicionKind, Refusal: Refusal{Item: 1 << 63, Remaining: time.Minute, Customers: []CustomerHash{1, 1 << 31}}},
		{kind: refusalKind, Refusal: Refusal{Item: 2, Remaining: RefusedFor, Customers: []CustomerHash{3}}},
		{kind: generalRefusalKind, Refusal: Refusal{Item: 2, Remaining: RefusedFor, Customers: []CustomerHash{1, 2, 3, 4}}},
		{kind: clearanceKind, Refusal: Refusal{Item: 3}, ago: SoundFor - time.Millisecond},
	} {
		m := encode(&want, 7)
		got, err := decode(&m)
		if err != nil || !reflect.DeepEqual(*got, want) || m.Sequence != 7 || len(m.Payload) > MaxPayloadBytes {
			t.Errorf("%+v, want %+v, error %v", got, want, err)
		}
	}
	earlier := &Message{Key: "c12345678", Payload: []byte{0, 0, 1, 0}}
	if got, err := decode(earlier); err != nil || got.ago != 256*time.Millisecond+earlierAnswerTime {
		t.Errorf("a clearance of an earlier release: %+v, %v", got, err)
	}
	if got, err := decode(&Message{Key: "0123456789abcdef", Payload: make([]byte, 5)}); got != nil || err != nil {
		t.Errorf("a message of an earlier release: %+v, %v", got, err)
	}
}

func FuzzReceive(f *testing.F) {
	f.Add("s12345678", []byte{0, 0, 1, 0, 1, 2, 3, 4})
	f.Add("c12345678", []byte{0, 0, 1, 0})
	f.Add("0123456789abcdef", []byte{1})
	f.Fuzz(func(t *testing.T, key string, payload []byte) {
		x := NewExchange(start)
		x.Sound(request("c", 1, "first"), start, start)
		list, err := x.Receive(&Message{Key: key, Payload: payload}, start)
		if err != nil && len(list) > 0 || len(list) > 1 {
			t.Fatalf("%d messages, error %v", len(list), err)
		}
		x.Tick(start.Add(time.Second))
	})
}

// A flood of accused items must not let a daemon announce more than its share.
func TestAnnouncementsAreBounded(t *testing.T) {
	x, other := NewExchange(start), NewExchange(start)
	made := 0
	for n := range 40 {
		now := at(time.Duration(n) * TickInterval)
		for i := range 60 {
			a := Accusation{End: end(n), Service: service, Suspects: []Suspect{{Item: Item(i), Customer: 1}}}
			x.Accused(&a, now)
		}
		list := x.Tick(now)
		made += len(list)
		for i := range list {
			if _, err := other.Receive(&list[i], now); err != nil {
				t.Fatal(err)
			}
		}
	}
	if limit := 2 * MaxAnnouncements; made == 0 || made > limit {
		t.Fatalf("%d announcements in %s, want %d at most", made, RepeatInterval, limit)
	}
}

// BenchmarkCheck is the cost of a request with three shared parts at a daemon with a full
// table.
func BenchmarkCheck(b *testing.B) {
	x := NewExchange(start)
	for n := range MaxItems {
		cut(x.table, end(n%100), request("c", n, "a", "b", "c"), start)
	}
	for b.Loop() {
		r := NewRequest("c", "POST", "/x", nil, []string{"a", "b", "c"})
		x.Check(&r, start)
		x.Sound(&r, start, start)
	}
}

// A daemon that knows of no announcement of an item announces it, as after a restart or once
// it has forgotten the last one. Guards against a sequence that peers have seen.
func TestSequencesGoOnWithoutKnowledge(t *testing.T) {
	refuse := func(x *Exchange, first int, now time.Time) []Message {
		for n := range EndsToRefuse {
			r := request("c", first+n, "part")
			x.Cut(end(first+n), service, r, now)
		}
		for _, a := range x.Flush() {
			x.Accused(&a, now)
		}
		return x.Tick(now.Add(TiedSettleTime))
	}
	for name, c := range map[string]struct {
		repeats int
		after   time.Duration // from the last announcement to the next
		restart bool
	}{
		"restart soon, the clock is behind": {repeats: 3, after: 5 * time.Second, restart: true},
		"restart after a refusal's end":     {repeats: 12, after: 17 * time.Second, restart: true},
		"all ends are forgotten":            {repeats: 300, after: 2 * EndsKeptFor},
		"restart after that":                {repeats: 300, after: 2 * EndsKeptFor, restart: true},
	} {
		x, last := NewExchange(start), make(map[string]uint64)
		now := start
		for _, m := range refuse(x, 1, now) {
			last[m.Key] = m.Sequence
		}
		for range c.repeats {
			now = now.Add(RepeatInterval)
			for _, m := range refuse(x, int(now.Unix()%1e6), now) {
				last[m.Key] = max(last[m.Key], m.Sequence)
			}
		}
		now = now.Add(c.after)
		x.Tick(now)
		if c.restart {
			x = NewExchange(now)
		}
		later := refuse(x, 1e7, now)
		if len(later) == 0 {
			t.Fatalf("%s: nothing is announced", name)
		}
		for _, m := range later {
			if seen, ok := last[m.Key]; ok && m.Sequence <= seen {
				t.Errorf("%s: sequence %d of kind %q, peers have seen %d", name, m.Sequence, m.Key[0], seen)
			}
		}
	}
}

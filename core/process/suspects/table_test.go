package suspects

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// request returns a request of its own with the given shared parts.
func request(customer names.Customer, id int, parts ...string) *Request {
	r := NewRequest(customer, "POST", fmt.Sprint("/", id), nil, parts)
	r.Service = service
	return &r
}

func at(d time.Duration) time.Time { return start.Add(d) }

// end returns the n-th end of a target.
func end(n int) End { return EndOf(names.Target(fmt.Sprint("t-", n)), 0) }

var service = HashService("s")

// cut lets an end cut off a request at a table that collects the accusations.
func cut(t *Table, e End, r *Request, now time.Time) Accusation {
	a := t.Cut(e, service, r, now)
	t.Merge(&a, now)
	return a
}

// sound lets a request that is sent now be completed at once.
func sound(t *Table, r *Request, now time.Time) []Item { return t.Sound(r, now, now) }

// crash lets ends cut off requests that are all different but for the parts.
func crash(t *Table, from, to int, now time.Time, customer names.Customer, parts ...string) {
	for n := from; n < to; n++ {
		cut(t, end(n), request(customer, 1000+n, parts...), now)
	}
}

func refused(t *Table, now time.Time, customer names.Customer, parts ...string) bool {
	_, ok := t.Check(request(customer, 1, parts...), now)
	return ok
}

// A part that all requests share, the crashing ones too, must never be refused, and the
// part that crashes must be from the third end on.
func TestSharedPartOfCrashingRequestsIsNotRefused(t *testing.T) {
	table := New()
	sound(table, request("c", 1, "first", "group"), start)
	crash(table, 0, EndsToRefuse-1, at(time.Second), "c", "first", "group", "bad")
	if refused(table, at(2*time.Second), "c", "bad") {
		t.Fatal("refused before the third end")
	}
	crash(table, EndsToRefuse-1, EndsToRefuse, at(2*time.Second), "c", "first", "bad")
	now := at(2*time.Second + SettleTime)
	if !refused(table, now, "c", "first", "other", "bad") || refused(table, now, "c", "first", "group", "new") {
		t.Fatal("refused for the wrong part")
	}
	r, _ := table.Check(request("c", 1, "bad"), now)
	if r.Item != PartItem("bad") || r.Remaining != RefusedShortlyFor-SettleTime {
		t.Fatalf("refusal %+v", r)
	}
}

// One end cuts off many requests at many daemons. It must count once.
func TestEndThatCutsManyRequestsCountsOnce(t *testing.T) {
	table, other := New(), New()
	for i := range 20 {
		a := cut(table, end(1), request("c", i, "first", "bad"), start)
		cut(other, end(1), request("c", 100+i, "first", "bad"), start)
		other.Merge(&a, start)
	}
	if refused(other, at(time.Second), "c", "bad") || !other.MayRetry(request("c", 1, "bad"), start) {
		t.Fatal("one end counts more than once")
	}
}

// A completed request clears its own parts alone, and for a time.
func TestCompletionClearsOwnPartsOnly(t *testing.T) {
	table := New()
	crash(table, 0, 5, start, "c", "a", "b")
	if cleared := sound(table, request("c", 1, "a"), at(time.Second)); !slices.Equal(cleared, []Item{PartItem("a")}) {
		t.Fatalf("cleared %v", cleared)
	}
	if refused(table, at(time.Second), "c", "a") || !refused(table, at(time.Second), "c", "b") {
		t.Fatal("the wrong part is cleared")
	}
	crash(table, 10, 15, at(SoundFor), "c", "a")
	if refused(table, at(SoundFor+SettleTime), "c", "a") {
		t.Fatal("a part that completed shortly before is refused")
	}
	crash(table, 20, 25, at(SoundFor+time.Second), "c", "a")
	if !refused(table, at(SoundFor+2*time.Second), "c", "a") {
		t.Fatal("a part that completed long ago is never refused")
	}
}

// A retry must not carry a part under two ends to a third target.
func TestSuspectIsNotRetriedUnderTwoEnds(t *testing.T) {
	table := New()
	crash(table, 0, 1, start, "c", "bad")
	if !table.MayRetry(request("c", 1, "bad"), start) {
		t.Fatal("no retry after one end")
	}
	crash(table, 1, EndsToStopRetries, start, "c", "bad")
	if table.MayRetry(request("c", 1, "bad"), start) || !table.MayRetry(request("c", 1, "sound"), start) {
		t.Fatal("the wrong request is retried")
	}
}

// Two parts that always come together cannot be told apart, so both are refused. A part
// that is in fewer ends than the crashing one must not be.
func TestPartThatAccompaniesCrashingPartIsRefusedOnlyIfAlways(t *testing.T) {
	table := New()
	crash(table, 0, 4, start, "c", "bad", "always", "mostly")
	crash(table, 4, 6, start, "c", "bad", "always")
	now := at(time.Second)
	if !refused(table, now, "c", "bad") || !refused(table, now, "c", "always") || refused(table, now, "c", "mostly") {
		t.Fatal("refused for the wrong part")
	}
}

// A part that is in the ends of the crashing one and in many others, of which it is not the
// cause, is not refused. It must not keep the crashing part from being refused.
func TestPartThatIsNotRefusedExplainsNoOther(t *testing.T) {
	table := New()
	for n := range 20 {
		cut(table, end(n), request("c", n, fmt.Sprint("p", n)), start)
		if n%4 == 0 {
			cut(table, end(n), request("c", 100+n, "popular"), start)
		}
	}
	for n := 20; n < 30; n++ {
		cut(table, end(n), request("c", n, "bad"), at(time.Second))
		cut(table, end(n), request("c", 100+n, "popular"), at(time.Second))
	}
	cut(table, end(40), request("c", 40), start)
	for n := 50; n < 70; n++ {
		cut(table, end(n), request("c", n), at(time.Second))
	}
	now := at(2 * time.Second)
	if refused(table, now, "c", "popular") || !refused(table, now, "c", "bad") {
		t.Fatalf("popular refused: %t, bad refused: %t", refused(table, now, "c", "popular"), refused(table, now, "c", "bad"))
	}
}

// Customers share IDs of parts. One customer must not get the part of another refused,
// nor learn that it is; once two customers are hit it is refused for all.
func TestCustomerCannotGetPartOfAnotherRefused(t *testing.T) {
	table := New()
	crash(table, 0, 9, start, "evil", "bad")
	now := at(time.Second)
	if !refused(table, now, "evil", "bad") || refused(table, now, "sound", "bad") {
		t.Fatal("refused for the wrong customer")
	}
	crash(table, 9, 10, now, "second", "bad")
	if !refused(table, now, "sound", "bad") {
		t.Fatal("a part that hit two customers is not refused for a third")
	}
}

// All targets of a data centre end at once. Parts that have never completed were in flight
// at a tenth of them each. No part may be refused.
func TestMassEndRefusesNoPart(t *testing.T) {
	table, random := New(), rand.New(rand.NewPCG(1, 1))
	sound(table, request("c", 1, "first"), start)
	for n := range 50 {
		for i := range 8 {
			cut(table, end(n), request("c", n*100+i, "first", fmt.Sprint("group-", random.IntN(80))), at(time.Second))
		}
	}
	for g := range 80 {
		if refused(table, at(2*time.Second), "c", "first", fmt.Sprint("group-", g)) {
			t.Fatalf("group %d is refused", g)
		}
	}
}

// The refusal expires a time after the last end, and so do the ends.
func TestRefusalExpires(t *testing.T) {
	table := New()
	crash(table, 0, EndsToRefuseLong, start, "c", "bad")
	if !refused(table, at(time.Second), "c", "bad") || !refused(table, at(RefusedFor-time.Second), "c", "bad") || refused(table, at(time.Second+RefusedFor), "c", "bad") {
		t.Fatal("the refusal lasts for the wrong time")
	}
	table.Expire(at(2 * time.Second))
	if table.Size() == 0 {
		t.Fatal("a refusal was dropped while in force")
	}
	table.Expire(at(2*time.Second + RefusedFor))
	if table.Size() != 0 || len(table.ends) != 0 {
		t.Fatalf("%d items and %d ends are left", table.Size(), len(table.ends))
	}
}

// A daemon that has just started knows refusals only.
func TestStartedDaemonAdoptsRefusals(t *testing.T) {
	table, started := New(), New()
	crash(table, 0, 3, start, "c", "bad")
	now := at(time.Second)
	list := table.Refusals(now)
	if len(list) != 1 {
		t.Fatalf("refusals %+v", list)
	}
	list[0].Remaining = 100 * RefusedFor
	if started.MergeRefusal(&list[0], false, now) || !refused(started, now, "c", "bad") || refused(started, now, "d", "bad") || refused(started, now.Add(RefusedFor), "c", "bad") {
		t.Fatal("the refusal was not adopted, for another customer, or for too long")
	}
	started.HearSound(PartItem("bad"), 0, now.Add(time.Second))
	if refused(started, now.Add(time.Second), "c", "bad") || !started.MergeRefusal(&list[0], false, now.Add(2*time.Second)) {
		t.Fatal("a clearance has no effect")
	}
}

// Accusations arrive in any order and more than once. All daemons must decide alike.
func TestDecisionDoesNotDependOnOrder(t *testing.T) {
	source, random := New(), rand.New(rand.NewPCG(1, 2))
	var accusations []Accusation
	for n := range 8 {
		for i := range 3 {
			r := request("c", n*10+i, "first", fmt.Sprint("group-", random.IntN(5)))
			if i == 0 {
				r = request("c", n*10, "first", "bad", fmt.Sprint("group-", random.IntN(5)))
			}
			accusations = append(accusations, cut(source, end(n), r, start))
		}
	}
	decide := func(list []Accusation) (items []Item) {
		table := New()
		sound(table, request("c", 1, "first"), start.Add(-time.Second))
		for i := range list {
			table.Merge(&list[i], start)
		}
		for _, r := range table.Refusals(at(time.Second)) {
			items = append(items, r.Item)
		}
		return items
	}
	want := decide(accusations)
	if !slices.Equal(want, []Item{PartItem("bad")}) {
		t.Fatalf("refused %v", want)
	}
	for range 50 {
		shuffled := slices.Concat(accusations, accusations[:5])
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if got := decide(shuffled); !slices.Equal(got, want) {
			t.Fatalf("refused %v, want %v", got, want)
		}
	}
}

// Made-up parts fill the tables and the messages. The crashing part must still be found,
// and neither tables nor messages may grow beyond their bounds.
func TestFloodOfPartsDoesNotHideCrashingPart(t *testing.T) {
	table := New()
	now, id := start, 0
	parts := func() (list []string) {
		for range 3 * MaxParts {
			id++
			list = append(list, fmt.Sprint("made-up-", id))
		}
		return list
	}
	for n := range 40 {
		now = now.Add(50 * time.Millisecond)
		for range 6 {
			cut(table, end(n), request("evil", id, parts()...), now)
			sound(table, request("evil", id, parts()...), now)
		}
		a := cut(table, end(n), request("c", n, "bad"), now)
		if len(a.Suspects) > MaxSuspects {
			t.Fatalf("%d suspects in a message", len(a.Suspects))
		}
		if refused(table, now, "c", "bad") {
			t.Logf("found after %d ends", n+1)
			return
		}
	}
	t.Fatal("the crashing part is hidden by made-up ones")
}

func TestTablesAreBounded(t *testing.T) {
	table := New()
	crash(table, 0, 4, start, "c", "bad")
	if !refused(table, at(time.Second), "c", "bad") {
		t.Fatal("not refused")
	}
	for n := range 2 * MaxItems {
		cut(table, end(n), request("c", n, fmt.Sprint("p", n)), at(time.Second))
		sound(table, request("c", -n, fmt.Sprint("q", n), fmt.Sprint("r", n), fmt.Sprint("s", n)), at(time.Second+time.Duration(n)))
	}
	if table.Size() > MaxItems || len(table.ends) > MaxEnds || len(table.sound.newer.sent) > maxRecent {
		t.Fatalf("%d items, %d ends, %d completed", table.Size(), len(table.ends), len(table.sound.newer.sent))
	}
	if !refused(table, at(2*time.Second), "c", "bad") {
		t.Fatal("a refused part was evicted for others")
	}
}

// A caller's own part is in some of the crashing requests, and in requests that other ends
// cut off. Guards against a refusal of that part, which no completed request could end: an
// end under a part that is refused is no evidence against the parts beside it.
func TestPartBesideCrashingPartIsNotRefusedForOtherEnds(t *testing.T) {
	table := New()
	for n := range 8 {
		cut(table, end(n), request("c", n, "bad", fmt.Sprint("caller-", n%4)), start)
	}
	now := at(time.Second)
	if !refused(table, now, "c", "bad") || refused(table, now, "c", "caller-0") {
		t.Fatalf("bad refused: %t, the caller's part: %t", refused(table, now, "c", "bad"), refused(table, now, "c", "caller-0"))
	}
	cut(table, end(20), request("c", 20, "caller-0"), now) // an end of another cause
	now = at(2 * time.Second)
	if !refused(table, now, "c", "bad") || refused(table, now, "c", "caller-0") {
		t.Fatalf("after another end: bad refused: %t, the caller's part: %t", refused(table, now, "c", "bad"), refused(table, now, "c", "caller-0"))
	}
}

// Three targets end by other causes while they run requests with a sound part, which has
// not completed anywhere of late. Guards against a refusal that lasts although no request
// can clear the part meanwhile. If the part does crash targets, each further end must refuse
// it at once, and the fifth for long.
func TestPartUnderFewEndsIsRefusedForAShortTime(t *testing.T) {
	table := New()
	crash(table, 0, EndsToRefuse, start, "c", "part")
	if !refused(table, at(time.Second), "c", "part") || refused(table, at(time.Second+RefusedShortlyFor), "c", "part") {
		t.Fatal("after three ends the refusal lasts for the wrong time")
	}
	now := at(time.Minute)
	crash(table, EndsToRefuse, EndsToRefuse+1, now, "c", "part")
	if !refused(table, now, "c", "part") || refused(table, now.Add(RefusedShortlyFor), "c", "part") {
		t.Fatal("after the fourth end the refusal lasts for the wrong time")
	}
	now = at(2 * time.Minute)
	crash(table, EndsToRefuse+1, EndsToRefuseLong, now, "c", "part")
	if !refused(table, now, "c", "part") || !refused(table, now.Add(RefusedFor-time.Second), "c", "part") {
		t.Fatal("after the fifth end the refusal lasts for the wrong time")
	}
	other := New()
	crash(other, 0, EndsToRefuse, start, "c", "part")
	if !refused(other, at(time.Second), "c", "part") {
		t.Fatal("not refused after three ends")
	}
	now = at(time.Second + RefusedShortlyFor)
	sound(other, request("c", 9, "part"), now)
	crash(other, 20, 22, now.Add(SoundFor), "c", "part")
	if refused(other, now.Add(SoundFor+time.Second), "c", "part") {
		t.Fatal("ends before a completed request count")
	}
}

// turned returns a table at which requests with the parts were sound until start, at some
// rate, and which knows of ends under the parts from start on.
func turned(soundEvery, endsEvery time.Duration, ends int, parts ...string) *Table {
	table := New()
	for n := range 2 * minRequests {
		sentAt := start.Add(-time.Duration(2*minRequests-n) * soundEvery)
		table.Sound(request("c", n, parts...), sentAt, sentAt.Add(time.Second))
		for i := range commonShare {
			table.Sound(request("c", -n*commonShare-i), sentAt, sentAt.Add(time.Second))
		}
	}
	for n := range ends {
		cut(table, end(n), request("c", 1000+n, parts...), at(time.Duration(n)*endsEvery))
	}
	return table
}

// Requests with a part were sound until a moment before it crashes targets, and some of them
// end only later. Guards against an answer that clears the part of what came after its
// request was sent.
func TestAnswerProvesNothingAboutLaterEnds(t *testing.T) {
	table := turned(100*time.Millisecond, 100*time.Millisecond, EndsToRefuseLong, "bad")
	for n := range 5 {
		table.Sound(request("c", 3000+n, "bad"), at(-10*time.Millisecond), at(time.Duration(n)*500*time.Millisecond))
	}
	now := at(4*100*time.Millisecond + LongSettleTime)
	if refused(table, at(time.Second), "c", "bad") || !refused(table, now, "c", "bad") {
		t.Fatalf("refused after 1 s: %t, after %s: %t", refused(table, at(time.Second), "c", "bad"), now.Sub(start), refused(table, now, "c", "bad"))
	}
	table.Sound(request("c", 4000, "bad"), at(300*time.Millisecond), now)
	if refused(table, now, "c", "bad") {
		t.Fatal("refused although a request that was sent after the fourth end is sound")
	}
}

// Requests with a sound part come all the time, beside a part that turns. Guards against a
// refusal of the sound part while none of its requests can be known to be sound yet.
func TestSoundPartBesidePartThatTurnsIsNotRefused(t *testing.T) {
	table := turned(100*time.Millisecond, 100*time.Millisecond, 0, "bad", "first")
	for n := range 40 {
		now := at(time.Duration(n) * 100 * time.Millisecond)
		if sentAt := now.Add(-usualSoundTime); sentAt.After(start) {
			table.Sound(request("c", 5000+n, "first"), sentAt, now)
		}
		if refused(table, now, "c", "first") {
			t.Fatalf("the sound part is refused after %s", now.Sub(start))
		}
		if !refused(table, now, "c", "bad") {
			cut(table, end(n), request("c", 1000+n, "bad", "first"), now)
		}
	}
	if !refused(table, at(4*time.Second), "c", "bad") {
		t.Fatal("the part that turned is not refused")
	}
}

// Several targets end at once for another cause. They run requests with a part of which one
// becomes sound every 0.4 s. Guards against a refusal before a sound request is overdue.
func TestPartIsNotRefusedBeforeSoundRequestIsOverdue(t *testing.T) {
	table := turned(400*time.Millisecond, 0, EndsToRefuse+1, "part")
	for _, d := range []time.Duration{SettleTime, SoundSettleTime, 3 * time.Second} {
		if refused(table, at(d), "c", "part") {
			t.Fatalf("refused after %s", d)
		}
	}
	if now := at(usualSoundTime + overdueRequests*400*time.Millisecond); !refused(table, now, "c", "part") {
		t.Fatalf("not refused after %s", now.Sub(start))
	}
}

// All daemons have just been lost, so that none knows of sound requests. The first ends cut
// off the same callers beside the crashing part. Guards against a refusal of the callers'
// parts with it, which further ends tell apart.
func TestPartsInSameEndsWaitForFurtherEnds(t *testing.T) {
	table := New()
	crash(table, 0, EndsToRefuse, start, "c", "bad", "caller-1", "caller-2")
	if refused(table, at(SettleTime), "c", "bad") {
		t.Fatal("refused while other parts are in the same ends")
	}
	crash(table, EndsToRefuse, EndsToRefuse+2, at(SettleTime), "c", "bad")
	now := at(TiedSettleTime)
	if !refused(table, now, "c", "bad") || refused(table, now, "c", "caller-1") || refused(table, now, "c", "caller-2") {
		t.Fatalf("bad refused: %t, the callers' parts: %t, %t", refused(table, now, "c", "bad"), refused(table, now, "c", "caller-1"), refused(table, now, "c", "caller-2"))
	}
}

// A refusal that ends no longer show is withdrawn at all daemons, also at one that has missed
// the first withdrawal.
func TestRefusalIsWithdrawn(t *testing.T) {
	collector, other, missed := NewExchange(start), NewExchange(start), NewExchange(start)
	send := func(list []Message, now time.Time, to ...*Exchange) (replies []Message) {
		for i := range list {
			for _, x := range to {
				reply, err := x.Receive(&list[i], now)
				if err != nil {
					t.Fatal(err)
				}
				replies = append(replies, reply...)
			}
		}
		return replies
	}
	r := request("c", 1, "part")
	for n := range EndsToRefuse {
		a := collector.table.Cut(end(n), service, request("c", 100+n, "part"), start)
		collector.Accused(&a, start)
	}
	now := at(SettleTime)
	refusals := collector.Tick(now)
	send(refusals, now, other, missed)
	if _, ok := other.Check(r, now); !ok {
		t.Fatal("the refusal is not adopted")
	}
	collector.Sound(r, at(time.Millisecond), now)
	now = now.Add(TickInterval)
	send(collector.Tick(now), now, other)
	if _, ok := other.Check(r, now); ok {
		t.Fatal("the refusal is not withdrawn")
	}
	now = now.Add(RepeatInterval)
	replies := send(missed.Tick(now), now, collector)
	send(replies, now, missed)
	if _, ok := missed.Check(r, now); ok {
		t.Fatal("the refusal is not withdrawn at a daemon that has missed that")
	}
}

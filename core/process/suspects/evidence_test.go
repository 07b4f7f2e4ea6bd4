package suspects

import (
	"fmt"
	"testing"
	"time"
)

// accuseAll merges an accusation of one end by a daemon that knows soundAll sound requests.
// counts holds, by part, the sound requests and the requests cut off that have it.
func accuseAll(t *Table, e End, now time.Time, requests, soundAll int, counts map[string][2]int) {
	a := Accusation{End: e, Service: service, Requests: requests}
	for part, n := range counts {
		frequency := Rare
		if n[0]*commonShare >= soundAll {
			frequency = Common
		}
		a.Suspects = append(a.Suspects, Suspect{
			Item: PartItem(part), Customer: HashCustomer("c"), Frequency: frequency, SoundAll: soundAll, SoundWith: n[0], Requests: n[1],
		})
	}
	t.Merge(&a, now)
}

// Ends of any cause cut off requests with a part that all or most requests have. Guards
// against taking such ends for evidence against the part.
func TestEvidenceIsAgainstPartsInMoreEndsThanTheirShare(t *testing.T) {
	table := New()
	for n := range 8 {
		accuseAll(table, end(n), start, 4, 200, map[string][2]int{"first": {200, 4}, "quarter": {50, 1}, "twentieth": {10, 1}, "bad": {0, 1}})
	}
	evidence := func(part string) float64 { return table.evidence(table.items[PartItem(part)]) }
	for part, least := range map[string]float64{"bad": minEvidenceLong, "twentieth": minEvidenceLong} {
		if evidence(part) < least {
			t.Errorf("%s: evidence %.2f, want %.2f at least", part, evidence(part), least)
		}
	}
	for _, part := range []string{"first", "quarter"} {
		if evidence(part) >= minEvidence {
			t.Errorf("%s: evidence %.2f, want less than %d", part, evidence(part), minEvidence)
		}
	}
	for n := range 8 {
		accuseAll(table, end(20+n), start, 4, 200, map[string][2]int{"first": {200, 4}})
	}
	if got := evidence("twentieth"); got >= minEvidenceLong {
		t.Errorf("evidence %.2f against a part that is in half of the ends of one moment", got)
	}
}

// Accusations of the release before do not say how many requests an end cut off. Guards
// against taking each of their ends for surprising.
func TestEndsThatEarlierReleaseReportsAreNoEvidenceAgainstCommonPart(t *testing.T) {
	table := New()
	for n := range 8 {
		a := Accusation{End: end(n), Service: service, Suspects: []Suspect{
			{Item: PartItem("first"), Customer: HashCustomer("c"), Frequency: Common, SoundAgo: time.Second},
			{Item: PartItem("bad"), Customer: HashCustomer("c"), Frequency: Rare},
		}}
		table.Merge(&a, start)
	}
	now := at(LongSettleTime)
	if refused(table, now, "c", "first") || !refused(table, now, "c", "bad") {
		t.Fatalf("first refused: %t, bad refused: %t", refused(table, now, "c", "first"), refused(table, now, "c", "bad"))
	}
}

// An accusation that waits to be sent is replaced by that of the next request which the end
// cut off. Guards against requests that are counted twice, or lost.
func TestAccusationCountsRequestsSinceLastOne(t *testing.T) {
	x := NewExchange(start)
	count := func() (all, with int) {
		for _, a := range x.Flush() {
			all += a.Requests
			for _, s := range a.Suspects {
				if s.Item == PartItem("first") {
					with += s.Requests
				}
			}
		}
		return all, with
	}
	cutOff := func(n int, parts ...string) {
		r := request("c", n, parts...)
		x.Cut(end(1), service, r, start)
	}
	for n := range 3 {
		cutOff(n, "first", fmt.Sprint("p", n))
	}
	cutOff(3)
	if all, with := count(); all != 4 || with != 3 {
		t.Errorf("%d requests, %d with the part, want 4 and 3", all, with)
	}
	cutOff(4, "first")
	if all, with := count(); all != 1 || with != 1 {
		t.Errorf("%d further requests, %d with the part, want 1 and 1", all, with)
	}
}

// Several targets end, and no target runs requests for a while; then sound requests come
// again. Guards against a refusal in the moment in which the first of them is known, since the
// time without targets counts.
func TestTimeWithoutTargetsDoesNotCount(t *testing.T) {
	table := turned(20*time.Millisecond, 0, 0, "group")
	for n := range 2 * EndsToRefuseLong {
		accuseAll(table, end(n), at(time.Duration(n)*50*time.Millisecond), 12, 200, map[string][2]int{"group": {80, 5}})
	}
	back := 5 * time.Second
	sent := at(back)
	table.Sound(request("c", 5000), sent, sent.Add(1300*time.Millisecond)) // without the part
	for _, d := range []time.Duration{back, back + 1300*time.Millisecond, back + SoundSettleTime} {
		if refused(table, at(d), "c", "group") {
			t.Errorf("refused %s after the ends, targets were back after %s", d, back)
		}
	}
	if now := at(back + LongSettleTime); !refused(table, now, "c", "group") {
		t.Errorf("not refused although no request with the part was sound for %s", LongSettleTime)
	}
}

// A collector that has just started refuses a part by ends alone, and then learns that requests
// with the part were sound until some time before. Guards against the withdrawal of the refusal:
// none was sound in the time before the ends either.
func TestStartedCollectorKeepsRefusalOfPartThatTurned(t *testing.T) {
	table := New()
	for n := range EndsToRefuse + 1 {
		a := Accusation{End: end(n), Service: service, Requests: 4, Suspects: []Suspect{{
			Item: PartItem("bad"), Customer: HashCustomer("c"), Frequency: Rare, SoundAll: 200, SoundWith: 10, SoundRate: 1, Requests: 1,
		}}}
		table.Merge(&a, at(time.Duration(n)*200*time.Millisecond))
	}
	if now := at(time.Second); !refused(table, now, "c", "bad") {
		t.Fatal("not refused by the ends")
	}
	now := at(3 * time.Second)
	table.HearSound(PartItem("bad"), 20*time.Second, now)
	if !refused(table, now, "c", "bad") {
		t.Fatal("accepted again, though no request with the part was sound for 20 s")
	}
}

// After a loss of all daemons the part of some sound callers is in a few ends, and none of their
// requests becomes sound for a while. Guards against a refusal for ten minutes by sound requests
// that are overdue, although it is not known how often they come.
func TestPartThatWasNeverSoundIsRefusedForLongByFurtherEndsOnly(t *testing.T) {
	table := New()
	for n := range EndsToRefuseLong {
		accuseAll(table, end(n), at(time.Duration(n)*100*time.Millisecond), 8, 20, map[string][2]int{"group": {0, 5}})
	}
	sent := at(600 * time.Millisecond)
	table.Sound(request("c", 5000), sent, sent.Add(time.Second)) // without the part
	now := at(3 * time.Second)
	r, ok := table.Check(request("c", 1, "group"), now)
	if !ok || r.Remaining > RefusedShortlyFor {
		t.Fatalf("refused: %t, for %s", ok, r.Remaining)
	}
	lapsed := at(400*time.Millisecond + RefusedShortlyFor + time.Second)
	accuseAll(table, end(50), lapsed, 8, 20, map[string][2]int{"group": {0, 1}})
	if r, ok := table.Check(request("c", 1, "group"), lapsed); !ok || r.Remaining <= RefusedShortlyFor {
		t.Fatalf("after a further end: refused: %t, for %s", ok, r.Remaining)
	}
}

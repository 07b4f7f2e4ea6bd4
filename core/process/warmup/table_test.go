package warmup

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"github.com/cockroachdb/datadriven"
)

// TestSources prints for how long a target is cold, of a service whose targets are cold for
// 8 s, and what becomes known of it. Times are in milliseconds.
func TestSources(t *testing.T) {
	datadriven.RunTest(t, "testdata/sources", func(t *testing.T, d *datadriven.TestData) string {
		table, w := New(), &Warmup{Time: 8 * time.Second}
		start := time.Unix(1000, 0)
		now, takenBack := start, time.Time{}
		millis := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var i replicas.Incarnation
			var revision, left, sent int
			i.ID = "a"
			switch {
			case scan(line, "first list: start %d revision %d cold %d", &i.Started, &revision, &left):
				table.Observe(&replicas.Target{ID: i.ID, Started: i.Started, Revision: uint64(revision), ColdLeft: millis(left)}, w, false, now)
			case scan(line, "entry: start %d revision %d cold %d", &i.Started, &revision, &left):
				table.Observe(&replicas.Target{ID: i.ID, Started: i.Started, Revision: uint64(revision), ColdLeft: millis(left)}, w, true, now)
			case scan(line, "answer: start %d cold %d sent %d", &i.Started, &left, &sent):
				table.RecordAnswer(i, millis(left), start.Add(millis(sent)), now)
			case scan(line, "claim: start %d cold %d", &i.Started, &left):
				table.RecordClaim(i, millis(left), now)
			case scan(line, "after %d", &left):
				now = now.Add(millis(left))
			case line == "taken back":
				takenBack = now
			default:
				t.Fatalf("unknown step %q", line)
			}
			i.Started = max(i.Started, 5)
			fmt.Fprintf(&out, "%s: %s", line, table.Left(i, w, takenBack, now))
			for _, e := range table.TakeEvents() {
				fmt.Fprintf(&out, ", cold %v by %s", e.Cold, e.Source)
			}
			out.WriteByte('\n')
		}
		return out.String()
	})
}

// scan reports whether a line has the given form, and sets the values.
func scan(line, form string, values ...any) bool {
	n, err := fmt.Sscanf(line, form, values...)
	return err == nil && n == len(values)
}

// Guards against rates at which leaves that are all used as late as they may be, or two homes
// with full buckets, exceed the bound, for the users' bound and for others.
func TestRatesStayUnderTheBound(t *testing.T) {
	for _, c := range []struct{ perSecond, overage, slack float64 }{
		{26, 1.5, 5}, {26, 0, 0}, {1, 0, 0}, {0.5, 0, 0}, {3, 1.5, 5}, {4, 0, 0}, {16, 1, 0}, {400, 1.5, 5}, {26, 3, 5}, {26, 0, 20},
	} {
		r := RatesOf(c.perSecond, c.overage, c.slack)
		bound := int(c.perSecond*max(c.overage, 1) + c.slack)
		// With leaves that are used at once, and with such that are used after LeaveTime.
		alone := int(r.Size + r.Whole*(1+ratelimits.LeaveTime.Seconds()))
		both := int(2*r.Size + r.Whole + r.Takeover)
		parts := int(2*r.Size + (r.Whole+r.Spare)*(1+ratelimits.LeaveTime.Seconds()))
		if r.Takeover == 0 && r.Spare == 0 {
			both, parts = alone, alone
		}
		if r.Whole > c.perSecond || r.Whole > 0 && slices.Max([]int{alone, both, parts}) > bound {
			t.Errorf("%+v: %+v lets through %d, %d by two homes and %d by two parts, want at most %d", c, r, alone, both, parts, bound)
		}
	}
	if r := RatesOf(coldRate, overage, slack); r.Whole < coldRate {
		t.Errorf("%g a second are used of %g", r.Whole, coldRate)
	}
}

// The first home uses the whole rate and dies. The second one has charged all of its requests
// at the lower takeover rate. Guards against a debt from requests that no longer count in the
// second of the bound, for which callers would be refused.
func TestSecondHomeOwesNoMoreThanASecond(t *testing.T) {
	now := time.Unix(1000, 0)
	table, rates := New(), RatesOf(coldRate, overage, slack)
	table.Observe(&replicas.Target{ID: "t", ColdLeft: time.Hour}, &Warmup{}, false, now)
	var d Duty
	d.Observe("b", homes.Homes{Deciders: []names.Host{"a", "b"}}, 1, true, now)
	for range 10 * int(coldRate) {
		now = now.Add(time.Second / coldRate)
		table.SetHome("t", d.Flow("b", rates, now), true, now)
		table.Take("t", d.Flow("b", rates, now), now)
	}
	d.Observe("b", homes.Homes{Deciders: []names.Host{"b", "c"}}, 1, true, now)
	flow := d.Flow("b", rates, now)
	longest := time.Second + time.Duration(float64(time.Second)/flow.Rate)
	if wait := table.Wait("t", flow, now); wait > longest {
		t.Errorf("the first leave is given after %s, want %s", wait, longest)
	}
}

// A partition ends, and the first home was at the smaller part. All daemons ask it again.
// Guards against a home that gives no leaves for longer than targets are cold, 8 s in the
// users' load.
func TestFirstHomeGivesLeavesSoonAfterAPartition(t *testing.T) {
	now := time.Unix(1000, 0)
	rates, h := RatesOf(coldRate, overage, slack), homes.Homes{Deciders: []names.Host{"a", "b"}}
	var d Duty
	for _, share := range []float64{1, 0.4, 1} {
		now = now.Add(time.Minute)
		d.Observe("a", h, share, true, now)
	}
	if got := d.Flow("a", rates, now).Rate; got > 0 {
		t.Errorf("%g a second while the other part may not know of the end", got)
	}
	if got := d.Flow("a", rates, now.Add(8*time.Second)).Rate; got != rates.Whole {
		t.Errorf("%g a second 8 s later, want %g", got, rates.Whole)
	}
}

// The first home dies, and the next one shortly before the third daemon has been the second
// home for TakeoverTime. Guards against a third daemon that gives no leaves for twice this
// time: the first home gives none any more after it.
func TestHomeThatHeardOfTheSecondOneTakesOver(t *testing.T) {
	now := time.Unix(1000, 0)
	rates := RatesOf(coldRate, overage, slack)
	var d Duty
	d.Observe("c", homes.Homes{Deciders: []names.Host{"a", "b"}}, 1, true, now)
	d.Observe("c", homes.Homes{Deciders: []names.Host{"b", "c"}}, 1, true, now)
	d.Observe("c", homes.Homes{Deciders: []names.Host{"c", "d"}}, 1, true, now.Add(TakeoverTime-time.Second))
	if got := d.Flow("c", rates, now.Add(TakeoverTime-time.Second)).Rate; got > 0 {
		t.Errorf("%g a second while the first home may give leaves", got)
	}
	if got := d.Flow("c", rates, now.Add(TakeoverTime)).Rate; got != rates.Takeover {
		t.Errorf("%g a second, want %g", got, rates.Takeover)
	}
}

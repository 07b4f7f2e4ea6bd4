package load

import (
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/target"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func oneTarget() *Table {
	t := New()
	t.SetTargets([]Spec{{Name: "a", Want: target.State{Model: "m"}, PrefillRate: 1000}})
	return t
}

func report(seq uint64, measuredMs, queued int) target.Report {
	return target.Report{
		Target: "a", BootID: 1, Seq: seq, MeasuredAt: at(measuredMs),
		QueuedTokens: queued, PrefillRate: 1000,
		State: target.State{Model: "m"},
	}
}

func only(t *testing.T, table *Table, ms int) choice.Candidate {
	t.Helper()
	candidates := table.Candidates("m", at(ms))
	if len(candidates) != 1 {
		t.Fatalf("%d candidates", len(candidates))
	}
	return candidates[0]
}

func wantQueue(t *testing.T, table *Table, ms, tokens int) {
	t.Helper()
	c := only(t, table, ms)
	if got := c.QueueTokens(); got < tokens-1 || got > tokens+1 {
		t.Fatalf("queue at %d ms = %d, want %d", ms, got, tokens)
	}
}

// Guards against counting only the load in the report, which is delayed: the
// target would appear idle, and the daemon would send all requests to it.
func TestQueueIncludesDispatchesNotInReport(t *testing.T) {
	table := oneTarget()
	table.Report(report(1, 0, 500), at(200))
	wantQueue(t, table, 200, 300)
	table.Dispatched(Dispatch{ID: "x", Target: "a", Tokens: 2000}, at(300))
	wantQueue(t, table, 300, 2200)
	// Measured before the dispatch, received after it.
	table.Report(report(2, 250, 100), at(450))
	wantQueue(t, table, 450, 1900)
	// Measured after the dispatch, which the report includes.
	table.Report(report(3, 400, 1700), at(500))
	wantQueue(t, table, 500, 1600)
	if c := only(t, table, 500); c.UnreportedStreams != 0 {
		t.Fatalf("the dispatch is counted twice: %+v", c)
	}
}

func TestOlderReportIsDiscarded(t *testing.T) {
	table := oneTarget()
	table.Report(report(5, 100, 700), at(200))
	if table.Report(report(4, 150, 0), at(210)) {
		t.Fatal("an older sequence number was accepted")
	}
	reboot := report(1, 300, 0)
	reboot.BootID = 2
	if !table.Report(reboot, at(310)) {
		t.Fatal("a new boot was refused")
	}
	if table.Report(report(9, 200, 700), at(320)) {
		t.Fatal("a report of the earlier boot was accepted")
	}
	wantQueue(t, table, 320, 0)
}

func TestSlowClockDoesNotMakeReportsStale(t *testing.T) {
	table := oneTarget()
	for seq := 1; seq < 4; seq++ {
		r := report(uint64(seq), 1000*seq-60_000, 5000)
		table.Report(r, at(1000*seq+100))
	}
	if c := only(t, table, 3200); !c.ReportFresh || c.ReportAge > time.Second {
		t.Fatalf("age %s, known %t", c.ReportAge, c.ReportFresh)
	}
}

func TestBreakerOpensAndProbes(t *testing.T) {
	table := oneTarget()
	fail := func(ms int) {
		id := strconv.Itoa(ms)
		table.Dispatched(Dispatch{ID: id, Target: "a"}, at(ms))
		table.Finished(id, Fault, at(ms))
	}
	for ms := range BreakerThreshold {
		fail(ms)
	}
	if !only(t, table, 500).BreakerOpen {
		t.Fatal("the breaker is closed after the failures")
	}
	if only(t, table, 1100).BreakerOpen {
		t.Fatal("no probe after the cooldown")
	}
	table.Dispatched(Dispatch{ID: "probe", Target: "a"}, at(1100))
	if !only(t, table, 1101).BreakerOpen {
		t.Fatal("a second request is allowed while the probe is in flight")
	}
	table.Finished("probe", Fault, at(1200))
	if !only(t, table, 3100).BreakerOpen {
		t.Fatal("the cooldown did not double")
	}
	table.Dispatched(Dispatch{ID: "probe", Target: "a"}, at(3300))
	table.Finished("probe", Success, at(3400))
	if only(t, table, 3400).BreakerOpen {
		t.Fatal("the breaker is open after a success")
	}
}

func TestTargetRemovedFromManifestIsDropped(t *testing.T) {
	table := oneTarget()
	table.Dispatched(Dispatch{ID: "x", Target: "a", Tokens: 900}, at(0))
	table.SetTargets([]Spec{{Name: "b", Want: target.State{Model: "m"}}})
	if table.InFlight() != 0 || len(table.Candidates("m", at(0))) != 1 {
		t.Fatal("the target or its dispatch is still in the table")
	}
	table.Finished("x", Fault, at(1))
}

// The engine reports the correct prefill rate, or twice its actual rate. One
// request in five takes four times as long and must not distort the estimate.
func TestOverstatedRateIsCorrected(t *testing.T) {
	for _, tc := range []struct{ actual, low, high float64 }{{1, 0.9, 1}, {0.5, 0.45, 0.65}} {
		table := oneTarget()
		ms := 0
		for i := range 400 {
			id := strconv.Itoa(i)
			table.Dispatched(Dispatch{ID: id, Target: "a", Tokens: 1000}, at(ms))
			took := int(1000 / tc.actual)
			if i%5 == 0 {
				took *= 4
			}
			table.FirstToken(id, at(ms+took))
			ms += 10_000
			table.Finished(id, Success, at(ms))
		}
		got := only(t, table, ms).Report.PrefillRate / 1000
		if got < tc.low || got > tc.high {
			t.Errorf("actual rate %.1f, estimated %.2f", tc.actual, got)
		}
	}
}

// Within a range of ranks, the targets that daemons prefer must be spread evenly:
// no target may be the first choice of too many daemons.
func TestDaemonsPreferDifferentTargets(t *testing.T) {
	for _, size := range [][2]int{{15, 8}, {25, 9}, {320, 30}} {
		targets, daemons := size[0], size[1]
		from, to := targets/3, targets/3+targets/3
		preferredBy := map[int]int{}
		for d := range daemons {
			best := from
			for i := from; i < to; i++ {
				if PositionOf(i, targets, d, daemons).Offset < PositionOf(best, targets, d, daemons).Offset {
					best = i
				}
			}
			preferredBy[best]++
		}
		for i, n := range preferredBy {
			if bound := (daemons + to - from - 1) / (to - from) * 2; n > bound {
				t.Fatalf("%d of %d daemons prefer target %d of %d", n, daemons, i, to-from)
			}
		}
	}
}

func BenchmarkCandidates32(b *testing.B) {
	table := New()
	specs := make([]Spec, 32)
	for i := range specs {
		specs[i] = Spec{Name: names.Target(strconv.Itoa(i)), Want: target.State{Model: "m"}}
	}
	table.SetTargets(specs)
	for b.Loop() {
		table.Candidates("m", epoch)
	}
}

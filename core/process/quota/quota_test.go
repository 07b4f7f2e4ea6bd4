package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// fleet is a number of daemons that report to one home each second.
type fleet struct {
	config Config
	home   *Home
	locals []*Local
	// reaches says whether a daemon reaches the home.
	reaches func(i int) bool
}

func newFleet(n int) *fleet {
	f := &fleet{config: DefaultConfig(), reaches: func(int) bool { return true }}
	f.home = NewHome(f.config)
	for range n {
		l := NewLocal(f.config)
		l.SetMembers(n)
		l.SetQuotas(start, []Quota{{"a", 1000}})
		f.locals = append(f.locals, l)
	}
	return f
}

// run lets each daemon's callers ask for 10 tokens at a time, rates[i] tokens a
// second in all, and returns the tokens a second admitted over the last half.
func (f *fleet) run(from time.Time, seconds int, rates []int) []float64 {
	admitted := make([]float64, len(f.locals))
	for s := range seconds {
		now := from.Add(time.Duration(s) * time.Second)
		f.home.SetCapacity(now, Quota{"a", Capacity(f.config, 1000, len(f.locals), 0)})
		for i, l := range f.locals {
			got := offer(l, now, rates[i])
			if s >= seconds/2 {
				admitted[i] += got / float64(seconds-seconds/2)
			}
			f.report(i, l, now.Add(999*time.Millisecond))
		}
	}
	return admitted
}

func offer(l *Local, now time.Time, rate int) float64 {
	admitted := 0.0
	for n := range rate / 10 {
		at := now.Add(time.Duration(n) * time.Second / time.Duration(rate/10))
		if ok, _ := l.Admit("a", 10, at); ok {
			admitted += 10
		}
	}
	return admitted
}

func (f *fleet) report(i int, l *Local, now time.Time) {
	due := l.Due(now)
	if len(due) == 0 {
		return
	}
	if !f.reaches(i) {
		l.Unanswered(due)
		return
	}
	l.Granted(now, f.home.Report(now, fmt.Sprint(i), 1/float64(len(f.locals)), due))
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func TestAQuotaIsNotMultipliedByTheDaemons(t *testing.T) {
	f := newFleet(50)
	rates := make([]int, 50)
	for i := range rates {
		rates[i] = 1000
	}
	if got := sum(f.run(start, 60, rates)); got > 1000*1.05 || got < 800 {
		t.Fatalf("%0.f tokens a second admitted of a quota of 1000", got)
	}
	naive := 0.0
	for range rates {
		l := NewLocal(DefaultConfig())
		l.config.Leased = 0
		l.SetQuotas(start, []Quota{{"a", 1000}})
		naive += offer(l, start.Add(time.Minute), 1000)
	}
	if naive < 10*1000 {
		t.Fatalf("buckets that know nothing of each other admitted only %0.f", naive)
	}
}

func TestTrafficThroughFewDaemonsGetsTheQuota(t *testing.T) {
	f := newFleet(50)
	rates := make([]int, 50)
	rates[3] = 2000
	rates[4] = 100
	got := f.run(start, 60, rates)
	if got[3] < 700 || got[4] < 90 {
		t.Fatalf("admitted %0.f and %0.f", got[3], got[4])
	}
}

func TestIdleRateIsGivenBackInSeconds(t *testing.T) {
	f := newFleet(10)
	rates := make([]int, 10)
	rates[0] = 2000
	f.run(start, 60, rates)
	rates[1] = 2000
	later := f.run(start.Add(60*time.Second), 16, rates)
	if later[1] < 350 || sum(later) > 1050 {
		t.Fatalf("the second daemon got %0.f, all %0.f", later[1], sum(later))
	}
}

func TestAPartitionHandsOutTheQuotaOnce(t *testing.T) {
	c := DefaultConfig()
	east := Capacity(c, 1000, 20, 30) + 20*(1-c.Leased)*1000/50
	west := Capacity(c, 1000, 30, 20) + 30*(1-c.Leased)*1000/50
	if total := east + west; math.Abs(total-1000) > 1e-6 {
		t.Fatalf("both sides together hand out %f", total)
	}
}

func TestDaemonsWithoutAHomeTakeEqualParts(t *testing.T) {
	f := newFleet(10)
	f.reaches = func(int) bool { return false }
	rates := make([]int, 10)
	for i := range rates {
		rates[i] = 1000
	}
	got := f.run(start, 60, rates)
	if total := sum(got); total > 1050 || total < 900 {
		t.Fatalf("%0.f admitted", total)
	}
}

func TestANewHomeGivesEqualPartsFirst(t *testing.T) {
	h := NewHome(DefaultConfig())
	h.SetCapacity(start, Quota{"a", 900})
	g := h.Report(start, "x", 0.1, []Demand{{"a", 900}})
	if len(g) != 1 || g[0].Rate != 90 {
		t.Fatalf("a home without memory granted %v", g)
	}
	later := start.Add(7 * time.Second)
	g = h.Report(later, "x", 0.1, []Demand{{"a", 900}})
	if len(g) != 1 || g[0].Rate != 900 {
		t.Fatalf("granted %v", g)
	}
}

func TestLeasesNeverExceedTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHome(DefaultConfig())
		now := start
		h.SetCapacity(now, Quota{"a", 900})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			child := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "child"))
			rate := rapid.Float64Range(0, 2000).Draw(t, "rate")
			h.Report(now, child, 0.1, []Demand{{"a", rate}})
			if got := h.Leased(now, "a"); got > 900.001 {
				t.Fatalf("%f leased", got)
			}
		}
	})
}

func TestFairSharesAreWeightedAndUseWhatIsIdle(t *testing.T) {
	got := Fair(100, []Claim{{Weight: 1, Demand: 1000}, {Weight: 3, Demand: 1000}, {Weight: 4, Demand: 20}})
	want := []float64{20, 60, 20}
	for i := range want {
		if math.Abs(got[i]-want[i]) > 1e-9 {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}

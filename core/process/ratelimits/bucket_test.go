package ratelimits

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"github.com/cockroachdb/datadriven"
)

// TestBucket prints what a daemon lets through as a home of the target a, which names its
// limit at the start. Times are in milliseconds.
func TestBucket(t *testing.T) {
	datadriven.RunTest(t, "testdata/bucket", func(t *testing.T, d *datadriven.TestData) string {
		table := New()
		a := replicas.Incarnation{ID: "a", Started: 5}
		now := time.Unix(1000, 0)
		isHome := true
		setHomes := func() { table.SetHomes(func(names.Target) bool { return isHome }, now) }
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var ms, count int
			var value float64
			switch {
			case scan(line, "rate %g", &value):
				table.Record(a, Statement{Rate: value, SentAt: now, ReadAt: now}, now)
				setHomes()
			case scan(line, "after %d", &ms):
				now = now.Add(time.Duration(ms) * time.Millisecond)
				setHomes()
			case scan(line, "place %d", &count):
				placed := 0
				for range count {
					if table.Wait(a, now) == 0 {
						table.Take(a, now)
						placed++
					}
				}
				fmt.Fprintf(&out, "%s: %d, next after %s\n", line, placed, table.Wait(a, now).Round(time.Millisecond))
			case scan(line, "others send %d", &count):
				for range count {
					table.Take(a, now)
				}
			case scan(line, "share %g", &value):
				table.SetShare(value, now, func() float64 { return 0.5 })
			case line == "no home":
				isHome = false
				setHomes()
			case line == "home":
				isHome = true
				setHomes()
			default:
				t.Fatalf("unknown step %q", line)
			}
		}
		return out.String()
	})
}

// Guards against callers that all come back at once, and against one that is told to wait
// for longer than its deadline allows.
func TestPromisesFollowEachOther(t *testing.T) {
	var p Promises
	now := time.Unix(1000, 0)
	var got []time.Duration
	for range 4 {
		got = append(got, p.Next("s", 300*time.Millisecond, 2, now))
	}
	if want := []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1300 * time.Millisecond, 1800 * time.Millisecond}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	for range 100 {
		if after := p.Next("s", 0, 2, now); after > maxPromise {
			t.Fatalf("told to return after %s", after)
		}
	}
	if after := p.Next("s", 0, 2, now.Add(time.Minute)); after != 0 {
		t.Errorf("told to return after %s though there is room", after)
	}
	if after := p.Next("other", time.Second, 2, now); after != time.Second {
		t.Errorf("another service: after %s", after)
	}
}

// Guards against sides of a partition that use more than one and a half limits together,
// and against daemons that use a part of them long after others have gone for good.
func TestSharesOfAPartitionedFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, sides := range [][]int{{9}, {8, 1}, {5, 4}, {6, 3}, {3, 3, 3}, {148, 147}, {1, 1, 1, 1, 1, 1, 1, 1, 1}} {
		all, sum := 0, 0.0
		for _, side := range sides {
			all += side
		}
		for _, side := range sides {
			var f Fleet
			f.Share(all, now)
			sum += f.Share(side, now.Add(time.Second))
		}
		if sum > limitFactor {
			t.Errorf("sides of %v: %g", sides, sum)
		}
	}
	var f Fleet
	f.Share(9, now)
	for at := time.Duration(0); at <= 3*memoryTime; at += time.Second {
		share := f.Share(3, now.Add(at))
		if at < memoryTime && share != 1./3 || at > 2*memoryTime+time.Second && share != 1 {
			t.Fatalf("%s after the loss of six of nine: %g", at, share)
		}
	}
}

// limitFactor is how many times their limits targets may get.
const limitFactor = 1.5

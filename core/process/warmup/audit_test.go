package warmup

import (
	"testing"
	"time"

	"carobspoke.example/core/process/replicas"
)

// TestColdPeriodDoesNotBeginAgainWithRestoration has a restored list lack the entry of a cold
// target that was written after the copy. Guards against counting the time left, which the entry
// named when it was written, from the restoration: the target is then taken for cold too long.
func TestColdPeriodDoesNotBeginAgainWithRestoration(t *testing.T) {
	const cold, age = 20 * time.Second, 5 * time.Second
	start := time.Unix(1000, 0)
	directory, table := replicas.New(), New()
	w := &Warmup{Time: cold}
	directory.MarkAvailable(start.Add(-time.Hour))
	directory.Put(replicas.Target{ID: "a", Service: "s", Started: 7, Revision: 100, ColdLeft: cold}, start)
	observe := func(now time.Time) time.Duration {
		list := directory.List(now)
		if len(list) != 1 {
			t.Fatalf("%d targets are usable", len(list))
		}
		table.Observe(&list[0], w, true, now)
		return table.Left(list[0].Incarnation(), w, time.Time{}, now)
	}
	observe(start)
	restored := start.Add(age)
	directory.Restore(90, restored)
	directory.Replace(nil, 95, restored)
	if left := observe(restored); left > cold-age {
		t.Errorf("cold for %s more, want %s", left, cold-age)
	}
	const newLeft = 3 * time.Second
	directory.Put(replicas.Target{ID: "a", Service: "s", Started: 7, Revision: 100, ColdLeft: newLeft}, restored)
	if left := observe(restored); left != newLeft {
		t.Errorf("cold for %s more by an entry that was written again, want %s", left, newLeft)
	}
}

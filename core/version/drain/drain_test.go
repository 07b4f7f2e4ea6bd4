package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestALeavingTarget(t *testing.T) {
	at := time.Unix(1000, 0)
	d := Departure{Leaves: true, At: at}
	if d.TakesNewWork() || !(Departure{}).TakesNewWork() {
		t.Fatal("new work for a leaving target")
	}
	if d.Admits(at) || !d.Admits(at.Add(-Margin)) {
		t.Fatal("work that ends too late is admitted, or work in time is not")
	}
	now := at.Add(-100 * time.Second)
	if a, _ := d.Decide(Work{End: at.Add(time.Second)}, now); a != Move {
		t.Fatal("work that would be cut stays")
	}
	a, again := d.Decide(Work{End: at.Add(-10 * time.Second), MoveTime: 20 * time.Second}, now)
	if a != Stay || !again.Equal(at.Add(-22*time.Second)) {
		t.Fatalf("decided %v, again at %v", a, again)
	}
}

// TestNothingIsCut lets predictions slip and decides again when told to.
func TestNothingIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		d := Departure{Leaves: true, At: at}
		w := Work{MoveTime: time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "move"))}
		w.End = time.Unix(rapid.Int64Range(900, 1100).Draw(t, "end"), 0)
		now := time.Unix(rapid.Int64Range(800, 960).Draw(t, "now"), 0)
		a, again := d.Decide(w, now)
		if a == Stay && !again.IsZero() {
			w.End = w.End.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "slip")))
			now = again
			a, _ = d.Decide(w, now)
		}
		if a == Stay && w.End.After(at) {
			t.Fatalf("work stays until %v", w.End)
		}
		if a == Move && now.Add(w.MoveTime).After(at) {
			t.Fatalf("move begins at %v and takes %v", now, w.MoveTime)
		}
	})
}

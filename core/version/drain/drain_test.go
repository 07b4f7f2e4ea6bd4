package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDecisionsForALeavingTarget(t *testing.T) {
	at := time.Unix(1000, 0)
	d := Departure{Leaves: true, At: at}
	if d.AcceptsNewWork() || !(Departure{}).AcceptsNewWork() {
		t.Fatal("a leaving target accepts new work, or a staying target does not")
	}
	if d.AllowsWorkUntil(at) || !d.AllowsWorkUntil(at.Add(-Margin)) {
		t.Fatal("work that ends too late is allowed, or work that ends in time is not")
	}
	now := at.Add(-100 * time.Second)
	if a, _ := d.Decide(Work{End: at.Add(time.Second)}, now); a != Move {
		t.Fatal("work that ends after the departure stays")
	}
	a, decideAgain := d.Decide(Work{End: at.Add(-10 * time.Second), MoveTime: 20 * time.Second}, now)
	if a != Stay || !decideAgain.Equal(at.Add(-22*time.Second)) {
		t.Fatalf("action %v, decide again at %v", a, decideAgain)
	}
}

// TestWorkEndsOrMovesBeforeDeparture guards against work that a departure
// interrupts because its predicted end was too early: the prediction becomes
// later, and the decision is repeated at the returned time.
func TestWorkEndsOrMovesBeforeDeparture(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		d := Departure{Leaves: true, At: at}
		w := Work{MoveTime: time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "move"))}
		w.End = time.Unix(rapid.Int64Range(900, 1100).Draw(t, "end"), 0)
		now := time.Unix(rapid.Int64Range(800, 960).Draw(t, "now"), 0)
		a, decideAgain := d.Decide(w, now)
		if a == Stay && !decideAgain.IsZero() {
			w.End = w.End.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "slip")))
			now = decideAgain
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

package overload

import (
	"testing"
	"time"

	"carobspoke.example/core/names"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an estimate that lengthens an answer beyond its maximum.
func TestExpectedAnswerNeverExceedsTheMaximum(t *testing.T) {
	for _, c := range []struct{ maximum, hint, want int }{{1000, 0, 1000}, {1000, 200, 600}, {1000, 1000, 1000}, {1000, 5000, 1000}, {0, 100, 0}} {
		if got := ExpectedAnswer(c.maximum, c.hint); got != c.want {
			t.Errorf("maximum %d, hint %d: %d, want %d", c.maximum, c.hint, got, c.want)
		}
	}
}

// Callers who are refused together must not return together, nor too late to be served.
func TestReturnsAreSpread(t *testing.T) {
	room := Room{Slots: 100, SlotTime: time.Second} // 25 returns a second
	s := NewState()
	previous := time.Duration(-1)
	for i := range 50 {
		delay := s.RetryAfter(&room, 500*time.Millisecond, 10*time.Second, 0, start)
		if delay <= previous {
			t.Fatalf("caller %d returns after %s, the one before after %s", i, delay, previous)
		}
		previous = delay
	}
	for i := range 200 {
		random := float64(i) / 200
		if delay := s.RetryAfter(&room, 500*time.Millisecond, 10*time.Second, random, start); delay > 5*time.Second {
			t.Fatalf("caller returns after %s with 10 s left", delay)
		}
	}
}

// A customer that asks for ten times as much as each of four others is over its share, until its usage
// has decayed. One customer alone never is.
func TestShareIsMeasuredByWork(t *testing.T) {
	s := NewState()
	s.Placed("alone", 1_000_000, start)
	if s.OverShare("alone", start) {
		t.Error("the only customer is over its share")
	}
	for _, c := range []string{"a", "b", "c"} {
		for range 100 {
			s.Placed("many", 1, start) // many requests, little work
		}
		s.Placed("alone", 1_000_000, start)
		s.Placed(names.Customer(c), 200_000, start)
	}
	if !s.OverShare("alone", start) || s.OverShare("many", start) || s.OverShare("a", start) || s.OverShare("", start) {
		t.Error("the customer with most work must be over its share, and no other")
	}
}

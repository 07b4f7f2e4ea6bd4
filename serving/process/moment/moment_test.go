package moment

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestTheMonotonicClockIsKept fails for instants kept as nanoseconds, whose ages
// change with the wall clock.
func TestTheMonotonicClockIsKept(t *testing.T) {
	var m Moment
	if m.Age() != math.MaxInt64 {
		t.Fatalf("age %s before the first", m.Age())
	}
	now := time.Now()
	m.Set(now)
	if got := m.Get(); !strings.Contains(got.String(), " m=") || !got.Equal(now) {
		t.Fatalf("%s", got)
	}
	m.Advance(now.Add(-time.Second))
	if !m.Get().Equal(now) {
		t.Fatal("went back")
	}
	m.Advance(now.Add(time.Second))
	if got := m.Get(); !got.Equal(now.Add(time.Second)) || !strings.Contains(got.String(), " m=") {
		t.Fatalf("%s", got)
	}
}

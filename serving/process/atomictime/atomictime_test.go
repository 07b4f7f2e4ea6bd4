package atomictime

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Guards against storing times as integers of nanoseconds: ages would then change
// with steps of the wall clock.
func TestTheMonotonicClockIsKept(t *testing.T) {
	var m Time
	if m.Age() != math.MaxInt64 {
		t.Fatalf("age %s before a time was set", m.Age())
	}
	now := time.Now()
	m.Set(now)
	if got := m.Get(); !strings.Contains(got.String(), " m=") || !got.Equal(now) {
		t.Fatalf("%s", got)
	}
	m.Advance(now.Add(-time.Second))
	if !m.Get().Equal(now) {
		t.Fatal("Advance set an earlier time")
	}
	m.Advance(now.Add(time.Second))
	if got := m.Get(); !got.Equal(now.Add(time.Second)) || !strings.Contains(got.String(), " m=") {
		t.Fatalf("%s", got)
	}
}

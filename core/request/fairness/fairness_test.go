package fairness

import (
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRatioFollowsSharesAndForgets(t *testing.T) {
	u := New()
	u.Add(epoch, "a", 1, 3000)
	u.Add(epoch, "b", 3, 3000)
	// The average is 1500 for a share of one.
	if got := u.Ratio(epoch, "a"); got < 1.99 || got > 2.01 {
		t.Fatalf("a has %f of the average", got)
	}
	if got := u.Ratio(epoch, "b"); got < 0.66 || got > 0.67 {
		t.Fatalf("b has %f of the average", got)
	}
	later := epoch.Add(4 * UsageTime)
	u.Add(later, "b", 3, 3000)
	if got := u.Ratio(later, "a"); got > 0.1 {
		t.Fatalf("a is still held to %f", got)
	}
	if u.Ratio(later, "unknown") != 0 {
		t.Fatal("a new customer starts behind")
	}
}

func TestUsageIsBounded(t *testing.T) {
	u := New()
	for i := range 4 * MaxCustomers {
		u.Add(epoch, names.Customer(strconv.Itoa(i)), 1, 100)
	}
	if len(u.customers) != MaxCustomers {
		t.Fatalf("%d customers", len(u.customers))
	}
	later := epoch.Add(20 * UsageTime)
	u.Add(later, "new", 1, 100)
	if len(u.customers) != 1 || u.total.share < 0.99 || u.total.share > 1.01 {
		t.Fatalf("%d customers with a share of %f", len(u.customers), u.total.share)
	}
}

func TestLimitFollowsTheRatio(t *testing.T) {
	for ratio, want := range map[float64]time.Duration{
		0: 1500, 0.5: 1500, 0.8: 1250, 1: 1000, 2: 250, 10: 250,
	} {
		if got := Limit(time.Second, ratio); got != want*time.Millisecond {
			t.Fatalf("limit at %f = %s", ratio, got)
		}
	}
}

package fairness

import (
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRatioDependsOnSharesAndDecays(t *testing.T) {
	u := New()
	u.Add(epoch, "a", 1, 3000)
	u.Add(epoch, "b", 3, 3000)
	// The average is 1500 for a share of one.
	if got := u.RatioToAverage(epoch, "a"); got < 1.99 || got > 2.01 {
		t.Fatalf("ratio of a is %f, want 2", got)
	}
	if got := u.RatioToAverage(epoch, "b"); got < 0.66 || got > 0.67 {
		t.Fatalf("ratio of b is %f, want 2/3", got)
	}
	later := epoch.Add(4 * UsageDecayTime)
	u.Add(later, "b", 3, 3000)
	if got := u.RatioToAverage(later, "a"); got > 0.1 {
		t.Fatalf("ratio of a after the decay is %f, want at most 0.1", got)
	}
	if u.RatioToAverage(later, "unknown") != 0 {
		t.Fatal("the ratio of an unknown customer is not zero")
	}
}

func TestUsageIsBounded(t *testing.T) {
	u := New()
	for i := range 4 * MaxCustomers {
		u.Add(epoch, names.Customer(strconv.Itoa(i)), 1, 100)
	}
	if len(u.customers) != MaxCustomers {
		t.Fatalf("%d customers are tracked, want MaxCustomers", len(u.customers))
	}
	later := epoch.Add(20 * UsageDecayTime)
	u.Add(later, "new", 1, 100)
	if len(u.customers) != 1 || u.total.share < 0.99 || u.total.share > 1.01 {
		t.Fatalf("%d customers with a total share of %f are tracked after a purge, want 1 with 1", len(u.customers), u.total.share)
	}
}

func TestLimitIsScaledByTheRatio(t *testing.T) {
	for ratio, want := range map[float64]time.Duration{
		0: 1500, 0.5: 1500, 0.8: 1250, 1: 1000, 2: 250, 10: 250,
	} {
		if got := ScaleLimit(time.Second, ratio); got != want*time.Millisecond {
			t.Fatalf("limit at ratio %f is %s", ratio, got)
		}
	}
}

package budget

import (
	"testing"
	"time"
)

func TestRatesCoverOnlyTheLastWindow(t *testing.T) {
	var m Meter
	now := time.Unix(1_700_000_000, 0)
	for range 120 {
		m.Add(now, Membership, Usage{Messages: 2, Bytes: 300, Processor: time.Millisecond})
		now = now.Add(time.Second)
	}
	if r := m.Rates(now, Membership); r.BytesPerSecond < 290 || r.BytesPerSecond > 305 || r.CPUFraction > 0.00101 {
		t.Fatalf("rates %+v", r)
	}
	if r := m.TotalRates(now.Add(time.Hour)); r.BytesPerSecond != 0 || r.MessagesPerSecond != 0 {
		t.Fatalf("an idle meter returns %+v", r)
	}
	if m.Total(Membership).Messages != 240 {
		t.Fatalf("total %+v", m.Total(Membership))
	}
}

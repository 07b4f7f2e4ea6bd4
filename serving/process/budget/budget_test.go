package budget

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"carobspoke.example/core/process/budget"
)

func TestControlWorkIsShownByMechanism(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := New(func() time.Time { return now })
	r := gometrics.NewRegistry()
	if err := m.Register(r); err != nil {
		t.Fatal(err)
	}
	m.Add(budget.Quota, 1, 500)
	started := now
	now = now.Add(10 * time.Millisecond)
	m.Time(budget.Quota, started)
	gauge, ok := r.Get("control.quota.bytes_per_second").(gometrics.GaugeFloat64)
	if !ok || gauge.Value() != 500 {
		t.Fatalf("gauge %v", gauge)
	}
	report := m.Report()
	if report.BytesPerSecond != 500 || report.CPUFraction != 0.01 || report.MemoryBytes == 0 {
		t.Fatalf("%+v", report)
	}
}

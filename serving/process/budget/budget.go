// Package budget meters a running daemon's control work and shows it as metrics
// and to the admin interface. It is safe for concurrent use.
package budget

import (
	"runtime/metrics"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"carobspoke.example/core/process/budget"
)

// Meter adds up control work.
type Meter struct {
	mu    sync.Mutex
	meter budget.Meter
	now   func() time.Time
}

// New returns a Meter that reads the time from now.
func New(now func() time.Time) *Meter { return &Meter{now: now} }

// Add counts messages and bytes of a mechanism.
func (m *Meter) Add(mechanism budget.Mechanism, messages, bytes uint64) {
	m.spend(mechanism, budget.Spending{Messages: messages, Bytes: bytes})
}

// Time counts the time since start as processor time of a mechanism. Work that
// waits must not be timed.
func (m *Meter) Time(mechanism budget.Mechanism, start time.Time) {
	m.spend(mechanism, budget.Spending{Processor: m.now().Sub(start)})
}

func (m *Meter) spend(mechanism budget.Mechanism, s budget.Spending) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.Add(m.now(), mechanism, s)
}

// Report is what the admin interface shows.
type Report struct {
	BytesPerSecond    float64
	MessagesPerSecond float64
	// CPUFraction is a fraction of one core.
	CPUFraction float64
	// MemoryBytes is the heap of the whole process, requests included: memory
	// can't be told apart by purpose.
	MemoryBytes uint64
}

// Report returns the rates of all mechanisms together.
func (m *Meter) Report() Report {
	m.mu.Lock()
	all := m.meter.All(m.now())
	m.mu.Unlock()
	return Report{
		BytesPerSecond:    all.BytesPerSecond,
		MessagesPerSecond: all.MessagesPerSecond,
		CPUFraction:       all.Processor,
		MemoryBytes:       heapBytes(),
	}
}

// Rates returns the rates of one mechanism.
func (m *Meter) Rates(mechanism budget.Mechanism) budget.Rates {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Rates(m.now(), mechanism)
}

// Register shows the rates in a registry, by mechanism.
func (m *Meter) Register(r gometrics.Registry) error {
	for mechanism := range budget.Mechanisms {
		prefix := "control." + mechanism.String()
		if err := r.Register(prefix+".bytes_per_second", m.gauge(mechanism, func(r budget.Rates) float64 { return r.BytesPerSecond })); err != nil {
			return err
		}
		if err := r.Register(prefix+".messages_per_second", m.gauge(mechanism, func(r budget.Rates) float64 { return r.MessagesPerSecond })); err != nil {
			return err
		}
		if err := r.Register(prefix+".cpu_fraction", m.gauge(mechanism, func(r budget.Rates) float64 { return r.Processor })); err != nil {
			return err
		}
	}
	return nil
}

func (m *Meter) gauge(mechanism budget.Mechanism, of func(budget.Rates) float64) gometrics.GaugeFloat64 {
	return gometrics.NewFunctionalGaugeFloat64(func() float64 { return of(m.Rates(mechanism)) })
}

// heapBytes returns the bytes of live and unswept objects.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

// Total returns what was spent on a mechanism since the start.
func (m *Meter) Total(mechanism budget.Mechanism) budget.Spending {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meter.Total(mechanism)
}

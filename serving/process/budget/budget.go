// Package budget meters what this process spends on control, apart from
// requests: datagrams, calls between daemons by their service, calls to the
// platform, and polls of targets.
//
// Bytes of HTTP and gRPC are those of bodies and messages with an allowance
// for headers; retransmissions are not seen.
package budget

import (
	"runtime/metrics"
	"sync"
	"time"

	core "carobspoke.example/core/process/budget"
)

// Meter is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	meter core.Meter
}

// CountMessage counts a message of so many bytes.
func (m *Meter) CountMessage(mechanism core.Mechanism, bytes int) {
	m.add(mechanism, core.Usage{Messages: 1, Bytes: uint64(max(bytes, 0))})
}

// AddCPUTime counts processor time.
func (m *Meter) AddCPUTime(mechanism core.Mechanism, d time.Duration) {
	m.add(mechanism, core.Usage{Processor: d})
}

func (m *Meter) add(mechanism core.Mechanism, s core.Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.Add(time.Now(), mechanism, s)
}

// Names of the figures of Read, beside those of each mechanism.
const (
	BytesPerSecond    = "bytes_per_second"
	MessagesPerSecond = "messages_per_second"
	CPUFraction       = "cpu_fraction"
	MemoryBytes       = "memory_bytes"
)

// Read returns the rates of all mechanisms together and of each, and the
// memory of the whole process.
func (m *Meter) Read() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	all := m.meter.TotalRates(now)
	figures := map[string]float64{
		BytesPerSecond:    all.BytesPerSecond,
		MessagesPerSecond: all.MessagesPerSecond,
		CPUFraction:       all.CPUFraction,
		MemoryBytes:       float64(heapBytes()),
	}
	for mechanism := range core.Mechanisms {
		rates := m.meter.Rates(now, mechanism)
		figures[mechanism.String()+"."+BytesPerSecond] = rates.BytesPerSecond
		figures[mechanism.String()+"."+MessagesPerSecond] = rates.MessagesPerSecond
		figures[mechanism.String()+"."+CPUFraction] = rates.CPUFraction
	}
	return figures
}

// heapMetric is the memory that the process holds in live objects.
const heapMetric = "/memory/classes/heap/objects:bytes"

func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

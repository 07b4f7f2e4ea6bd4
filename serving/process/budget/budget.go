// Package budget meters the bytes, messages and processor time that this process
// spends on control traffic, which excludes requests: datagrams, calls between
// daemons by gRPC service, calls to the platform, and polls of targets.
//
// For HTTP and gRPC it counts the bytes of bodies and messages plus an estimate
// for headers. Retransmissions are not counted.
package budget

import (
	"runtime/metrics"
	"sync"
	"time"

	core "carobspoke.example/core/process/budget"
)

// Meter counts control traffic and processor time by mechanism. It is safe for
// concurrent use.
type Meter struct {
	mu    sync.Mutex
	meter core.Meter
}

// CountMessage counts one message of the given size in bytes.
func (m *Meter) CountMessage(mechanism core.Mechanism, bytes int) {
	m.add(mechanism, core.Usage{Messages: 1, Bytes: uint64(max(bytes, 0))})
}

// AddCPUTime adds processor time.
func (m *Meter) AddCPUTime(mechanism core.Mechanism, d time.Duration) {
	m.add(mechanism, core.Usage{Processor: d})
}

func (m *Meter) add(mechanism core.Mechanism, s core.Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.Add(time.Now(), mechanism, s)
}

// Keys of the totals that Read returns. The rates of a mechanism have the same
// keys with the mechanism's name and a dot in front.
const (
	BytesPerSecond    = "bytes_per_second"
	MessagesPerSecond = "messages_per_second"
	CPUFraction       = "cpu_fraction"
	MemoryBytes       = "memory_bytes"
)

// Read returns the rates of all mechanisms together, those of each mechanism, and
// the bytes of heap objects of the whole process.
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

// heapMetric is the runtime metric of the bytes that the process holds in heap
// objects.
const heapMetric = "/memory/classes/heap/objects:bytes"

func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Package budget measures the resources that a daemon uses for control work, as
// opposed to requests: bytes, messages and processor time, by mechanism. It also
// defines the limits of control work, including that of memory.
//
// Rates are means over the last Window. A Meter reads no clock and is not safe
// for concurrent use; package serving/process/budget wraps one.
package budget

import "time"

// Mechanism is a kind of control work.
type Mechanism uint8

// Mechanisms.
const (
	// Membership covers probes, gossip and pulls of the member table.
	Membership Mechanism = iota
	// Distribution covers the pages of the manifest.
	Distribution
	// Quota covers reports and grants of quotas.
	Quota
	// Keeping covers the exchange between a keeper and its targets: reports,
	// events, holdings and orders.
	Keeping
	// Platform covers calls to the platform's services.
	Platform
	// Mechanisms is the number of mechanisms.
	Mechanisms
)

// String returns the mechanism's name in metrics.
func (m Mechanism) String() string {
	switch m {
	case Membership:
		return "membership"
	case Distribution:
		return "distribution"
	case Quota:
		return "quota"
	case Keeping:
		return "keeping"
	case Platform:
		return "platform"
	default:
		return "unknown"
	}
}

// Limits of a daemon's control work.
const (
	// MaxBytesPerSecond is the limit for sent and received bytes together.
	MaxBytesPerSecond = 8 << 10
	// MaxCPUFraction is the limit for processor time, as a fraction of one core.
	MaxCPUFraction = 0.023
	// MaxMemoryBytes is the limit for memory.
	MaxMemoryBytes = 128 << 20
)

// Window is the time over which rates are averaged. It is divided into slots of
// SlotTime.
const (
	Window   = 60 * time.Second
	SlotTime = time.Second
	slots    = int(Window / SlotTime)
)

// Usage is the amount of resources used by a mechanism.
type Usage struct {
	Messages uint64
	Bytes    uint64
	// Processor is the processor time.
	Processor time.Duration
}

func (s *Usage) add(o Usage) {
	s.Messages += o.Messages
	s.Bytes += o.Bytes
	s.Processor += o.Processor
}

// Rates are means over the last Window.
type Rates struct {
	MessagesPerSecond float64
	BytesPerSecond    float64
	// CPUFraction is the processor time as a fraction of one core.
	CPUFraction float64
}

// Meter adds up the resource usage of each mechanism, in total and over the last
// Window.
type Meter struct {
	ring  [Mechanisms][slots]Usage
	total [Mechanisms]Usage
	// firstUse is when the meter was first used. slot is the number of the
	// current slot, counted from the Unix epoch.
	firstUse time.Time
	slot     int64
}

// Add records resource usage of a mechanism at now.
func (m *Meter) Add(now time.Time, mechanism Mechanism, s Usage) {
	m.advance(now)
	m.ring[mechanism][m.slot%int64(slots)].add(s)
	m.total[mechanism].add(s)
}

// Total returns the usage of a mechanism since the start.
func (m *Meter) Total(mechanism Mechanism) Usage { return m.total[mechanism] }

// Rates returns the mean rates of a mechanism.
func (m *Meter) Rates(now time.Time, mechanism Mechanism) Rates {
	m.advance(now)
	var sum Usage
	for i := range slots {
		sum.add(m.ring[mechanism][i])
	}
	return rates(sum, m.coveredTime(now))
}

// TotalRates returns the sum of the mean rates of all mechanisms.
func (m *Meter) TotalRates(now time.Time) Rates {
	var all Rates
	for mechanism := range Mechanisms {
		r := m.Rates(now, mechanism)
		all.MessagesPerSecond += r.MessagesPerSecond
		all.BytesPerSecond += r.BytesPerSecond
		all.CPUFraction += r.CPUFraction
	}
	return all
}

// advance moves the current slot to now and clears the slots in between.
func (m *Meter) advance(now time.Time) {
	current := now.UnixNano() / int64(SlotTime)
	if m.firstUse.IsZero() {
		m.firstUse = now
		m.slot = current
	}
	for steps := 0; m.slot < current && steps < slots; steps++ {
		m.slot++
		for mechanism := range m.ring {
			m.ring[mechanism][m.slot%int64(slots)] = Usage{}
		}
	}
	m.slot = max(m.slot, current)
}

// coveredTime returns the time that the ring covers, at least one slot.
func (m *Meter) coveredTime(now time.Time) time.Duration {
	return max(SlotTime, min(Window, now.Sub(m.firstUse)))
}

// rates returns the mean rates of usage over a time.
func rates(s Usage, elapsed time.Duration) Rates {
	return Rates{
		MessagesPerSecond: float64(s.Messages) / elapsed.Seconds(),
		BytesPerSecond:    float64(s.Bytes) / elapsed.Seconds(),
		CPUFraction:       s.Processor.Seconds() / elapsed.Seconds(),
	}
}

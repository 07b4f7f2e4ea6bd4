// Package budget meters what a daemon spends on control, apart from requests:
// bytes, messages, processor time and memory, by mechanism.
//
// Rates are means over the last whole Window. A Meter reads no clock and is not
// safe for concurrent use; package budget of serving wraps one.
package budget

import "time"

// Mechanism is what control work is done for.
type Mechanism uint8

// Mechanisms.
const (
	// Membership is probes, gossip and pulls of the member table.
	Membership Mechanism = iota
	// Distribution is the manifest's pages.
	Distribution
	// Quota is reports and grants of quotas.
	Quota
	// Keeping is reports, events, holdings and orders of targets.
	Keeping
	// Platform is calls to the platform's services.
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
	// MaxBytesPerSecond bounds what is sent and received together.
	MaxBytesPerSecond = 8 << 10
	// MaxProcessor is a fraction of one core.
	MaxProcessor = 0.023
	// MaxMemoryBytes bounds the memory.
	MaxMemoryBytes = 128 << 20
)

// Window is the time over which rates are averaged, in slots of SlotTime.
const (
	Window   = 60 * time.Second
	SlotTime = time.Second
	slots    = int(Window / SlotTime)
)

// Spending is what was spent on a mechanism.
type Spending struct {
	Messages uint64
	Bytes    uint64
	// Processor is processor time.
	Processor time.Duration
}

func (s *Spending) add(o Spending) {
	s.Messages += o.Messages
	s.Bytes += o.Bytes
	s.Processor += o.Processor
}

// Rates are means over the last Window.
type Rates struct {
	MessagesPerSecond float64
	BytesPerSecond    float64
	// Processor is a fraction of one core.
	Processor float64
}

// Meter adds up spendings.
type Meter struct {
	ring  [Mechanisms][slots]Spending
	total [Mechanisms]Spending
	// first is when the meter was first used, slot the current slot.
	first time.Time
	slot  int64
}

// Add counts a spending.
func (m *Meter) Add(now time.Time, mechanism Mechanism, s Spending) {
	m.turn(now)
	m.ring[mechanism][m.slot%int64(slots)].add(s)
	m.total[mechanism].add(s)
}

// Total returns what was spent on a mechanism since the start.
func (m *Meter) Total(mechanism Mechanism) Spending { return m.total[mechanism] }

// Rates returns the mean rates of a mechanism.
func (m *Meter) Rates(now time.Time, mechanism Mechanism) Rates {
	m.turn(now)
	var sum Spending
	for i := range slots {
		sum.add(m.ring[mechanism][i])
	}
	return rates(sum, m.span(now))
}

// All returns the mean rates of all mechanisms together.
func (m *Meter) All(now time.Time) Rates {
	var all Rates
	for mechanism := range Mechanisms {
		r := m.Rates(now, mechanism)
		all.MessagesPerSecond += r.MessagesPerSecond
		all.BytesPerSecond += r.BytesPerSecond
		all.Processor += r.Processor
	}
	return all
}

// turn clears the slots between the last use and now.
func (m *Meter) turn(now time.Time) {
	current := now.UnixNano() / int64(SlotTime)
	if m.first.IsZero() {
		m.first = now
		m.slot = current
	}
	for steps := 0; m.slot < current && steps < slots; steps++ {
		m.slot++
		for mechanism := range m.ring {
			m.ring[mechanism][m.slot%int64(slots)] = Spending{}
		}
	}
	m.slot = max(m.slot, current)
}

// span is the time that the ring covers, at least one slot.
func (m *Meter) span(now time.Time) time.Duration {
	return max(SlotTime, min(Window, now.Sub(m.first)))
}

func rates(s Spending, span time.Duration) Rates {
	return Rates{
		MessagesPerSecond: float64(s.Messages) / span.Seconds(),
		BytesPerSecond:    float64(s.Bytes) / span.Seconds(),
		Processor:         s.Processor.Seconds() / span.Seconds(),
	}
}

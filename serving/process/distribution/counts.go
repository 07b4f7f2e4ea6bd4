package distribution

import (
	"github.com/rcrowley/go-metrics"
)

// counts are the metrics of a Distributor. All names begin with "manifest.".
type counts struct {
	bytesIn  metrics.Counter
	bytesOut metrics.Counter
	dropped  metrics.Counter
	gauges   map[string]metrics.Gauge
}

func newCounts(registry metrics.Registry) *counts {
	c := &counts{
		bytesIn:  metrics.GetOrRegisterCounter("manifest.bytes_in", registry),
		bytesOut: metrics.GetOrRegisterCounter("manifest.bytes_out", registry),
		dropped:  metrics.GetOrRegisterCounter("manifest.events_dropped", registry),
		gauges:   map[string]metrics.Gauge{},
	}
	for _, v := range values(&Status{}) {
		c.gauges[v.name] = metrics.GetOrRegisterGauge("manifest."+v.name, registry)
	}
	return c
}

func (c *counts) update(s *Status) {
	for _, v := range values(s) {
		c.gauges[v.name].Update(v.value)
	}
}

type value struct {
	name  string
	value int64
}

func values(s *Status) []value {
	n := s.Counters
	watching := int64(0)
	if s.Watching {
		watching = 1
	}
	return []value{
		{"version", int64(s.InForce.Version)}, //nolint:gosec // versions stay below 2^53
		{"fence", int64(s.Fence)},             //nolint:gosec // versions stay below 2^53
		{"watching", watching},
		number("installed", n.Installed),
		number("refused_conflict", n.Conflicts),
		number("refused_revert", n.Reverts),
		number("refused_below_fence", n.BelowFence),
		number("refused_content", n.BadContent),
		number("refused_root", n.BadRoot),
		number("peer_failed", n.PeerFailed),
		number("peer_lied", n.PeerLied),
		number("service_failed", n.ServiceFailed),
		number("service_calls", n.ServiceCalls),
	}
}

func number(name string, n uint64) value {
	return value{name: name, value: int64(n)} //nolint:gosec // counts stay below 2^63
}

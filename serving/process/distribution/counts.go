package distribution

import (
	"github.com/rcrowley/go-metrics"
)

// counts holds the metrics of a Distributor. Their names begin with "manifest.".
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
	for _, v := range gaugeValues(&Status{}) {
		c.gauges[v.name] = metrics.GetOrRegisterGauge("manifest."+v.name, registry)
	}
	return c
}

func (c *counts) update(s *Status) {
	for _, v := range gaugeValues(s) {
		c.gauges[v.name].Update(v.value)
	}
}

// gaugeValue is the name and value of a gauge.
type gaugeValue struct {
	name  string
	value int64
}

func gaugeValues(s *Status) []gaugeValue {
	n := s.Counters
	watching := int64(0)
	if s.Watching {
		watching = 1
	}
	return []gaugeValue{
		{"version", int64(s.InForce.Version)}, //nolint:gosec // versions stay below 2^53
		{"fence", int64(s.Fence)},             //nolint:gosec // versions stay below 2^53
		{"watching", watching},
		counterValue("installed", n.Installed),
		counterValue("refused_conflict", n.Conflicts),
		counterValue("refused_revert", n.Reverts),
		counterValue("refused_below_fence", n.BelowFence),
		counterValue("refused_content", n.BadContent),
		counterValue("refused_root", n.BadRoot),
		counterValue("peer_failed", n.PeerFailed),
		counterValue("peer_lied", n.PeerLied),
		counterValue("service_failed", n.ServiceFailed),
		counterValue("service_calls", n.ServiceCalls),
	}
}

func counterValue(name string, n uint64) gaugeValue {
	return gaugeValue{name: name, value: int64(n)} //nolint:gosec // counts stay below 2^63
}

package edge

import (
	"github.com/prometheus/client_golang/prometheus"
)

// coldCollector exports the numbers about cold targets.
type coldCollector struct{ *Daemon }

var _ prometheus.Collector = coldCollector{}

// Descriptors of the metrics of coldCollector.
var (
	targetsCold     = describe("targets_cold", "Targets that have not warmed up yet.")
	coldRateUsed    = describe("cold_rate_used", "Requests that this daemon, as a home, let through to cold targets in the last second.")
	coldRateAllowed = describe("cold_rate_allowed", "Requests a second that this daemon, as a home, may let through to the targets that are cold now.")
	coldRefused     = describe("cold_refused", "Requests that this daemon has refused because all targets of their service are cold.")
)

// Describe implements prometheus.Collector. It sends no descriptor, since the daemon is not
// complete when the collector is registered.
func (coldCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c coldCollector) Collect(out chan<- prometheus.Metric) {
	stats := c.board.ColdStats()
	gauge := func(d *prometheus.Desc, value float64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value)
	}
	gauge(targetsCold, float64(stats.Targets))
	gauge(coldRateUsed, stats.Used)
	gauge(coldRateAllowed, stats.Allowed)
	out <- prometheus.MustNewConstMetric(coldRefused, prometheus.CounterValue, float64(stats.Refused))
}

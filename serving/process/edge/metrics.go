package edge

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/counters"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// sampleSize and sampleAlpha shape the latency histograms: samples of about
// the last five minutes.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// Metrics counts what becomes of requests, and shows the ages of what the
// daemon believes.
type Metrics struct {
	daemon   *Daemon
	counters *counters.Counters
	registry metrics.Registry
}

func newMetrics(d *Daemon) *Metrics {
	c := counters.New()
	return &Metrics{daemon: d, counters: c, registry: c.Registry()}
}

// Admitted implements relay.Observer.
func (m *Metrics) Admitted(route *routing.Route) {
	m.counters.Add("admitted."+route.Kind.String(), 1)
}

// Refused implements relay.Observer.
func (m *Metrics) Refused(err *verdict.Error) { m.counters.Ended(err) }

// Retried implements relay.Observer.
func (m *Metrics) Retried(reason verdict.Reason) { m.counters.Retried(reason) }

// Answered implements relay.Observer.
func (m *Metrics) Answered(route *routing.Route, first, whole time.Duration) {
	kind := route.Kind.String()
	m.counters.Add("answered."+kind, 1)
	m.histogram("first_ms." + kind).Update(first.Milliseconds())
	m.histogram("whole_ms." + kind).Update(whole.Milliseconds())
}

func (m *Metrics) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

var notName = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// quantiles are those shown of each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// serve writes the metrics in the text form that the ecosystem's scrapers
// read.
func (m *Metrics) serve(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		name = "carobspoke_" + notName.ReplaceAllString(name, "_")
		switch metric := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, metric.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, metric.Value()))
		case metrics.Histogram:
			for _, q := range quantiles {
				lines = append(lines, fmt.Sprintf("%s{quantile=%q} %g", name, fmt.Sprint(q), metric.Percentile(q)))
			}
			lines = append(lines, fmt.Sprintf("%s_count %d", name, metric.Count()))
		}
	})
	lines = append(lines, m.beliefs()...)
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if _, err := w.Write([]byte(strings.Join(lines, "\n") + "\n")); err != nil {
		m.daemon.Log.Debug("metrics not written", zap.String("error", err.Error()))
	}
}

// beliefs are gauges of what the daemon believes and how old that is.
func (m *Metrics) beliefs() []string {
	d := m.daemon
	version, targets := uint64(0), 0
	if view := d.follower.View(); view != nil {
		version = uint64(view.Table.Version)
		for _, list := range view.Targets {
			targets += len(list)
		}
	}
	return []string{
		fmt.Sprintf("carobspoke_config_version %d", version),
		fmt.Sprintf("carobspoke_published_revision %d", d.follower.Revision()),
		fmt.Sprintf("carobspoke_published_age_ms %d", d.follower.Age().Milliseconds()),
		fmt.Sprintf("carobspoke_targets %d", targets),
		fmt.Sprintf("carobspoke_peers %d", len(d.peerAddresses())),
		fmt.Sprintf("carobspoke_requests_in_flight %d", d.active.Load()),
		fmt.Sprintf("carobspoke_fleet_dispatches %d", d.board.Size()),
		fmt.Sprintf("carobspoke_target_connections_opened %d", d.targets.Opened()),
		fmt.Sprintf("carobspoke_log_lines_dropped %d", d.DroppedLines()),
	}
}

package edge

import (
	"net/http"
	"regexp"
	"strconv"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/counters"
	"carobspoke.example/serving/process/published"
	"carobspoke.example/serving/request/relay"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	gometrics "github.com/rcrowley/go-metrics"
)

// prefix is the prefix of all metric names.
const prefix = "carobspoke_"

// Upper bounds of the histogram buckets.
var (
	// stageBuckets are in seconds: from a hop within a data centre to the
	// longest deadline of callers.
	stageBuckets = []float64{.001, .005, .01, .025, .05, .1, .2, .3, .5, .75, 1, 1.5, 2, 3, 5, 10, 20}
	// errorBuckets are ratios of the measured to the predicted time.
	errorBuckets = []float64{.25, .5, .75, .9, 1.1, 1.25, 1.5, 2, 3, 5, 10}
)

// Metrics counts the outcomes of requests, and exports them with the state of the
// daemon in the Prometheus format.
type Metrics struct {
	daemon           *Daemon
	counters         *counters.Counters
	registry         *prometheus.Registry
	stages           *prometheus.HistogramVec
	predictionErrors *prometheus.HistogramVec
	firstEvents      *prometheus.HistogramVec
	refusals         *prometheus.CounterVec
	publishedStages  *prometheus.HistogramVec
}

func newMetrics(d *Daemon) *Metrics {
	m := &Metrics{daemon: d, counters: counters.New(), registry: prometheus.NewRegistry()}
	m.stages = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: prefix + "stage_seconds", Help: "Time of a stage of answered requests, by class.", Buckets: stageBuckets,
	}, []string{"class", "stage"})
	m.predictionErrors = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: prefix + "first_event_error_ratio", Help: "Time to the first event divided by its prediction, by class.", Buckets: errorBuckets,
	}, []string{"class"})
	m.firstEvents = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: prefix + "first_event_seconds", Help: "Time from the send to the first event, predicted and actual, by priority.", Buckets: stageBuckets,
	}, []string{"priority", "value"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: prefix + "priority_refused", Help: "Requests that were refused and did not run, by priority and reason.",
	}, []string{"priority", "reason"})
	m.publishedStages = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: prefix + "published_stage_seconds", Help: "Time of a stage of taking in published records: to apply a batch, to read from a peer, and the wait of a heartbeat before it is made.", Buckets: stageBuckets,
	}, []string{"stage"})
	m.registry.MustRegister(m.publishedStages, m.stages, m.predictionErrors, m.firstEvents, m.refusals, stateCollector{d}, coldCollector{d}, registryCollector{m.counters.Registry()})
	return m
}

// Admitted implements relay.Observer.
func (m *Metrics) Admitted(route *routing.Route) {
	m.counters.Add("admitted."+route.Kind.String(), 1)
}

// Refused implements relay.Observer.
func (m *Metrics) Refused(err *verdict.Error) { m.counters.RecordError(err) }

// RefusedAt implements relay.PriorityObserver.
func (m *Metrics) RefusedAt(priority int, reason verdict.Reason) {
	m.refusals.WithLabelValues(priorityLabel(priority), string(reason)).Inc()
}

// maxPriorityLabel bounds the values of the label priority.
const maxPriorityLabel = 9

func priorityLabel(priority int) string { return strconv.Itoa(min(max(priority, 0), maxPriorityLabel)) }

// Retried implements relay.Observer.
func (m *Metrics) Retried(reason verdict.Reason) { m.counters.RecordRetry(reason) }

// Answered implements relay.Observer.
func (m *Metrics) Answered(t *relay.Timing) {
	class := string(t.Class)
	m.counters.Add("answered."+t.Kind.String(), 1)
	m.stages.WithLabelValues(class, "queue").Observe(t.Queue.Seconds())
	m.stages.WithLabelValues(class, "first").Observe(t.FirstEvent.Seconds())
	m.stages.WithLabelValues(class, "whole").Observe(t.Total.Seconds())
	if t.LongestPause > 0 {
		m.stages.WithLabelValues(class, "longest_pause").Observe(t.LongestPause.Seconds())
	}
	if t.Predicted > 0 {
		m.predictionErrors.WithLabelValues(class).Observe(float64(t.SendToFirstEvent) / float64(t.Predicted))
		priority := priorityLabel(t.Priority)
		m.firstEvents.WithLabelValues(priority, "predicted").Observe(t.Predicted.Seconds())
		m.firstEvents.WithLabelValues(priority, "actual").Observe(t.SendToFirstEvent.Seconds())
	}
}

// observeStage records the time of a stage of taking in published records.
func (m *Metrics) observeStage(s published.Stage, took time.Duration) {
	m.publishedStages.WithLabelValues(string(s)).Observe(took.Seconds())
}

// handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}

var invalidNameChars = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// registryCollector exports the counters and gauges of a go-metrics registry.
type registryCollector struct{ registry gometrics.Registry }

// Describe implements prometheus.Collector. It sends no descriptor, since metrics
// are added to the registry later.
func (registryCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c registryCollector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, metric any) {
		desc := prometheus.NewDesc(prefix+invalidNameChars.ReplaceAllString(name, "_"), "See docs/OPERATIONS.md.", nil, nil)
		switch metric := metric.(type) {
		case gometrics.Counter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(metric.Count()))
		case gometrics.Gauge:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(metric.Value()))
		}
	})
}

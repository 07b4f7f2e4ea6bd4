package edge

import (
	"time"

	"carobspoke.example/core/process/memory"
	"carobspoke.example/serving/connection/callers"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// memoryCollector exports the account of the memory that callers use.
type memoryCollector struct{ guard *callers.Guard }

// Descriptors of the metrics of memoryCollector.
var (
	accountBytes = prometheus.NewDesc(prefix+"memory_account_bytes", "Bytes that callers and peers make this daemon hold, by class.",
		[]string{"class"}, nil)
	accountLimit      = describe("memory_account_limit_bytes", "Limit of the sum of memory_account_bytes.")
	openConnections   = prometheus.NewDesc(prefix+"caller_connections", "Open connections, by listener.", []string{"listener"}, nil)
	closedMemory      = describe("caller_closed_memory", "Connections that were closed since memory was short.")
	closedHead        = describe("caller_closed_head", "Connections that were closed since a head was over the limit.")
	closedConnections = describe("caller_closed_connections", "Connections that were closed, or not taken, since there were too many.")
	refusedMemory     = describe("caller_refused_memory", "Requests that were answered with 503 since memory was short. None of them ran.")
)

// Describe implements prometheus.Collector.
func (memoryCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{accountBytes, accountLimit, openConnections, closedMemory, closedHead, closedConnections, refusedMemory} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (m memoryCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value int64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), labels...)
	}
	used, limit := m.guard.Usage()
	for _, class := range memory.Classes() {
		gauge(accountBytes, used[class], class.String())
	}
	gauge(accountLimit, limit)
	for _, group := range []memory.Group{memory.Callers, memory.Readiness, memory.Metrics, memory.Peers} {
		gauge(openConnections, int64(m.guard.Connections(group)), group.String())
	}
	counts := m.guard.Counts()
	for d, value := range map[*prometheus.Desc]uint64{
		closedMemory: counts.ClosedMemory, closedHead: counts.ClosedHead,
		closedConnections: counts.ClosedConnections, refusedMemory: counts.RefusedMemory,
	} {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value))
	}
}

// limitLog logs what the limits for callers have closed and refused, at most once in
// limitLogInterval: hostile callers could fill the log otherwise.
type limitLog struct {
	last callers.Counts
	at   time.Time
}

const limitLogInterval = 5 * time.Second

// record logs what has changed since the last line.
func (l *limitLog) record(guard *callers.Guard, log *zap.Logger, now time.Time) {
	counts := guard.Counts()
	if counts == l.last || now.Sub(l.at) < limitLogInterval {
		return
	}
	used, limit := guard.Usage()
	sum := int64(0)
	for _, bytes := range used {
		sum += bytes
	}
	log.Warn("limits for callers met", zap.Uint64("closed_memory", counts.ClosedMemory-l.last.ClosedMemory),
		zap.Uint64("closed_head", counts.ClosedHead-l.last.ClosedHead),
		zap.Uint64("closed_connections", counts.ClosedConnections-l.last.ClosedConnections),
		zap.Uint64("refused_memory", counts.RefusedMemory-l.last.RefusedMemory),
		zap.Int64("account_bytes", sum), zap.Int64("account_limit_bytes", limit))
	l.last, l.at = counts, now
}

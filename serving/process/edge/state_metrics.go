package edge

import (
	"github.com/prometheus/client_golang/prometheus"
)

// stateCollector exports the state of the daemon: its published records and their age,
// targets, peers, requests in flight and retry budgets.
type stateCollector struct{ *Daemon }

// Descriptors of the metrics of stateCollector.
var (
	configVersion     = describe("config_version", "Version of the configuration in force, 0 before the first.")
	publishedEra      = describe("published_era", "Number of times that the store was restored from a copy, as it says.")
	publishedRevision = describe("published_revision", "Revision of the store that the list of targets is as of.")
	publishedAge      = describe("published_age_ms", "Milliseconds since the store or a watcher confirmed that revision.")
	heartbeatAge      = describe("watcher_beat_age_ms", "Milliseconds since a watcher of the store was heard.")
	targetCount       = describe("targets", "Targets that may be used.")
	targetsExcluded   = describe("targets_spared", "Targets that take nothing for a while, after failures.")
	targetsLeaving    = describe("targets_leaving", "Targets that have said that they are leaving, until 10 minutes after they were last listed.")
	targetsAsked      = describe("targets_asked_for_time", "Targets that have asked this daemon for no requests for a while.")
	targetsLimited    = describe("targets_limited", "Targets that have named the requests a second that they take from all daemons together.")
	cutOff            = describe("cut_off", "1 while this daemon is cut off from all targets, else 0.")
	targetDetours     = describe("target_detours", "Targets that are reached through peers first.")
	peerConnections   = describe("peer_target_connections", "Connections to targets that are open for peers.")
	evacuatedCentres  = describe("evacuated_data_centres", "Data centres that operators want evacuated, as this daemon knows.")
	evacuationAge     = describe("evacuation_age_seconds", "Seconds since this daemon learnt of the oldest evacuation, 0 without one.")
	unusableRecords   = describe("published_records_unusable", "Published records that cannot be decoded.")
	suspectItems      = describe("suspect_items", "Parts of prompts and requests that a target ended under.")
	refusedItems      = describe("refused_items", "Parts of prompts and requests that are refused since targets ended under them.")
	targetEnds        = describe("target_ends", "Ends of targets that cut off requests of this daemon.")
	peerCount         = describe("peers", "Daemons that are alive.")
	requestsInFlight  = describe("requests_in_flight", "Callers' requests under way.")
	fleetDispatches   = describe("fleet_dispatches", "Known dispatches under way: those of this daemon and, at a home, those of others.")
	connectionsOpened = describe("target_connections_opened", "Connections opened to targets.")
	linesDropped      = describe("log_lines_dropped", "Log lines dropped because their reader stalled.")
	retryBudget       = prometheus.NewDesc(prefix+"retry_budget", "Retries that the budget of a service holds.", []string{"service"}, nil)
)

func describe(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prefix+name, help, nil, nil)
}

// Describe implements prometheus.Collector. It sends no descriptor, since the
// daemon is not complete when the collector is registered.
func (stateCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (b stateCollector) Collect(out chan<- prometheus.Metric) {
	version, targets := uint64(0), 0
	if view := b.follower.View(); view != nil {
		version = uint64(view.Table.Version)
		for _, list := range view.Targets {
			targets += len(list)
		}
	}
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	gauge(configVersion, float64(version))
	gauge(publishedEra, float64(b.follower.Position().Era))
	gauge(publishedRevision, float64(b.follower.Revision()))
	gauge(publishedAge, float64(b.follower.Age().Milliseconds()))
	gauge(heartbeatAge, float64(b.follower.HeartbeatAge().Milliseconds()))
	evacuated, oldest := b.evacuationAge()
	gauge(evacuatedCentres, float64(evacuated))
	gauge(evacuationAge, oldest.Seconds())
	gauge(unusableRecords, float64(b.follower.Unusable()))
	gauge(targetCount, float64(targets))
	gauge(targetsExcluded, float64(b.board.ExcludedCount()))
	gauge(targetsLeaving, float64(b.board.LeavingCount()))
	gauge(targetsAsked, float64(b.board.AskedCount()))
	gauge(targetsLimited, float64(b.board.LimitedCount()))
	gauge(cutOff, number(b.paths.IsCutOff()))
	gauge(targetDetours, float64(b.paths.Detours()))
	gauge(peerConnections, float64(b.tunnels.InUse()))
	counts := b.suspects.Counts()
	gauge(suspectItems, float64(counts.Accused))
	gauge(refusedItems, float64(counts.Refused))
	out <- prometheus.MustNewConstMetric(targetEnds, prometheus.CounterValue, float64(b.suspects.Ends()))
	gauge(peerCount, float64(b.peerCount()))
	gauge(requestsInFlight, float64(b.inFlight.Load()))
	gauge(fleetDispatches, float64(b.board.DispatchCount()))
	out <- prometheus.MustNewConstMetric(connectionsOpened, prometheus.CounterValue, float64(b.targetPool.Opened()))
	out <- prometheus.MustNewConstMetric(linesDropped, prometheus.CounterValue, float64(b.DroppedLines()))
	for service, left := range b.budgets.available() {
		gauge(retryBudget, left, string(service))
	}
}

// number returns 1 for true and 0 for false.
func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

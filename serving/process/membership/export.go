package membership

import (
	"time"

	core "carobspoke.example/core/process/membership"
	"github.com/rcrowley/go-metrics"

	"carobspoke.example/core/process/gossip"
)

// exportInterval is the interval between two updates of the machine's gauges.
const exportInterval = time.Second

// gaugePrefix is the prefix of the names of the machine's gauges.
const gaugePrefix = "membership.machine."

// exportGauges exports the machine's counters as gauges, at most once per
// exportInterval.
func (m *Membership) exportGauges(now time.Time) {
	if now.Sub(m.lastExport) < exportInterval {
		return
	}
	m.lastExport = now
	counters := m.machine.Counters()
	m.setGauge("live", uint64(len(m.machine.Live())))
	m.setGauge("unreachable", uint64(len(m.machine.Unreachable())))
	for purpose := range core.Purposes {
		m.setGauge("sent_"+purpose.String(), counters.Sent[purpose])
	}
	m.setGauge("suspicions", counters.Suspicions)
	m.setGauge("deaths", counters.Deaths)
	m.setGauge("refutations", counters.Refutations)
	m.setGauge("indirect_probes", counters.IndirectProbes)
	m.setGauge("contacts", counters.Contacts)
	m.setGauge("pulls", counters.Syncs)
	m.setGauge("pauses", counters.Pauses)
	m.setGauge("forgotten", counters.Expired)
	m.setGauge("from_dead", counters.FromDead)
	m.setGauge("dropped_old_incarnation", counters.DroppedOldIncarnation)
	m.setGauge("dropped_own_address", counters.DroppedOwnAddress)
	m.setGauge("dropped_busy", counters.DroppedBusy)
	m.setGauge("dropped_table_full", counters.DroppedTableFull)
	m.setGauge("dropped_digest", counters.DroppedDigests)
	for kind := range gossip.Kinds {
		queue := m.machine.QueueCounters(kind)
		m.setGauge(kind.String()+"_deferred", queue.Deferred)
		m.setGauge(kind.String()+"_evicted", queue.Evicted)
	}
}

func (m *Membership) setGauge(name string, value uint64) {
	metrics.GetOrRegisterGauge(gaugePrefix+name, m.config.Registry).Update(int64(value))
}

package membership

import (
	"time"

	core "carobspoke.example/core/process/membership"
	"github.com/rcrowley/go-metrics"

	"carobspoke.example/core/process/gossip"
)

// exportEvery is the time between two updates of the machine's gauges.
const exportEvery = time.Second

// gaugePrefix begins the names of the machine's gauges.
const gaugePrefix = "membership.machine."

// export shows the machine's counters as gauges, at most each exportEvery.
func (m *Membership) export(now time.Time) {
	if now.Sub(m.exported) < exportEvery {
		return
	}
	m.exported = now
	k := m.machine.Counters()
	m.gauge("live", uint64(len(m.machine.Live())))
	m.gauge("unreachable", uint64(len(m.machine.Unreachable())))
	for p := range core.Purposes {
		m.gauge("sent_"+p.String(), k.Sent[p])
	}
	m.gauge("suspicions", k.Suspicions)
	m.gauge("deaths", k.Deaths)
	m.gauge("refutations", k.Refutations)
	m.gauge("indirect_probes", k.IndirectProbes)
	m.gauge("contacts", k.Contacts)
	m.gauge("pulls", k.Syncs)
	m.gauge("pauses", k.Pauses)
	m.gauge("forgotten", k.Expired)
	m.gauge("from_dead", k.FromDead)
	m.gauge("dropped_old_incarnation", k.DroppedOldIncarnation)
	m.gauge("dropped_own_address", k.DroppedOwnAddress)
	m.gauge("dropped_busy", k.DroppedBusy)
	m.gauge("dropped_table_full", k.DroppedTableFull)
	m.gauge("dropped_digest", k.DroppedDigests)
	for kind := range gossip.Kinds {
		queue := m.machine.QueueCounters(kind)
		m.gauge(kind.String()+"_deferred", queue.Deferred)
		m.gauge(kind.String()+"_evicted", queue.Evicted)
	}
}

func (m *Membership) gauge(name string, value uint64) {
	metrics.GetOrRegisterGauge(gaugePrefix+name, m.config.Registry).Update(int64(value))
}

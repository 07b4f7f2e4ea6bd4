package membership

import (
	gometrics "github.com/rcrowley/go-metrics"

	"carobspoke.example/core/process/gossip"
	"carobspoke.example/core/process/membership"
)

// counts are the Service's metrics.
type counts struct {
	oversized, garbled, unsealed, unsendable, sendErrors gometrics.Counter

	registry gometrics.Registry
}

func newCounts(r gometrics.Registry) *counts {
	return &counts{
		oversized:  gometrics.GetOrRegisterCounter("membership.dropped.oversized", r),
		garbled:    gometrics.GetOrRegisterCounter("membership.dropped.garbled", r),
		unsealed:   gometrics.GetOrRegisterCounter("membership.dropped.unsealed", r),
		unsendable: gometrics.GetOrRegisterCounter("membership.dropped.unsendable", r),
		sendErrors: gometrics.GetOrRegisterCounter("membership.send_errors", r),
		registry:   r,
	}
}

// update copies the machine's counters.
func (c *counts) update(m *membership.Machine) {
	k := m.Counters()
	for p := range k.Sent {
		c.set("sent."+membership.Purpose(p).String(), k.Sent[p])
	}
	c.set("received", k.Received)
	c.set("dropped.old_incarnation", k.DroppedOldIncarnation)
	c.set("dropped.own_address", k.DroppedOwn)
	c.set("dropped.busy", k.DroppedBusy)
	c.set("dropped.table_full", k.DroppedFull)
	c.set("dropped.digest", k.DroppedDigests)
	c.set("from_dead", k.FromDead)
	c.set("indirect_probes", k.IndirectProbes)
	c.set("suspicions", k.Suspicions)
	c.set("deaths", k.Deaths)
	c.set("refutations", k.Refutations)
	c.set("contacts", k.Contacts)
	c.set("forgotten", k.Forgotten)
	c.set("syncs", k.Syncs)
	c.set("pauses", k.Pauses)
	c.set("live", uint64(len(m.Live())))
	for kind := range gossip.Kinds {
		q := m.QueueCounters(kind)
		c.set("queue."+kind.String()+".evicted", q.Evicted)
		c.set("queue."+kind.String()+".deferred", q.Deferred)
	}
}

func (c *counts) set(name string, value uint64) {
	gometrics.GetOrRegisterGauge("membership."+name, c.registry).Update(int64(value))
}

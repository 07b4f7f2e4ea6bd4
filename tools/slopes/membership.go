package slopes

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/membership/fakenet"
)

const (
	dataCentres = 9
	regions     = 3
	// settleTime is the delay before rates are measured over measureTime.
	settleTime  = 2 * time.Minute
	measureTime = 30 * time.Second
	// convergenceTimeout bounds each wait for convergence.
	convergenceTimeout = 5 * time.Minute
	// lossShare is the share of datagrams lost in the run with packet loss.
	lossShare = 0.05
	// changePeriod is the time between two manifest versions at 22,000
	// versions a day, and crashPeriod the time between two crash digests.
	changePeriod = 24 * time.Hour / 22_000
	crashPeriod  = 10 * time.Second
)

// fleetCosts holds the measurements of membership at one fleet size.
type fleetCosts struct {
	trustTime, formTime        time.Duration
	formPeak                   uint64
	quiet, busy                rates
	heapPerMember              float64
	firstDetected, allDetected []time.Duration
	rejoined                   []time.Duration
	suspicions, deaths         uint64
	memberHours                float64
	versionSpread              time.Duration
	partitionTime              time.Duration
	partitionRates             rates
	mergeTime                  time.Duration
	mergePeak                  uint64
	// replacementBytes is what the death and the rejoining of one member cost
	// each member in bytes, beyond the quiet rate; one value for each death.
	replacementBytes []float64
	rack             outageCosts
	outage           outageCosts
	converged        bool
}

// rackHosts is the number of daemons in a rack.
const rackHosts = 20

// outageCosts are the costs of an outage in which several daemons die at once and
// start again: the time until all others have detected the outage, the time from
// the restart until all have rejoined, and the highest number of bytes that a node
// sent in one second.
type outageCosts struct {
	allDetected, recovered time.Duration
	peak                   uint64
}

// rates are per member and second.
type rates struct {
	messages, bytes float64
	processor       time.Duration
}

func membershipConfig() membership.Config {
	c := membership.DefaultConfig()
	c.Regions = make(map[names.DataCentre]names.Region)
	for i := range dataCentres {
		c.Regions[fakenet.DataCentre(i, dataCentres)] = names.Region(fmt.Sprint("region", i%regions))
	}
	return c
}

// delay returns the one-way latency: 0.5 ms inside a region and 40 ms between
// regions.
func delay(from, to *fakenet.Node) time.Duration {
	if from.Region == to.Region {
		return 500 * time.Microsecond
	}
	return 40 * time.Millisecond
}

func network(loss float64) *fakenet.Net {
	return fakenet.New(fakenet.Options{Seed: 1, Config: membershipConfig(), Loss: loss, Delay: delay})
}

// allConverged reports whether every running node counts n live members and
// trusts its view.
func allConverged(net *fakenet.Net, n int) bool {
	for _, v := range net.Nodes {
		if !v.Down && (len(v.Machine.Live()) != n || !v.Machine.ViewTrusted(net.Now)) {
			return false
		}
	}
	return true
}

func measureFleet(n int, o Options) fleetCosts {
	c := fleetCosts{converged: true}
	before := heapBytes()
	net := network(0)
	net.StartFleet(n, dataCentres)
	c.waitFormed(net, n)
	c.heapPerMember = (heapBytes() - before) / float64(n)
	net.Run(settleTime)
	c.quiet = measureRates(net, func() { net.Run(measureTime) })
	c.busy = measureRates(net, func() { publishChanges(net) })
	c.versionSpread = measureVersionSpread(net)
	for i := range o.Deaths {
		c.replaceNode(net, n, (i*7+3)%n)
	}
	c.rack = c.failHosts(net, n, "dc4", rackHosts)
	c.outage = c.failHosts(net, n, "dc5", n)
	c.partitionRegion(net, n, o)
	c.measureLoss(n, o)
	return c
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// waitFormed waits until a fleet whose nodes start at once has formed: every node
// trusts its view and counts all members.
func (c *fleetCosts) waitFormed(net *fakenet.Net, n int) {
	start := net.Now
	c.wait(net, &c.trustTime, func() bool {
		for _, v := range net.Nodes {
			if !v.Machine.ViewTrusted(net.Now) {
				return false
			}
		}
		return true
	})
	c.wait(net, &c.formTime, func() bool { return allConverged(net, n) })
	c.formTime = net.Now.Sub(start)
	c.formPeak = takePeak(net)
}

func (c *fleetCosts) wait(net *fakenet.Net, took *time.Duration, done func() bool) {
	d, ok := net.RunUntil(convergenceTimeout, done)
	*took = d
	c.converged = c.converged && ok
}

func takePeak(net *fakenet.Net) uint64 {
	var peak uint64
	for _, v := range net.Nodes {
		peak = max(peak, v.PeakBytesPerSecond)
		v.PeakBytesPerSecond = 0
	}
	return peak
}

// measureRates returns the mean rates of a member while run advances virtual
// time.
func measureRates(net *fakenet.Net, run func()) rates {
	messages, bytes := traffic(net)
	start, cpu := net.Now, processorTime()
	run()
	used := processorTime() - cpu
	seconds := net.Now.Sub(start).Seconds() * float64(len(net.Nodes))
	messagesNow, bytesNow := traffic(net)
	return rates{
		messages:  float64(messagesNow-messages) / seconds,
		bytes:     float64(bytesNow-bytes) / seconds,
		processor: time.Duration(float64(used) / seconds),
	}
}

// traffic returns the total number of datagrams and bytes that all nodes have
// sent and received.
func traffic(net *fakenet.Net) (messages, bytes uint64) {
	for _, v := range net.Nodes {
		k := v.Machine.Counters()
		for p := range k.Sent {
			messages += k.Sent[p]
			bytes += k.SentBytes[p]
		}
		messages += k.Received
		bytes += k.ReceivedBytes
	}
	return messages, bytes
}

// publishChanges publishes manifest versions, crash digests and load digests for
// measureTime. The rates of versions and crash digests are those of a full-size
// fleet, whatever the size of this one.
func publishChanges(net *fakenet.Net) {
	end := net.Now.Add(measureTime)
	nextChange, nextCrash, lastSecond := net.Now, net.Now, 0
	for sequence := uint64(1000); net.Now.Before(end); sequence++ {
		if !net.Now.Before(nextChange) {
			publish(net, gossip.Version, "root", sequence, 40)
			nextChange = nextChange.Add(changePeriod)
		}
		if !net.Now.Before(nextCrash) {
			publish(net, gossip.Crash, fmt.Sprint(sequence), 1, 40)
			nextCrash = nextCrash.Add(crashPeriod)
		}
		if s := int(net.Now.Unix()); s != lastSecond {
			lastSecond = s
			publishLoads(net, sequence)
		}
		net.Run(100 * time.Millisecond)
	}
}

func publish(net *fakenet.Net, k gossip.Kind, key string, sequence uint64, bytes int) {
	d := membership.Digest{Kind: k, Key: key, Sequence: sequence, Payload: make([]byte, bytes)}
	net.Step(net.Nodes[int(sequence)%len(net.Nodes)], membership.Publish{Digest: d})
}

// publishLoads makes each node publish one digest with its headroom for 10
// models.
func publishLoads(net *fakenet.Net, sequence uint64) {
	for _, v := range net.Nodes {
		d := membership.Digest{Kind: gossip.Load, Key: "headroom", Sequence: sequence, Payload: make([]byte, 100)}
		net.Step(v, membership.Publish{Digest: d})
	}
}

// measureVersionSpread returns how long the announcement of a version takes to
// reach every node other than its publisher.
func measureVersionSpread(net *fakenet.Net) time.Duration {
	const sequence = 1 << 40
	net.RecordActions = true
	publish(net, gossip.Version, "root", sequence, 40)
	took, _ := net.RunUntil(time.Minute, func() bool {
		delivered := 0
		for _, v := range net.Nodes {
			if slices.ContainsFunc(v.Delivered, func(d membership.Deliver) bool { return d.Digest.Sequence == sequence }) {
				delivered++
			}
		}
		return delivered >= len(net.Nodes)-1
	})
	net.RecordActions = false
	for _, v := range net.Nodes {
		v.Delivered, v.Changes = nil, nil
	}
	return took
}

// replaceNode stops a node, waits until all others have detected its death, and
// starts it again.
func (c *fleetCosts) replaceNode(net *fakenet.Net, n, i int) {
	victim := net.Nodes[i]
	victim.Down = true
	start := net.Now
	sent := sentBytes(net) - victim.BytesSent
	var first, last, recovered time.Duration
	c.wait(net, &last, func() bool {
		if first == 0 && detectedByAny(net, victim.Host) {
			first = net.Now.Sub(start)
		}
		return allConverged(net, n-1)
	})
	dc := fakenet.DataCentre(i, dataCentres)
	net.Start(victim.Host, dc, []names.Host{net.Nodes[(i+1)%n].Host})
	c.wait(net, &recovered, func() bool { return allConverged(net, n) })
	c.firstDetected = append(c.firstDetected, first)
	c.allDetected = append(c.allDetected, last)
	c.rejoined = append(c.rejoined, recovered)
	net.Run(settleTime)
	extra := float64(2*(sentBytes(net)-sent))/float64(n) - c.quiet.bytes*net.Now.Sub(start).Seconds()
	c.replacementBytes = append(c.replacementBytes, extra)
}

// sentBytes returns the total number of bytes that all nodes have sent.
func sentBytes(net *fakenet.Net) uint64 {
	var sum uint64
	for _, v := range net.Nodes {
		sum += v.BytesSent
	}
	return sum
}

// failHosts stops up to maxHosts nodes of a data centre, waits until all
// others have detected it, and starts them again.
func (c *fleetCosts) failHosts(net *fakenet.Net, n int, dataCentre names.DataCentre, maxHosts int) outageCosts {
	var o outageCosts
	var hosts []names.Host
	takePeak(net)
	for _, v := range net.Nodes {
		if v.Machine.Self().DataCentre == dataCentre && len(hosts) < maxHosts {
			v.Down = true
			hosts = append(hosts, v.Host)
		}
	}
	c.wait(net, &o.allDetected, func() bool { return allConverged(net, n-len(hosts)) })
	seeds := slices.Concat(hosts, []names.Host{net.Nodes[0].Host, net.Nodes[1].Host})
	for _, h := range hosts {
		net.Start(h, dataCentre, seeds)
	}
	c.wait(net, &o.recovered, func() bool { return allConverged(net, n) })
	o.peak = takePeak(net)
	net.Run(settleTime)
	return o
}

// detectedByAny reports whether any running node considers a host inactive.
func detectedByAny(net *fakenet.Net, h names.Host) bool {
	return slices.ContainsFunc(net.Nodes, func(v *fakenet.Node) bool {
		m, ok := v.Machine.Lookup(h)
		return !v.Down && ok && !m.Active()
	})
}

// partitionRegion partitions one region from the others for a time, then heals
// the partition and waits until the views have merged.
func (c *fleetCosts) partitionRegion(net *fakenet.Net, n int, o Options) {
	const partitioned = names.Region("region0")
	takePeak(net)
	c.partitionTime = o.PartitionTime
	if n > LargeFleet {
		c.partitionTime = o.PartitionTimeLarge
	}
	net.Blocked = func(from, to *fakenet.Node) bool { return (from.Region == partitioned) != (to.Region == partitioned) }
	c.partitionRates = measureRates(net, func() { net.Run(c.partitionTime) })
	net.Blocked = nil
	c.wait(net, &c.mergeTime, func() bool { return allConverged(net, n) })
	c.mergePeak = takePeak(net)
}

// measureLoss runs another fleet with packet loss and counts the false suspicions
// and deaths.
func (c *fleetCosts) measureLoss(n int, o Options) {
	net := network(lossShare)
	net.StartFleet(n, dataCentres)
	_, ok := net.RunUntil(convergenceTimeout, func() bool { return allConverged(net, n) })
	c.converged = c.converged && ok
	suspicions, deaths := countDetections(net)
	net.Run(o.LossTime)
	c.suspicions, c.deaths = countDetections(net)
	c.suspicions -= suspicions
	c.deaths -= deaths
	c.memberHours = float64(n) * o.LossTime.Hours()
}

func countDetections(net *fakenet.Net) (suspicions, deaths uint64) {
	for _, v := range net.Nodes {
		k := v.Machine.Counters()
		suspicions += k.Suspicions
		deaths += k.Deaths
	}
	return suspicions, deaths
}

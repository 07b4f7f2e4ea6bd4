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
	// settleTime is how long a formed fleet is left alone before rates are
	// taken, over measureTime.
	settleTime  = 2 * time.Minute
	measureTime = 30 * time.Second
	// patience bounds each wait for convergence.
	patience = 5 * time.Minute
	// loss is the share of datagrams lost in the run under loss.
	loss = 0.05
	// changePeriod is the time between two manifest versions at 22,000 a
	// day, and crashPeriod that between two crash digests.
	changePeriod = 24 * time.Hour / 22_000
	crashPeriod  = 10 * time.Second
)

// fleetCosts is what was measured of membership at one size.
type fleetCosts struct {
	awake, formed      time.Duration
	formPeak           uint64
	quiet, busy        rates
	state              float64
	detected, known    []time.Duration
	rejoined           []time.Duration
	suspicions, deaths uint64
	memberHours        float64
	version            time.Duration
	apart              time.Duration
	apartRates         rates
	merged             time.Duration
	mergePeak          uint64
	// replacement is what one death and rejoining costs each member beyond
	// the quiet rate, in bytes.
	replacement []float64
	rack        outageCosts
	outage      outageCosts
	complete    bool
}

// rackHosts is the number of daemons in a rack.
const rackHosts = 20

// outageCosts are those of daemons that die at once and start again.
type outageCosts struct {
	known, back time.Duration
	peak        uint64
}

// rates are for each member and second.
type rates struct {
	messages, bytes float64
	processor       time.Duration
}

func config() membership.Config {
	c := membership.DefaultConfig()
	c.Regions = make(map[names.DataCentre]names.Region)
	for i := range dataCentres {
		c.Regions[fakenet.DataCentre(i, dataCentres)] = names.Region(fmt.Sprint("region", i%regions))
	}
	return c
}

// delay is one way: 0.5 ms inside a region and 40 ms between regions.
func delay(from, to *fakenet.Node) time.Duration {
	if from.Region == to.Region {
		return 500 * time.Microsecond
	}
	return 40 * time.Millisecond
}

func network(loss float64) *fakenet.Net {
	return fakenet.New(fakenet.Options{Seed: 1, Config: config(), Loss: loss, Delay: delay})
}

// all reports whether every running node counts n members and is awake.
func all(net *fakenet.Net, n int) bool {
	for _, v := range net.Nodes {
		if !v.Down && (len(v.Machine.Live()) != n || !v.Machine.ViewTrusted(net.Now)) {
			return false
		}
	}
	return true
}

func measureFleet(n int, o Options) fleetCosts {
	c := fleetCosts{complete: true}
	before := heap()
	net := network(0)
	net.StartFleet(n, dataCentres)
	c.form(net, n)
	c.state = (heap() - before) / float64(n)
	net.Run(settleTime)
	c.quiet = measureRates(net, func() { net.Run(measureTime) })
	c.busy = measureRates(net, func() { changes(net) })
	c.version = spread(net)
	for i := range o.Deaths {
		c.kill(net, n, (i*7+3)%n)
	}
	c.rack = c.lose(net, n, "dc4", rackHosts)
	c.outage = c.lose(net, n, "dc5", n)
	c.split(net, n, o)
	c.lossy(n, o)
	return c
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// form waits until a fleet that starts all at once knows itself.
func (c *fleetCosts) form(net *fakenet.Net, n int) {
	start := net.Now
	c.wait(net, &c.awake, func() bool {
		for _, v := range net.Nodes {
			if !v.Machine.ViewTrusted(net.Now) {
				return false
			}
		}
		return true
	})
	c.wait(net, &c.formed, func() bool { return all(net, n) })
	c.formed = net.Now.Sub(start)
	c.formPeak = takePeak(net)
}

func (c *fleetCosts) wait(net *fakenet.Net, took *time.Duration, done func() bool) {
	d, ok := net.RunUntil(patience, done)
	*took = d
	c.complete = c.complete && ok
}

func takePeak(net *fakenet.Net) uint64 {
	var peak uint64
	for _, v := range net.Nodes {
		peak = max(peak, v.PeakBytesPerSecond)
		v.PeakBytesPerSecond = 0
	}
	return peak
}

// measureRates returns what members send and receive while run lets time pass.
func measureRates(net *fakenet.Net, run func()) rates {
	messages, bytes := traffic(net)
	start, cpu := net.Now, processor()
	run()
	used := processor() - cpu
	seconds := net.Now.Sub(start).Seconds() * float64(len(net.Nodes))
	messagesNow, bytesNow := traffic(net)
	return rates{
		messages:  float64(messagesNow-messages) / seconds,
		bytes:     float64(bytesNow-bytes) / seconds,
		processor: time.Duration(float64(used) / seconds),
	}
}

// traffic returns the datagrams and bytes that all nodes sent and received.
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

// changes publishes manifest versions, crash digests and load digests at the
// rates of full size, whatever the fleet's.
func changes(net *fakenet.Net) {
	end := net.Now.Add(measureTime)
	nextChange, nextCrash, second := net.Now, net.Now, 0
	for sequence := uint64(1000); net.Now.Before(end); sequence++ {
		if !net.Now.Before(nextChange) {
			publish(net, gossip.Version, "root", sequence, 40)
			nextChange = nextChange.Add(changePeriod)
		}
		if !net.Now.Before(nextCrash) {
			publish(net, gossip.Crash, fmt.Sprint(sequence), 1, 40)
			nextCrash = nextCrash.Add(crashPeriod)
		}
		if s := int(net.Now.Unix()); s != second {
			second = s
			loads(net, sequence)
		}
		net.Run(100 * time.Millisecond)
	}
}

func publish(net *fakenet.Net, k gossip.Kind, key string, sequence uint64, bytes int) {
	d := membership.Digest{Kind: k, Key: key, Sequence: sequence, Payload: make([]byte, bytes)}
	net.Step(net.Nodes[int(sequence)%len(net.Nodes)], membership.Publish{Digest: d})
}

// loads lets each node publish its headroom for 10 models, in one digest.
func loads(net *fakenet.Net, sequence uint64) {
	for _, v := range net.Nodes {
		d := membership.Digest{Kind: gossip.Load, Key: "headroom", Sequence: sequence, Payload: make([]byte, 100)}
		net.Step(v, membership.Publish{Digest: d})
	}
}

// spread returns how long the news of a version takes to reach every node.
func spread(net *fakenet.Net) time.Duration {
	const sequence = 1 << 40
	net.RecordActions = true
	publish(net, gossip.Version, "root", sequence, 40)
	took, _ := net.RunUntil(time.Minute, func() bool {
		heard := 0
		for _, v := range net.Nodes {
			if slices.ContainsFunc(v.Delivered, func(d membership.Deliver) bool { return d.Digest.Sequence == sequence }) {
				heard++
			}
		}
		return heard >= len(net.Nodes)-1
	})
	net.RecordActions = false
	for _, v := range net.Nodes {
		v.Delivered, v.Changes = nil, nil
	}
	return took
}

// kill stops a node, waits until all know, and starts it anew.
func (c *fleetCosts) kill(net *fakenet.Net, n, i int) {
	victim := net.Nodes[i]
	victim.Down = true
	start := net.Now
	sent := sentBytes(net) - victim.BytesSent
	var first, last, back time.Duration
	c.wait(net, &last, func() bool {
		if first == 0 && anyone(net, victim.Host) {
			first = net.Now.Sub(start)
		}
		return all(net, n-1)
	})
	dc := fakenet.DataCentre(i, dataCentres)
	net.Start(victim.Host, dc, []names.Host{net.Nodes[(i+1)%n].Host})
	c.wait(net, &back, func() bool { return all(net, n) })
	c.detected = append(c.detected, first)
	c.known = append(c.known, last)
	c.rejoined = append(c.rejoined, back)
	net.Run(settleTime)
	extra := float64(2*(sentBytes(net)-sent))/float64(n) - c.quiet.bytes*net.Now.Sub(start).Seconds()
	c.replacement = append(c.replacement, extra)
}

// sentBytes returns what all nodes together have sent.
func sentBytes(net *fakenet.Net) uint64 {
	var sum uint64
	for _, v := range net.Nodes {
		sum += v.BytesSent
	}
	return sum
}

// lose stops up to most nodes of a data centre, waits until all others know, and
// starts them anew.
func (c *fleetCosts) lose(net *fakenet.Net, n int, lost names.DataCentre, most int) outageCosts {
	var o outageCosts
	var hosts []names.Host
	takePeak(net)
	for _, v := range net.Nodes {
		if v.Machine.Self().DataCentre == lost && len(hosts) < most {
			v.Down = true
			hosts = append(hosts, v.Host)
		}
	}
	c.wait(net, &o.known, func() bool { return all(net, n-len(hosts)) })
	seeds := slices.Concat(hosts, []names.Host{net.Nodes[0].Host, net.Nodes[1].Host})
	for _, h := range hosts {
		net.Start(h, lost, seeds)
	}
	c.wait(net, &o.back, func() bool { return all(net, n) })
	o.peak = takePeak(net)
	net.Run(settleTime)
	return o
}

// anyone reports whether some node holds a host for dead.
func anyone(net *fakenet.Net, h names.Host) bool {
	return slices.ContainsFunc(net.Nodes, func(v *fakenet.Node) bool {
		m, ok := v.Machine.Lookup(h)
		return !v.Down && ok && !m.Active()
	})
}

// split cuts one region off and lets it come back.
func (c *fleetCosts) split(net *fakenet.Net, n int, o Options) {
	const lost = names.Region("region0")
	takePeak(net)
	c.apart = o.Apart
	if n > LargeFleet {
		c.apart = o.ApartLarge
	}
	net.Blocked = func(from, to *fakenet.Node) bool { return (from.Region == lost) != (to.Region == lost) }
	c.apartRates = measureRates(net, func() { net.Run(c.apart) })
	net.Blocked = nil
	c.wait(net, &c.merged, func() bool { return all(net, n) })
	c.mergePeak = takePeak(net)
}

// lossy runs another fleet under loss and counts wrong judgements.
func (c *fleetCosts) lossy(n int, o Options) {
	net := network(loss)
	net.StartFleet(n, dataCentres)
	_, ok := net.RunUntil(patience, func() bool { return all(net, n) })
	c.complete = c.complete && ok
	suspicions, deaths := judged(net)
	net.Run(o.Lossy)
	c.suspicions, c.deaths = judged(net)
	c.suspicions -= suspicions
	c.deaths -= deaths
	c.memberHours = float64(n) * o.Lossy.Hours()
}

func judged(net *fakenet.Net) (suspicions, deaths uint64) {
	for _, v := range net.Nodes {
		k := v.Machine.Counters()
		suspicions += k.Suspicions
		deaths += k.Deaths
	}
	return suspicions, deaths
}

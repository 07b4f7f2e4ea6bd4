// Package fakenet runs membership machines in virtual time over a simulated
// network that can lose, delay and block datagrams. It is used by tests and by
// tools/slopes, which measures how costs grow with the size of the fleet.
//
// A Net is deterministic: the same seed and calls give the same run. It is not
// safe for concurrent use.
package fakenet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
)

// TickPeriod is the time between two ticks of a node.
const TickPeriod = 100 * time.Millisecond

// Options configures a Net.
type Options struct {
	Seed   uint64
	Config membership.Config
	// Loss is the probability that a datagram is lost.
	Loss float64
	// Delay returns the one-way delay between two nodes; if it is nil the
	// delay is 1 ms.
	Delay func(from, to *Node) time.Duration
}

// Node is a daemon on the network.
type Node struct {
	Machine *membership.Machine
	Host    names.Host
	Region  names.Region
	// Down nodes neither tick nor receive. Paused nodes do not tick, and
	// buffer the datagrams that arrive until they resume.
	Down   bool
	Paused bool
	// Changes and Delivered collect the machine's actions if
	// Net.RecordActions is true.
	Changes   []membership.MemberChanged
	Delivered []membership.Deliver
	// BytesSent is the number of bytes that the node sent, and
	// PeakBytesPerSecond the most in one second.
	BytesSent          uint64
	PeakBytesPerSecond uint64
	currentSecond      int64
	secondBytes        uint64
	buffered           []membership.Datagram
}

// Net is a network of nodes.
type Net struct {
	// Now is the virtual time.
	Now   time.Time
	Nodes []*Node
	// Blocked reports whether datagrams from one node to another are lost;
	// if it is nil none are.
	Blocked func(from, to *Node) bool
	// RecordActions makes nodes collect Changes and Delivered.
	RecordActions bool

	options Options
	random  *rand.Rand
	byHost  map[names.Host]*Node
	events  eventQueue
	serial  uint64
}

// New returns an empty network.
func New(o Options) *Net {
	return &Net{
		Now:     time.Unix(1_700_000_000, 0),
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		byHost:  make(map[names.Host]*Node),
	}
}

// Host returns the address of the i-th host.
func Host(i int) names.Host {
	return names.Host(fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255))
}

// DataCentre returns the data centre of the i-th host. Hosts are assigned to the
// data centres round-robin.
func DataCentre(i, dataCentres int) names.DataCentre {
	return names.DataCentre(fmt.Sprintf("dc%d", i%dataCentres))
}

// Start adds a node. If the host has a node, the new one replaces it, as after a
// restart of the process.
func (n *Net) Start(host names.Host, dc names.DataCentre, seeds []names.Host) *Node {
	self := membership.Member{
		Host:        host,
		DataCentre:  dc,
		Incarnation: names.Incarnation(n.Now.UnixNano()),
	}
	random := rand.New(rand.NewPCG(n.random.Uint64(), 2))
	node := &Node{Machine: membership.New(n.options.Config, self, random), Host: host}
	node.Region = node.Machine.Self().Region
	if old, ok := n.byHost[host]; ok {
		old.Down = true
		n.replaceNode(old, node)
	} else {
		n.Nodes = append(n.Nodes, node)
	}
	n.byHost[host] = node
	n.Step(node, membership.Seeds{Hosts: seeds})
	n.schedule(event{at: n.Now.Add(time.Duration(n.random.Int64N(int64(TickPeriod)))), to: node, tick: true})
	return node
}

func (n *Net) replaceNode(old, node *Node) {
	for i := range n.Nodes {
		if n.Nodes[i] == old {
			n.Nodes[i] = node
		}
	}
}

// StartFleet starts nodes in the given number of data centres, all at once.
func (n *Net) StartFleet(nodes, dataCentres int) {
	seeds := make([]names.Host, nodes)
	for i := range seeds {
		seeds[i] = Host(i)
	}
	for i := range seeds {
		n.Start(seeds[i], DataCentre(i, dataCentres), seeds)
	}
}

// Run advances virtual time by d.
func (n *Net) Run(d time.Duration) {
	n.RunUntil(d, func() bool { return false })
}

// RunUntil advances virtual time until done returns true, at most by d. It
// calls done every TickPeriod. It returns the time that passed and the last
// result of done.
func (n *Net) RunUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	start := n.Now
	end := start.Add(d)
	check := start.Add(TickPeriod)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		if check.Before(n.events[0].at) {
			n.Now = check
			if done() {
				return n.Now.Sub(start), true
			}
			check = check.Add(TickPeriod)
			continue
		}
		e := heap.Pop(&n.events).(event)
		n.Now = e.at
		n.handle(e)
	}
	n.Now = end
	return d, done()
}

// Pause stops a node until Resume.
func (n *Net) Pause(node *Node) { node.Paused = true }

// Resume continues a paused node, which first handles the datagrams that arrived
// during the pause.
func (n *Net) Resume(node *Node) {
	node.Paused = false
	buffered := node.buffered
	node.buffered = nil
	for _, d := range buffered {
		n.Step(node, membership.Receive{Datagram: d})
	}
	n.schedule(event{at: n.Now, to: node, tick: true})
}

// Step passes an event to a node and performs the resulting actions.
func (n *Net) Step(node *Node, e membership.Event) {
	for _, a := range node.Machine.Step(n.Now, e) {
		switch a := a.(type) {
		case membership.Send:
			n.send(node, a)
		case membership.MemberChanged:
			if n.RecordActions {
				node.Changes = append(node.Changes, a)
			}
		case membership.Deliver:
			if n.RecordActions {
				node.Delivered = append(node.Delivered, a)
			}
		}
	}
}

func (n *Net) send(from *Node, s membership.Send) {
	from.recordSent(n.Now, s.Datagram.Bytes())
	to, ok := n.byHost[s.To]
	if !ok || n.Blocked != nil && n.Blocked(from, to) {
		return
	}
	if n.options.Loss > 0 && n.random.Float64() < n.options.Loss {
		return
	}
	delay := time.Millisecond
	if n.options.Delay != nil {
		delay = n.options.Delay(from, to)
	}
	n.schedule(event{at: n.Now.Add(delay), to: to, datagram: s.Datagram})
}

func (v *Node) recordSent(now time.Time, bytes int) {
	if now.Unix() != v.currentSecond {
		v.currentSecond = now.Unix()
		v.secondBytes = 0
	}
	v.secondBytes += uint64(bytes)
	v.BytesSent += uint64(bytes)
	v.PeakBytesPerSecond = max(v.PeakBytesPerSecond, v.secondBytes)
}

func (n *Net) handle(e event) {
	switch {
	case e.to.Down:
	case e.tick && e.to.Paused:
	case e.tick:
		n.Step(e.to, membership.Tick{})
		n.schedule(event{at: n.Now.Add(TickPeriod), to: e.to, tick: true})
	case e.to.Paused:
		if len(e.to.buffered) < maxBuffered {
			e.to.buffered = append(e.to.buffered, e.datagram)
		}
	default:
		n.Step(e.to, membership.Receive{Datagram: e.datagram})
	}
}

// maxBuffered is how many datagrams the socket buffer of a paused node holds.
const maxBuffered = 200

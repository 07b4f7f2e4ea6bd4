// Package fakenet runs membership machines against each other in virtual time,
// over a network that loses, delays and cuts datagrams. It is for tests and
// for the measurement of slopes.
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

// Options describe a network.
type Options struct {
	Seed   uint64
	Config membership.Config
	// Loss is the share of datagrams that are lost.
	Loss float64
	// Delay is the one-way delay between two nodes.
	Delay func(from, to *Node) time.Duration
}

// Node is a daemon's machine on the network.
type Node struct {
	Machine *membership.Machine
	Host    names.Host
	Region  names.Region
	// Down nodes neither tick nor receive. Paused nodes keep what arrives
	// for the time when they go on.
	Down   bool
	Paused bool
	// Changes and Delivered collect what the machine told its shell.
	Changes   []membership.Changed
	Delivered []membership.Deliver
	// Bytes is what the node sent, and Peak the most in one second.
	Bytes  uint64
	Peak   uint64
	second int64
	inThis uint64
	late   []membership.Datagram
}

// Net is a network of nodes.
type Net struct {
	// Now is the virtual time.
	Now   time.Time
	Nodes []*Node
	// Cut reports whether datagrams from one node to another are lost; nil
	// means that none are.
	Cut func(from, to *Node) bool
	// Keep makes nodes collect Changes and Delivered.
	Keep bool

	options Options
	random  *rand.Rand
	byHost  map[names.Host]*Node
	queue   queue
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

// DataCentre returns the data centre of the i-th host, in turn.
func DataCentre(i, dataCentres int) names.DataCentre {
	return names.DataCentre(fmt.Sprintf("dc%d", i%dataCentres))
}

// Start adds a node, or replaces the node of the same host by a new process.
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
		n.replace(old, node)
	} else {
		n.Nodes = append(n.Nodes, node)
	}
	n.byHost[host] = node
	n.Step(node, membership.Seeds{Hosts: seeds})
	n.push(event{at: n.Now.Add(time.Duration(n.random.Int64N(int64(TickPeriod)))), to: node, tick: true})
	return node
}

func (n *Net) replace(old, node *Node) {
	for i := range n.Nodes {
		if n.Nodes[i] == old {
			n.Nodes[i] = node
		}
	}
}

// Fleet starts n nodes in the given number of data centres, all at once.
func (n *Net) Fleet(nodes, dataCentres int) {
	seeds := make([]names.Host, nodes)
	for i := range seeds {
		seeds[i] = Host(i)
	}
	for i := range seeds {
		n.Start(seeds[i], DataCentre(i, dataCentres), seeds)
	}
}

// Run lets virtual time pass.
func (n *Net) Run(d time.Duration) {
	n.Until(d, func() bool { return false })
}

// Until lets at most d of virtual time pass, and stops when done holds. It is
// asked each TickPeriod. It returns the time that passed, and whether done
// holds.
func (n *Net) Until(d time.Duration, done func() bool) (time.Duration, bool) {
	start := n.Now
	end := start.Add(d)
	check := start.Add(TickPeriod)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		if check.Before(n.queue[0].at) {
			n.Now = check
			if done() {
				return n.Now.Sub(start), true
			}
			check = check.Add(TickPeriod)
			continue
		}
		e := heap.Pop(&n.queue).(event)
		n.Now = e.at
		n.handle(e)
	}
	n.Now = end
	return d, done()
}

// Pause stops a node for as long as it is told to.
func (n *Net) Pause(node *Node) { node.Paused = true }

// Resume lets a node go on: it handles what arrived during its pause, late.
func (n *Net) Resume(node *Node) {
	node.Paused = false
	late := node.late
	node.late = nil
	for _, d := range late {
		n.Step(node, membership.Receive{Datagram: d})
	}
	n.push(event{at: n.Now, to: node, tick: true})
}

// Step gives a node an event and carries out its actions.
func (n *Net) Step(node *Node, e membership.Event) {
	for _, a := range node.Machine.Step(n.Now, e) {
		switch a := a.(type) {
		case membership.Send:
			n.send(node, a)
		case membership.Changed:
			if n.Keep {
				node.Changes = append(node.Changes, a)
			}
		case membership.Deliver:
			if n.Keep {
				node.Delivered = append(node.Delivered, a)
			}
		}
	}
}

func (n *Net) send(from *Node, s membership.Send) {
	from.count(n.Now, s.Datagram.Bytes())
	to, ok := n.byHost[s.To]
	if !ok || n.Cut != nil && n.Cut(from, to) {
		return
	}
	if n.options.Loss > 0 && n.random.Float64() < n.options.Loss {
		return
	}
	delay := time.Millisecond
	if n.options.Delay != nil {
		delay = n.options.Delay(from, to)
	}
	n.push(event{at: n.Now.Add(delay), to: to, datagram: s.Datagram})
}

func (v *Node) count(now time.Time, bytes int) {
	if now.Unix() != v.second {
		v.second = now.Unix()
		v.inThis = 0
	}
	v.inThis += uint64(bytes)
	v.Bytes += uint64(bytes)
	v.Peak = max(v.Peak, v.inThis)
}

func (n *Net) handle(e event) {
	switch {
	case e.to.Down:
	case e.tick && e.to.Paused:
	case e.tick:
		n.Step(e.to, membership.Tick{})
		n.push(event{at: n.Now.Add(TickPeriod), to: e.to, tick: true})
	case e.to.Paused:
		if len(e.to.late) < lateBound {
			e.to.late = append(e.to.late, e.datagram)
		}
	default:
		n.Step(e.to, membership.Receive{Datagram: e.datagram})
	}
}

// lateBound is how many datagrams a paused node's socket keeps.
const lateBound = 200

package suspects

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/membership/fakenet"
)

// Bounds of the users' rules.
const (
	endsBeforeBound  = 5
	stableTime       = 3 * time.Second
	sendsAfterBound  = 3
	maxControlPerSec = 8 << 10
)

// load is the load of a simulated fleet, in virtual time.
type load struct {
	daemons int
	// crashingEvery is the time between two requests with the crashing part. They reach
	// targets, which end after runTime. Each end cuts off this many sound requests.
	crashingEvery, runTime time.Duration
	cut                    int
	// soundEvery is the time between two sound requests that complete.
	soundEvery time.Duration
	// groups is the number of parts of which each request has one: 4 if zero.
	groups int
	// madeUp is the number of made-up parts of each request that is cut off.
	madeUp int
	// together is a further part of each crashing request.
	together string
	// parts are the crashing parts, of which each crashing request has one: "bad" if empty.
	parts []string
	// turned lets requests with the parts complete for turnedFor before they crash targets.
	turned bool
	// answerTime is how long a sound request lasts. It is recorded as sound at its end, or
	// before that once its answer has been coming for AccusedFor.
	answerTime time.Duration
	customer   func(n int) names.Customer
}

// simulation is a fleet of daemons that gossip over a simulated network.
type simulation struct {
	load
	t         *testing.T
	net       *fakenet.Net
	exchanges map[*fakenet.Node]*Exchange
	random    *rand.Rand
	requests  int
	// running holds the sound requests in flight at targets.
	running []soundRequest
	// ends holds the crashing requests in flight at targets.
	ends        []crashingSend
	accusations []accusationInFlight
	// sends are the times at which crashing requests reached targets, endTimes those of
	// the ends.
	sends, endTimes     []time.Time
	sound, soundRefused int
	// refusedAt is when a sound request was last refused.
	refusedAt time.Time
}

type crashingSend struct {
	at     time.Time
	node   *fakenet.Node
	r      *Request
	resent bool
}

// soundRequest is a request that is recorded as sound at some time.
type soundRequest struct {
	sent, recorded time.Time
	node           *fakenet.Node
	r              *Request
}

const (
	// turnedFor is how long requests with a part complete before it crashes targets.
	turnedFor = 3 * time.Second
	// firstEventTime is the time from a send to the first event.
	firstEventTime = 300 * time.Millisecond
)

const simulationStep = 10 * time.Millisecond

func newSimulation(t *testing.T, l load) *simulation {
	t.Helper()
	if l.customer == nil {
		l.customer = func(int) names.Customer { return "c" }
	}
	if l.groups == 0 {
		l.groups = 4
	}
	config := membership.DefaultConfig()
	config.Regions = map[names.DataCentre]names.Region{"dc0": "r0", "dc1": "r0", "dc2": "r1"}
	s := &simulation{
		load: l, t: t, exchanges: make(map[*fakenet.Node]*Exchange), random: rand.New(rand.NewPCG(uint64(l.daemons), 5)),
		net: fakenet.New(fakenet.Options{Seed: 9, Config: config, Delay: func(*fakenet.Node, *fakenet.Node) time.Duration { return 15 * time.Millisecond }}),
	}
	s.net.RecordActions, s.net.Now = true, time.Unix(1_800_000_000, 0) // gives sequences their usual size
	s.net.StartFleet(l.daemons, 3)
	if _, ok := s.net.RunUntil(time.Minute, func() bool {
		for _, node := range s.net.Nodes {
			if len(node.Machine.Live()) != l.daemons {
				return false
			}
		}
		return true
	}); !ok {
		t.Fatal("the fleet did not form")
	}
	if len(s.parts) == 0 {
		s.parts = []string{"bad"}
	}
	for range 100 {
		s.complete()
	}
	if s.turned {
		crashing := s.crashingEvery
		s.crashingEvery = 0
		for until := s.net.Now.Add(turnedFor); s.net.Now.Before(until); {
			s.sendSound(s.node(), s.request(s.crashingParts()...))
			s.run(max(crashing, simulationStep))
		}
		s.crashingEvery = crashing
	}
	return s
}

// crashingParts returns the parts of a crashing request that sound ones do not have.
func (s *simulation) crashingParts() []string {
	parts := []string{s.parts[s.requests%len(s.parts)]}
	if s.together != "" {
		parts = append(parts, s.together)
	}
	return parts
}

func (s *simulation) exchange(node *fakenet.Node) *Exchange {
	x, ok := s.exchanges[node]
	if !ok {
		x = NewExchange(s.net.Now)
		s.exchanges[node] = x
	}
	return x
}

func (s *simulation) node() *fakenet.Node { return s.net.Nodes[s.random.IntN(len(s.net.Nodes))] }

func (s *simulation) publish(node *fakenet.Node, list []Message) {
	for _, m := range list {
		s.net.Step(node, membership.Publish{Digest: membership.Digest{Kind: gossip.Crash, Key: m.Key, Sequence: m.Sequence, Payload: m.Payload}})
	}
}

// request returns a request of its own that shares parts with others.
func (s *simulation) request(parts ...string) *Request {
	s.requests++
	parts = append(parts, "first", fmt.Sprint("group-", s.random.IntN(s.groups)))
	r := NewRequest(s.customer(s.requests), "POST", "/", fmt.Append(nil, s.requests), parts)
	r.Service = service
	return &r
}

// complete sends a sound request, which completes unless it is refused.
func (s *simulation) complete() {
	node := s.node()
	s.sendSound(node, s.request())
}

func (s *simulation) sendSound(node *fakenet.Node, r *Request) {
	s.sound++
	if _, ok := s.exchange(node).Check(r, s.net.Now); ok {
		s.soundRefused++
		s.refusedAt = s.net.Now
		return
	}
	known := min(s.answerTime, firstEventTime+AccusedFor)
	s.running = append(s.running, soundRequest{sent: s.net.Now, recorded: s.net.Now.Add(known), node: node, r: r})
	s.recordSound()
}

// recordSound records the requests in flight that are known to be sound by now.
func (s *simulation) recordSound() {
	for _, q := range takeDue(&s.running, s.net.Now, func(q *soundRequest) time.Time { return q.recorded }) {
		s.publish(q.node, s.exchange(q.node).Sound(q.r, q.sent, s.net.Now))
	}
}

// send sends a crashing request to a target unless the daemon refuses it.
func (s *simulation) send(node *fakenet.Node, r *Request, resent bool) {
	if _, ok := s.exchange(node).Check(r, s.net.Now); ok {
		return
	}
	s.sends = append(s.sends, s.net.Now)
	s.ends = append(s.ends, crashingSend{at: s.net.Now.Add(s.runTime), node: node, r: r, resent: resent})
}

// end ends the target of a crashing request and cuts off the requests that it ran.
func (s *simulation) end(c crashingSend) {
	s.endTimes = append(s.endTimes, s.net.Now)
	e := end(len(s.endTimes))
	s.cutOff(c.node, e, c.r)
	for range s.cut {
		var made []string
		for i := range s.madeUp {
			made = append(made, fmt.Sprint("made-up-", s.requests, "-", i))
		}
		s.cutOff(s.node(), e, s.request(made...))
	}
	if !c.resent && s.exchange(c.node).MayRetry(c.r, s.net.Now) {
		s.send(c.node, c.r, true)
	}
}

func (s *simulation) cutOff(node *fakenet.Node, e End, r *Request) {
	x := s.exchange(node)
	x.Cut(e, service, r, s.net.Now)
	for _, a := range x.Flush() {
		for _, collector := range s.net.Nodes[:collectors] {
			if collector == node {
				x.Accused(&a, s.net.Now)
			} else if s.net.Blocked == nil || !s.net.Blocked(node, collector) {
				s.accusations = append(s.accusations, accusationInFlight{at: s.net.Now.Add(accusationDelay), to: collector, accusation: a})
			}
		}
	}
}

// takeDue removes the elements of a list that are due, and returns them in order.
func takeDue[T any](list *[]T, now time.Time, at func(*T) time.Time) (due []T) {
	var left []T
	for _, e := range *list {
		if now.Before(at(&e)) {
			left = append(left, e)
		} else {
			due = append(due, e)
		}
	}
	*list = left
	return due
}

// accusationInFlight is an accusation on its way to a collector.
type accusationInFlight struct {
	at         time.Time
	to         *fakenet.Node
	accusation Accusation
}

const (
	// collectors is the number of daemons that get all accusations.
	collectors = 2
	// accusationDelay is the delay of a batch and a way between regions.
	accusationDelay = 50 * time.Millisecond
)

// deliver passes the messages that arrived to the exchanges.
func (s *simulation) deliver() {
	for _, a := range takeDue(&s.accusations, s.net.Now, func(a *accusationInFlight) time.Time { return a.at }) {
		s.exchange(a.to).Accused(&a.accusation, s.net.Now)
	}
	for _, node := range s.net.Nodes {
		arrived := node.Delivered
		if len(node.Changes) > 0 {
			s.exchange(node).PeerChanged(s.net.Now)
		}
		node.Delivered, node.Changes = nil, nil
		for _, d := range arrived {
			if d.Digest.Kind != gossip.Crash {
				continue
			}
			m := Message{Key: d.Digest.Key, Sequence: d.Digest.Sequence, Payload: d.Digest.Payload}
			list, err := s.exchange(node).Receive(&m, s.net.Now)
			if err != nil {
				s.t.Fatal(err)
			}
			s.publish(node, list)
		}
	}
}

// run runs the load for a time.
func (s *simulation) run(d time.Duration) {
	nextCrash, nextSound, nextTick := s.net.Now, s.net.Now, s.net.Now
	for until := s.net.Now.Add(d); s.net.Now.Before(until); {
		s.net.Run(simulationStep)
		s.deliver()
		s.recordSound()
		for _, c := range takeDue(&s.ends, s.net.Now, func(c *crashingSend) time.Time { return c.at }) {
			s.end(c)
		}
		for ; s.crashingEvery > 0 && !s.net.Now.Before(nextCrash); nextCrash = nextCrash.Add(s.crashingEvery) {
			s.send(s.node(), s.request(s.crashingParts()...), false)
		}
		for ; s.soundEvery > 0 && !s.net.Now.Before(nextSound); nextSound = nextSound.Add(s.soundEvery) {
			s.complete()
		}
		if !s.net.Now.Before(nextTick) {
			nextTick = nextTick.Add(TickInterval)
			for _, node := range s.net.Nodes {
				s.publish(node, s.exchange(node).Tick(s.net.Now))
			}
		}
	}
}

// check checks the users' bounds and reports what the fleet did.
func (s *simulation) check() {
	s.t.Helper()
	if len(s.endTimes) < endsBeforeBound {
		s.t.Logf("%d ends", len(s.endTimes))
	} else {
		late := 0
		if s.refusedAt.After(s.endTimes[endsBeforeBound-1].Add(2 * stableTime)) {
			s.t.Errorf("a sound request was refused %s after the fifth end", s.refusedAt.Sub(s.endTimes[endsBeforeBound-1]))
		}
		bound := s.endTimes[endsBeforeBound-1].Add(stableTime)
		for _, at := range s.sends {
			if at.After(bound) {
				late++
			}
		}
		s.t.Logf("%d ends, the last one %s after the fifth; %d late sends", len(s.endTimes), s.endTimes[len(s.endTimes)-1].Sub(s.endTimes[endsBeforeBound-1]), late)
		if late > sendsAfterBound {
			s.t.Errorf("%d requests with the part reached targets later than %s after the fifth end, want %d at most", late, stableTime, sendsAfterBound)
		}
	}
	s.t.Logf("%d of %d sound requests were refused", s.soundRefused, s.sound)
	if s.soundRefused*20 > s.sound {
		s.t.Error("over a twentieth of the sound requests were refused")
	}
}

// sentBytes returns the most bytes that a daemon has sent so far.
func (s *simulation) sentBytes() (most uint64) {
	for _, node := range s.net.Nodes {
		most = max(most, node.BytesSent)
	}
	return most
}

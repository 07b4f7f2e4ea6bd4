package targetstate

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/dispatchsync"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// cluster is a fleet of boards that call each other directly. Unlike datagrams, their
// messages arrive at once and in order.
type cluster struct {
	boards map[names.Host]*Board
	// lists holds the targets that each daemon lists.
	lists map[names.Host][]replicas.Target
	homes homes.Homes
	// seen overrides homes for daemons that know other members.
	seen map[names.Host]homes.Homes
	// service is what the homes know of the service.
	service *routing.Service
	// silent daemons receive nothing and answer nothing.
	silent map[names.Host]bool
	// asks counts the questions by home.
	asks map[names.Host]int
	// stopped holds the targets whose idle connections were closed, by daemon.
	stopped map[names.Host][]names.Target
	// shares holds the shares of the limits that daemons may let through, if not all.
	shares map[names.Host]float64
	// cutOff daemons are cut off from all targets.
	cutOff map[names.Host]bool
	// suspended is how long the host of a daemon was suspended.
	suspended map[names.Host]time.Duration
	// counts holds the counters of all daemons.
	counts map[string]int
}

// share returns the share of the limits that a daemon may let through.
func (c *cluster) share(h names.Host) float64 {
	if share, ok := c.shares[h]; ok {
		return share
	}
	return 1
}

// link is one daemon's messenger.
type link struct {
	cluster *cluster
	self    names.Host
}

func (l link) sinks(to []names.Host) []PeerSink {
	var list []PeerSink
	for _, host := range to {
		if !l.cluster.silent[host] {
			list = append(list, l.cluster.boards[host].PeerSink())
		}
	}
	return list
}

func (l link) key(number uint64) inflight.Key {
	return inflight.Key{Host: l.self, Incarnation: 1, Number: number}
}

func (l link) Ask(_ context.Context, home names.Host, number uint64, a *dispatchsync.Ask) (dispatchsync.Answer, error) {
	l.cluster.asks[home]++
	if l.cluster.silent[home] {
		return dispatchsync.Answer{}, errors.New("silent")
	}
	return l.cluster.boards[home].PeerSink().Place(l.key(number), a), nil
}

func (l link) Begin(to []names.Host, d *inflight.Dispatch, idle time.Duration) {
	for _, sink := range l.sinks(to) {
		sink.Begin(*d, idle)
	}
}

func (l link) FirstEvent(to []names.Host, number uint64) {
	for _, sink := range l.sinks(to) {
		sink.FirstEvent(l.key(number))
	}
}

func (l link) End(to []names.Host, number uint64) {
	for _, sink := range l.sinks(to) {
		sink.End(l.key(number))
	}
}

func (l link) RecordOutcome(to []names.Host, id names.Target, o dispatchsync.Outcome) {
	for _, sink := range l.sinks(to) {
		sink.RecordOutcome(id, o)
	}
}

func (l link) RecordLeaving(to []names.Host, i replicas.Incarnation) {
	for _, sink := range l.sinks(to) {
		sink.RecordLeaving(i, l.self)
	}
}

func (l link) RecordLimit(to []names.Host, i replicas.Incarnation, s ratelimits.Statement) {
	for _, sink := range l.sinks(to) {
		sink.RecordLimit(i, s, l.self)
	}
}

func (l link) RecordUse(to []names.Host, i replicas.Incarnation) {
	for _, sink := range l.sinks(to) {
		sink.RecordUse(i)
	}
}

var service = routing.Service{Name: "s"}

// newCluster returns a fleet of n daemons, of which the first two are the homes.
func newCluster(n, targets int) *cluster {
	c := &cluster{
		boards: make(map[names.Host]*Board), lists: make(map[names.Host][]replicas.Target),
		service: &service, silent: make(map[names.Host]bool), asks: make(map[names.Host]int),
		shares: make(map[names.Host]float64), cutOff: make(map[names.Host]bool), suspended: make(map[names.Host]time.Duration),
		stopped: make(map[names.Host][]names.Target), counts: make(map[string]int),
	}
	var list []replicas.Target
	for i := range targets {
		list = append(list, replicas.Target{ID: names.Target(fmt.Sprint("t-", i)), Service: service.Name, Address: fmt.Sprint("10.0.0.1:", i), Slots: 4})
	}
	slices.SortFunc(list, func(a, b replicas.Target) int { return cmp.Compare(a.ID, b.ID) })
	started := time.Now()
	c.homes = homes.Homes{Deciders: []names.Host{host(0), host(1)}, Listeners: []names.Host{host(0), host(1)}}
	for i := range n {
		self := host(i)
		c.lists[self] = list
		random := rand.New(rand.NewPCG(uint64(i), 1))
		c.boards[self] = New(Config{
			Self: self, Incarnation: 1, Placer: placement.New(placement.Default(), random), Random: random,
			Service: func(name names.Service) *routing.Service {
				if name != service.Name {
					return nil
				}
				return c.service
			},
			Services: func() []names.Service { return []names.Service{service.Name} },
			Targets:  func(names.Service) []replicas.Target { return c.lists[self] },
			Listed: func(id names.Target) (replicas.Target, bool) {
				at, ok := find(c.lists[self], id)
				if !ok {
					return replicas.Target{}, false
				}
				return c.lists[self][at], true
			},
			StopReuse: func(id names.Target) { c.stopped[self] = append(c.stopped[self], id) },
			Homes: func(homes.Group) homes.Homes {
				if seen, ok := c.seen[self]; ok {
					return seen
				}
				return c.homes
			},
			Messenger: link{cluster: c, self: self}, FleetShare: func() float64 { return c.share(self) },
			CutOff:   func() bool { return c.cutOff[self] },
			BootTime: func() time.Duration { return time.Since(started) + c.suspended[self] }, Count: func(name string) { c.counts[name]++ }, Log: zap.NewNop(),
		})
	}
	return c
}

func host(i int) names.Host { return names.Host(fmt.Sprintf("10.1.0.%d:7300", i)) }

func call() *placement.Request {
	return &placement.Request{TimeLeft: 10 * time.Second, LatencyTarget: 300 * time.Millisecond}
}

// A hundred daemons send one call each at the same moment. Guards against the herd:
// with a view of its own, each of them would choose among targets that all look idle.
func TestSimultaneousCallsAreSpread(t *testing.T) {
	const daemons, targets = 100, 50
	c := newCluster(daemons, targets)
	perTarget := make(map[names.Target]int)
	for i := range daemons {
		p, err := c.boards[host(i)].Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		perTarget[p.Decision.Target]++
	}
	for id, count := range perTarget {
		if count > daemons/targets {
			t.Errorf("%s got %d calls", id, count)
		}
	}
	if got := c.boards[host(50)].DispatchCount(); got != 1 {
		t.Errorf("a daemon that is no home knows %d dispatches", got)
	}
}

// A target refuses connections. Guards against each of many daemons finding out by
// itself, with a request of its own.
func TestFailureIsKnownToAllAfterFewRequests(t *testing.T) {
	c := newCluster(100, 4)
	failures := 0
	for i := range 100 {
		board := c.boards[host(i)]
		p, err := board.Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		if p.Decision.Target == "t-1" {
			failures++
			board.Unreachable(p.Key, p.Decision.Target)
		}
		board.End(p.Key, p.Decision.Target)
	}
	if failures > 2 {
		t.Fatalf("%d requests were sent to the failing target", failures)
	}
}

// The first home dies. The second one must know all dispatches, and the daemons must
// not wait for the first one with each request.
func TestSecondHomeTakesOver(t *testing.T) {
	c := newCluster(20, 5)
	for i := range 20 {
		if _, err := c.boards[host(i)].Place(t.Context(), call(), &service); err != nil {
			t.Fatal(err)
		}
	}
	if got := c.boards[host(1)].DispatchCount(); got != 20 {
		t.Fatalf("the second home knows %d dispatches of 20", got)
	}
	c.silent[host(0)] = true
	c.asks[host(0)] = 0
	for range 10 {
		if _, err := c.boards[host(7)].Place(t.Context(), call(), &service); err != nil {
			t.Fatal(err)
		}
	}
	if c.asks[host(0)] != 1 {
		t.Fatalf("the dead home was asked %d times", c.asks[host(0)])
	}
	if got := c.boards[host(1)].DispatchCount(); got != 30 {
		t.Fatalf("the second home knows %d dispatches of 30", got)
	}
}

// A daemon becomes a home and knows nothing of the work. It must know all of it after
// the daemons have repeated their dispatches.
func TestNewHomeLearnsByRepetition(t *testing.T) {
	c := newCluster(20, 5)
	var placed []*relayPlacement
	for i := range 20 {
		p, err := c.boards[host(i)].Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		placed = append(placed, &relayPlacement{host(i), p.Key, p.Decision.Target})
	}
	c.homes = homes.Homes{Deciders: []names.Host{host(5), host(6)}, Listeners: []names.Host{host(5), host(6)}}
	for _, board := range c.boards {
		board.Refresh()
	}
	if got := c.boards[host(5)].DispatchCount(); got != 20 {
		t.Fatalf("the new home knows %d dispatches of 20", got)
	}
	for _, p := range placed {
		c.boards[p.host].FirstEvent(p.key)
		c.boards[p.host].End(p.key, p.target)
	}
	if got := c.boards[host(5)].DispatchCount(); got != 0 {
		t.Fatalf("the new home knows %d dispatches after all have ended", got)
	}
}

type relayPlacement struct {
	host   names.Host
	key    inflight.Key
	target names.Target
}

// No home answers. The daemon must place its requests by itself, and know them.
func TestPlacementWithoutHomes(t *testing.T) {
	c := newCluster(5, 4)
	c.silent[host(0)], c.silent[host(1)] = true, true
	seen := make(map[names.Target]bool)
	for range 4 {
		p, err := c.boards[host(3)].Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		seen[p.Decision.Target] = true
	}
	if len(seen) != 4 {
		t.Fatalf("four calls went to %d targets of four", len(seen))
	}
}

// The home's list is older than that of the daemon: a target is leaving. Guards against
// new work for it, and against counting work there that was never sent.
func TestLeavingTargetOfOutdatedHomeIsNotUsed(t *testing.T) {
	c := newCluster(4, 3)
	c.lists[host(3)] = c.lists[host(0)][1:]
	for range 12 {
		p, err := c.boards[host(3)].Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		if p.Decision.Target == "t-0" || p.Address == "" {
			t.Fatalf("sent to %q at %q", p.Decision.Target, p.Address)
		}
	}
	if load := c.boards[host(0)].work.Load("t-0", time.Now()); load.Requests != 0 {
		t.Fatalf("the home counts %d requests at the leaving target", load.Requests)
	}
}

// A home has no configuration yet. Its answer must not count as a refusal.
func TestHomeWithoutTargetsIsNotBelieved(t *testing.T) {
	c := newCluster(4, 3)
	c.lists[host(0)] = nil
	p, err := c.boards[host(3)].Place(t.Context(), call(), &service)
	if err != nil {
		t.Fatal(err)
	}
	if c.asks[host(1)] != 1 || p.Decision.Target == "" {
		t.Fatalf("second home asked %d times, target %q", c.asks[host(1)], p.Decision.Target)
	}
	c.lists[host(1)], c.lists[host(3)] = nil, nil
	_, err = c.boards[host(3)].Place(t.Context(), call(), &service)
	if failure := verdict.From(err); failure == nil || failure.Reason != verdict.NoTarget {
		t.Fatalf("placed without a target: %v", err)
	}
}

// The targets of one of two groups have a minute of work each. Guards against refusing
// a prompt that the other group can serve.
func TestOtherGroupIsAskedIfOneRefuses(t *testing.T) {
	c := newCluster(4, homes.GroupTargets+20)
	engine := routing.Service{Name: "s", Engine: &routing.Engine{
		Slots: 4, MemoryTokens: 10_000, StepsPerPass: 1, StepTime: time.Millisecond, PrefillRate: 1000, MeanAnswerTokens: 10, MeanPromptTokens: 100,
	}}
	c.service = &engine
	for i, t := range c.lists[host(0)] {
		if homes.GroupOf(t.ID, 2) == 0 {
			d := inflight.Dispatch{Key: inflight.Key{Number: uint64(i)}, MaxDuration: time.Minute, Parts: []inflight.Part{{Target: t.ID, Prefill: time.Minute}}}
			c.boards[host(0)].PeerSink().Begin(d, noActivity)
		}
	}
	for i := range 40 {
		request := call()
		request.PromptTokens, request.AnswerTokens = 100, 10
		p, err := c.boards[host(i%2+2)].Place(t.Context(), request, &engine)
		if err != nil {
			t.Fatal(err)
		}
		if got := homes.GroupOf(p.Decision.Target, 2); got != 1 {
			t.Fatalf("placed in group %d", got)
		}
	}
}

// A daemon that has just started asks a seed that is no home. The seed must name the
// homes, and the daemon must ask them.
func TestSeedNamesHomes(t *testing.T) {
	c := newCluster(6, 3)
	c.seen = map[names.Host]homes.Homes{host(5): {Deciders: []names.Host{host(3)}, Listeners: []names.Host{host(3)}}}
	p, err := c.boards[host(5)].Place(t.Context(), call(), &service)
	if err != nil || p.Decision.Target == "" {
		t.Fatalf("%+v %v", p, err)
	}
	if c.asks[host(3)] != 1 || c.asks[host(0)] != 1 {
		t.Fatalf("questions by daemon: %v", c.asks)
	}
	if seed, home := c.boards[host(3)], c.boards[host(0)]; home.DispatchCount() != 1 || seed.work.Load(p.Decision.Target, time.Now()).Requests > 1 {
		t.Fatal("the dispatch is not counted by the home alone")
	}
	// The seed has just started too, so it decides.
	c.seen[host(3)] = c.seen[host(5)]
	c.asks = make(map[names.Host]int)
	if _, err := c.boards[host(5)].Place(t.Context(), call(), &service); err != nil {
		t.Fatal(err)
	}
	if c.asks[host(3)] != 1 || c.asks[host(0)] != 0 {
		t.Fatalf("questions by daemon: %v", c.asks)
	}
}

// The list of targets changes. Guards against placing on targets of the list before.
func TestGroupFollowsNewList(t *testing.T) {
	c := newCluster(1, 3*homes.GroupTargets)
	board, g := c.boards[host(0)], homes.Group{Service: "s", Index: 1, Groups: 3}
	list := slices.Clone(c.lists[host(0)])
	slices.SortFunc(list, func(a, b replicas.Target) int { return cmp.Compare(a.ID, b.ID) })
	before := board.groupTargets(list, g)
	if again := board.groupTargets(list, g); len(before) == 0 || &again[0] != &before[0] {
		t.Fatalf("group of %d targets is computed again", len(before))
	}
	shorter := slices.DeleteFunc(slices.Clone(list), func(target replicas.Target) bool { return target.ID == before[0].ID })
	after := board.groupTargets(shorter, g)
	if len(after) != len(before)-1 || after[0].ID == before[0].ID {
		t.Fatalf("%d targets after one of %d was removed", len(after), len(before))
	}
}

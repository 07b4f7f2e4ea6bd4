package targetstate

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/process/dispatchsync"
	"carobspoke.example/serving/request/relay"
	"carobspoke.example/serving/request/reserve"
	"github.com/pkg/errors"
)

// places is a cluster whose targets are in data centres a, b and c in turn. Those of a and b are
// in region north, that of c in region south.
type places struct {
	*cluster
	// evacuated and takenBack are what each daemon knows.
	evacuated map[names.Host][]names.DataCentre
	takenBack map[names.Host]map[names.DataCentre]time.Time
}

func newPlaces(daemons, targets int) *places {
	c := &places{
		cluster: newCluster(daemons, targets), evacuated: make(map[names.Host][]names.DataCentre),
		takenBack: make(map[names.Host]map[names.DataCentre]time.Time),
	}
	for h, board := range c.boards {
		list := slices.Clone(c.lists[h])
		for i := range list {
			list[i].DataCentre = names.DataCentre([]string{"a", "b", "c"}[i%3])
		}
		c.lists[h] = list
		board.config.Evacuated = func(dc names.DataCentre) bool { return slices.Contains(c.evacuated[h], dc) }
		board.config.TakenBack = func(dc names.DataCentre) time.Time { return c.takenBack[h][dc] }
		board.config.RegionOf = func(dc names.DataCentre) names.Region {
			return map[names.DataCentre]names.Region{"a": "north", "b": "north", "c": "south"}[dc]
		}
	}
	return c
}

// evacuate lets some daemons learn of an evacuation.
func (c *places) evacuate(dc names.DataCentre, hosts ...names.Host) {
	for _, h := range hosts {
		c.evacuated[h] = append(c.evacuated[h], dc)
	}
}

func (c *places) all() []names.Host {
	var list []names.Host
	for h := range c.boards {
		list = append(list, h)
	}
	return list
}

// used places requests at a daemon and returns the data centres of their targets.
func (c *places) used(t *testing.T, h names.Host, r *placement.Request) string {
	t.Helper()
	used := make(map[names.DataCentre]bool)
	for range 30 {
		p, err := c.boards[h].Place(t.Context(), r, &service)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.boards[h].MaySend(p); err != nil {
			t.Fatal(err)
		}
		at, _ := find(c.lists[h], p.Decision.Target)
		used[c.lists[h][at].DataCentre] = true
		c.boards[h].End(p.Key, p.Decision.Target)
	}
	var list []string
	for dc := range used {
		list = append(list, string(dc))
	}
	slices.Sort(list)
	return fmt.Sprint(list)
}

// forgetfulLink is the messenger of a daemon whose homes are of an earlier build: they ignore the
// places that a question names.
type forgetfulLink struct{ link }

func (l forgetfulLink) Ask(ctx context.Context, home names.Host, number uint64, a *dispatchsync.Ask) (dispatchsync.Answer, error) {
	old := *a
	old.Evacuated, old.Request.Regions = nil, nil
	return l.link.Ask(ctx, home, number, &old)
}

// Guards against requests to an evacuated data centre while only some daemons have heard of it:
// the one that is asked, its home, both or neither of its homes answers.
func TestNothingIsPlacedInEvacuatedDataCentre(t *testing.T) {
	const asker = "10.1.0.3:7300"
	for _, targets := range []int{9, 100, 300} {
		for name, know := range map[string]func(*places){
			"all":           func(c *places) { c.evacuate("b", c.all()...) },
			"the daemon":    func(c *places) { c.evacuate("b", asker) },
			"the homes":     func(c *places) { c.evacuate("b", host(0), host(1)) },
			"without homes": func(c *places) { c.evacuate("b", asker); c.silent[host(0)], c.silent[host(1)] = true, true },
			"homes too old": func(c *places) {
				c.evacuate("b", asker)
				c.boards[asker].config.Messenger = forgetfulLink{link{c.cluster, asker}}
			},
			"a home itself":  func(c *places) { c.evacuate("b", asker); c.homes.Deciders[0] = asker },
			"it was removed": func(c *places) { c.evacuate("b", asker); c.evacuate("d", asker) },
		} {
			t.Run(fmt.Sprintf("%s/%d", name, targets), func(t *testing.T) {
				c := newPlaces(4, targets)
				know(c)
				if got := c.used(t, asker, call()); got != "[a c]" {
					t.Errorf("requests were placed in %s", got)
				}
			})
		}
	}
}

// Guards against questions that name each target of a data centre, or that are asked again
// although the home avoids what it is told.
func TestQuestionNamesEvacuatedDataCentres(t *testing.T) {
	c := newPlaces(4, 100)
	c.evacuate("b", host(3))
	c.used(t, host(3), call())
	if c.asks[host(0)] != 30 {
		t.Errorf("the home was asked %d times for 30 requests", c.asks[host(0)])
	}
}

// The first half of a list is evacuated. Guards against look-ups for each request that grow with
// the number of targets, with the lock of the board held.
func TestLookUpsOfEvacuationsDoNotGrowWithTheFleet(t *testing.T) {
	c := newPlaces(4, 1000)
	for _, list := range c.lists {
		for i := range list {
			list[i].DataCentre = "a"
			if i < len(list)/2 {
				list[i].DataCentre = "b"
			}
		}
	}
	c.evacuate("b", host(3))
	board := c.boards[host(3)]
	lookUps, isEvacuated := 0, board.config.Evacuated
	board.config.Evacuated = func(dc names.DataCentre) bool {
		lookUps++
		return isEvacuated(dc)
	}
	if _, err := board.Place(t.Context(), call(), &service); err != nil {
		t.Fatal(err)
	}
	if lookUps > 50 {
		t.Errorf("%d look-ups for a request", lookUps)
	}
}

// A data centre is taken back. The daemon must use it with the next request, also while its homes
// have not heard of it.
func TestDataCentreThatIsTakenBackIsUsedAtOnce(t *testing.T) {
	c := newPlaces(4, 9)
	c.evacuate("b", c.all()...)
	c.used(t, host(3), call())
	clear(c.evacuated)
	if got := c.used(t, host(3), call()); got != "[a b c]" {
		t.Errorf("requests were placed in %s", got)
	}
	for _, dc := range []names.DataCentre{"a", "b", "c"} {
		c.evacuate(dc, host(0), host(1))
	}
	if _, err := c.boards[host(3)].Place(t.Context(), call(), &service); verdict.From(err).Reason != verdict.Evacuated {
		t.Errorf("homes know of evacuations and this daemon does not: %v", err)
	}
	c.takenBack[host(3)] = map[names.DataCentre]time.Time{"b": time.Now()}
	if got := c.used(t, host(3), call()); got == "[]" {
		t.Errorf("requests were placed in %s", got)
	}
}

// All data centres with targets are evacuated. The request must be refused at once as one that
// did not run, with a retry delay that differs from caller to caller.
func TestRequestIsRefusedIfAllDataCentresAreEvacuated(t *testing.T) {
	c := newPlaces(4, 9)
	for _, dc := range []names.DataCentre{"a", "b", "c"} {
		c.evacuate(dc, host(3))
	}
	delays := make(map[time.Duration]bool)
	for range 20 {
		_, err := c.boards[host(3)].Place(t.Context(), call(), &service)
		failure := verdict.From(err)
		if failure == nil || failure.Reason != verdict.Evacuated || failure.Verdict != verdict.NotRun {
			t.Fatalf("failure %v", failure)
		}
		if failure.RetryAfter < time.Second || failure.RetryAfter > 3*time.Second {
			t.Fatalf("retry after %s", failure.RetryAfter)
		}
		delays[failure.RetryAfter] = true
	}
	if len(delays) < 10 || len(c.asks) != 0 {
		t.Errorf("%d delays, homes were asked: %v", len(delays), c.asks)
	}
	if after := c.boards[host(3)].RoomAfter(service.Name); after != 0 {
		t.Errorf("room after %s", after)
	}
}

// The evacuation becomes known between placement and send. Guards against a send to the target
// or to a helper, also if the target was removed from the list meanwhile.
func TestPlacedRequestIsNotSentToEvacuatedDataCentre(t *testing.T) {
	c := newPlaces(4, 9)
	board := c.boards[host(3)]
	p, err := board.Place(t.Context(), call(), &service)
	if err != nil {
		t.Fatal(err)
	}
	at, _ := find(c.lists[host(3)], p.Decision.Target)
	c.evacuate(c.lists[host(3)][at].DataCentre, host(3))
	c.lists[host(3)] = slices.Delete(slices.Clone(c.lists[host(3)]), at, at+1)
	if failure := verdict.From(board.MaySend(p)); failure == nil || failure.Reason != verdict.Evacuated || failure.Verdict != verdict.NotRun {
		t.Errorf("failure %v", failure)
	}
	c = newPlaces(4, 9)
	board = c.boards[host(3)]
	c.evacuate("b", host(3))
	split := &relay.Placement{Incarnation: replicas.Incarnation{ID: "t-0"}, HelperIncarnations: []replicas.Incarnation{{ID: "t-8"}, {ID: "t-1"}}}
	if failure := verdict.From(board.MaySend(split)); failure == nil || failure.Reason != verdict.Evacuated {
		t.Errorf("failure of a prompt with a helper: %v", failure)
	}
	if board.MayPassOn("t-1") == nil || board.MayPassOn("t-0") != nil {
		t.Error("a peer's request is passed on there, or none elsewhere")
	}
}

// Guards against orders and probes to an evacuated data centre, and against the loss of memory
// that a request which was sent uses.
func TestOnlyReservationsInUseAreRenewedInEvacuatedDataCentre(t *testing.T) {
	c := newPlaces(2, 3)
	board, client := c.boards[host(0)], countingClient{sent: make(map[string]int)}
	orders := NewOrders(board, client)
	placed := func() (*relay.Placement, context.Context) {
		p, err := board.Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		return p, relay.WithDispatch(t.Context(), p.Key)
	}
	running, runningContext := placed()
	if err := board.MaySend(running); err != nil {
		t.Fatal(err)
	}
	_, waiting := placed()
	c.evacuate("b", host(0))
	for name, ctx := range map[string]context.Context{"a request that was not sent": waiting, "no request": t.Context()} {
		if err := orders.Reserve(ctx, "x", "t-1", "r", 1, time.Second); !errors.Is(err, reserve.ErrNotSent) {
			t.Errorf("reservation for %s: %v", name, err)
		}
	}
	if err := orders.Reserve(runningContext, "x", "t-1", "r", 1, time.Second); err != nil {
		t.Errorf("renewal: %v", err)
	}
	if err := orders.Release(t.Context(), "x", "t-1", "r"); err != nil {
		t.Error(err)
	}
	if err := orders.Probe(t.Context(), "x", "t-1"); err != nil {
		t.Error(err)
	}
	if want := map[string]int{"reserve": 1, "release": 1}; !maps.Equal(client.sent, want) {
		t.Errorf("sent: %v", client.sent)
	}
	board.End(running.Key, running.Decision.Target)
	if err := orders.Reserve(runningContext, "x", "t-1", "r", 1, time.Second); !errors.Is(err, reserve.ErrNotSent) {
		t.Errorf("renewal after the end of the request: %v", err)
	}
	c.evacuated[host(0)] = nil
	if err := orders.Probe(t.Context(), "x", "t-1"); err != nil || client.sent["probe"] != 1 {
		t.Errorf("probe after the data centre was taken back: %v", err)
	}
}

// A target of an evacuated data centre is removed from the list while a request runs there.
// Guards against probes that reach it since its data centre is not known any more.
func TestRemovedTargetInEvacuatedDataCentreIsNotProbed(t *testing.T) {
	c := newPlaces(2, 3)
	board, client := c.boards[host(0)], countingClient{sent: make(map[string]int)}
	p, err := board.Place(t.Context(), call(), &service)
	if err != nil || board.MaySend(p) != nil {
		t.Fatal("not sent", err)
	}
	id := p.Decision.Target
	at, _ := find(c.lists[host(0)], id)
	dc := c.lists[host(0)][at].DataCentre
	c.lists[host(0)] = slices.Delete(slices.Clone(c.lists[host(0)]), at, at+1)
	orders, ctx := NewOrders(board, client), relay.WithDispatch(t.Context(), p.Key)
	if err := orders.Probe(ctx, "x", id); err != nil || client.sent["probe"] != 1 {
		t.Fatalf("probe without an evacuation: %v, sent %v", err, client.sent)
	}
	c.evacuate(dc, host(0))
	if err := orders.Probe(ctx, "x", id); err != nil || client.sent["probe"] != 1 {
		t.Errorf("probe of an evacuated target: %v, sent %v", err, client.sent)
	}
}

// within is a call that may reach some regions.
func within(regions ...names.Region) *placement.Request {
	r := call()
	r.Regions = regions
	return r
}

// Guards against a target outside the allowed regions, chosen by a home, by a home of an earlier
// build, by one that does not know the region or without a home. A data centre without a region
// is in none.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	const asker = "10.1.0.3:7300"
	for _, targets := range []int{9, 100, 300} {
		for name, prepare := range map[string]func(*places){
			"homes":         func(*places) {},
			"without homes": func(c *places) { c.silent[host(0)], c.silent[host(1)] = true, true },
			"homes too old": func(c *places) { c.boards[asker].config.Messenger = forgetfulLink{link{c.cluster, asker}} },
			"other zones at the homes": func(c *places) {
				for _, h := range []names.Host{host(0), host(1)} {
					c.boards[h].config.RegionOf = func(names.DataCentre) names.Region { return "" }
				}
			},
			"a single target": func(c *places) {
				list := slices.Clone(c.lists[asker])
				for i := range list[:len(list)-1] {
					list[i].DataCentre = "unknown"
				}
				list[len(list)-1].DataCentre = "c"
				for h := range c.lists {
					c.lists[h] = list
				}
			},
		} {
			t.Run(fmt.Sprintf("%s/%d", name, targets), func(t *testing.T) {
				c := newPlaces(4, targets)
				prepare(c)
				if got := c.used(t, asker, within("south", "unheard of")); got != "[c]" {
					t.Errorf("requests were placed in %s", got)
				}
			})
		}
	}
}

// Guards against a request that is sent elsewhere, or waits, if no target is in an allowed region
// or all those are evacuated.
func TestRequestWithoutAllowedTargetIsRefused(t *testing.T) {
	c := newPlaces(4, 9)
	c.evacuate("c", host(3))
	for region, want := range map[names.Region]verdict.Reason{"": verdict.RegionNotAllowed, "east": verdict.RegionNotAllowed, "south": verdict.Evacuated} {
		_, err := c.boards[host(3)].Place(t.Context(), within(region), &service)
		failure := verdict.From(err)
		if failure == nil || failure.Reason != want || failure.Verdict != verdict.NotRun || failure.RetryAfter < time.Second || failure.RetryAfter > 3*time.Second {
			t.Errorf("region %q: failure %v, want %s", region, failure, want)
		}
	}
	if len(c.asks) != 0 {
		t.Errorf("homes were asked: %v", c.asks)
	}
}

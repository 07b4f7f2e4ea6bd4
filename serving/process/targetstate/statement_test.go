package targetstate

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/backoff"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/relay"
	"carobspoke.example/serving/request/reserve"
	"github.com/pkg/errors"
)

// leavingTarget is a statement of a target that is about to exit.
var leavingTarget = relay.Statement{Leaving: true}

// placeUntil places calls at a daemon until one is on the target.
func placeUntil(t *testing.T, board *Board, id names.Target) *relay.Placement {
	t.Helper()
	for range 100 {
		p, err := board.Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		if p.Decision.Target == id {
			return p
		}
	}
	t.Fatalf("no call was placed on %s", id)
	return nil
}

// wantNoneOn places calls at a daemon and fails if one is on the target.
func wantNoneOn(t *testing.T, board *Board, id names.Target) {
	t.Helper()
	for range 30 {
		p, err := board.Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		if p.Decision.Target == id {
			t.Fatalf("placed on %s", id)
		}
		board.End(p.Key, id)
	}
}

// restart changes the start of a target in the list of a daemon.
func (c *cluster) restart(h names.Host, id names.Target, started int64) {
	list := slices.Clone(c.lists[h])
	at, _ := find(list, id)
	list[at].Started = started
	c.lists[h] = list
}

// A target tells one daemon that it is leaving. Guards against placements there by this
// daemon, and against refusals of the requests of all others.
func TestLeavingTargetGetsNothingFromAnyDaemon(t *testing.T) {
	c := newCluster(6, 3)
	p := placeUntil(t, c.boards[host(3)], "t-2")
	c.boards[host(3)].RecordStatement(p, leavingTarget, "r1")
	for i := range 6 {
		wantNoneOn(t, c.boards[host(i)], "t-2")
	}
	for _, i := range []int{0, 1, 3} { // the homes and the daemon itself
		if !slices.Equal(c.stopped[host(i)], []names.Target{"t-2"}) {
			t.Errorf("%s closed the connections to %v", host(i), c.stopped[host(i)])
		}
	}
	if verdict.From(c.boards[host(3)].MaySend(p)).Reason != verdict.TargetLeaving {
		t.Error("a request placed before may be sent")
	}
}

// The homes do not hear of it, since the message is lost. The daemon must ask again, with
// the homes or without them.
func TestHomesThatPlaceOnLeavingTargetAreAskedAgain(t *testing.T) {
	c := newCluster(4, 3)
	board := c.boards[host(3)]
	p := placeUntil(t, board, "t-1")
	c.silent[host(0)], c.silent[host(1)] = true, true
	board.RecordStatement(p, leavingTarget, "r1")
	c.silent[host(0)], c.silent[host(1)] = false, false
	board.mu.Lock()
	clear(board.skipUntil)
	board.mu.Unlock()
	wantNoneOn(t, board, "t-1")
	if c.boards[host(0)].LeavingCount() != 0 || c.asks[host(0)] < 30 {
		t.Fatalf("the home knows %d leaving targets and was asked %d times", c.boards[host(0)].LeavingCount(), c.asks[host(0)])
	}
	c.silent[host(0)], c.silent[host(1)] = true, true
	wantNoneOn(t, board, "t-1")
}

// A home answers with a target that left while the question was on its way.
func TestTargetThatLeavesDuringQuestionIsNotUsed(t *testing.T) {
	c := newCluster(4, 3)
	board := c.boards[host(3)]
	q := &question{request: *call(), targets: c.lists[host(3)], listeners: c.homes.Listeners}
	q.group.Service, q.group.Groups = service.Name, 1
	board.mu.Lock()
	board.leaving.Record(replicas.Incarnation{ID: "t-0"}, time.Now())
	board.leaving.Record(replicas.Incarnation{ID: "t-1"}, time.Now())
	board.mu.Unlock()
	for range 10 {
		d, _, err := board.askUntilListed(t.Context(), q, host(0))
		if err != nil {
			t.Fatal(err)
		}
		if d.decision.Target != "t-2" {
			t.Fatalf("placed on %s", d.decision.Target)
		}
		board.End(d.key, d.decision.Target)
		q.request.Exclude = nil
	}
	if load := c.boards[host(0)].work.Load("t-0", time.Now()); load.Requests != 0 {
		t.Fatalf("the home counts %d requests at the leaving target", load.Requests)
	}
}

// The list brings the target back as it was, and then a later start of it. Only the later
// one may get requests, and a late statement of the earlier one must not end that.
func TestOnlyLaterStartOfLeavingTargetIsUsed(t *testing.T) {
	c := newCluster(3, 2)
	for h := range c.boards {
		c.restart(h, "t-1", 1000)
	}
	board := c.boards[host(2)]
	p := placeUntil(t, board, "t-1")
	board.RecordStatement(p, leavingTarget, "r1")
	all := c.lists[host(2)]
	listed := func(id names.Target) bool { _, ok := find(c.lists[host(2)], id); return ok }
	c.lists[host(2)] = all[:1]
	board.Sweep(listed, time.Now())
	c.lists[host(2)] = all
	board.Sweep(listed, time.Now().Add(5*time.Second))
	wantNoneOn(t, board, "t-1")
	for h := range c.boards {
		c.restart(h, "t-1", 2000)
	}
	again := placeUntil(t, board, "t-1")
	board.RecordStatement(p, leavingTarget, "late")
	if err := board.MaySend(again); err != nil {
		t.Fatalf("a request to the later start is held back: %v", err)
	}
	placeUntil(t, board, "t-1")
}

// Helpers of a split prompt count as its target does.
func TestLeavingHelperHoldsThePromptBack(t *testing.T) {
	c := newCluster(2, 3)
	board := c.boards[host(0)]
	p := &relay.Placement{Incarnation: replicas.Incarnation{ID: "t-0"}, HelperIncarnations: []replicas.Incarnation{{ID: "t-1"}, {ID: "t-2"}}}
	if err := board.MaySend(p); err != nil {
		t.Fatal(err)
	}
	board.recordStatement(replicas.Incarnation{ID: "t-2"}, leavingTarget, time.Now(), source{})
	if failure := verdict.From(board.MaySend(p)); failure == nil || failure.Verdict != verdict.NotRun {
		t.Fatalf("failure %v", failure)
	}
}

// All targets are leaving. The request must be refused at once, as one that did not run.
func TestRequestIsRefusedAtOnceIfAllTargetsLeave(t *testing.T) {
	c := newCluster(3, 2)
	board := c.boards[host(2)]
	for _, target := range c.lists[host(2)] {
		board.recordStatement(target.Incarnation(), leavingTarget, time.Now(), source{})
	}
	clear(c.asks)
	_, err := board.Place(t.Context(), call(), &service)
	if failure := verdict.From(err); failure == nil || failure.Reason != verdict.NoTarget || failure.Verdict != verdict.NotRun || failure.RetryAfter <= 0 {
		t.Fatalf("failure %v", failure)
	}
	if len(c.asks) != 0 {
		t.Fatalf("homes were asked: %v", c.asks)
	}
}

// statingClient answers orders and probes with a statement.
type statingClient struct{ statement relay.Statement }

func (s statingClient) Reserve(ctx context.Context, _ string, _ names.Target, _ string, _ int, _ time.Duration) error {
	relay.ObserveStatement(ctx, s.statement)
	return nil
}

func (s statingClient) Release(ctx context.Context, _ string, _ names.Target, _ string) error {
	relay.ObserveStatement(ctx, s.statement)
	return nil
}

func (s statingClient) Probe(ctx context.Context, _ string, _ names.Target) error {
	relay.ObserveStatement(ctx, s.statement)
	return nil
}

// Guards against statements that are lost since they come in answers to orders.
func TestStatementsInAnswersToOrdersAreRecorded(t *testing.T) {
	orders := map[string]func(*Orders) error{
		"reserve": func(o *Orders) error { return o.Reserve(t.Context(), "", "t-1", "r", 5, time.Second) },
		"release": func(o *Orders) error { return o.Release(t.Context(), "", "t-1", "r") },
		"probe":   func(o *Orders) error { return o.Probe(t.Context(), "", "t-1") },
	}
	for name, send := range orders {
		c := newCluster(2, 2)
		board := c.boards[host(0)]
		if err := send(NewOrders(board, statingClient{})); err != nil || board.LeavingCount() != 0 {
			t.Errorf("%s without a statement: %v, %d targets are leaving", name, err, board.LeavingCount())
		}
		if err := send(NewOrders(board, statingClient{statement: leavingTarget})); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		wantNoneOn(t, board, "t-1")
	}
}

func asksFor(d time.Duration) relay.Statement { return relay.Statement{RetryAfter: d} }

// A target asks one daemon for time. The daemon must send it nothing, though the homes
// still place there, and the other daemons may go on.
func TestTargetThatAsksForTimeGetsNothingFromDaemonThatHeard(t *testing.T) {
	c := newCluster(4, 3)
	board := c.boards[host(3)]
	p := placeUntil(t, board, "t-1")
	board.RecordStatement(p, asksFor(time.Minute), "r1")
	failure := verdict.From(board.MaySend(p))
	if failure == nil || failure.Reason != verdict.TargetRefused || failure.Verdict != verdict.NotRun || failure.RetryAfter < 50*time.Second {
		t.Fatalf("failure %v", failure)
	}
	wantNoneOn(t, board, "t-1")
	placeUntil(t, c.boards[host(2)], "t-1")
	placeUntil(t, c.boards[host(0)], "t-1")
	c.silent[host(0)], c.silent[host(1)] = true, true
	wantNoneOn(t, board, "t-1")
	for h := range c.boards {
		c.restart(h, "t-1", 1000)
	}
	placeUntil(t, board, "t-1")
}

// The target asks a home for time. The home must not use it for its own requests, and
// place those of others there.
func TestHomeUsesTargetThatAskedItForOthersOnly(t *testing.T) {
	c := newCluster(4, 3)
	home := c.boards[host(0)]
	home.recordStatement(replicas.Incarnation{ID: "t-2"}, asksFor(time.Minute), time.Now(), source{})
	wantNoneOn(t, home, "t-2")
	placeUntil(t, c.boards[host(3)], "t-2")
}

// The time ends.
func TestTargetIsUsedAfterTheTimeItAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 2)
		board := c.boards[host(2)]
		board.recordStatement(replicas.Incarnation{ID: "t-1"}, asksFor(1500*time.Millisecond), time.Now(), source{})
		time.Sleep(1499 * time.Millisecond)
		wantNoneOn(t, board, "t-1")
		time.Sleep(time.Millisecond)
		placeUntil(t, board, "t-1")
		board.Sweep(func(names.Target) bool { return true }, time.Now())
		if got := board.AskedCount(); got != 0 {
			t.Fatalf("%d targets ask for time", got)
		}
	})
}

// More targets ask for time than a question names. Guards against a request that ends
// without a target because each answer of the homes names another one of them.
func TestQuestionsStayBoundedWhileMostTargetsAskForTime(t *testing.T) {
	const targets = maxUnusableNamed + 40
	c := newCluster(4, targets)
	board := c.boards[host(3)]
	for i := range targets - 1 {
		board.recordStatement(c.lists[host(3)][i].Incarnation(), asksFor(time.Minute), time.Now(), source{})
	}
	last := c.lists[host(3)][targets-1].ID
	for range 10 {
		p, err := board.Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		if p.Decision.Target != last {
			t.Fatalf("placed on %s", p.Decision.Target)
		}
	}
	if asks := c.asks[host(0)] + c.asks[host(1)]; asks > 10*2*(maxReplacements+1) {
		t.Fatalf("%d questions for 10 requests", asks)
	}
}

// All targets ask for time or are leaving. The request must be refused at once, with a
// delay after which the first of them has room.
func TestRequestIsRefusedAtOnceUntilTheFirstTargetHasRoom(t *testing.T) {
	c := newCluster(3, 3)
	board := c.boards[host(2)]
	for i, statement := range []relay.Statement{asksFor(7 * time.Second), asksFor(4 * time.Second), leavingTarget} {
		if got := board.RoomAfter(service.Name); got != 0 {
			t.Fatalf("room after %s though a target is free", got)
		}
		board.recordStatement(c.lists[host(2)][i].Incarnation(), statement, time.Now(), source{})
	}
	clear(c.asks)
	delays := make(map[time.Duration]bool)
	for range 20 {
		_, err := board.Place(t.Context(), call(), &service)
		failure := verdict.From(err)
		if failure == nil || failure.Reason != verdict.Overloaded || failure.Verdict != verdict.NotRun {
			t.Fatalf("failure %v", failure)
		}
		if failure.RetryAfter < 3900*time.Millisecond || failure.RetryAfter > 4*time.Second+retrySpread {
			t.Fatalf("refused for %s", failure.RetryAfter)
		}
		delays[failure.RetryAfter] = true
	}
	if len(delays) < 15 || len(c.asks) != 0 {
		t.Fatalf("%d different delays of 20, questions %v", len(delays), c.asks)
	}
}

// Guards against a time that holds for ever, and against one that is lost unnoticed.
func TestUnusableTimesAreCounted(t *testing.T) {
	c := newCluster(2, 2)
	board, i := c.boards[host(0)], replicas.Incarnation{ID: "t-1"}
	board.recordStatement(i, relay.Statement{RetryAfterInvalid: true}, time.Now(), source{})
	if c.counts[countInvalid] != 1 || board.AskedCount() != 0 {
		t.Fatalf("counters %v", c.counts)
	}
	board.recordStatement(i, asksFor(100*time.Hour), time.Now(), source{})
	if c.counts[countBounded] != 1 || c.counts[countAsked] != 1 {
		t.Fatalf("counters %v", c.counts)
	}
	if left := board.asked.Left(i, time.Now()); left > backoff.MaxDelay {
		t.Fatalf("the target gets nothing for %s", left)
	}
}

// countingClient counts the orders and probes that are sent.
type countingClient struct{ sent map[string]int }

func (c countingClient) Reserve(context.Context, string, names.Target, string, int, time.Duration) error {
	c.sent["reserve"]++
	return nil
}

func (c countingClient) Release(context.Context, string, names.Target, string) error {
	c.sent["release"]++
	return nil
}

func (c countingClient) Probe(context.Context, string, names.Target) error {
	c.sent["probe"]++
	return nil
}

// A target asks for time while requests with reserved memory run. Guards against probes,
// renewals and releases that exceed the two requests that may reach it.
func TestOrdersToTargetThatAsksForTimeAreBounded(t *testing.T) {
	c := newCluster(2, 2)
	board, client := c.boards[host(0)], countingClient{sent: make(map[string]int)}
	orders := NewOrders(board, client)
	board.recordStatement(replicas.Incarnation{ID: "t-1"}, asksFor(time.Minute), time.Now(), source{})
	for n := range 5 {
		if err := orders.Probe(t.Context(), "", "t-1"); err != nil {
			t.Errorf("the probe fails: %v", err)
		}
		if err := orders.Release(t.Context(), "", "t-1", "r"); !errors.Is(err, reserve.ErrNotSent) {
			t.Errorf("release: %v", err)
		}
		if err := orders.Reserve(t.Context(), "", "t-1", "r", 5, time.Second); (err == nil) != (n < backoff.Allowance) {
			t.Errorf("renewal %d: %v", n, err)
		}
	}
	if len(client.sent) != 1 || client.sent["reserve"] != backoff.Allowance {
		t.Errorf("sent %v", client.sent)
	}
	for _, send := range []func() error{
		func() error { return orders.Probe(t.Context(), "", "t-0") },
		func() error { return orders.Release(t.Context(), "", "t-0", "r") },
		func() error { return orders.Reserve(t.Context(), "", "t-0", "r", 5, time.Second) },
	} {
		if err := send(); err != nil {
			t.Errorf("an order to another target: %v", err)
		}
	}
}

// A daemon is cut off from all targets. Guards against failures of its requests that take
// sound targets from all other daemons.
func TestFailuresOfCutOffDaemonAreNotHeldAgainstTargets(t *testing.T) {
	c := newCluster(4, 2)
	board := c.boards[host(3)]
	c.cutOff[host(3)] = true
	for range 5 {
		p, err := board.Place(t.Context(), call(), &service)
		if err != nil {
			t.Fatal(err)
		}
		board.Unreachable(p.Key, p.Decision.Target)
		board.Failed(p.Key, p.Decision.Target, verdict.TargetFailed)
		board.End(p.Key, p.Decision.Target)
	}
	for h, other := range c.boards {
		if got := other.ExcludedCount(); got != 0 {
			t.Errorf("%s excludes %d targets", h, got)
		}
	}
	c.cutOff[host(3)] = false
	p := placeUntil(t, board, "t-1")
	board.Unreachable(p.Key, "t-1")
	if got := c.boards[host(0)].ExcludedCount(); got != 1 {
		t.Errorf("the home excludes %d targets after the cut", got)
	}
}

// A daemon connects to a target for a peer, and the target refuses the peer's request with
// a time. Guards against more requests from this host, which the target takes for the sender.
func TestStatementsToPeersBindTheHostThatPassesOn(t *testing.T) {
	c := newCluster(4, 3)
	board := c.boards[host(2)]
	if err := board.MayPassOn("t-1"); err != nil {
		t.Fatal(err)
	}
	board.RecordPassedOn("t-1", asksFor(time.Minute), time.Now())
	if err := board.MayPassOn("t-1"); err == nil || err.Verdict != verdict.NotRun {
		t.Fatalf("a peer's request may be passed on: %v", err)
	}
	wantNoneOn(t, board, "t-1")
	board.RecordPassedOn("t-2", leavingTarget, time.Now())
	if board.MayPassOn("t-2") == nil {
		t.Fatal("a peer's request may be passed on to a leaving target")
	}
	wantNoneOn(t, c.boards[host(0)], "t-2")
}

// A daemon cannot connect to a target for a peer.
func TestTargetThatIsUnreachableForPeersIsExcluded(t *testing.T) {
	c := newCluster(4, 3)
	c.boards[host(2)].RecordUnreachable("t-1")
	if got := c.boards[host(0)].ExcludedCount(); got != 1 {
		t.Errorf("the home excludes %d targets", got)
	}
}

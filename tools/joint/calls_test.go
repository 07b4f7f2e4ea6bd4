package joint

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/tools/history"
	"carobspoke.example/tools/standin/fleet"
	"carobspoke.example/tools/standin/service"
)

const (
	ticketPath = "/v1/services/orders/tickets"
	callPath   = "/v1/services/orders/call"

	callTimeout = 2 * time.Second
)

// verdict returns the verdict of a failed call and true, or false if the call
// was answered. A broken connection counts as a failed call.
func (r reply) verdict() (verdict.Verdict, bool) {
	if r.status == http.StatusOK {
		return 0, false
	}
	var document struct{ Error struct{ Verdict string } }
	_ = json.Unmarshal(r.body, &document) // without a readable verdict the call may have run
	return verdict.Parse(document.Error.Verdict), true
}

// mintTicket returns request headers with a new ticket from a daemon.
func mintTicket(t *testing.T, d *daemon.Daemon) map[string]string {
	t.Helper()
	header, ok := tryMintTicket(t.Context(), d.CallerAddress())
	if !ok {
		t.Fatalf("%s issued no ticket", d.Host())
	}
	return header
}

// tryMintTicket returns request headers with a new ticket and the call's timeout,
// and reports whether the daemon issued a ticket.
func tryMintTicket(ctx context.Context, address string) (map[string]string, bool) {
	mintCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got := post(mintCtx, address, ticketPath, `{}`, nil)
	var document struct{ Ticket string }
	_ = json.Unmarshal(got.body, &document) // an unreadable reply yields no ticket
	header := map[string]string{
		"Carobspoke-Ticket":     document.Ticket,
		"Carobspoke-Timeout-Ms": strconv.FormatInt(callTimeout.Milliseconds(), 10),
	}
	return header, document.Ticket != ""
}

// callHistory records the calls to a cluster. Services record that a call ran
// but not when, so an action may have happened at any time since the call was
// first sent.
type callHistory struct {
	history.Recorder

	mu      sync.Mutex
	actions map[string][]func(output any)
}

func newCallHistory() *callHistory { return &callHistory{actions: map[string][]func(output any){}} }

// beginActions opens two actions for a call: the one that is allowed, and one
// more to detect a repeated run.
func (r *callHistory) beginActions(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.actions[call]) < 2 {
		r.actions[call] = append(r.actions[call], r.Begin(-1, history.CallInput{Call: call, IsExecution: true}))
	}
}

func callBody(call string) string { return `{"call":"` + call + `"}` }

// send sends a call through the daemon at an address.
func (r *callHistory) send(ctx context.Context, client int, address, call string, header map[string]string) reply {
	r.beginActions(call)
	finishSend := r.Begin(client, history.CallInput{Call: call})
	got := post(ctx, address, callPath, callBody(call), header)
	out := history.CallOutput{Answer: string(got.body)}
	if v, failed := got.verdict(); failed {
		out = history.CallOutput{Failed: true, Verdict: v}
	}
	finishSend(out)
	return got
}

// sendAll sends a call through all daemons concurrently.
func (r *callHistory) sendAll(t *testing.T, daemons []*daemon.Daemon, call string, header map[string]string) []reply {
	t.Helper()
	replies := make([]reply, len(daemons))
	var sends sync.WaitGroup
	for i, d := range daemons {
		sends.Go(func() { replies[i] = r.send(t.Context(), i, d.CallerAddress(), call, header) })
	}
	sends.Wait()
	return replies
}

// finish completes the actions for the runs that the services recorded. It
// returns how many calls ran, how many repeated runs there were, and whether the
// history satisfies the call model.
func (r *callHistory) finish(fleet *fleet.Fleet) (ran, rerun int, consistent bool) {
	runCounts := map[uint64]int{}
	for _, s := range fleet.Services() {
		for _, run := range s.Runs() {
			runCounts[run.BodyDigest]++
		}
	}
	answersByCall := map[string]string{}
	for _, op := range r.Operations() {
		if out, _ := op.Output.(history.CallOutput); !out.Failed {
			answersByCall[op.Input.(history.CallInput).Call] = out.Answer //nolint:forcetypeassert // the history holds only call inputs
		}
	}
	for call, actions := range r.actions {
		n := runCounts[service.BodyDigest([]byte(callBody(call)))]
		ran += min(n, 1)
		rerun += max(n-1, 0)
		for _, finishAction := range actions[:min(n, len(actions))] {
			finishAction(history.CallOutput{Answer: answersByCall[call]})
		}
	}
	return ran, rerun, history.Check(history.CallModel(), r.Operations())
}

// check fails the test if a call ran more than once or the history violates the
// call model, and returns how many calls ran.
func (r *callHistory) check(t *testing.T, fleet *fleet.Fleet) int {
	t.Helper()
	ran, rerun, consistent := r.finish(fleet)
	if rerun > 0 || !consistent {
		t.Errorf("%d repeated runs; history satisfies the model: %t", rerun, consistent)
	}
	return ran
}

// outcomeCounts counts sends by outcome.
type outcomeCounts struct{ answered, mayHaveRun, notRun int }

func (c *outcomeCounts) add(replies []reply) {
	for _, r := range replies {
		switch v, failed := r.verdict(); {
		case !failed:
			c.answered++
		case v == verdict.NotRun:
			c.notRun++
		default:
			c.mayHaveRun++
		}
	}
}

// TestTicketRunsOnceAcrossPartition sends calls with tickets issued on both
// sides of a partition through all daemons concurrently: when the partition
// begins, during it and after it. A ticketed call must not run twice. During the
// partition an idempotency key without a ticket is refused, since neither side
// can know what the other ran.
func TestTicketRunsOnceAcrossPartition(t *testing.T) {
	t.Parallel()
	const calls = 8
	b := start(t, 6)
	daemons := b.Daemons()
	r := newCallHistory()
	headers := make([]map[string]string, calls)
	for i := range headers {
		headers[i] = mintTicket(t, daemons[i%len(daemons)])
	}
	sendCalls := func(first, last int) (c outcomeCounts) {
		var running sync.WaitGroup
		replies := make([][]reply, calls)
		for i := first; i < last; i++ {
			running.Go(func() { replies[i] = r.sendAll(t, daemons, strconv.Itoa(i), headers[i]) })
		}
		running.Wait()
		for _, callReplies := range replies {
			c.add(callReplies)
		}
		return c
	}
	b.partition()
	atStart := sendCalls(0, calls/2)
	waitFor(t, "each side sees only its own members", func() bool { return b.seesMembers(len(daemons) / 2) })
	partitioned := sendCalls(calls/2, calls)
	for i, got := range r.sendAll(t, daemons, "keyed", map[string]string{"Idempotency-Key": "k"}) {
		if v, failed := got.verdict(); !failed || v != verdict.MayHaveRun {
			t.Errorf("idempotency key without a ticket not refused by daemon %d: %d %s", i, got.status, got.body)
		}
	}
	b.net.Heal()
	waitFor(t, "all daemons see each other", func() bool { return b.seesMembers(len(daemons)) })
	healed := sendCalls(0, calls)
	t.Logf("when the partition began %+v, during it %+v, after it %+v", atStart, partitioned, healed)
	if healed.answered != calls*len(daemons) {
		t.Error("a call was not answered after the partition")
	}
	if partitioned.mayHaveRun == 0 || partitioned.answered == 0 {
		t.Error("the partition separated no daemons: no call failed, or none was answered")
	}
	if ran := r.check(t, b.Fleet); ran != calls {
		t.Errorf("%d calls ran, not all", ran)
	}
}

// TestNewTicketForEachSendRunsAgain resends a call with a new ticket each time,
// which is a caller's error, and verifies that the history check detects the
// repeated runs.
func TestNewTicketForEachSendRunsAgain(t *testing.T) {
	t.Parallel()
	b := start(t, 3)
	r := newCallHistory()
	for i, d := range b.Daemons() {
		if got := r.send(t.Context(), i, d.CallerAddress(), "resent", mintTicket(t, d)); got.status != http.StatusOK {
			t.Fatalf("%d %s", got.status, got.body)
		}
	}
	if _, rerun, consistent := r.finish(b.Fleet); rerun != len(b.Daemons())-1 || consistent {
		t.Errorf("%d repeated runs; history satisfies the model: %t", rerun, consistent)
	}
}

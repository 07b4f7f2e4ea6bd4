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

// verdict returns the verdict of a refusal, and that of a broken connection;
// it returns false for an answer.
func (r reply) verdict() (verdict.Verdict, bool) {
	if r.status == http.StatusOK {
		return 0, false
	}
	var document struct{ Error struct{ Verdict string } }
	_ = json.Unmarshal(r.body, &document) // an unreadable one may have run
	return verdict.Parse(document.Error.Verdict), true
}

// mint returns the header with a new ticket of a daemon.
func mint(t *testing.T, d *daemon.Daemon) map[string]string {
	t.Helper()
	header, ok := tryMint(t.Context(), d.CallerAddress())
	if !ok {
		t.Fatalf("%s gives no ticket", d.Host())
	}
	return header
}

// tryMint returns the header with a new ticket, and the time until which the
// call's answer is waited for.
func tryMint(ctx context.Context, address string) (map[string]string, bool) {
	minting, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	minted := post(minting, address, ticketPath, `{}`, nil)
	var document struct{ Ticket string }
	_ = json.Unmarshal(minted.body, &document) // an unreadable one has no ticket
	header := map[string]string{
		"Carobspoke-Ticket":     document.Ticket,
		"Carobspoke-Timeout-Ms": strconv.FormatInt(callTimeout.Milliseconds(), 10),
	}
	return header, document.Ticket != ""
}

// register is the history of calls to a bench. Services record that a call ran
// but not when, so that an action may have been at any time since the call's
// first send.
type register struct {
	history.Recorder

	mu   sync.Mutex
	acts map[string][]func(output any)
}

func newRegister() *register { return &register{acts: map[string][]func(output any){}} }

// begin begins the actions of a call, and one more than it may have.
func (r *register) begin(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.acts[call]) < 2 {
		r.acts[call] = append(r.acts[call], r.Begin(-1, history.CallInput{Call: call, IsExecution: true}))
	}
}

func bodyOf(call string) string { return `{"call":"` + call + `"}` }

// send sends a call through the daemon at an address.
func (r *register) send(ctx context.Context, client int, address, call string, header map[string]string) reply {
	r.begin(call)
	end := r.Begin(client, history.CallInput{Call: call})
	got := post(ctx, address, callPath, bodyOf(call), header)
	out := history.CallOutput{Answer: string(got.body)}
	if v, failed := got.verdict(); failed {
		out = history.CallOutput{Failed: true, Verdict: v}
	}
	end(out)
	return got
}

// sendAll sends a call through all daemons at once.
func (r *register) sendAll(t *testing.T, daemons []*daemon.Daemon, call string, header map[string]string) []reply {
	t.Helper()
	replies := make([]reply, len(daemons))
	var sends sync.WaitGroup
	for i, d := range daemons {
		sends.Go(func() { replies[i] = r.send(t.Context(), i, d.CallerAddress(), call, header) })
	}
	sends.Wait()
	return replies
}

// end ends the actions that the services recorded, and returns how many calls
// ran, how many ran again, and whether the history keeps the promise.
func (r *register) end(fleet *fleet.Fleet) (ran, again int, kept bool) {
	times := map[uint64]int{}
	for _, s := range fleet.Services() {
		for _, run := range s.Runs() {
			times[run.BodyDigest]++
		}
	}
	answer := map[string]string{}
	for _, op := range r.Operations() {
		if out, _ := op.Output.(history.CallOutput); !out.Failed {
			answer[op.Input.(history.CallInput).Call] = out.Answer //nolint:forcetypeassert // the register holds no other
		}
	}
	for call, acts := range r.acts {
		n := times[service.BodyDigest([]byte(bodyOf(call)))]
		ran += min(n, 1)
		again += max(n-1, 0)
		for _, act := range acts[:min(n, len(acts))] {
			act(history.CallOutput{Answer: answer[call]})
		}
	}
	return ran, again, history.Check(history.CallModel(), r.Operations())
}

// check fails the test if a call ran again or the history breaks the promise,
// and returns how many calls ran.
func (r *register) check(t *testing.T, fleet *fleet.Fleet) int {
	t.Helper()
	ran, again, kept := r.end(fleet)
	if again > 0 || !kept {
		t.Errorf("%d calls ran again; promise kept: %t", again, kept)
	}
	return ran
}

// tally counts the outcomes of sends.
type tally struct{ answered, mayHaveRun, notRun int }

func (c *tally) add(replies []reply) {
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

// TestTicketAcrossAPartitionRunsOnce sends calls whose tickets both sides
// minted through all daemons at once, when a partition begins, during it, and
// after it. In the same partition a key without a ticket is refused, since no
// side can know what the other ran.
func TestTicketAcrossAPartitionRunsOnce(t *testing.T) {
	t.Parallel()
	const calls = 8
	b := start(t, 6)
	daemons := b.Daemons()
	r := newRegister()
	headers := make([]map[string]string, calls)
	for i := range headers {
		headers[i] = mint(t, daemons[i%len(daemons)])
	}
	sends := func(first, last int) (c tally) {
		var running sync.WaitGroup
		replies := make([][]reply, calls)
		for i := first; i < last; i++ {
			running.Go(func() { replies[i] = r.sendAll(t, daemons, strconv.Itoa(i), headers[i]) })
		}
		running.Wait()
		for _, some := range replies {
			c.add(some)
		}
		return c
	}
	b.sides()
	beginning := sends(0, calls/2)
	within(t, "each side sees itself alone", func() bool { return b.see(len(daemons) / 2) })
	parted := sends(calls/2, calls)
	for i, got := range r.sendAll(t, daemons, "keyed", map[string]string{"Idempotency-Key": "k"}) {
		if v, failed := got.verdict(); !failed || v != verdict.MayHaveRun {
			t.Errorf("a key without a ticket, daemon %d: %d %s", i, got.status, got.body)
		}
	}
	b.net.Mend()
	within(t, "all see each other", func() bool { return b.see(len(daemons)) })
	healed := sends(0, calls)
	t.Logf("beginning %+v, parted %+v, healed %+v", beginning, parted, healed)
	if healed.answered != calls*len(daemons) {
		t.Error("a call was not answered after the partition")
	}
	if parted.mayHaveRun == 0 || parted.answered == 0 {
		t.Error("the partition parted nothing")
	}
	if ran := r.check(t, b.Fleet); ran != calls {
		t.Errorf("%d calls ran", ran)
	}
}

// TestNewTicketForEachSendRunsAgain resends as a careless caller does, and shows
// that the checks see it.
func TestNewTicketForEachSendRunsAgain(t *testing.T) {
	t.Parallel()
	b := start(t, 3)
	r := newRegister()
	for i, d := range b.Daemons() {
		if got := r.send(t.Context(), i, d.CallerAddress(), "resent", mint(t, d)); got.status != http.StatusOK {
			t.Fatalf("%d %s", got.status, got.body)
		}
	}
	if _, again, kept := r.end(b.Fleet); again != len(b.Daemons())-1 || kept {
		t.Errorf("ran %d times again; promise kept: %t", again, kept)
	}
}

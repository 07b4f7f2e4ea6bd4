package history

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/keys"
	"carobspoke.example/core/verdict"
	gencalls "carobspoke.example/serving/gen/calls"
	"github.com/anishathalye/porcupine"
)

// manner is how callers send their calls.
type manner int

const (
	byTicket manner = iota
	byKey
	naiveManner
)

const (
	callers        = 5
	callsPerCaller = 4
	sendsPerCall   = 4
	faults         = 8
	// span is how long faults go on.
	span = 40 * time.Second
)

var schedules = flag.Int("history.schedules", 200, "seeds that TestAtMostOnce runs in each manner")

// schedule runs one seed and returns its history.
func schedule(t *testing.T, seed uint64, m manner) []porcupine.Operation {
	t.Helper()
	var ops []porcupine.Operation
	synctest.Test(t, func(*testing.T) {
		f := newFleet(seed)
		time.Sleep(keys.SettleAfter)
		var wait sync.WaitGroup
		for i := range faults {
			wait.Go(func() { f.fault(i) })
		}
		for i := range callers {
			wait.Go(func() { f.caller(i+1, m) })
		}
		wait.Wait()
		time.Sleep(time.Hour) // what is late or paused comes to its end
		f.over.Store(true)
		time.Sleep(2 * tickEvery)
		ops = f.recorder.Operations()
	})
	return ops
}

// fault makes one fault and mends it.
func (f *fleet) fault(i int) {
	f.delay(span, "fault", i)
	host := hosts[f.draw(len(hosts), "host", i)]
	other := hosts[f.draw(len(hosts), "other", i)]
	switch f.draw(3, "kind", i) {
	case 0:
		f.kill(host)
		f.delay(10*time.Second, "down", i)
		if f.daemon(host) == nil {
			f.boot(host, names.Incarnation(len(hosts)+i+1))
			f.observe()
		}
	case 1:
		long := 15 * time.Second
		if f.draw(4, "long", i) == 0 {
			long = 2 * keys.DedupWindow
		}
		f.pause(host, time.Duration(1+f.draw(int(long), "pause", i)))
	case 2:
		f.setCut(host, other, true)
		f.setCut(other, host, f.draw(2, "both", i) == 0)
		f.delay(15*time.Second, "mend", i)
		f.setCut(host, other, false)
		f.setCut(other, host, false)
	}
}

// pause halts a host's processes. A shorter pause does not end a longer one.
func (f *fleet) pause(host names.Host, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := time.Now().Add(d)
	if until.After(f.paused[host]) {
		f.paused[host] = until
	}
}

func (f *fleet) setCut(from, to names.Host, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]names.Host{from, to}] = cut
}

// caller makes its calls one after the other.
func (f *fleet) caller(client int, m manner) {
	for n := range callsPerCaller {
		f.delay(5*time.Second, "begin", client, n)
		call := fmt.Sprintf("call-%d-%d", client, n)
		ticket := ""
		if m == byTicket {
			ticket = f.mint(call)
		}
		f.sends(client, m, ticket, call)
	}
}

// sends sends one call until it is answered, sometimes twice at once, and
// sometimes again after its answer.
func (f *fleet) sends(client int, m manner, ticket, call string) {
	for i := range sendsPerCall {
		var crossed sync.WaitGroup
		if f.draw(4, "crossed", call, i) == 0 {
			crossed.Go(func() {
				f.delay(transit, "cross", call, i)
				f.send(client+100, m, ticket, call, fmt.Sprint(i, "again"))
			})
		}
		answered := f.send(client, m, ticket, call, fmt.Sprint(i))
		crossed.Wait()
		if answered && f.draw(5, "more", call, i) > 0 {
			return
		}
		f.delay(3*time.Second, "resend", call, i)
	}
}

// send sends a call once, through any daemon.
func (f *fleet) send(client int, m manner, ticket, call, what string) bool {
	end := f.recorder.Begin(client, CallInput{Call: call})
	timeout := 2*time.Second + time.Duration(f.draw(6e9, "timeout", call, what))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx = named(ctx, call+"/"+what)
	f.delay(transit, "in", call, what)
	d := f.daemon(hosts[f.draw(len(hosts), "through", call, what)])
	if d == nil {
		end(CallOutput{Failed: true, Verdict: verdict.MayHaveRun})
		return false
	}
	answer, err := enter(ctx, d, func() (string, error) {
		switch m {
		case byTicket:
			return ours(ctx, d, ticket, "", call)
		case byKey:
			return ours(ctx, d, "", call, call)
		default:
			return naively(ctx, d, call)
		}
	})
	f.delay(transit, "out", call, what)
	if err != nil {
		end(CallOutput{Failed: true, Verdict: verdict.From(err).Verdict})
		return false
	}
	end(CallOutput{Answer: answer})
	return true
}

// mint gets a ticket from the first daemon that gives one.
func (f *fleet) mint(call string) string {
	customer := "a"
	for i := 0; ; i++ {
		f.delay(time.Second, "mint", call, i)
		d := f.daemon(hosts[f.draw(len(hosts), "minter", call, i)])
		if d == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(named(context.Background(), fmt.Sprint("mint ", call, i)), time.Second)
		result, err := enter(ctx, d, func() (*gencalls.TicketResult, error) {
			return d.server.Ticket(ctx, &gencalls.TicketPayload{Authorization: &customer, Service: "file"})
		})
		cancel()
		if err == nil {
			return result.Ticket
		}
	}
}

// tally counts what histories show.
type tally struct{ schedules, broken, sends, answered, notRun, acts int }

func (c *tally) add(t *testing.T, ops []porcupine.Operation) bool {
	t.Helper()
	c.schedules++
	for _, op := range ops {
		in, out := op.Input.(CallInput), op.Output.(CallOutput)
		switch {
		case in.Act:
			c.acts++
		case !out.Failed:
			c.sends++
			c.answered++
		default:
			c.sends++
			if out.Verdict == verdict.NotRun {
				c.notRun++
			}
		}
	}
	ok := Check(CallModel(), ops)
	if !ok {
		c.broken++
	}
	return ok
}

// TestAtMostOnce checks seeded schedules that combine kills, pauses, one-way
// and two-way partitions, refusals, lost and late answers, crossed sends and
// resends through other daemons.
func TestAtMostOnce(t *testing.T) {
	var tickets, keyed, plain tally
	for seed := range uint64(*schedules) {
		if ops := schedule(t, seed, byTicket); !tickets.add(t, ops) {
			t.Errorf("seed %d: a ticket's call broke the promise", seed)
			show(t, ops)
		}
		if ops := schedule(t, seed, byKey); !keyed.add(t, ops) {
			t.Errorf("seed %d: a key's call broke the promise", seed)
			show(t, ops)
		}
		plain.add(t, schedule(t, seed, naiveManner))
	}
	t.Logf("tickets: %+v", tickets)
	t.Logf("keys:    %+v", keyed)
	t.Logf("naive:   %+v", plain)
	if plain.broken == 0 {
		t.Error("the naive version passed: the schedules prove nothing")
	}
	made := *schedules * callers * callsPerCaller
	if tickets.acts < made/2 || keyed.acts < made/2 {
		t.Error("too few calls acted for the check to mean much")
	}
}

// show prints the calls of a history that break the model.
func show(t *testing.T, ops []porcupine.Operation) {
	t.Helper()
	for _, part := range CallModel().Partition(ops) {
		if Check(CallModel(), part) {
			continue
		}
		for _, op := range part {
			t.Log(DescribeCall(op))
		}
	}
}

// TestSameSeedSameHistory runs schedules twice.
func TestSameSeedSameHistory(t *testing.T) {
	for seed := range uint64(20) {
		for _, m := range []manner{byTicket, byKey, naiveManner} {
			first := Fingerprint(DescribeCall, schedule(t, seed, m))
			if again := Fingerprint(DescribeCall, schedule(t, seed, m)); again != first {
				t.Errorf("seed %d, manner %d: %x, then %x", seed, m, first, again)
			}
		}
	}
}

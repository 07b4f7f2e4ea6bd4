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

// sendMode selects how callers send their calls.
type sendMode int

const (
	byTicket sendMode = iota
	byKey
	naiveMode
)

const (
	callers        = 5
	callsPerCaller = 4
	sendsPerCall   = 4
	faults         = 8
	// faultPeriod is the time from the start in which faults begin.
	faultPeriod = 40 * time.Second
)

var scheduleCount = flag.Int("history.schedules", 200, "number of seeds that TestAtMostOnce runs in each send mode")

// runSchedule runs the schedule of a seed and returns its history.
func runSchedule(t *testing.T, seed uint64, m sendMode) []porcupine.Operation {
	t.Helper()
	var ops []porcupine.Operation
	synctest.Test(t, func(*testing.T) {
		f := newFleet(seed)
		time.Sleep(keys.SettleAfter)
		var wait sync.WaitGroup
		for i := range faults {
			wait.Go(func() { f.injectFault(i) })
		}
		for i := range callers {
			wait.Go(func() { f.runCaller(i+1, m) })
		}
		wait.Wait()
		time.Sleep(time.Hour) // delayed and paused operations finish
		f.finished.Store(true)
		time.Sleep(2 * tickInterval)
		ops = f.recorder.Operations()
	})
	return ops
}

// injectFault injects a fault, and repairs it after a delay: a killed daemon, a
// paused host or a partition between two hosts.
func (f *fleet) injectFault(i int) {
	f.delay(faultPeriod, "fault", i)
	host := hosts[f.pseudoRandom(len(hosts), "host", i)]
	other := hosts[f.pseudoRandom(len(hosts), "other", i)]
	switch f.pseudoRandom(3, "kind", i) {
	case 0:
		f.kill(host)
		f.delay(10*time.Second, "down", i)
		if f.daemon(host) == nil {
			f.boot(host, names.Incarnation(len(hosts)+i+1))
			f.announceMembers()
		}
	case 1:
		maxPause := 15 * time.Second
		if f.pseudoRandom(4, "long", i) == 0 {
			maxPause = 2 * keys.DedupWindow
		}
		f.pause(host, time.Duration(1+f.pseudoRandom(int(maxPause), "pause", i)))
	case 2:
		f.setPartitioned(host, other, true)
		f.setPartitioned(other, host, f.pseudoRandom(2, "both", i) == 0)
		f.delay(15*time.Second, "mend", i)
		f.setPartitioned(host, other, false)
		f.setPartitioned(other, host, false)
	}
}

// pause suspends a host's processes for d. A shorter pause does not end a longer
// one.
func (f *fleet) pause(host names.Host, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := time.Now().Add(d)
	if until.After(f.pausedUntil[host]) {
		f.pausedUntil[host] = until
	}
}

func (f *fleet) setPartitioned(from, to names.Host, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[[2]names.Host{from, to}] = partitioned
}

// runCaller sends the calls of a caller one after the other.
func (f *fleet) runCaller(client int, m sendMode) {
	for n := range callsPerCaller {
		f.delay(5*time.Second, "begin", client, n)
		call := fmt.Sprintf("call-%d-%d", client, n)
		ticket := ""
		if m == byTicket {
			ticket = f.mintTicket(call)
		}
		f.sendUntilAnswered(client, m, ticket, call)
	}
}

// sendUntilAnswered sends a call until it is answered, at most sendsPerCall
// times. Some sends have a concurrent duplicate, and some calls are sent again
// after their answer.
func (f *fleet) sendUntilAnswered(client int, m sendMode, ticket, call string) {
	for i := range sendsPerCall {
		var duplicate sync.WaitGroup
		if f.pseudoRandom(4, "crossed", call, i) == 0 {
			duplicate.Go(func() {
				f.delay(maxTransitDelay, "cross", call, i)
				f.send(client+100, m, ticket, call, fmt.Sprint(i, "again"))
			})
		}
		answered := f.send(client, m, ticket, call, fmt.Sprint(i))
		duplicate.Wait()
		if answered && f.pseudoRandom(5, "more", call, i) > 0 {
			return
		}
		f.delay(3*time.Second, "resend", call, i)
	}
}

// send sends a call once, through a daemon drawn from the seed, and reports
// whether it was answered.
func (f *fleet) send(client int, m sendMode, ticket, call, sendID string) bool {
	end := f.recorder.Begin(client, CallInput{Call: call})
	timeout := 2*time.Second + time.Duration(f.pseudoRandom(6e9, "timeout", call, sendID))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx = withSendName(ctx, call+"/"+sendID)
	f.delay(maxTransitDelay, "in", call, sendID)
	d := f.daemon(hosts[f.pseudoRandom(len(hosts), "through", call, sendID)])
	if d == nil {
		end(CallOutput{Failed: true, Verdict: verdict.MayHaveRun})
		return false
	}
	answer, err := runIn(ctx, d, func() (string, error) {
		switch m {
		case byTicket:
			return callServer(ctx, d, ticket, "", call)
		case byKey:
			return callServer(ctx, d, "", call, call)
		default:
			return callNaively(ctx, d, call)
		}
	})
	f.delay(maxTransitDelay, "out", call, sendID)
	if err != nil {
		end(CallOutput{Failed: true, Verdict: verdict.From(err).Verdict})
		return false
	}
	end(CallOutput{Answer: answer})
	return true
}

// mintTicket tries daemons until one issues a ticket.
func (f *fleet) mintTicket(call string) string {
	customer := "a"
	for i := 0; ; i++ {
		f.delay(time.Second, "mint", call, i)
		d := f.daemon(hosts[f.pseudoRandom(len(hosts), "minter", call, i)])
		if d == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(withSendName(context.Background(), fmt.Sprint("mint ", call, i)), time.Second)
		result, err := runIn(ctx, d, func() (*gencalls.TicketResult, error) {
			return d.server.Ticket(ctx, &gencalls.TicketPayload{Authorization: &customer, Service: "file"})
		})
		cancel()
		if err == nil {
			return result.Ticket
		}
	}
}

// tally counts the operations of histories and the histories that violate
// CallModel.
type tally struct{ schedules, violations, sends, answered, notRun, executions int }

// add counts the operations of a history and reports whether it satisfies
// CallModel.
func (c *tally) add(t *testing.T, ops []porcupine.Operation) bool {
	t.Helper()
	c.schedules++
	for _, op := range ops {
		in, out := op.Input.(CallInput), op.Output.(CallOutput)
		switch {
		case in.IsExecution:
			c.executions++
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
		c.violations++
	}
	return ok
}

// TestAtMostOnce checks that a call is executed at most once in seeded schedules
// that combine kills, pauses, one-way and two-way partitions, refusals, lost and
// late answers, concurrent duplicate sends and resends through other daemons.
// The naive version must violate the model in some of them.
func TestAtMostOnce(t *testing.T) {
	var tickets, keyed, naiveCounts tally
	for seed := range uint64(*scheduleCount) {
		if ops := runSchedule(t, seed, byTicket); !tickets.add(t, ops) {
			t.Errorf("seed %d: calls sent with a ticket violated at-most-once execution", seed)
			logViolations(t, ops)
		}
		if ops := runSchedule(t, seed, byKey); !keyed.add(t, ops) {
			t.Errorf("seed %d: calls sent with a key violated at-most-once execution", seed)
			logViolations(t, ops)
		}
		naiveCounts.add(t, runSchedule(t, seed, naiveMode))
	}
	t.Logf("tickets: %+v", tickets)
	t.Logf("keys:    %+v", keyed)
	t.Logf("naive:   %+v", naiveCounts)
	if naiveCounts.violations == 0 {
		t.Error("the naive version violated the model in no schedule: the schedules detect no faults")
	}
	totalCalls := *scheduleCount * callers * callsPerCaller
	if tickets.executions < totalCalls/2 || keyed.executions < totalCalls/2 {
		t.Error("fewer than half of the calls were executed: too few for a meaningful check")
	}
}

// logViolations logs the operations of the calls that violate the model.
func logViolations(t *testing.T, ops []porcupine.Operation) {
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

// TestSameSeedSameHistory runs each schedule twice and checks that its history
// depends on the seed alone.
func TestSameSeedSameHistory(t *testing.T) {
	for seed := range uint64(20) {
		for _, m := range []sendMode{byTicket, byKey, naiveMode} {
			first := Fingerprint(DescribeCall, runSchedule(t, seed, m))
			if again := Fingerprint(DescribeCall, runSchedule(t, seed, m)); again != first {
				t.Errorf("seed %d, mode %d: fingerprint %x, then %x", seed, m, first, again)
			}
		}
	}
}

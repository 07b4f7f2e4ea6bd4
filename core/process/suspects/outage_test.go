package suspects

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership/fakenet"
	"github.com/cockroachdb/datadriven"
)

// TestOutageRefusesNoSharedPart replays ends of targets in virtual time: all targets of a
// service end by another cause, beside requests with a crashing part or without. Guards
// against the refusal of parts of sound requests for lack of sound requests, while no target
// could run any, and against a crashing part that is sent on for such a reason.
func TestOutageRefusesNoSharedPart(t *testing.T) {
	datadriven.Walk(t, "testdata/outages", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			text := newOutage(t, d, 0).play(strings.Split(strings.TrimSpace(d.Input), "\n"))
			for seed := uint64(1); seed <= *outageSeeds; seed++ {
				again := newOutage(t, d, seed).play(strings.Split(strings.TrimSpace(d.Input), "\n"))
				if strings.Contains(again, broken) {
					t.Errorf("%s: seed %d:\n%s\n%s", d.Pos, seed, d.Input, again)
				}
			}
			return text
		})
	})
}

// outageSeeds is the number of further seeds that each case is played with; what they show is
// held against the users' bounds only.
var outageSeeds = flag.Uint64("outage-seeds", 2, "further seeds of each outage")

// broken begins a line of a report on a bound that does not hold.
const broken = "BROKEN"

const (
	// slotsPerTarget is the number of requests that a target runs at once.
	slotsPerTarget = 12
	// crashDelay is the time from a send until a crashing request ends its target.
	crashDelay = 20 * time.Millisecond
	// crashDown is how long such a target is away.
	crashDown = 3 * time.Second
	// requestTime is the duration of a sound answer.
	requestTime = 2500 * time.Millisecond
	// beforeEvents is the time for which daemons and targets run before the first event.
	beforeEvents = 5 * time.Second
)

// outage is a service with a fixed number of targets before a simulated fleet. Sound requests
// share the part "first", and each has the part of one of some groups.
type outage struct {
	*simulation
	targets []*outageTarget
	every   time.Duration
	began   time.Time
	// partFrom is when requests with the part "bad" begin to come, partEvery the time between
	// two of them, and harmlessUntil until when they are sound.
	partFrom, harmlessUntil time.Time
	partEvery               time.Duration
	events                  []outageEvent
	crashes, arrivals       []time.Time
	results                 []outageResult
	refused                 map[string][]string
	// lastBack is when the last target is back that ended by another cause.
	lastBack time.Time
}

type outageTarget struct {
	name    int
	upAt    time.Time
	running []outageRequest
}

type outageRequest struct {
	sent    time.Time
	node    *fakenet.Node
	r       *Request
	crashes bool
	sound   bool // recorded
}

type outageEvent struct {
	at  time.Time
	run func()
}

type outageResult struct {
	at    time.Time
	group int
	begun bool
}

func newOutage(t *testing.T, d *datadriven.TestData, seed uint64) *outage {
	t.Helper()
	l := load{daemons: 3, groups: 1}
	targets, every := 8, "28ms"
	for name, value := range map[string]*int{"daemons": &l.daemons, "groups": &l.groups, "targets": &targets} {
		d.MaybeScanArgs(t, name, value)
	}
	d.MaybeScanArgs(t, "every", &every)
	o := &outage{simulation: newSimulation(t, l), every: duration(t, every), refused: make(map[string][]string)}
	o.random = rand.New(rand.NewPCG(seed, 7))
	for range targets {
		o.targets = append(o.targets, &outageTarget{})
	}
	for i, target := range o.targets {
		target.name = i
	}
	return o
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// play plays lines of a time and an event, and returns what happened.
func (o *outage) play(lines []string) string {
	o.run(beforeEvents)
	o.began = o.net.Now
	end := o.began
	for _, line := range lines {
		fields := strings.Fields(line)
		at := o.began.Add(duration(o.t, fields[0]))
		end = at
		o.schedule(at, fields[1], fields[2:])
	}
	o.run(end.Sub(o.began))
	return o.report()
}

func (o *outage) schedule(at time.Time, what string, arguments []string) {
	then := func(at time.Time, run func()) { o.events = append(o.events, outageEvent{at, run}) }
	argument := func(i int, or string) string {
		if i < len(arguments) {
			return arguments[i]
		}
		return or
	}
	switch what {
	case "part": // EVERY [HARMLESS-FOR]
		o.partFrom, o.partEvery = at, duration(o.t, argument(0, "500ms"))
		o.harmlessUntil = at.Add(duration(o.t, argument(1, "0s")))
	case "burst": // COUNT
		count, err := strconv.Atoi(argument(0, "40"))
		if err != nil {
			o.t.Fatal(err)
		}
		then(at, func() {
			for range count {
				o.place(o.group(), true)
			}
		})
	case "end": // DOWN [APART [COUNT [NOT]]]: COUNT targets at a time, APART between them, but for the first NOT
		down, apart := duration(o.t, argument(0, "4500ms")), duration(o.t, argument(1, "0s"))
		together, _ := strconv.Atoi(argument(2, "1"))
		spared, _ := strconv.Atoi(argument(3, "0"))
		for i, target := range o.targets[spared:] {
			endAt := at.Add(time.Duration(i/max(together, 1)) * apart)
			o.lastBack = endAt.Add(down)
			then(endAt, func() { o.endTarget(target, down) })
		}
	case "restart": // COUNT
		count, _ := strconv.Atoi(argument(0, "1"))
		then(at, func() {
			for i := range count {
				old := o.net.Nodes[i]
				o.net.Start(old.Host, old.Machine.Self().DataCentre, []names.Host{o.net.Nodes[len(o.net.Nodes)-1].Host, old.Host})
			}
		})
	case "stop":
	default:
		o.t.Fatalf("unknown event %q", what)
	}
}

// run runs the load and the events for a time.
func (o *outage) run(d time.Duration) {
	nextSound, nextTick, nextPart := o.net.Now, o.net.Now, o.partFrom
	for until := o.net.Now.Add(d); o.net.Now.Before(until); {
		o.net.Run(simulationStep)
		o.deliver()
		o.progress()
		for _, e := range takeDue(&o.events, o.net.Now, func(e *outageEvent) time.Time { return e.at }) {
			e.run()
		}
		for ; !o.net.Now.Before(nextSound); nextSound = nextSound.Add(o.every) {
			group := o.group()
			o.results = append(o.results, outageResult{o.net.Now, group, o.place(group, false)})
		}
		for ; !o.partFrom.IsZero() && !o.net.Now.Before(nextPart); nextPart = nextPart.Add(o.partEvery) {
			o.place(o.group(), true)
		}
		if !o.net.Now.Before(nextTick) {
			nextTick = nextTick.Add(TickInterval)
			for _, node := range o.net.Nodes {
				o.publish(node, o.exchange(node).Tick(o.net.Now))
			}
			o.recordRefusals()
		}
	}
}

func (o *outage) group() int { return o.random.IntN(o.groups) }

func groupPart(group int) string { return fmt.Sprint("group-", group) }

// place sends a request to the least loaded target, and reports whether there was one with a
// free slot.
func (o *outage) place(group int, bad bool) bool {
	node := o.node()
	o.requests++
	parts := []string{"first", groupPart(group)}
	if bad {
		parts = append(parts, "bad")
	}
	r := NewRequest("c", "POST", "/", fmt.Append(nil, o.requests), parts)
	r.Service = service
	if _, refused := o.exchange(node).Check(&r, o.net.Now); refused {
		return false
	}
	var free []*outageTarget
	for _, target := range o.targets {
		if !o.net.Now.Before(target.upAt) && len(target.running) < slotsPerTarget {
			free = append(free, target)
		}
	}
	if len(free) == 0 {
		return false
	}
	o.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	target := slices.MinFunc(free, func(a, b *outageTarget) int { return cmp.Compare(len(a.running), len(b.running)) })
	crashes := bad && !o.net.Now.Before(o.harmlessUntil)
	if crashes {
		o.arrivals = append(o.arrivals, o.net.Now)
	}
	target.running = append(target.running, outageRequest{sent: o.net.Now, node: node, r: &r, crashes: crashes})
	return true
}

// progress ends the targets that run crashing requests, and records sound requests.
func (o *outage) progress() {
	for _, target := range o.targets {
		if slices.ContainsFunc(target.running, func(q outageRequest) bool { return q.crashes && o.net.Now.Sub(q.sent) >= crashDelay }) {
			o.crashes = append(o.crashes, o.net.Now)
			o.endTarget(target, crashDown)
			continue
		}
		for i := range target.running {
			q := &target.running[i]
			if !q.sound && o.net.Now.Sub(q.sent) >= crashDelay+AccusedFor {
				q.sound = true
				o.publish(q.node, o.exchange(q.node).Sound(q.r, q.sent, o.net.Now))
			}
		}
		target.running = slices.DeleteFunc(target.running, func(q outageRequest) bool { return o.net.Now.Sub(q.sent) >= requestTime })
	}
}

// endTarget ends a target, which comes back later as a new incarnation.
func (o *outage) endTarget(target *outageTarget, down time.Duration) {
	if o.net.Now.Before(target.upAt) {
		return
	}
	e := EndOf(names.Target(fmt.Sprint("t-", target.name)), o.net.Now.UnixMilli())
	for _, q := range target.running {
		if !q.sound {
			o.cutOff(q.node, e, q.r)
		}
	}
	target.running, target.upAt = nil, o.net.Now.Add(down)
}

// recordRefusals records when the parts begin and cease to be refused at the first daemon.
func (o *outage) recordRefusals() {
	parts := []string{"bad", "first"}
	for g := range o.groups {
		parts = append(parts, groupPart(g))
	}
	list := o.exchange(o.net.Nodes[0]).Refusals(o.net.Now)
	for _, part := range parts {
		refused := slices.ContainsFunc(list, func(r Refusal) bool { return r.Item == PartItem(part) })
		if was := len(o.refused[part])%2 == 1; refused != was {
			o.refused[part] = append(o.refused[part], o.since(o.net.Now))
		}
	}
}

// since returns a time in seconds since the first event.
func (o *outage) since(at time.Time) string { return fmt.Sprintf("%.1f", at.Sub(o.began).Seconds()) }

// report tells what daemons refused, and holds it against the users' bounds.
func (o *outage) report() string {
	out := &strings.Builder{}
	late := 0
	from := []time.Time{o.lastBack.Add(2 * stableTime)}
	if len(o.crashes) >= endsBeforeBound {
		fifth := o.crashes[endsBeforeBound-1]
		for _, at := range o.arrivals {
			if at.After(fifth.Add(stableTime)) {
				late++
			}
		}
		from = append(from, fifth.Add(2*stableTime))
	}
	fmt.Fprintf(out, "crashes by the part: %d, requests with it too late: %d\n", len(o.crashes), late)
	for _, part := range slices.Sorted(func(yield func(string) bool) {
		for part := range o.refused {
			if !yield(part) {
				return
			}
		}
	}) {
		fmt.Fprintf(out, "%s: refused %s\n", part, intervals(o.refused[part]))
	}
	for _, at := range from {
		if at.Before(o.began) {
			continue
		}
		worst := o.worstShare(at)
		fmt.Fprintf(out, "sound requests of the worst group that begin from %s on: %.0f of 100\n", o.since(at), 100*worst)
		if worst < 0.5 {
			fmt.Fprintf(out, broken+": fewer than half of the sound requests begin\n")
		}
	}
	if late > sendsAfterBound {
		fmt.Fprintf(out, broken+": more than %d requests with the part too late\n", sendsAfterBound)
	}
	return out.String()
}

// worstShare returns the share of the sound requests from a time on that begin, in the group
// in which it is lowest.
func (o *outage) worstShare(from time.Time) float64 {
	worst := 1.0
	for g := range o.groups {
		begun, sent := 0, 0
		for _, r := range o.results {
			if r.group == g && !r.at.Before(from) {
				sent++
				if r.begun {
					begun++
				}
			}
		}
		worst = min(worst, float64(begun)/float64(max(sent, 1)))
	}
	return worst
}

// intervals writes a list of alternate beginnings and ends.
func intervals(times []string) string {
	var list []string
	for i := 0; i < len(times); i += 2 {
		to := ""
		if i+1 < len(times) {
			to = times[i+1]
		}
		list = append(list, times[i]+" to "+to)
	}
	return strings.Join(list, ", ")
}

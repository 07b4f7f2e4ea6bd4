package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/request/ticket"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/calls"
	"carobspoke.example/serving/request/retries"
	"github.com/cespare/xxhash/v2"
)

// hosts are the daemons' places.
var hosts = []names.Host{"h0", "h1", "h2", "h3"}

// tickEvery is the time between two ticks of a daemon.
const tickEvery = 5 * time.Second

// detection is the longest time until a daemon hears of a change.
const detection = 30 * time.Second

// fleet is one schedule: daemons that run the real serving code, one service
// with two replicas, and faults drawn from a seed. Time is that of a synctest
// bubble. Each delay and fault is a hash of the seed and of what it befalls,
// so that it does not depend on the order in which goroutines run.
type fleet struct {
	seed     uint64
	recorder *Recorder
	ring     *ticket.Keyring

	mu      sync.Mutex
	daemons map[names.Host]*daemon
	// cut holds the one-way connections between daemons that are cut.
	cut map[[2]names.Host]bool
	// paused is until when a host's processes stand still.
	paused map[names.Host]time.Time
	acts   int
	// changes counts the changes of the members.
	changes int
	// over ends the daemons' loops.
	over atomic.Bool
}

// daemon is one incarnation.
type daemon struct {
	fleet  *fleet
	host   names.Host
	server *calls.Server
	naive  *naive
	number names.Incarnation
	dead   chan struct{}
	// heard is the newest change of the members that it knows.
	heard int
}

func newFleet(seed uint64) *fleet {
	ring, err := ticket.NewKeyring([]byte(strings.Repeat("k", ticket.SecretBytes)))
	if err != nil {
		panic(err)
	}
	f := &fleet{
		seed: seed, recorder: &Recorder{}, ring: ring,
		daemons: map[names.Host]*daemon{},
		cut:     map[[2]names.Host]bool{},
		paused:  map[names.Host]time.Time{},
	}
	for i, host := range hosts {
		f.boot(host, names.Incarnation(i+1))
	}
	f.observe()
	return f
}

// draw returns a number below n that depends on the seed and on what it is for.
func (f *fleet) draw(n int, what ...any) int {
	text := fmt.Sprint(append([]any{f.seed, "/"}, what...)...)
	return int(xxhash.Sum64String(text) % uint64(n))
}

// delay passes up to most, by the nanosecond.
func (f *fleet) delay(most time.Duration, what ...any) {
	time.Sleep(1 + time.Duration(f.draw(int(most), what...)))
}

func (f *fleet) boot(host names.Host, number names.Incarnation) {
	d := &daemon{fleet: f, host: host, number: number, dead: make(chan struct{}), naive: &naive{answers: map[string]string{}}}
	random := rand.New(rand.NewPCG(f.seed, uint64(number)))
	d.server = calls.New(calls.Deps{
		Self:         calls.Self{Host: host, Incarnation: number, Started: time.Now()},
		Limits:       calls.DefaultLimits(),
		Clock:        time.Now,
		Random:       &lockedReader{source: rand.NewChaCha8([32]byte{byte(f.seed), byte(number)})},
		Keyring:      func() *ticket.Keyring { return f.ring },
		Authenticate: func(a string) (names.Customer, error) { return names.Customer(a), nil },
		Directory:    d,
		Picker:       d,
		Peers:        link{d},
		Retries:      retries.New(retry.Default(), time.Now, random, func(retry.Outcome, verdict.Reason) {}),
		ChooseHome:   rendezvous,
		CountFailure: func(verdict.Reason) {},
		NewRequestID: func() string { return "r" },
	})
	f.mu.Lock()
	f.daemons[host] = d
	f.mu.Unlock()
	go d.tick()
}

// tick tells the server that its process runs, until the daemon is dead or the
// schedule over.
func (d *daemon) tick() {
	for !d.fleet.over.Load() {
		time.Sleep(tickEvery)
		d.halt("tick")
		d.server.Heartbeat()
	}
}

// kill ends a daemon: nothing of it acts, answers or is answered any more.
func (f *fleet) kill(host names.Host) {
	f.mu.Lock()
	d := f.daemons[host]
	delete(f.daemons, host)
	f.mu.Unlock()
	if d != nil {
		close(d.dead)
	}
	f.observe()
}

// observe tells every daemon the members, as their detector would: each hears
// of a change at another time.
func (f *fleet) observe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes++
	var live []names.Host
	for _, host := range hosts {
		if f.daemons[host] != nil {
			live = append(live, host)
		}
	}
	for _, host := range live {
		go f.daemons[host].hear(live, f.changes)
	}
}

// hear takes in a change of the members, unless a newer one came first.
func (d *daemon) hear(live []names.Host, change int) {
	if change > 1 {
		d.fleet.delay(detection, "hear", d.number, change)
	}
	d.halt(fmt.Sprint("hear", change))
	d.fleet.mu.Lock()
	newer := change > d.heard
	d.heard = max(d.heard, change)
	d.fleet.mu.Unlock()
	if newer {
		d.server.SetMembers(live, len(hosts))
	}
}

func (f *fleet) daemon(host names.Host) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[host]
}

func (f *fleet) isCut(from, to names.Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]names.Host{from, to}]
}

// halt stands still while the host is paused, and ends the goroutine once the
// incarnation is dead. The name spreads what wakes at the same time.
func (d *daemon) halt(name string) {
	f := d.fleet
	f.mu.Lock()
	until := f.paused[d.host]
	f.mu.Unlock()
	if time.Now().Before(until) {
		time.Sleep(time.Until(until))
		f.delay(time.Millisecond, "wake", d.number, name)
	}
	if d.isDead() {
		runtime.Goexit()
	}
}

func (d *daemon) isDead() bool {
	select {
	case <-d.dead:
		return true
	default:
		return false
	}
}

// Service implements calls.Directory.
func (d *daemon) Service(names.Customer, names.Service) (calls.Service, error) {
	return calls.Service{}, nil
}

// Pick implements calls.Picker.
func (d *daemon) Pick(_ names.Service, tried []names.Target) (names.Target, targetapi.Service, error) {
	d.halt(strconv.FormatInt(time.Now().UnixNano(), 10))
	return names.Target(strconv.Itoa(len(tried) % 2)), d, nil
}

// Call implements targetapi.Service over a connection with faults. A request
// that is once written may act whatever becomes of its sender.
func (d *daemon) Call(ctx context.Context, c target.Call) (target.Reply, error) {
	d.halt(nameOf(ctx))
	if ctx.Err() != nil {
		return target.Reply{}, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "too late")
	}
	f, what := d.fleet, fmt.Sprint(nameOf(ctx), "/", c.Attempt, "/", d.number)
	closed := f.draw(100, "closed", time.Now().Unix()/5) < 15
	if closed || f.draw(100, "refuse", what) < 15 {
		return target.Reply{}, verdict.New(verdict.NotRun, verdict.TargetRefused, "busy")
	}
	answer := make(chan target.Reply, 1)
	go func() {
		f.delay(time.Duration(1+f.draw(3, "late", what))*time.Second, "work", what)
		answer <- target.Reply{ID: c.ID, Attempt: c.Attempt, Status: 200, Body: []byte(f.act(string(c.Body)))}
	}()
	if f.draw(100, "drop", what) < 20 {
		<-answer
		d.halt(nameOf(ctx))
		return target.Reply{}, verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "reset")
	}
	select {
	case reply := <-answer:
		d.halt(nameOf(ctx))
		return reply, nil
	case <-ctx.Done():
		return target.Reply{}, verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "late")
	}
}

type nameKey struct{}

// named gives the send that a context serves a name, on which delays depend.
func named(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, nameKey{}, name)
}

func nameOf(ctx context.Context) string {
	name, _ := ctx.Value(nameKey{}).(string)
	return name
}

// act is the service's action for a call, whose name is its body.
func (f *fleet) act(call string) string {
	f.mu.Lock()
	f.acts++
	number := strconv.Itoa(f.acts)
	f.mu.Unlock()
	f.recorder.Point(0, CallInput{Call: call, Act: true}, CallOutput{Answer: number})
	return number
}

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

// hosts are the hosts of the daemons, one daemon each.
var hosts = []names.Host{"h0", "h1", "h2", "h3"}

// tickInterval is the time between two heartbeats of a daemon.
const tickInterval = 5 * time.Second

// maxDetectionDelay is the longest time until a daemon learns of a membership
// change.
const maxDetectionDelay = 30 * time.Second

// fleet is the state of one schedule: daemons that run the real serving code, one
// service with two replicas, and faults drawn from a seed. It runs on the fake
// clock of a synctest bubble. Each delay and fault is a hash of the seed and of
// the operation or host that it affects, so that it does not depend on the order
// in which goroutines run.
type fleet struct {
	seed     uint64
	recorder *Recorder
	ring     *ticket.Keyring

	mu      sync.Mutex
	daemons map[names.Host]*daemon
	// partitioned holds the pairs of hosts, sender first, whose messages are lost.
	partitioned map[[2]names.Host]bool
	// pausedUntil is the end of the last pause of each host.
	pausedUntil map[names.Host]time.Time
	// executions counts the executions by the service.
	executions int
	// memberRevision counts the membership changes.
	memberRevision int
	// finished ends the heartbeat loops of the daemons.
	finished atomic.Bool
}

// daemon is one incarnation of the daemon of a host.
type daemon struct {
	fleet       *fleet
	host        names.Host
	server      *calls.Server
	naive       *naiveServer
	incarnation names.Incarnation
	dead        chan struct{}
	// memberRevision is the newest membership change that the daemon knows.
	memberRevision int
}

func newFleet(seed uint64) *fleet {
	ring, err := ticket.NewKeyring([]byte(strings.Repeat("k", ticket.SecretBytes)))
	if err != nil {
		panic(err)
	}
	f := &fleet{
		seed: seed, recorder: &Recorder{}, ring: ring,
		daemons:     map[names.Host]*daemon{},
		partitioned: map[[2]names.Host]bool{},
		pausedUntil: map[names.Host]time.Time{},
	}
	for i, host := range hosts {
		f.boot(host, names.Incarnation(i+1))
	}
	f.announceMembers()
	return f
}

// pseudoRandom returns a number below n that depends only on the seed and labels.
func (f *fleet) pseudoRandom(n int, labels ...any) int {
	text := fmt.Sprint(append([]any{f.seed, "/"}, labels...)...)
	return int(xxhash.Sum64String(text) % uint64(n))
}

// delay sleeps for a time between 1 ns and longest, drawn by labels.
func (f *fleet) delay(longest time.Duration, labels ...any) {
	time.Sleep(1 + time.Duration(f.pseudoRandom(int(longest), labels...)))
}

// boot starts an incarnation of a host's daemon.
func (f *fleet) boot(host names.Host, incarnation names.Incarnation) {
	d := &daemon{fleet: f, host: host, incarnation: incarnation, dead: make(chan struct{}), naive: &naiveServer{answers: map[string]string{}}}
	random := rand.New(rand.NewPCG(f.seed, uint64(incarnation)))
	d.server = calls.New(calls.Deps{
		Self:         calls.Self{Host: host, Incarnation: incarnation, Started: time.Now()},
		Limits:       calls.DefaultLimits(),
		Clock:        time.Now,
		Random:       &lockedReader{source: rand.NewChaCha8([32]byte{byte(f.seed), byte(incarnation)})},
		Keyring:      func() *ticket.Keyring { return f.ring },
		Authenticate: func(a string) (names.Customer, error) { return names.Customer(a), nil },
		Directory:    d,
		Picker:       d,
		Peers:        peerLink{d},
		Retries:      retries.New(retry.Default(), time.Now, random, func(retry.Outcome, verdict.Reason) {}),
		ChooseHome:   rendezvous,
		CountFailure: func(verdict.Reason) {},
		NewRequestID: func() string { return "r" },
	})
	f.mu.Lock()
	f.daemons[host] = d
	f.mu.Unlock()
	go d.sendHeartbeats()
}

// sendHeartbeats calls the server's Heartbeat every tickInterval, until the daemon
// is dead or the schedule has finished.
func (d *daemon) sendHeartbeats() {
	for !d.fleet.finished.Load() {
		time.Sleep(tickInterval)
		d.waitWhilePaused("tick")
		d.server.Heartbeat()
	}
}

// kill ends the daemon of a host: its goroutines stop, and requests to it fail.
func (f *fleet) kill(host names.Host) {
	f.mu.Lock()
	d := f.daemons[host]
	delete(f.daemons, host)
	f.mu.Unlock()
	if d != nil {
		close(d.dead)
	}
	f.announceMembers()
}

// announceMembers sends the live hosts to every daemon, as its failure detector
// would: each daemon learns of a change after a different delay.
func (f *fleet) announceMembers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memberRevision++
	var live []names.Host
	for _, host := range hosts {
		if f.daemons[host] != nil {
			live = append(live, host)
		}
	}
	for _, host := range live {
		go f.daemons[host].updateMembers(live, f.memberRevision)
	}
}

// updateMembers installs a membership change after the detection delay, unless a
// newer one is already installed.
func (d *daemon) updateMembers(live []names.Host, revision int) {
	if revision > 1 {
		d.fleet.delay(maxDetectionDelay, "hear", d.incarnation, revision)
	}
	d.waitWhilePaused(fmt.Sprint("hear", revision))
	d.fleet.mu.Lock()
	newer := revision > d.memberRevision
	d.memberRevision = max(d.memberRevision, revision)
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

func (f *fleet) isPartitioned(from, to names.Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned[[2]names.Host{from, to}]
}

// waitWhilePaused sleeps while the host is paused, and ends the goroutine once the
// incarnation is dead. The name selects the delay after a pause, so that
// goroutines do not resume at the same instant.
func (d *daemon) waitWhilePaused(name string) {
	f := d.fleet
	f.mu.Lock()
	until := f.pausedUntil[d.host]
	f.mu.Unlock()
	if time.Now().Before(until) {
		time.Sleep(time.Until(until))
		f.delay(time.Millisecond, "wake", d.incarnation, name)
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
	d.waitWhilePaused(strconv.FormatInt(time.Now().UnixNano(), 10))
	return names.Target(strconv.Itoa(len(tried) % 2)), d, nil
}

// Call implements targetapi.Service over a connection with faults. A request that
// was written may be executed even if its sender is dead or has given up.
func (d *daemon) Call(ctx context.Context, c target.Call) (target.Reply, error) {
	d.waitWhilePaused(sendName(ctx))
	if ctx.Err() != nil {
		return target.Reply{}, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "too late")
	}
	f, attemptID := d.fleet, fmt.Sprint(sendName(ctx), "/", c.Attempt, "/", d.incarnation)
	closed := f.pseudoRandom(100, "closed", time.Now().Unix()/5) < 15
	if closed || f.pseudoRandom(100, "refuse", attemptID) < 15 {
		return target.Reply{}, verdict.New(verdict.NotRun, verdict.TargetRefused, "busy")
	}
	answer := make(chan target.Reply, 1)
	go func() {
		f.delay(time.Duration(1+f.pseudoRandom(3, "late", attemptID))*time.Second, "work", attemptID)
		answer <- target.Reply{ID: c.ID, Attempt: c.Attempt, Status: 200, Body: []byte(f.execute(string(c.Body)))}
	}()
	if f.pseudoRandom(100, "drop", attemptID) < 20 {
		<-answer
		d.waitWhilePaused(sendName(ctx))
		return target.Reply{}, verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "reset")
	}
	select {
	case reply := <-answer:
		d.waitWhilePaused(sendName(ctx))
		return reply, nil
	case <-ctx.Done():
		return target.Reply{}, verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "late")
	}
}

type sendNameKey struct{}

// withSendName names the send of a context; the delays of the send depend on the
// name.
func withSendName(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, sendNameKey{}, name)
}

func sendName(ctx context.Context) string {
	name, _ := ctx.Value(sendNameKey{}).(string)
	return name
}

// execute records the service's execution of a call and returns its number.
func (f *fleet) execute(call string) string {
	f.mu.Lock()
	f.executions++
	number := strconv.Itoa(f.executions)
	f.mu.Unlock()
	f.recorder.RecordInstant(0, CallInput{Call: call, IsExecution: true}, CallOutput{Answer: number})
	return number
}

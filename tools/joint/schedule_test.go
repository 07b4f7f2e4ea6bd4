package joint

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/adminclient"
	"carobspoke.example/tools/dev"
	"carobspoke.example/tools/load/caller"
	"carobspoke.example/tools/load/workload"
	"carobspoke.example/tools/processes"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

var seed = flag.Uint64("joint.seed", 1, "seed of the schedule of TestKillsPausesAndWakes")

const (
	scheduleFor = 20 * time.Second
	// out is the most daemons that are killed or paused at a time.
	out = 2
	// sends is the most sends of one call.
	sends = 5
	// sendTimeout is how long a caller waits for each.
	sendTimeout = 10 * time.Second
)

// streams is what callers ask for in the schedule, in tools/load's form.
const streams = `
name = "joint"
seed = 1
duration = "20s"
fleet = "dev"
speedup = 8
rate = 20
text_tokens = 64

[[classes]]
name = "short"
share = 1
min_tokens = 200
max_tokens = 400
min_answer = 400
max_answer = 800
timeout = "40s"

[[customers]]
name = "customer-a"
weight = 1

[[customers]]
name = "customer-b"
weight = 1

[retry]
attempts = 20
max_wait = "3s"
`

// world is daemon processes before stand-ins, and a balancer's view of them.
type world struct {
	*dev.Environment
	daemons []*processes.Daemon

	mu    sync.Mutex
	ready []string
	busy  map[int]bool
}

func startWorld(t *testing.T, daemons int) *world {
	t.Helper()
	folder := t.TempDir()
	program, err := processes.Build(t.Context(), folder)
	if err != nil {
		t.Fatal(err)
	}
	d, err := dev.Start(t.Context(), dev.Config{
		Fleet: fleet.Config{Size: fleet.Dev, Speedup: 8}, Daemons: daemons, SeparateProcesses: true, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	files, err := d.WriteSettings(folder)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{Environment: d, busy: map[int]bool{}}
	for _, file := range files {
		started, err := processes.Start(program, file)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = started.Kill() }) // the test is over
		w.daemons = append(w.daemons, started)
	}
	w.waitReady(t)
	return w
}

func (w *world) waitReady(t *testing.T) {
	t.Helper()
	for _, d := range w.daemons {
		if err := d.WaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// balance looks which daemons are ready, as the platform's balancer does.
func (w *world) balance(ctx context.Context) {
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var ready []string
		for _, d := range w.daemons {
			response, err := client.Get("http://" + d.Settings.Admin.Listen + "/readyz") //nolint:noctx // it has a timeout
			if err != nil {
				continue
			}
			_ = response.Body.Close() // only the status counts
			if response.StatusCode == http.StatusOK {
				ready = append(ready, d.Settings.Caller.Listen)
			}
		}
		w.mu.Lock()
		w.ready = ready
		w.mu.Unlock()
		time.Sleep(poll)
	}
}

// addresses returns the ready daemons' addresses for callers.
func (w *world) addresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.ready...)
}

func (w *world) bases() []string {
	var bases []string
	for _, address := range w.addresses() {
		bases = append(bases, "http://"+address)
	}
	return bases
}

// pick returns an address by chance, once there is one.
func (w *world) pick(random *rand.Rand) string {
	for {
		if ready := w.addresses(); len(ready) > 0 {
			return ready[random.IntN(len(ready))]
		}
		time.Sleep(poll)
	}
}

// faults are how often the schedule did what.
type faults struct{ kills, pauses atomic.Int64 }

// upset kills and pauses daemons until the schedule is over, and undoes it.
func (w *world) upset(t *testing.T, random *rand.Rand, did *faults) {
	t.Helper()
	var undoing sync.WaitGroup
	for over := time.Now().Add(scheduleFor); time.Now().Before(over); {
		number, kill := random.IntN(len(w.daemons)), random.IntN(2) == 0
		lasts := time.Duration(500+random.IntN(4500)) * time.Millisecond
		gap := time.Duration(200+random.IntN(1000)) * time.Millisecond
		if w.take(number) {
			undoing.Go(func() {
				defer w.release(number)
				if err := upsetOne(w.daemons[number], kill, lasts, did); err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(gap)
	}
	undoing.Wait()
}

func upsetOne(d *processes.Daemon, kill bool, lasts time.Duration, did *faults) error {
	begin, end, count := d.Pause, d.Resume, &did.pauses
	if kill {
		begin, end, count = d.Kill, d.Restart, &did.kills
	}
	count.Add(1)
	if err := begin(); err != nil {
		return err
	}
	time.Sleep(lasts)
	return end()
}

func (w *world) take(number int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[number] || len(w.busy) == out {
		return false
	}
	w.busy[number] = true
	return true
}

func (w *world) release(number int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, number)
}

// outcomes are how calls ended after their last sends.
type outcomes struct{ answered, notRun, unknown atomic.Int64 }

func (o *outcomes) add(last reply) {
	switch v, failed := last.verdict(); {
	case !failed:
		o.answered.Add(1)
	case v == verdict.NotRun:
		o.notRun.Add(1)
	default:
		o.unknown.Add(1)
	}
}

// callOver makes calls one after the other until the schedule is over.
func (w *world) callOver(ctx context.Context, r *register, client int, random *rand.Rand, ended *outcomes) {
	over := time.Now().Add(scheduleFor)
	for n := 0; time.Now().Before(over); n++ {
		if header, ok := tryMint(ctx, w.pick(random)); ok {
			ended.add(w.sendOver(ctx, r, client, fmt.Sprintf("%d-%d", client, n), header, random))
		}
		time.Sleep(poll)
	}
}

// sendOver sends a call through one daemon after the other until it is
// answered, and returns the last reply.
func (w *world) sendOver(ctx context.Context, r *register, client int, call string, header map[string]string, random *rand.Rand) (last reply) {
	for range sends {
		sending, cancel := context.WithTimeout(ctx, sendTimeout)
		last = r.send(sending, client, w.pick(random), call, header)
		cancel()
		if _, failed := last.verdict(); !failed {
			return last
		}
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
	return last
}

// used returns how many blocks the engines use.
func used(f *fleet.Fleet) int {
	blocks := 0
	for _, e := range f.Engines() {
		report := e.MeasureLoad()
		blocks += report.TotalBlocks - report.FreeBlocks
	}
	return blocks
}

// TestKillsPausesAndWakes kills, restarts, pauses and wakes daemon processes by
// a seeded schedule, up to two of five at a time, while callers stream and call
// through those that the balancer finds ready, and a version is published.
func TestKillsPausesAndWakes(t *testing.T) {
	t.Parallel()
	file, err := workload.Parse([]byte(streams))
	if err != nil {
		t.Fatal(err)
	}
	w := startWorld(t, 5)
	baseline := used(w.Fleet)
	balancing, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.balance(balancing)
	var running sync.WaitGroup
	var did faults
	running.Go(func() { w.upset(t, rand.New(rand.NewPCG(*seed, 0)), &did) })
	r := newRegister()
	var ended outcomes
	for i := range 4 {
		running.Go(func() { w.callOver(t.Context(), r, i, rand.New(rand.NewPCG(*seed, uint64(i+1))), &ended) })
	}
	var whole, resumes atomic.Int64
	gateway := caller.NewGateway(w.bases, file.Retry, nil)
	requests := file.Schedule()
	began := time.Now()
	for i := range requests {
		request := &requests[i]
		running.Go(func() {
			time.Sleep(time.Until(began.Add(request.At)))
			ctx, cancel := context.WithTimeout(t.Context(), request.Timeout)
			defer cancel()
			got := gateway.Generate(ctx, request, rand.New(rand.NewPCG(*seed, uint64(1000+request.Index))))
			resumes.Add(int64(got.Resumes))
			if !got.Complete || got.WrongTokens {
				t.Errorf("answer %d: whole %t, wrong %t, %s %s after %d sends and %d resumes",
					request.Index, got.Complete, got.WrongTokens, got.Verdict, got.Code, got.Retries, got.Resumes)
				return
			}
			whole.Add(1)
		})
	}
	time.Sleep(scheduleFor / 2)
	m := w.Manifest()
	m.Version++
	if err := w.Publish(m); err != nil {
		t.Fatal(err)
	}
	running.Wait()
	w.waitReady(t)
	ran := r.check(t, w.Fleet)
	t.Logf("seed %d: %d kills, %d pauses; %d of %d answers whole with %d resumes; %d calls answered, %d not run, %d unknown, %d ran",
		*seed, did.kills.Load(), did.pauses.Load(), whole.Load(), len(requests), resumes.Load(),
		ended.answered.Load(), ended.notRun.Load(), ended.unknown.Load(), ran)
	within(t, "the version is in force", func() bool { return w.inForce(t.Context(), m.Version) })
	freed := within(t, "the engines' blocks are free", func() bool { return used(w.Fleet) <= baseline })
	t.Logf("blocks are back at %d after %s", baseline, freed)
	if did.kills.Load() == 0 || did.pauses.Load() == 0 || resumes.Load() == 0 || ran == 0 {
		t.Error("the schedule proves nothing")
	}
}

func (w *world) inForce(ctx context.Context, version names.Version) bool {
	for _, d := range w.daemons {
		status, err := adminclient.New(d.Settings.Admin.Listen, dev.AdminKey).Status(ctx)
		if err != nil || names.Version(status.Version) != version {
			return false
		}
	}
	return true
}

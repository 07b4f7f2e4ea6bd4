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
	scheduleDuration = 20 * time.Second
	// maxFaulted is how many daemons may be killed or paused at a time.
	maxFaulted = 2
	// maxSends is how often one call is sent at most.
	maxSends = 5
	// sendTimeout is how long a caller waits for the reply to one send.
	sendTimeout = 10 * time.Second
)

// streamWorkload is the callers' workload during the schedule, in the format of
// tools/load.
const streamWorkload = `
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

// processCluster is a set of daemon processes in front of stand-in targets, with
// a load balancer's view of which daemons are ready.
type processCluster struct {
	*dev.Environment
	daemons []*processes.Daemon

	mu      sync.Mutex
	ready   []string
	faulted map[int]bool
}

func startProcessCluster(t *testing.T, daemons int) *processCluster {
	t.Helper()
	folder := t.TempDir()
	program, err := processes.Build(t.Context(), folder)
	if err != nil {
		t.Fatal(err)
	}
	d, err := dev.Start(t.Context(), dev.Config{
		Fleet: fleet.Config{Size: fleet.Dev, Speedup: 8}, Daemons: daemons, SeparateProcesses: true, Loopback: processes.RandomLoopback(), Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	files, err := d.WriteSettings(folder)
	if err != nil {
		t.Fatal(err)
	}
	w := &processCluster{Environment: d, faulted: map[int]bool{}}
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

func (w *processCluster) waitReady(t *testing.T) {
	t.Helper()
	for _, d := range w.daemons {
		if err := d.WaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// pollReadiness polls which daemons are ready, like the platform's load
// balancer.
func (w *processCluster) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var ready []string
		for _, d := range w.daemons {
			response, err := client.Get("http://" + d.Settings.Admin.Listen + "/readyz") //nolint:noctx // the client has a timeout
			if err != nil {
				continue
			}
			_ = response.Body.Close() // only the status is used
			if response.StatusCode == http.StatusOK {
				ready = append(ready, d.Settings.Caller.Listen)
			}
		}
		w.mu.Lock()
		w.ready = ready
		w.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// addresses returns the caller addresses of the ready daemons.
func (w *processCluster) addresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.ready...)
}

func (w *processCluster) baseURLs() []string {
	var baseURLs []string
	for _, address := range w.addresses() {
		baseURLs = append(baseURLs, "http://"+address)
	}
	return baseURLs
}

// pickAddress returns the address of a random ready daemon. It blocks until one
// is ready.
func (w *processCluster) pickAddress(random *rand.Rand) string {
	for {
		if ready := w.addresses(); len(ready) > 0 {
			return ready[random.IntN(len(ready))]
		}
		time.Sleep(pollInterval)
	}
}

// faultCounts counts the injected faults by kind.
type faultCounts struct{ kills, pauses atomic.Int64 }

// injectFaults kills and pauses random daemons until the schedule ends, and
// restarts or resumes each after a random time.
func (w *processCluster) injectFaults(t *testing.T, random *rand.Rand, injected *faultCounts) {
	t.Helper()
	var recovering sync.WaitGroup
	for deadline := time.Now().Add(scheduleDuration); time.Now().Before(deadline); {
		index, kill := random.IntN(len(w.daemons)), random.IntN(2) == 0
		duration := time.Duration(500+random.IntN(4500)) * time.Millisecond
		gap := time.Duration(200+random.IntN(1000)) * time.Millisecond
		if w.claim(index) {
			recovering.Go(func() {
				defer w.release(index)
				if err := injectFault(w.daemons[index], kill, duration, injected); err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(gap)
	}
	recovering.Wait()
}

func injectFault(d *processes.Daemon, kill bool, duration time.Duration, injected *faultCounts) error {
	begin, end, count := d.Pause, d.Resume, &injected.pauses
	if kill {
		begin, end, count = d.Kill, d.Restart, &injected.kills
	}
	count.Add(1)
	if err := begin(); err != nil {
		return err
	}
	time.Sleep(duration)
	return end()
}

func (w *processCluster) claim(index int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faulted[index] || len(w.faulted) == maxFaulted {
		return false
	}
	w.faulted[index] = true
	return true
}

func (w *processCluster) release(index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.faulted, index)
}

// callOutcomes counts calls by the outcome of their last send.
type callOutcomes struct{ answered, notRun, unknown atomic.Int64 }

func (o *callOutcomes) add(last reply) {
	switch v, failed := last.verdict(); {
	case !failed:
		o.answered.Add(1)
	case v == verdict.NotRun:
		o.notRun.Add(1)
	default:
		o.unknown.Add(1)
	}
}

// makeCalls makes calls sequentially until the schedule ends.
func (w *processCluster) makeCalls(ctx context.Context, calls *callHistory, client int, random *rand.Rand, finalOutcomes *callOutcomes) {
	deadline := time.Now().Add(scheduleDuration)
	for n := 0; time.Now().Before(deadline); n++ {
		if header, ok := tryMintTicket(ctx, w.pickAddress(random)); ok {
			finalOutcomes.add(w.sendUntilAnswered(ctx, calls, client, fmt.Sprintf("%d-%d", client, n), header, random))
		}
		time.Sleep(pollInterval)
	}
}

// sendUntilAnswered sends a call through random ready daemons until it is
// answered, at most maxSends times, and returns the last reply.
func (w *processCluster) sendUntilAnswered(ctx context.Context, calls *callHistory, client int, call string, header map[string]string, random *rand.Rand) (last reply) {
	for range maxSends {
		sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		last = calls.send(sendCtx, client, w.pickAddress(random), call, header)
		cancel()
		if _, failed := last.verdict(); !failed {
			return last
		}
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
	return last
}

// usedBlocks returns how many memory blocks the engines use.
func usedBlocks(f *fleet.Fleet) int {
	blocks := 0
	for _, e := range f.Engines() {
		report := e.MeasureLoad()
		blocks += report.TotalBlocks - report.FreeBlocks
	}
	return blocks
}

// TestKillsPausesAndWakes kills, restarts, pauses and resumes daemon processes on
// a seeded schedule, up to two of five at a time. Meanwhile callers open streams
// and make calls through the daemons that the load balancer considers ready, and
// a new version is published. Every answer must be complete, no call may run more
// than once, and the engines' blocks must be freed.
func TestKillsPausesAndWakes(t *testing.T) {
	t.Parallel()
	file, err := workload.Parse([]byte(streamWorkload))
	if err != nil {
		t.Fatal(err)
	}
	w := startProcessCluster(t, 5)
	baseline := usedBlocks(w.Fleet)
	pollCtx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.pollReadiness(pollCtx)
	var running sync.WaitGroup
	var injected faultCounts
	running.Go(func() { w.injectFaults(t, rand.New(rand.NewPCG(*seed, 0)), &injected) })
	calls := newCallHistory()
	var finalOutcomes callOutcomes
	for i := range 4 {
		running.Go(func() { w.makeCalls(t.Context(), calls, i, rand.New(rand.NewPCG(*seed, uint64(i+1))), &finalOutcomes) })
	}
	var complete, resumes atomic.Int64
	gateway := caller.NewGateway(w.baseURLs, file.Retry, nil)
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
				t.Errorf("answer %d: complete %t, wrong %t, %s %s after %d sends and %d resumes",
					request.Index, got.Complete, got.WrongTokens, got.Verdict, got.Code, got.Retries, got.Resumes)
				return
			}
			complete.Add(1)
		})
	}
	time.Sleep(scheduleDuration / 2)
	m := w.Manifest()
	m.Version++
	if err := w.Publish(m); err != nil {
		t.Fatal(err)
	}
	running.Wait()
	w.waitReady(t)
	ran := calls.check(t, w.Fleet)
	t.Logf("seed %d: %d kills, %d pauses; %d of %d answers complete with %d resumes; %d calls answered, %d not run, %d unknown, %d ran",
		*seed, injected.kills.Load(), injected.pauses.Load(), complete.Load(), len(requests), resumes.Load(),
		finalOutcomes.answered.Load(), finalOutcomes.notRun.Load(), finalOutcomes.unknown.Load(), ran)
	waitFor(t, "the version is in force", func() bool { return w.inForce(t.Context(), m.Version) })
	freed := waitFor(t, "the engines' blocks are freed", func() bool { return usedBlocks(w.Fleet) <= baseline })
	t.Logf("used blocks are back to %d after %s", baseline, freed)
	if injected.kills.Load() == 0 || injected.pauses.Load() == 0 || resumes.Load() == 0 || ran == 0 {
		t.Error("the schedule exercised nothing: no kill, no pause, no resumed stream or no call that ran")
	}
}

func (w *processCluster) inForce(ctx context.Context, version names.Version) bool {
	for _, d := range w.daemons {
		status, err := adminclient.New(d.Settings.Admin.Listen, dev.AdminKey).Status(ctx)
		if err != nil || names.Version(status.Version) != version {
			return false
		}
	}
	return true
}

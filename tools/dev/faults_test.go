package dev

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/tools/standin/engine"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

// TestPromptThatCrashesEnginesIsRefused sends a prompt that crashes every
// engine that runs it. The prompt is sent 50 times, through each daemon in turn,
// while other requests run. Without isolation it would crash the fleet's engines
// one after another.
func TestPromptThatCrashesEnginesIsRefused(t *testing.T) {
	d := startDev(t)
	stop := make(chan struct{})
	var neighbours sync.WaitGroup
	var failed atomic.Int64
	for i := range 6 {
		neighbours.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Sprintf(`{"model":"draft","prompt":"neighbour %d %d","max_tokens":20}`, i, n)
				start := time.Now()
				got := post(t, d, i%len(d.Daemons()), "/v1/completions", body, nil)
				if got.status != http.StatusOK {
					failed.Add(1)
					t.Logf("neighbour: %d %s", got.status, got.body)
				}
				if elapsed := time.Since(start); elapsed > time.Second {
					t.Logf("neighbour took %s", elapsed)
				}
			}
		})
	}
	before := countEngineCrashes(d)
	for i := range 50 {
		body := `{"model":"draft","prompt":"` + engine.CrashTrigger + `","max_tokens":5}`
		start := time.Now()
		got := post(t, d, i%len(d.Daemons()), "/v1/completions", body, nil)
		if got.status == http.StatusOK {
			t.Fatal("the prompt was answered")
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Logf("send %d took %s: %s", i, elapsed, got.body)
		}
	}
	close(stop)
	neighbours.Wait()
	// The prompt may crash one shared engine before the first crash is known to
	// all daemons, and one isolation engine per daemon before the second is known.
	if crashed := countEngineCrashes(d) - before; crashed > 1+len(d.Daemons()) {
		t.Errorf("one prompt crashed %d engines", crashed)
	}
	if n := failed.Load(); n != 0 {
		t.Errorf("%d neighbouring requests failed", n)
	}
}

// countEngineCrashes returns the number of crashes of all engines.
func countEngineCrashes(d *Environment) int {
	total := 0
	for _, e := range d.Fleet.Engines() {
		total += e.CrashCount()
	}
	return total
}

// TestEveryDaemonIsReplacedUnderLoad replaces the daemons one by one while
// callers stream through the ready ones. A daemon that closes before its answers
// end, or reports ready too early, would interrupt a stream.
func TestEveryDaemonIsReplacedUnderLoad(t *testing.T) {
	d := startDev(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var answered, failed atomic.Int64
	for i := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if streamOnce(t, nextReadyDaemon(d, n), fmt.Sprintf("%d %d", i, n)) {
					answered.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	for _, old := range d.Daemons() {
		if _, err := d.AddDaemon(); err != nil {
			t.Fatal(err)
		}
		if err := d.WaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		if err := d.RemoveDaemon(ctx, old); err != nil {
			t.Fatal(err)
		}
		cancel()
	}
	close(stop)
	callers.Wait()
	if failed.Load() != 0 || answered.Load() < 50 {
		t.Fatalf("%d streams answered, %d failed", answered.Load(), failed.Load())
	}
}

// nextReadyDaemon returns a ready daemon, as the platform's load balancer would
// choose one. Turn is the index at which its search begins.
func nextReadyDaemon(d *Environment, turn int) *daemon.Daemon {
	for {
		daemons := d.Daemons()
		for i := range daemons {
			if chosen := daemons[(turn+i)%len(daemons)]; chosen.Ready() == nil {
				return chosen
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// streamOnce reports whether an answer of 100 tokens was complete. It also
// returns true for a refusal with the verdict not_run, since clients retry such
// a request at another daemon.
func streamOnce(t *testing.T, entry *daemon.Daemon, prompt string) bool {
	t.Helper()
	client := clientOf(entry, "customer-a")
	stream := client.Chat.Completions.NewStreaming(context.Background(), chat(prompt, 100))
	tokens := 0
	for stream.Next() {
		if stream.Current().Choices[0].Delta.Content != "" {
			tokens++
		}
	}
	if err := stream.Err(); err != nil {
		t.Logf("%d tokens: %v", tokens, err)
		return refusedNotRun(err)
	}
	return tokens == 100
}

// TestQuotaHoldsOverAllDaemons sends more requests of one customer through all
// daemons than its quota allows. Daemons that counted only their own requests
// would together admit more than the quota.
func TestQuotaHoldsOverAllDaemons(t *testing.T) {
	const tokensPerSecond, tokensPerRequest = 2000.0, 100
	d, err := Start(t.Context(), Config{
		Fleet: fleet.Config{Size: fleet.Dev, Speedup: testSpeedup}, Log: zap.NewNop(),
		AdjustManifest: func(m *manifest.Manifest) { m.Customers[0].TokensPerSecond = tokensPerSecond },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	start := time.Now()
	admitted, refused := 0, 0
	for i := 0; time.Since(start) < 4*time.Second; i++ {
		body := fmt.Sprintf(`{"model":"draft","prompt":"%d","max_tokens":2,"prompt_tokens_hint":%d}`, i, tokensPerRequest-2)
		switch got := post(t, d, i%len(d.Daemons()), "/v1/completions", body, nil); got.status {
		case http.StatusOK:
			admitted++
		case http.StatusTooManyRequests:
			refused++
		default:
			t.Fatalf("%d %s", got.status, got.body)
		}
	}
	elapsed := time.Since(start).Seconds()
	bound := tokensPerSecond*(elapsed+10) + 4*tokensPerRequest
	if float64(admitted*tokensPerRequest) > bound || refused == 0 {
		t.Fatalf("admitted %d tokens in %.1f s, refused %d requests; the bound is %.0f", admitted*tokensPerRequest, elapsed, refused, bound)
	}
}

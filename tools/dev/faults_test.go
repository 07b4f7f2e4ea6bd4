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

// TestPromptThatCrashesEnginesIsStopped sends a prompt that kills each engine
// which runs it 50 times, in turn through all daemons, while others stream.
func TestPromptThatCrashesEnginesIsStopped(t *testing.T) {
	d := startDev(t)
	stop := make(chan struct{})
	var neighbours sync.WaitGroup
	var cut atomic.Int64
	for i := range 6 {
		neighbours.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Sprintf(`{"model":"draft","prompt":"neighbour %d %d","max_tokens":20}`, i, n)
				began := time.Now()
				got := post(t, d, i%len(d.Daemons()), "/v1/completions", body, nil)
				if got.status != http.StatusOK {
					cut.Add(1)
					t.Logf("neighbour: %d %s", got.status, got.body)
				}
				if took := time.Since(began); took > time.Second {
					t.Logf("neighbour took %s", took)
				}
			}
		})
	}
	before := boots(d)
	for i := range 50 {
		body := `{"model":"draft","prompt":"` + engine.CrashTrigger + `","max_tokens":5}`
		began := time.Now()
		got := post(t, d, i%len(d.Daemons()), "/v1/completions", body, nil)
		if got.status == http.StatusOK {
			t.Fatal("the prompt was answered")
		}
		if took := time.Since(began); took > time.Second {
			t.Logf("send %d took %s: %s", i, took, got.body)
		}
	}
	close(stop)
	neighbours.Wait()
	// One shared engine before the first crash is known, and one isolation
	// engine for each daemon before the second is.
	if lost := boots(d) - before; lost > 1+len(d.Daemons()) {
		t.Errorf("%d engines were lost to one prompt", lost)
	}
	if n := cut.Load(); n != 0 {
		t.Errorf("%d neighbours were not answered", n)
	}
}

// boots counts the crashes of all engines.
func boots(d *Dev) int {
	total := 0
	for _, e := range d.Fleet.Engines() {
		total += e.CrashCount()
	}
	return total
}

// TestEveryDaemonIsReplacedUnderLoad replaces the daemons one by one while
// callers stream through those that are ready.
func TestEveryDaemonIsReplacedUnderLoad(t *testing.T) {
	d := startDev(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var answered, cut atomic.Int64
	for i := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if streamOnce(t, ready(d, n), fmt.Sprintf("%d %d", i, n)) {
					answered.Add(1)
				} else {
					cut.Add(1)
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
		if err := d.Remove(ctx, old); err != nil {
			t.Fatal(err)
		}
		cancel()
	}
	close(stop)
	callers.Wait()
	if cut.Load() != 0 || answered.Load() < 50 {
		t.Fatalf("%d answered, %d cut", answered.Load(), cut.Load())
	}
}

// ready returns a daemon that the platform's balancer would choose.
func ready(d *Dev, turn int) *daemon.Daemon {
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

// streamOnce reports whether an answer of 100 tokens came whole. A refusal
// that proves that nothing ran is sent again elsewhere by the caller of this
// test, as clients do, and counts as neither.
func streamOnce(t *testing.T, at *daemon.Daemon, prompt string) bool {
	t.Helper()
	client := clientOf(at, "customer-a")
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

// TestQuotaHoldsOverAllDaemons floods all daemons with one customer's
// requests.
func TestQuotaHoldsOverAllDaemons(t *testing.T) {
	const perSecond, each = 2000.0, 100
	d, err := Start(t.Context(), Config{
		Fleet: fleet.Config{Size: fleet.Dev, Speedup: testSpeedup}, Log: zap.NewNop(),
		Adjust: func(m *manifest.Manifest) { m.Customers[0].TokensPerSecond = perSecond },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	began := time.Now()
	admitted, refused := 0, 0
	for i := 0; time.Since(began) < 4*time.Second; i++ {
		body := fmt.Sprintf(`{"model":"draft","prompt":"%d","max_tokens":2,"prompt_tokens_hint":%d}`, i, each-2)
		switch got := post(t, d, i%len(d.Daemons()), "/v1/completions", body, nil); got.status {
		case http.StatusOK:
			admitted++
		case http.StatusTooManyRequests:
			refused++
		default:
			t.Fatalf("%d %s", got.status, got.body)
		}
	}
	lasted := time.Since(began).Seconds()
	bound := perSecond*(lasted+10) + 4*each
	if float64(admitted*each) > bound || refused == 0 {
		t.Fatalf("admitted %d tokens in %.1f s, refused %d requests; the bound is %.0f", admitted*each, lasted, refused, bound)
	}
}

// Package bench measures what a daemon adds to a request: the time of a hop
// to the first token, and processor time per relayed token, both beside
// direct calls to the same engines in the same run.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Config says what to measure.
type Config struct {
	// Daemon is the URL of a daemon's caller interface.
	Daemon string
	// Key and Model are used for calls through the daemon.
	Key   string
	Model string
	// Engines are the addresses for direct calls.
	Engines []string
	// Rate is requests a second through the daemon; DirectRate is that of
	// direct calls beside them.
	Rate       float64
	DirectRate float64
	// Tokens is the length of each answer.
	Tokens   int
	Duration time.Duration
	// Process is the daemon's process number, or zero.
	Process int
	Seed    uint64
}

// Side is what was measured on one way.
type Side struct {
	Requests int64   `json:"requests"`
	Failed   int64   `json:"failed"`
	Tokens   int64   `json:"tokens"`
	P50      float64 `json:"first_token_p50_ms"`
	P99      float64 `json:"first_token_p99_ms"`
}

// Result is what a run measured.
type Result struct {
	Daemon Side `json:"daemon"`
	Direct Side `json:"direct"`
	// HopP99 is the difference at the 99th percentile, in milliseconds.
	HopP99 float64 `json:"hop_p99_ms"`
	// CPUPerToken is the daemon's processor time per relayed token, in
	// microseconds, with all of its other work. Zero without a process.
	CPUPerToken float64 `json:"cpu_per_token_us"`
	// Cores is the daemon's use of processors.
	Cores float64 `json:"cores"`
	// MemoryMB is the daemon's resident memory at the end.
	MemoryMB      float64 `json:"memory_mb"`
	TokensPerS    float64 `json:"tokens_per_second"`
	RequestsPerS  float64 `json:"requests_per_second"`
	DurationS     float64 `json:"duration_s"`
	OfferedPerS   float64 `json:"offered_per_second"`
	TokensPerCall int     `json:"tokens_per_request"`
}

// Limits of the histograms, in microseconds.
const (
	lowest  = 1
	highest = 120_000_000
	digits  = 3
)

// side collects one way's measurements.
type side struct {
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	result Side
}

func newSide() *side { return &side{first: hdrhistogram.New(lowest, highest, digits)} }

func (s *side) add(firstToken time.Duration, tokens int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Requests++
	s.result.Tokens += int64(tokens)
	if err != nil {
		s.result.Failed++
		return
	}
	_ = s.first.RecordValue(firstToken.Microseconds()) // longer than the limit is not recorded
}

func (s *side) done() Side {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.result
	r.P50 = float64(s.first.ValueAtPercentile(50)) / 1000
	r.P99 = float64(s.first.ValueAtPercentile(99)) / 1000
	return r
}

// call makes one request, begun at due, and returns the time to its first
// token and its tokens.
type call func(ctx context.Context, due time.Time) (time.Duration, int, error)

// Run measures.
func Run(ctx context.Context, c Config) (Result, error) {
	transport := targetapi.NewTransport()
	transport.MaxIdleConnsPerHost = 4096
	client := &http.Client{Transport: transport}
	through, direct := newSide(), newSide()
	before, err := usage(c.Process)
	if err != nil {
		return Result{}, err
	}
	begun := time.Now()
	var running sync.WaitGroup
	running.Go(func() {
		openLoop(ctx, c.Rate, c.Duration, c.Seed, through, func(ctx context.Context, due time.Time) (time.Duration, int, error) {
			return throughDaemon(ctx, client, c, due)
		})
	})
	running.Go(func() {
		openLoop(ctx, c.DirectRate, c.Duration, c.Seed+1, direct, directly(c, transport))
	})
	running.Wait()
	elapsed := time.Since(begun)
	after, err := usage(c.Process)
	if err != nil {
		return Result{}, err
	}
	return summary(c, through.done(), direct.done(), elapsed, before, after), nil
}

func summary(c Config, through, direct Side, elapsed time.Duration, before, after processUsage) Result {
	cpu := after.cpu - before.cpu
	r := Result{
		Daemon:        through,
		Direct:        direct,
		HopP99:        through.P99 - direct.P99,
		Cores:         cpu.Seconds() / elapsed.Seconds(),
		MemoryMB:      float64(after.memory) / (1 << 20),
		TokensPerS:    float64(through.Tokens) / elapsed.Seconds(),
		RequestsPerS:  float64(through.Requests) / elapsed.Seconds(),
		DurationS:     elapsed.Seconds(),
		OfferedPerS:   c.Rate,
		TokensPerCall: c.Tokens,
	}
	if through.Tokens > 0 {
		r.CPUPerToken = float64(cpu.Microseconds()) / float64(through.Tokens)
	}
	return r
}

// openLoop starts calls at random moments of a rate, whether or not earlier
// ones have ended, and waits for all of them.
func openLoop(ctx context.Context, rate float64, duration time.Duration, seed uint64, s *side, do call) {
	if rate <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, seed))
	due := time.Now()
	end := due.Add(duration)
	var running sync.WaitGroup
	for due.Before(end) && ctx.Err() == nil {
		time.Sleep(time.Until(due))
		start := due
		running.Go(func() { s.add(do(ctx, start)) })
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	running.Wait()
}

func throughDaemon(ctx context.Context, client *http.Client, c Config, due time.Time) (time.Duration, int, error) {
	body, err := json.Marshal(map[string]any{
		"model": c.Model, "stream": true, "max_tokens": c.Tokens,
		"messages": []map[string]string{{"role": "user", "content": strconv.FormatInt(due.UnixNano(), 36)}},
	})
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Daemon+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	defer response.Body.Close() //nolint:errcheck // it was read to its end
	if response.StatusCode != http.StatusOK {
		return 0, 0, errors.Errorf("status %d", response.StatusCode)
	}
	return events(response, due, c.Tokens)
}

// events counts the tokens of an event stream.
func events(response *http.Response, due time.Time, want int) (time.Duration, int, error) {
	var first time.Duration
	tokens := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "id: ") {
			continue
		}
		if tokens == 0 {
			first = time.Since(due)
		}
		tokens++
	}
	if tokens != want {
		return first, tokens, errors.Errorf("%d tokens", tokens)
	}
	return first, tokens, lines.Err()
}

// directly returns calls to the engines in turn.
func directly(c Config, transport http.RoundTripper) call {
	var mu sync.Mutex
	number := 0
	return func(ctx context.Context, due time.Time) (time.Duration, int, error) {
		mu.Lock()
		number++
		mine := number
		mu.Unlock()
		engine := targetapi.NewClient(c.Engines[mine%len(c.Engines)], transport)
		return readDirect(ctx, engine, due, c, mine)
	}
}

func readDirect(ctx context.Context, engine targetapi.Engine, due time.Time, c Config, number int) (time.Duration, int, error) {
	stream, err := engine.Submit(ctx, target.Submit{
		Stream: target.StreamID(fmt.Sprintf("bench~1~%x~%d", due.Add(time.Minute).UnixMilli(), number)), Attempt: 1,
		Scope: "bench", Model: names.Model(c.Model), PromptTokens: 4, Prompt: strconv.FormatInt(due.UnixNano(), 36),
		MaxTokens: c.Tokens, Deadline: due.Add(time.Minute),
	})
	if err != nil {
		return 0, 0, err
	}
	defer stream.Close() //nolint:errcheck // it was read to its end
	var first time.Duration
	for tokens := 0; ; tokens++ {
		frame, err := stream.Next()
		if err != nil {
			return first, tokens, err
		}
		if frame.End {
			return first, tokens, nil
		}
		if tokens == 0 {
			first = time.Since(due)
		}
	}
}

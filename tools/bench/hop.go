// Package bench measures the overhead of a daemon: the latency that it adds to
// the first token and its processor time per relayed token. The baseline is
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

// Config configures a run.
type Config struct {
	// Daemon is the URL of a daemon's caller interface.
	Daemon string
	// Key and Model are used for calls through the daemon.
	Key   string
	Model string
	// Engines are the addresses of the engines for direct calls, "IP:port".
	Engines []string
	// Rate is the number of requests per second through the daemon;
	// DirectRate is that of the concurrent direct calls.
	Rate       float64
	DirectRate float64
	// Tokens is the number of tokens of each answer.
	Tokens   int
	Duration time.Duration
	// PID is the daemon's process ID; zero disables the measurement of
	// processor time and memory.
	PID  int
	Seed uint64
}

// PathResult is the measurement of one path: through the daemon or directly to
// the engines.
type PathResult struct {
	Requests int64   `json:"requests"`
	Failed   int64   `json:"failed"`
	Tokens   int64   `json:"tokens"`
	P50      float64 `json:"first_token_p50_ms"`
	P99      float64 `json:"first_token_p99_ms"`
}

// Result is the measurement of a run.
type Result struct {
	Daemon PathResult `json:"daemon"`
	Direct PathResult `json:"direct"`
	// HopP99 is the difference between the two paths' 99th percentiles of the
	// time to the first token, in milliseconds.
	HopP99 float64 `json:"hop_p99_ms"`
	// CPUPerToken is the daemon's processor time per relayed token, in
	// microseconds. It includes all other work of the daemon and is zero if
	// no process ID was given.
	CPUPerToken float64 `json:"cpu_per_token_us"`
	// Cores is the mean number of processor cores that the daemon used.
	Cores float64 `json:"cores"`
	// MemoryMB is the daemon's resident memory at the end, in MiB.
	MemoryMB      float64 `json:"memory_mb"`
	TokensPerS    float64 `json:"tokens_per_second"`
	RequestsPerS  float64 `json:"requests_per_second"`
	DurationS     float64 `json:"duration_s"`
	OfferedPerS   float64 `json:"offered_per_second"`
	TokensPerCall int     `json:"tokens_per_request"`
}

// Range of the latency histograms in microseconds, and their precision.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

// pathRecorder collects the measurements of one path. It is safe for concurrent
// use.
type pathRecorder struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	result     PathResult
}

func newPathRecorder() *pathRecorder {
	return &pathRecorder{firstToken: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

func (s *pathRecorder) add(firstToken time.Duration, tokens int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Requests++
	s.result.Tokens += int64(tokens)
	if err != nil {
		s.result.Failed++
		return
	}
	_ = s.firstToken.RecordValue(firstToken.Microseconds()) // latencies above maxLatencyMicros are not recorded
}

func (s *pathRecorder) finish() PathResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.result
	r.P50 = float64(s.firstToken.ValueAtPercentile(50)) / 1000
	r.P99 = float64(s.firstToken.ValueAtPercentile(99)) / 1000
	return r
}

// callFunc sends a request that was scheduled for due. It returns the time from
// due to the first token and the number of tokens.
type callFunc func(ctx context.Context, due time.Time) (time.Duration, int, error)

// Run sends requests through the daemon and directly to the engines for the
// configured duration and returns the measurements.
func Run(ctx context.Context, c Config) (Result, error) {
	transport := targetapi.NewTransport()
	transport.MaxIdleConnsPerHost = 4096
	client := &http.Client{Transport: transport}
	through, direct := newPathRecorder(), newPathRecorder()
	before, err := readUsage(c.PID)
	if err != nil {
		return Result{}, err
	}
	start := time.Now()
	var running sync.WaitGroup
	running.Go(func() {
		openLoop(ctx, c.Rate, c.Duration, c.Seed, through, func(ctx context.Context, due time.Time) (time.Duration, int, error) {
			return callDaemon(ctx, client, c, due)
		})
	})
	running.Go(func() {
		openLoop(ctx, c.DirectRate, c.Duration, c.Seed+1, direct, callEnginesInTurn(c, transport))
	})
	running.Wait()
	elapsed := time.Since(start)
	after, err := readUsage(c.PID)
	if err != nil {
		return Result{}, err
	}
	return newResult(c, through.finish(), direct.finish(), elapsed, before, after), nil
}

func newResult(c Config, through, direct PathResult, elapsed time.Duration, before, after processUsage) Result {
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

// openLoop starts calls as a Poisson process of the given rate in calls per
// second, whether or not earlier calls have ended, and waits for all of them.
func openLoop(ctx context.Context, rate float64, duration time.Duration, seed uint64, s *pathRecorder, do callFunc) {
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

func callDaemon(ctx context.Context, client *http.Client, c Config, due time.Time) (time.Duration, int, error) {
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
	defer response.Body.Close() //nolint:errcheck // the response has been read to its end
	if response.StatusCode != http.StatusOK {
		return 0, 0, errors.Errorf("status %d", response.StatusCode)
	}
	return readEvents(response, due, c.Tokens)
}

// readEvents reads an event stream to its end. It returns the time from due to
// the first token and the number of tokens, and fails if that is not want.
func readEvents(response *http.Response, due time.Time, want int) (time.Duration, int, error) {
	var firstToken time.Duration
	tokens := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "id: ") {
			continue
		}
		if tokens == 0 {
			firstToken = time.Since(due)
		}
		tokens++
	}
	if tokens != want {
		return firstToken, tokens, errors.Errorf("unexpected number of tokens: %d", tokens)
	}
	return firstToken, tokens, lines.Err()
}

// callEnginesInTurn returns a function that calls the engines in round-robin
// order.
func callEnginesInTurn(c Config, transport http.RoundTripper) callFunc {
	var mu sync.Mutex
	lastSequence := 0
	return func(ctx context.Context, due time.Time) (time.Duration, int, error) {
		mu.Lock()
		lastSequence++
		sequence := lastSequence
		mu.Unlock()
		engine := targetapi.NewClient(c.Engines[sequence%len(c.Engines)], transport)
		return callEngine(ctx, engine, due, c, sequence)
	}
}

func callEngine(ctx context.Context, engine targetapi.Engine, due time.Time, c Config, sequence int) (time.Duration, int, error) {
	stream, err := engine.Submit(ctx, target.Submit{
		Stream: target.StreamID(fmt.Sprintf("bench~1~%x~%d", due.Add(time.Minute).UnixMilli(), sequence)), Attempt: 1,
		Scope: "bench", Model: names.Model(c.Model), PromptTokens: 4, Prompt: strconv.FormatInt(due.UnixNano(), 36),
		MaxTokens: c.Tokens, Deadline: due.Add(time.Minute),
	})
	if err != nil {
		return 0, 0, err
	}
	defer stream.Close() //nolint:errcheck // the response has been read to its end
	var firstToken time.Duration
	for tokens := 0; ; tokens++ {
		frame, err := stream.Next()
		if err != nil {
			return firstToken, tokens, err
		}
		if frame.End {
			return firstToken, tokens, nil
		}
		if tokens == 0 {
			firstToken = time.Since(due)
		}
	}
}

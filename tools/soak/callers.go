package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/platform"
	"carobspoke.example/tools/emulator"
	"github.com/pkg/errors"
)

// Kinds of requests that callers send. Each is the prefix of a route.
const (
	kindStream = "stream"
	kindRead   = "read"
	kindOrder  = "order"
)

// Tokens of the prompt and of the longest answer, as sent in
// platform.HeaderTokens. A giant prompt needs the memory of two engines; the
// daemon asks one of them to reserve it.
const (
	shortTokens = "1000,100"
	giantTokens = "450000,100"
	// One stream in streamsPerGiant has a giant prompt.
	streamsPerGiant = 8
)

// Counts are the numbers of requests by outcome. Abandoned counts those whose
// callers did not wait for the answer; they are in none of the others.
type Counts struct {
	// Cut counts requests without a complete answer.
	Sent, Served, Refused, Failed, Cut, Abandoned int
	// SentAfterRecovery and ServedAfterRecovery count the requests sent after the
	// fleet has recovered.
	SentAfterRecovery, ServedAfterRecovery int
	// GiantsAfterRecovery are those of SentAfterRecovery with a giant prompt, and
	// RefusedGiantsAfterRecovery those of them that were refused as not run, with
	// the time after which to return.
	GiantsAfterRecovery, RefusedGiantsAfterRecovery int
}

// callers send requests to the hosts in the rotation of an emulated load
// balancer.
type callers struct {
	testbed *testbed
	// afterRecovery is true while requests count as sent after the recovery.
	afterRecovery atomic.Bool

	mu     sync.Mutex
	counts Counts
	// rotation has the hosts that receive requests.
	rotation []*host
	// misses counts consecutive failed readiness checks.
	misses map[*host]int
	// prompts has the outcomes of the streams with parts.
	prompts []prompt
	// crashingFrom and crashingUntil are when requests with crashingPart begin and
	// end to come.
	crashingFrom, crashingUntil time.Time
}

// fetch returns the status and the body of a GET request, or 0 and an empty text
// if it fails.
func fetch(ctx context.Context, url string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, ""
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }() // the body was read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// Readiness checks of the load balancer: two failures in a row take a host out
// of rotation.
const (
	healthCheckInterval = time.Second
	maxMisses           = 2
)

// balance checks the readiness of the hosts and updates the rotation until ctx
// ends.
func (c *callers) balance(ctx context.Context) {
	for ctx.Err() == nil {
		var checks sync.WaitGroup
		for _, h := range c.testbed.hosts {
			checks.Go(func() {
				ready := h.ready(ctx)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.misses[h]++
				if ready {
					c.misses[h] = 0
				}
			})
		}
		checks.Wait()
		c.mu.Lock()
		c.rotation = nil
		for _, h := range c.testbed.hosts {
			if c.misses[h] < maxMisses {
				c.rotation = append(c.rotation, h)
			}
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(healthCheckInterval):
		}
	}
}

// pick returns a random host of the rotation, or any host if the rotation is
// empty.
func (c *callers) pick(random *rand.Rand) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rotation) == 0 {
		return c.testbed.hosts[random.IntN(len(c.testbed.hosts))]
	}
	return c.rotation[random.IntN(len(c.rotation))]
}

// count changes the counts for a request, unless its caller abandons it or it
// crashes targets.
func (c *callers) count(q *request, change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !q.abandons && !q.crashes {
		change(&c.counts)
	}
}

func (c *callers) countServed(q *request) {
	c.count(q, func(n *Counts) {
		n.Served++
		if q.afterRecovery {
			n.ServedAfterRecovery++
		}
	})
}

// countRefused counts a request that was refused as not run. mayReturn reports whether
// its caller was told when to return.
func (c *callers) countRefused(q *request, mayReturn bool) {
	c.count(q, func(n *Counts) {
		n.Refused++
		if q.afterRecovery && q.tokens == giantTokens && mayReturn {
			n.RefusedGiantsAfterRecovery++
		}
	})
}

func (c *callers) countAbandoned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Abandoned++
}

// call runs one caller: it sends requests one after the other until ctx ends, over
// connections that no other caller uses.
func (c *callers) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(c.testbed.config.Seed, uint64(number)+2))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	kinds := []string{kindStream, kindRead, kindOrder}
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[random.IntN(len(kinds))]
		attempt := fmt.Sprintf("%x-%d-%d", c.testbed.config.Seed, number, i)
		abandons := !c.testbed.config.PlannedOnly && random.IntN(20) == 0
		tokens := shortTokens
		if random.IntN(streamsPerGiant) == 0 {
			tokens = giantTokens
		}
		q := &request{kind: kind, attempt: attempt, tokens: tokens, abandons: abandons}
		if c.testbed.config.Parts {
			q.parts = promptParts(number, attempt, tokens)
		}
		c.send(client, c.pick(random), q)
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// callTimeout is how long a caller waits for an answer.
const callTimeout = 4 * time.Second

// request is one request of a caller.
type request struct {
	kind, attempt string
	// tokens is the value of platform.HeaderTokens, for streams only.
	tokens string
	// parts is the value of platform.HeaderParts, or empty, for streams only.
	parts string
	// crashes is true if a part crashes targets. Such requests are not counted.
	crashes bool
	// abandons is true if the caller does not wait for the answer.
	abandons bool
	// afterRecovery is true if the request was sent after the recovery.
	afterRecovery bool
}

// addHeaders sets the headers that depend on the kind of a request.
func (c *Config) addHeaders(h http.Header, q *request) {
	for _, region := range c.allowedRegions(q.kind) {
		h.Set(emulator.HeaderRegions, string(region))
	}
	if q.kind == kindStream {
		h.Set(platform.HeaderTokens, q.tokens)
		if q.parts != "" {
			h.Set(platform.HeaderParts, q.parts)
		}
	}
}

func (c *callers) send(client *http.Client, h *host, q *request) {
	limit := callTimeout
	if q.abandons {
		limit = 40 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.CallerAddress.String()+"/"+q.kind+"/x", strings.NewReader("body "+q.attempt))
	if err != nil {
		c.testbed.checker.RecordViolation("a request cannot be built: %v", err)
		return
	}
	r.GetBody = nil // prevents net/http from sending the request again
	r.Host = hostname
	r.Header.Set(platform.HeaderAttempt, q.attempt)
	r.Header.Set(platform.HeaderKey, key)
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	r.Header.Set(emulator.HeaderExpectedCustomer, customer)
	sent := time.Now()
	r.Header.Set(emulator.HeaderSent, strconv.FormatInt(sent.UnixMicro(), 10))
	if q.kind != kindOrder {
		r.Header.Set(emulator.HeaderRepeatable, "1")
	}
	c.testbed.config.addHeaders(r.Header, q)
	q.afterRecovery = c.afterRecovery.Load()
	c.count(q, func(n *Counts) {
		n.Sent++
		if q.afterRecovery {
			n.SentAfterRecovery++
		}
		if q.afterRecovery && q.tokens == giantTokens {
			n.GiantsAfterRecovery++
		}
	})
	if q.abandons {
		c.countAbandoned()
	}
	incarnation, inTouch := h.incarnation(), q.parts != "" && c.testbed.inTouch(h)
	response, err := client.Do(r)
	if inTouch {
		c.recordPrompt(q, sent, err == nil && response.StatusCode == http.StatusOK)
	}
	if err != nil {
		c.countCut(h, q, err)
		return
	}
	defer func() { _ = response.Body.Close() }() // the body was read or is not needed
	if h.incarnation() == incarnation {
		c.testbed.checker.PassedOn(incarnation, names.Target(response.Header.Get(platform.HeaderSeal)), q.attempt)
	}
	c.checkResponse(h, response, q)
}

// countCut counts a request without a complete answer. In a run of planned work
// alone this is a violation, unless the connection was refused and the request
// thus never reached a daemon.
func (c *callers) countCut(h *host, q *request, err error) {
	c.count(q, func(n *Counts) { n.Cut++ })
	if c.testbed.config.mayNotCut() && !q.abandons && !strings.Contains(err.Error(), "connection refused") {
		c.testbed.checker.RecordViolation("%s %s was cut at %s during planned work: %v", q.kind, q.attempt, h.settings.Name, err)
	}
}

// checkResponse counts a response and records violations in it.
func (c *callers) checkResponse(h *host, response *http.Response, q *request) {
	switch status := response.StatusCode; {
	case response.Header.Get(platform.HeaderAttempt) != q.attempt:
		c.testbed.checker.RecordViolation("%s got the answer to %q", q.attempt, response.Header.Get(platform.HeaderAttempt))
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if q.kind == kindOrder {
			c.testbed.checker.ReportedNotRun(q.attempt)
		}
		c.countRefused(q, response.Header.Get(platform.HeaderRetryAfter) != "")
	case status != http.StatusOK:
		c.count(q, func(n *Counts) { n.Failed++ })
		if c.testbed.config.mayNotCut() {
			c.testbed.checker.RecordViolation("%s %s was answered %d at %s during planned work", q.kind, q.attempt, status, h.settings.Name)
		}
	default:
		c.checkCompleteAnswer(h, response, q)
	}
}

// checkCompleteAnswer checks that an answer with status 200 that ends without an
// error is complete and belongs to the request.
func (c *callers) checkCompleteAnswer(h *host, response *http.Response, q *request) {
	if q.kind == kindStream {
		next, err := readStream(response.Body, q.attempt)
		switch {
		case err != nil && strings.HasPrefix(err.Error(), "event"):
			c.testbed.checker.RecordViolation("stream %s: %v", q.attempt, err)
		case err != nil:
			c.countCut(h, q, err)
			return
		case next != emulator.StreamLength(q.attempt):
			c.testbed.checker.RecordViolation("stream %s ends as complete after %d of %d events", q.attempt, next, emulator.StreamLength(q.attempt))
		}
		c.countServed(q)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.countCut(h, q, err)
		return
	}
	if string(body) != emulator.CallAnswer(q.attempt) {
		c.testbed.checker.RecordViolation("%s %s was answered %q", q.kind, q.attempt, body)
	}
	c.countServed(q)
}

// readStream reads the events of a stream and returns how many it received, each to
// the empty line at its end. It returns an error that begins with "event" if one is
// out of order or if the stream ends in order inside one, and the connection's error if
// that broke.
func readStream(body io.Reader, attempt string) (int, error) {
	reader := bufio.NewReader(body)
	next, inside := 0, false
	for {
		line, err := reader.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF) && (inside || line != ""):
			return next, fmt.Errorf("event %d is incomplete at the end of the stream", next)
		case errors.Is(err, io.EOF):
			return next, nil
		case err != nil:
			return next, err
		}
		line = strings.TrimSuffix(line, "\n")
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && data != fmt.Sprintf("%s %d", attempt, next) {
			return next, fmt.Errorf("event %d is %q", next, data)
		}
		if inside && line == "" {
			next++
		}
		inside = line != ""
	}
}

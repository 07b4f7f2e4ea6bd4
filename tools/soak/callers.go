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

	"carobspoke.example/platform"
	"carobspoke.example/tools/emulator"
)

// Kinds of requests that callers send, by the route's prefix.
const (
	kindStream = "stream"
	kindRead   = "read"
	kindOrder  = "order"
)

// Prompts and answers in tokens, as callers tell them. A giant prompt needs the
// memory of two engines, of which one is asked to set it aside.
const (
	shortTokens = "1000,100"
	giantTokens = "450000,100"
	// giantOne of so many streams is giant.
	giantOne = 8
)

// Counts are what became of requests. Left counts those whose callers did not
// wait for the answer; they are in none of the others.
type Counts struct {
	Sent, Served, Refused, Failed, Cut, Left int
	// CalmSent and CalmServed count the requests sent after the fleet has
	// recovered.
	CalmSent, CalmServed int
}

// callers send requests through the hosts that are in rotation.
type callers struct {
	world *world
	// calm is true while requests count as sent after the recovery.
	calm atomic.Bool

	mu       sync.Mutex
	counts   Counts
	rotation []*host
	misses   map[*host]int
}

func look(ctx context.Context, url string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, ""
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }() // it was read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// Balancer's looks: two misses take a host out.
const (
	lookEvery = time.Second
	maxMisses = 2
)

// balance keeps the rotation until ctx ends.
func (c *callers) balance(ctx context.Context) {
	for ctx.Err() == nil {
		var looks sync.WaitGroup
		for _, h := range c.world.hosts {
			looks.Go(func() {
				ready := h.ready(ctx)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.misses[h]++
				if ready {
					c.misses[h] = 0
				}
			})
		}
		looks.Wait()
		c.mu.Lock()
		c.rotation = nil
		for _, h := range c.world.hosts {
			if c.misses[h] < maxMisses {
				c.rotation = append(c.rotation, h)
			}
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(lookEvery):
		}
	}
}

func (c *callers) pick(random *rand.Rand) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rotation) == 0 {
		return c.world.hosts[random.IntN(len(c.world.hosts))]
	}
	return c.rotation[random.IntN(len(c.rotation))]
}

func (c *callers) count(q *sent, change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !q.leaves {
		change(&c.counts)
	}
}

func (c *callers) served(q *sent) {
	c.count(q, func(n *Counts) {
		n.Served++
		if q.calm {
			n.CalmServed++
		}
	})
}

func (c *callers) left() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Left++
}

// call sends one request after the other until ctx ends. Each caller keeps its
// connections.
func (c *callers) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(c.world.config.Seed, uint64(number)+2))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	kinds := []string{kindStream, kindRead, kindOrder}
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[random.IntN(len(kinds))]
		attempt := fmt.Sprintf("%x-%d-%d", c.world.config.Seed, number, i)
		leaves := !c.world.config.Planned && random.IntN(20) == 0
		tokens := shortTokens
		if random.IntN(giantOne) == 0 {
			tokens = giantTokens
		}
		c.send(client, c.pick(random), &sent{kind: kind, attempt: attempt, tokens: tokens, leaves: leaves})
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// callTime is how long a caller waits.
const callTime = 4 * time.Second

// sent is one request.
type sent struct {
	kind, attempt string
	// tokens are those of a stream.
	tokens string
	// leaves says that the caller does not wait for the answer.
	leaves bool
	// calm says that the request was sent after the recovery.
	calm bool
}

func (c *callers) send(client *http.Client, h *host, q *sent) {
	limit := callTime
	if q.leaves {
		limit = 40 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.Callers.String()+"/"+q.kind+"/x", strings.NewReader("body "+q.attempt))
	if err != nil {
		c.world.checker.RecordViolation("a request cannot be made: %v", err)
		return
	}
	r.GetBody = nil // net/http must not send it again
	r.Host = hostname
	r.Header.Set(platform.HeaderAttempt, q.attempt)
	r.Header.Set(platform.HeaderKey, key)
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callTime.Milliseconds(), 10))
	r.Header.Set(emulator.HeaderExpectedCustomer, customer)
	if q.kind != kindOrder {
		r.Header.Set(emulator.HeaderRepeatable, "1")
	}
	if q.kind == kindStream {
		r.Header.Set(platform.HeaderTokens, q.tokens)
	}
	q.calm = c.calm.Load()
	c.count(q, func(n *Counts) {
		n.Sent++
		if q.calm {
			n.CalmSent++
		}
	})
	if q.leaves {
		c.left()
	}
	response, err := client.Do(r)
	if err != nil {
		c.cut(h, q, err)
		return
	}
	defer func() { _ = response.Body.Close() }() // it was read or is of no use
	c.judge(h, response, q)
}

// cut counts a request without a whole answer. In a run of planned work alone
// only an order may end so, and only if it never reached a daemon.
func (c *callers) cut(h *host, q *sent, err error) {
	c.count(q, func(n *Counts) { n.Cut++ })
	if c.world.config.Planned && !q.leaves && !strings.Contains(err.Error(), "connection refused") {
		c.world.checker.RecordViolation("%s %s was cut at %s by planned work: %v", q.kind, q.attempt, h.settings.Name, err)
	}
}

func (c *callers) judge(h *host, response *http.Response, q *sent) {
	switch status := response.StatusCode; {
	case response.Header.Get(platform.HeaderAttempt) != q.attempt:
		c.world.checker.RecordViolation("%s got an answer of %q", q.attempt, response.Header.Get(platform.HeaderAttempt))
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if q.kind == kindOrder {
			c.world.checker.ReportedNotRun(q.attempt)
		}
		c.count(q, func(n *Counts) { n.Refused++ })
	case status != http.StatusOK:
		c.count(q, func(n *Counts) { n.Failed++ })
		if c.world.config.Planned {
			c.world.checker.RecordViolation("%s %s was answered %d at %s by planned work", q.kind, q.attempt, status, h.settings.Name)
		}
	default:
		c.whole(h, response, q)
	}
}

// whole checks that an answer that ends as complete is.
func (c *callers) whole(h *host, response *http.Response, q *sent) {
	if q.kind == kindStream {
		next, err := readStream(response.Body, q.attempt)
		switch {
		case err != nil && strings.HasPrefix(err.Error(), "event"):
			c.world.checker.RecordViolation("stream %s: %v", q.attempt, err)
		case err != nil:
			c.cut(h, q, err)
			return
		case next != emulator.StreamLength(q.attempt):
			c.world.checker.RecordViolation("stream %s ends as complete after %d of %d events", q.attempt, next, emulator.StreamLength(q.attempt))
		}
		c.served(q)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.cut(h, q, err)
		return
	}
	if string(body) != emulator.CallAnswer(q.attempt) {
		c.world.checker.RecordViolation("%s %s was answered %q", q.kind, q.attempt, body)
	}
	c.served(q)
}

// readStream reads events in order and returns how many came.
func readStream(body io.Reader, attempt string) (int, error) {
	scanner := bufio.NewScanner(body)
	next := 0
	for scanner.Scan() {
		line := scanner.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data != fmt.Sprintf("%s %d", attempt, next) {
			return next, fmt.Errorf("event %d is %q", next, data)
		}
		next++
	}
	return next, scanner.Err()
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"carobspoke.example/tools/emulator"
)

// A run with a part that crashes targets: for baselineTime there is none, or its requests
// complete from turningFrom on, see Config.Turning. Then a request with it comes every
// Config.CrashingInterval until the faults end.
const (
	turningFrom             = time.Second
	baselineTime            = 6 * time.Second
	defaultCrashingInterval = 200 * time.Millisecond
	minPartsTime            = 25 * time.Second
)

// Parts of prompts. All prompts share firstPart, and each caller has its own part
// and shares that of its group.
const (
	firstPart      = "f1"
	crashingPart   = "c0"
	sharedTokens   = 200
	callersInGroup = 4
)

// promptParts returns the value of platform.HeaderParts for a prompt of a caller
// with the given value of platform.HeaderTokens. The last part is that of the
// attempt. Further parts are put before the caller's.
func promptParts(caller int, attempt, tokens string, further ...string) string {
	parts := append([]string{firstPart, fmt.Sprintf("a%x", caller/callersInGroup)}, further...)
	parts = append(parts, fmt.Sprintf("b%x", caller))
	text := ""
	for _, part := range parts {
		text += fmt.Sprintf("%s:%d,", part, sharedTokens)
	}
	prompt, _, _ := strings.Cut(tokens, ",")
	total, _ := strconv.Atoi(prompt) // one of the constants of this package
	return text + fmt.Sprintf("%x:%d", attempt, total-len(parts)*sharedTokens)
}

// sendCrashing sends requests with crashingPart, which share all parts but that and their
// last one with other requests. The part crashes targets from baselineTime until the end of
// the faults.
func (c *callers) sendCrashing(ctx context.Context) {
	b := c.testbed
	began := time.Now()
	first := baselineTime
	if b.config.Turning {
		first = turningFrom
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.FaultTime)
	defer cancel()
	select {
	case <-time.After(first):
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(b.config.CrashingInterval)
	defer ticker.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(b.config.Seed, 3))
	crashes := false
	for i := 0; ctx.Err() == nil; i++ {
		if !crashes && time.Since(began) >= baselineTime {
			crashes = true
			b.checker.AddCrashingPart(crashingPart)
			b.recordFault("part crashes targets")
			c.setCrashing(time.Now(), time.Time{})
		}
		attempt := fmt.Sprintf("%x-c-%d", b.config.Seed, i)
		parts := promptParts(random.IntN(b.config.Callers), attempt, shortTokens, crashingPart)
		q := &request{kind: kindStream, attempt: attempt, tokens: shortTokens, parts: parts, crashes: true}
		h := c.pick(random)
		b.active.Go(func() { c.send(client, h, q) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	if crashes {
		c.setCrashing(c.crashingFrom, time.Now())
	}
}

// setCrashing sets when requests with crashingPart begin and end to come.
func (c *callers) setCrashing(from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashingFrom, c.crashingUntil = from, until
}

// prompt is the outcome of a sound stream.
type prompt struct {
	sent time.Time
	// begun is true if its answer has begun.
	begun bool
}

// recordPrompt records the outcome of a sound stream with parts.
func (c *callers) recordPrompt(q *request, sent time.Time, begun bool) {
	if q.kind != kindStream || q.parts == "" || q.crashes || q.abandons {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prompts = append(c.prompts, prompt{sent, begun})
}

// Prompts are the outcomes of the streams of a run with a part that crashes
// targets, at daemons in touch.
type Prompts struct {
	// Crashes are the targets that the part has crashed, and Late the requests with
	// it that reached targets too late.
	Crashes, Late int
	// Before and After are sound streams sent before the first request with the part
	// and when the part should no longer do harm.
	Before, After Started
}

// Started counts sound streams and those whose answers have begun.
type Started struct{ Begun, Sent int }

// String returns the counts in a line.
func (p *Prompts) String() string {
	return fmt.Sprintf("a part crashed %d targets, and %d requests with it came too late; sound streams begun: %d of %d before, %d of %d after",
		p.Crashes, p.Late, p.Before.Begun, p.Before.Sent, p.After.Begun, p.After.Sent)
}

// Bounds of the sound streams beside a part that crashes targets.
const (
	// calmAfter is how long after the last of emulator.MaxCrashes crashes sound
	// streams are to begin again.
	calmAfter = 2 * emulator.StableTime
	// minPrompts is the number of streams below which shares are not compared.
	minPrompts = 20
)

// checkPrompts checks, after all requests have ended, that the part that crashes
// targets neither reached them too often nor kept sound streams with the same first
// part from beginning.
func (c *callers) checkPrompts() Prompts {
	if !c.testbed.config.Parts {
		return Prompts{}
	}
	c.testbed.checker.CheckCrashingParts()
	crashes, late := c.testbed.checker.Crashes(crashingPart)
	p := Prompts{Crashes: len(crashes), Late: late}
	if len(crashes) == 0 {
		return p
	}
	calm := crashes[min(len(crashes), emulator.MaxCrashes)-1].Add(calmAfter)
	for _, q := range c.prompts {
		switch {
		case q.sent.Before(c.crashingFrom):
			p.Before.add(q)
		case q.sent.Before(c.crashingUntil) && !c.testbed.outages.excuses(q.sent) &&
			(q.sent.After(calm) || c.testbed.outages.hasPassed(q.sent) && q.sent.After(lastBefore(crashes, q.sent).Add(calmAfter))):
			p.After.add(q)
		}
	}
	if p.Before.Sent >= minPrompts && p.After.Sent >= minPrompts && 2*p.After.Begun*p.Before.Sent < p.Before.Begun*p.After.Sent {
		c.testbed.checker.RecordViolation("sound streams begin less than half as often: %d of %d before a part crashed targets, %d of %d from %s after the crashes", p.Before.Begun, p.Before.Sent, p.After.Begun, p.After.Sent, calmAfter)
	}
	return p
}

// lastBefore returns the last of some times that is not after another one, zero if none is.
func lastBefore(times []time.Time, at time.Time) (last time.Time) {
	for _, t := range times {
		if !t.After(at) {
			last = t
		}
	}
	return last
}

func (s *Started) add(p prompt) {
	s.Sent++
	if p.begun {
		s.Begun++
	}
}

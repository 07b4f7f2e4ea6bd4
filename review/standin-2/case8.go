package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
)

// Case 8: requests with a part of a prompt that crashes targets come, and are refused soon. Then
// all targets of the service crash once for another cause and come back. The part that sound
// requests have in common is accused of that.

const (
	case8Engines = 8
	// stableTime is stable_ms of the site.
	stableTime = 3 * time.Second
	commonPart = "5c1e07a2"
	crashPart  = "91bd3f06"
	// Times since the daemons are ready.
	partsFrom  = 8 * time.Second
	crashAt    = 22 * time.Second
	crashTime  = 4500 * time.Millisecond
	judgedFrom = crashAt + crashTime + 2*stableTime
	case8End   = judgedFrom + 35*time.Second
	// Rates of requests.
	soundEvery = 28 * time.Millisecond
	partEvery  = 500 * time.Millisecond
	// minJudged is how many requests a share is taken of at least.
	minJudged = 20
)

// tally counts sound requests.
type tally struct{ sent, begun int }

func (t tally) share() float64 { return float64(t.begun) / float64(max(t.sent, 1)) }

func refusedCommonPart(b *bed) ([]string, error) {
	e, err := startEngines(b, case8Engines, crashPart)
	if err != nil {
		return nil, err
	}
	route := routing.Route{
		Name: "petition-draft", Hostname: hostname, Prefix: "/draft/", Kind: routing.Streaming, Timeout: 10 * time.Second, LatencyTarget: 300 * time.Millisecond,
		GapTarget: 200 * time.Millisecond, MaxAttempts: 2, Resumable: true, Services: []routing.WeightedService{{Service: modelService, Weight: 1}},
	}
	if err := b.publishModel(route); err != nil {
		return nil, err
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	began := time.Now()
	var before, after tally
	var mu sync.Mutex
	var running sync.WaitGroup
	if b.trouble && os.Getenv("WITHOUT") != "crash" {
		timer := time.AfterFunc(crashAt, func() { e.crashAll(crashTime) })
		defer timer.Stop()
	}
	lastPart := began.Add(partsFrom)
	for n := 0; time.Since(began) < case8End; n++ {
		h := b.hosts[n%len(b.hosts)]
		since := time.Since(began)
		if b.trouble && os.Getenv("WITHOUT") != "part" && since >= partsFrom && time.Since(lastPart) >= partEvery {
			lastPart = time.Now()
			running.Go(func() { b.stream(h, n, "c", []string{commonPart, crashPart}) })
		}
		running.Go(func() {
			begun := b.stream(h, n, "s", []string{commonPart})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case since < partsFrom-eventInterval*events:
				before.add(begun)
			case since >= judgedFrom:
				after.add(begun)
			}
		})
		time.Sleep(soundEvery)
	}
	running.Wait()
	e.mu.Lock()
	b.note("%d crashes by the part", len(e.crashes))
	e.mu.Unlock()
	b.note("sound requests that began at the first attempt: %d of %d before any disruption, %d of %d from %s on", before.begun, before.sent, after.begun, after.sent, judgedFrom)
	if before.sent < minJudged || after.sent < minJudged {
		return nil, fmt.Errorf("too few requests")
	}
	if after.share() < before.share()/2 {
		return []string{fmt.Sprintf("sound requests with the same key and first part began at the first attempt in %.0f of 100 cases, before in %.0f", 100*after.share(), 100*before.share())}, nil
	}
	return nil, nil
}

func (t *tally) add(begun bool) {
	t.sent++
	if begun {
		t.begun++
	}
}

// stream sends a prompt once, and reports whether its answer began.
func (b *bed) stream(h *host, n int, kind string, parts []string) bool {
	const patience = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.CallerAddress.String()+"/draft/x", strings.NewReader(fmt.Sprint(kind, n)))
	if err != nil {
		return false
	}
	id := kind + attemptID(n)
	var prefix strings.Builder
	for _, part := range parts {
		prefix.WriteString(part + ":400,")
	}
	request.Host = hostname
	request.Header.Set(platform.HeaderAttempt, id)
	request.Header.Set(platform.HeaderDeadline, "10000")
	request.Header.Set(platform.HeaderKey, key)
	request.Header.Set(platform.HeaderTokens, "1460,80")
	request.Header.Set(platform.HeaderParts, prefix.String()+fmt.Sprintf("%08x:250", n))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		b.note("request %s to %s: no answer: %v", id, h.settings.Name, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	got := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data:") {
			got++
		}
	}
	b.note("request %s to %s: status %d, %d events, retry after %q", id, h.settings.Name, response.StatusCode, got, response.Header.Get(platform.HeaderRetryAfter))
	return got > 0
}

// publishModel publishes a route to the model service, and starts the targets of the other
// service, which are sound throughout.
func (b *bed) publishModel(route routing.Route) error {
	for _, id := range []string{"i-desk-1", "i-desk-2"} {
		desk, err := newPlainTarget(b, id, deskService)
		if err != nil {
			return err
		}
		b.list(id, deskService, desk.address, desk.born)
	}
	model := routing.Service{Name: modelService, MaxConnections: 274, Engine: &routing.Engine{
		Slots: 12, MemoryTokens: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, PrefillRate: 256_000, ChunkTokens: 2048,
		MeanPromptTokens: 5000, MeanAnswerTokens: 500,
	}}
	return b.publish(1, []routing.Route{route}, model, routing.Service{Name: deskService, MaxConnections: 110})
}

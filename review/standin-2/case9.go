package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"carobspoke.example/core/version/routing"
)

// Case 9: requests with a part of a prompt that crashes targets come, and are refused. Then all
// daemons are killed at the same time and started again.

const (
	// Times since the daemons are ready.
	case9PartsFrom  = 6 * time.Second
	case9KillAt     = 16 * time.Second
	case9End        = 40 * time.Second
	case9Engines    = 4
	case9SoundEvery = 60 * time.Millisecond
	// case9Every is the time between two requests with the part.
	case9Every = 125 * time.Millisecond
	// restartTime is how long a killed daemon is away.
	restartTime = 500 * time.Millisecond
)

func refusedAfterKill(b *bed) ([]string, error) {
	e, err := startEngines(b, case9Engines, crashPart)
	if err != nil {
		return nil, err
	}
	if err := b.publishModel(routing.Route{
		Name: "petition-draft", Hostname: hostname, Prefix: "/draft/", Kind: routing.Streaming, Timeout: 10 * time.Second, LatencyTarget: 300 * time.Millisecond,
		GapTarget: 200 * time.Millisecond, MaxAttempts: 2, Resumable: true, Services: []routing.WeightedService{{Service: modelService, Weight: 1}},
	}); err != nil {
		return nil, err
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	began := time.Now()
	var before tally
	var later []soundResult
	var mu sync.Mutex
	var running sync.WaitGroup
	killed := make(chan error, 1)
	if b.trouble && os.Getenv("WITHOUT") != "kill" {
		go func() {
			time.Sleep(case9KillAt)
			killed <- b.killAll()
		}()
	} else {
		killed <- nil
	}
	lastPart := began.Add(case9PartsFrom)
	for n := 0; time.Since(began) < case9End; n++ {
		h := b.hosts[n%len(b.hosts)]
		since := time.Since(began)
		if b.trouble && since >= case9PartsFrom && time.Since(lastPart) >= case9Every {
			lastPart = time.Now()
			running.Go(func() { b.stream(h, n, "c", []string{commonPart, crashPart}) })
		}
		running.Go(func() {
			begun := b.stream(h, n, "s", []string{commonPart})
			mu.Lock()
			defer mu.Unlock()
			if since < case9PartsFrom-eventInterval*events {
				before.add(begun)
				return
			}
			later = append(later, soundResult{since, begun})
		})
		time.Sleep(case9SoundEvery)
	}
	running.Wait()
	if err := <-killed; err != nil {
		return nil, err
	}
	judgedFrom := e.fifth().Sub(began) + 2*stableTime
	if !b.trouble {
		judgedFrom = case9End / 2
	}
	var after tally
	for _, r := range later {
		if r.sentAt >= judgedFrom {
			after.add(r.begun)
		}
	}
	b.note("sound requests that began at the first attempt: %d of %d before any disruption, %d of %d from %.2f s after the daemons were ready on",
		before.begun, before.sent, after.begun, after.sent, judgedFrom.Seconds())
	if before.sent < minJudged || after.sent < minJudged {
		return nil, fmt.Errorf("too few requests")
	}
	if after.share() < before.share()/2 {
		return []string{fmt.Sprintf("sound requests with the same key and first part began at the first attempt in %.0f of 100 cases, before in %.0f", 100*after.share(), 100*before.share())}, nil
	}
	return nil, nil
}

// soundResult is a sound request: when it was sent, and whether it began at the first attempt.
type soundResult struct {
	sentAt time.Duration
	begun  bool
}

// fifthCrash is the crash from which the bound counts, or the last one if there are fewer.
const fifthCrash = 5

// fifth returns the time of the fifth crash by the part.
func (e *engines) fifth() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bed.note("%d crashes by the part", len(e.crashes))
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[min(len(e.crashes), fifthCrash)-1]
}

// killAll kills all daemons at the same time, and starts them again.
func (b *bed) killAll() error {
	b.note("all %d daemons are killed", len(b.hosts))
	for _, h := range b.hosts {
		h.kill()
	}
	time.Sleep(restartTime)
	for _, h := range b.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range b.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	b.note("all %d daemons are ready again", len(b.hosts))
	return nil
}

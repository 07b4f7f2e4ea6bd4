package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"carobspoke.example/core/process/suspects"
	"carobspoke.example/core/version/routing"
)

// Case 9: a part of prompts crashes targets, and the prompts have many parts. The daemons track
// some of the parts only.

const (
	case9Parts = 48
	case9From  = 4 * time.Second
	case9End   = 45 * time.Second
	case9Every = time.Second
	// fifthCrash is the crash from which the bound counts, and maxLate how many requests may
	// reach targets later than stableTime after it.
	fifthCrash = 5
	maxLate    = 3
)

// manyParts returns the IDs of shared parts, as random as those of users, and the index of the
// first one whose hash is not among the tracked ones: a third of them are not.
func manyParts() (parts []string, untracked int) {
	for n := range case9Parts {
		const factor = 2654435761
		parts = append(parts, fmt.Sprintf("%08x", uint32(n+1)*factor))
	}
	tracked := suspects.PartItems(parts)
	return parts, slices.IndexFunc(parts, func(part string) bool { return !slices.Contains(tracked, suspects.PartItem(part)) })
}

func untrackedPart(b *bed) ([]string, error) {
	parts, crashing := manyParts()
	if crashing < 0 {
		return nil, fmt.Errorf("all parts are tracked")
	}
	e, err := startEngines(b, case8Engines, parts[crashing])
	if err != nil {
		return nil, err
	}
	sound := slices.Delete(slices.Clone(parts), crashing, crashing+1)
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
	var running sync.WaitGroup
	lastPart := began.Add(case9From)
	for n := 0; time.Since(began) < case9End; n++ {
		h := b.hosts[n%len(b.hosts)]
		if b.trouble && time.Since(began) >= case9From && time.Since(lastPart) >= case9Every {
			lastPart = time.Now()
			running.Go(func() { b.stream(h, n, "c", parts) })
		}
		running.Go(func() { b.stream(h, n, "s", sound) })
		time.Sleep(soundEvery)
	}
	running.Wait()
	return e.late(), nil
}

// late returns a line if too many requests with the part reached targets after the fifth crash.
func (e *engines) late() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bed.note("%d crashes by the part", len(e.crashes))
	if len(e.crashes) < fifthCrash {
		return nil
	}
	count := 0
	for _, at := range e.crashes {
		if at.Sub(e.crashes[fifthCrash-1]) > stableTime {
			count++
		}
	}
	if count <= maxLate {
		return nil
	}
	return []string{fmt.Sprintf("%d requests with the part reached targets later than %s after the fifth crash", count, stableTime)}
}

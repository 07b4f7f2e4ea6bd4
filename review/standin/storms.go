package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
)

const (
	// memoryLimit is memory_mb of the smallest machines of the site, in kB.
	memoryLimit = 184 << 10
	// furtherRoutes is the number of routes by which the configuration grows.
	furtherRoutes = 1400
	// stormChanges, stormGap and stormPause are the changes of a storm, and the times between
	// two changes and between two storms.
	stormChanges = 25
	stormGap     = 80 * time.Millisecond
	stormPause   = 2 * time.Second
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = time.Second
)

// anonymousMemory returns the anonymous memory of a process in kB, zero if it has ended.
func anonymousMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// limitMemory kills a daemon that exceeds its memory, and starts it again, until stop is
// closed. It returns how often.
func (b *bed) limitMemory(d *daemon, stop <-chan struct{}) int {
	kills := 0
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(50 * time.Millisecond):
		}
		if kb := anonymousMemory(d.pid()); kb > memoryLimit {
			d.kill()
			kills++
			b.log("%s had %d MB of memory and was killed", d.name, kb>>10)
			time.Sleep(restartDelay)
			_ = d.start()
		}
	}
}

// bigConfig returns the configuration with further routes.
func bigConfig(further int) []routing.Route {
	var list []routing.Route
	for i := range further {
		list = append(list, routing.Route{
			Name: fmt.Sprintf("r-%07d", i), Hostname: hostname, Prefix: fmt.Sprintf("/pufi%05d/", i), Kind: routing.Idempotent, Timeout: 2500 * time.Millisecond,
			LatencyTarget: 150 * time.Millisecond, MaxAttempts: 2, Priority: 1, Services: []routing.WeightedService{{Service: appService, Weight: 1}},
		})
	}
	return list
}

// runStorms changes a large configuration in storms, as planned. Daemons that exceed their
// memory are killed.
func runStorms(b *bed) ([]string, error) {
	for _, id := range []string{"i-app-1", "i-app-2", "i-app-3"} {
		if _, err := b.startTarget(names.Target(id), appService); err != nil {
			return nil, err
		}
	}
	customers := []routing.Customer{{Name: "hule930", Keys: []string{keyA}}}
	further := bigConfig(furtherRoutes)
	if _, err := b.publish(3, customers, further...); err != nil {
		return nil, err
	}
	const daemons, callersEach = 3, 10
	if err := b.startDaemons(daemons, 1); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // the daemons know each other
	end := time.Now().Add(80 * time.Second)
	stop := make(chan struct{})
	var limits, callers sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	kills := make(map[string]int)
	for _, d := range b.daemons {
		limits.Go(func() {
			n := b.limitMemory(d, stop)
			mu.Lock()
			defer mu.Unlock()
			kills[d.name] = n
		})
		for range callersEach {
			callers.Go(func() {
				for time.Now().Before(end) {
					r := b.call(d, readPath+"1", keyA)
					if r.err != nil && b.ran(r.attempt) {
						mu.Lock()
						broken = append(broken, fmt.Sprintf("request %s was passed on by %s, and its connection ended without an answer: %v", r.attempt, d.name, r.err))
						mu.Unlock()
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	version := names.Version(4)
	for b.trouble && time.Now().Before(end.Add(-stormChanges*stormGap)) {
		for range stormChanges {
			if _, err := b.publish(version, customers, further...); err != nil {
				return nil, err
			}
			version += 3
			time.Sleep(stormGap)
		}
		line := ""
		for _, d := range b.daemons {
			line += fmt.Sprintf(" %s %d MB", d.name, anonymousMemory(d.pid())>>10)
		}
		b.log("%d versions were written; memory:%s", (version-4)/3, line)
		time.Sleep(stormPause)
	}
	callers.Wait()
	close(stop)
	limits.Wait()
	b.log("daemons ended because of their memory: %v", kills)
	const allowed = 3
	if len(broken) <= allowed {
		return nil, nil
	}
	return broken, nil
}

package soak

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// shareInterval is the time between two readings of the processor time of a daemon
	// and of the load average.
	shareInterval = 250 * time.Millisecond
	// clockTick is the unit of the processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
)

// throttle holds daemons to a share of the time, by stopping and continuing their processes.
type throttle struct {
	share  float64
	period time.Duration
	// overlong is called with the start of each stop that lasted minStall longer than planned,
	// since this machine was too busy to end it.
	overlong func(h *host, from time.Time)

	mu     sync.Mutex
	shares map[*host]*Share
	// loadMax is the highest load average of the machine, loadSum the sum of loadSamples.
	loadMax, loadSum float64
	loadSamples      int
}

// Share is what a daemon got of the processor.
type Share struct {
	Host string
	// Running is the part of the time in which the process was not stopped, Core the
	// processor time that it used, as a part of one core.
	Running, Core float64
	// Stops is the number of stops, LongestStop the longest of them.
	Stops       int
	LongestStop time.Duration

	used, stopped time.Duration
}

// run throttles the hosts until ctx ends. phases are the starts of their periods.
func (t *throttle) run(ctx context.Context, phases map[*host]time.Duration) {
	began := time.Now()
	t.shares = make(map[*host]*Share)
	for h := range phases {
		t.shares[h] = &Share{Host: h.settings.Name}
	}
	var running sync.WaitGroup
	for h, phase := range phases {
		running.Go(func() { t.hold(ctx, h, began.Add(phase)) })
		running.Go(func() { t.measure(ctx, h) })
	}
	running.Go(func() { t.measureLoad(ctx) })
	running.Wait()
	took := time.Since(began)
	for _, s := range t.shares {
		s.Running = 1 - s.stopped.Seconds()/took.Seconds()
		s.Core = s.used.Seconds() / took.Seconds()
	}
}

// hold stops a process for a part of each period, the first of which starts at a moment. It
// continues the process before it returns.
func (t *throttle) hold(ctx context.Context, h *host, start time.Time) {
	if t.share >= 1 {
		return
	}
	runs := time.Duration(t.share * float64(t.period))
	for ; ctx.Err() == nil; start = start.Add(t.period) {
		if time.Since(start) > t.period {
			continue // this machine was too busy
		}
		sleepUntil(ctx, start.Add(runs))
		stopped := time.Now()
		end := h.hold()
		sleepUntil(ctx, start.Add(t.period))
		end()
		took := time.Since(stopped)
		t.record(h, took)
		if took > t.period-runs+minStall {
			t.overlong(h, stopped)
		}
	}
}

// record records a stop of a daemon.
func (t *throttle) record(h *host, stopped time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shares[h]
	s.Stops++
	s.stopped += stopped
	s.LongestStop = max(s.LongestStop, stopped)
}

// measure adds up the processor time that the processes of a daemon use.
func (t *throttle) measure(ctx context.Context, h *host) {
	pid := h.pid()
	last := processorTime(pid)
	for ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(shareInterval))
		if now := h.pid(); now != pid {
			pid, last = now, 0
		}
		used := processorTime(pid)
		t.mu.Lock()
		t.shares[h].used += max(used-last, 0)
		t.mu.Unlock()
		last = max(used, last)
	}
}

// measureLoad reads the load average of the machine.
func (t *throttle) measureLoad(ctx context.Context) {
	for ctx.Err() == nil {
		load := loadAverage()
		t.loadMax = max(t.loadMax, load)
		t.loadSum += load
		t.loadSamples++
		sleepUntil(ctx, time.Now().Add(shareInterval))
	}
}

// loadAverage returns the load average of the last minute, or 0 if it can't be read.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return load
}

// processorTime returns the time that a process has used, or 0 if it can't be read.
func processorTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	return parseProcessorTime(string(text))
}

// parseProcessorTime returns the sum of utime and stime of a line of /proc/PID/stat, or 0.
func parseProcessorTime(stat string) time.Duration {
	// utime and stime follow the name, which may contain blanks, after these many fields.
	const before = 11
	_, rest, _ := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	if len(fields) < before+2 {
		return 0
	}
	ticks := 0
	for _, field := range fields[before : before+2] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// keepBusy occupies a number of threads until ctx ends.
func keepBusy(ctx context.Context, threads int) (wait func()) {
	before := runtime.GOMAXPROCS(0)
	runtime.GOMAXPROCS(before + threads) // so that they do not hold up the callers
	var running sync.WaitGroup
	for range threads {
		running.Go(func() {
			for ctx.Err() == nil {
			}
		})
	}
	return func() {
		running.Wait()
		runtime.GOMAXPROCS(before)
	}
}

// sleepUntil sleeps until a moment or the end of ctx.
func sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

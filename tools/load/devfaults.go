package load

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/tools/dev"
	"carobspoke.example/tools/load/workload"
	"carobspoke.example/tools/standin/fault"
	"carobspoke.example/tools/standin/fleet"
)

// daemonPrefix is the prefix of daemon names in faults. "daemon-1" is the first
// daemon in the list of those running when the fault is injected.
const daemonPrefix = "daemon-"

// Kinds of faults that need daemons in the same process.
const (
	// Leave publishes the departure of a target at the end of the command's
	// ForMS, and kills the target at that time.
	Leave fault.Kind = "leave"
	// Rollout publishes a manifest in which all engines serve the second
	// version of the model.
	Rollout fault.Kind = "rollout"
	// Drain drains a daemon for at most the command's ForMS and starts a new
	// daemon in its place.
	Drain fault.Kind = "drain"
)

// devFaults injects faults into a development fleet.
type devFaults struct {
	dev *dev.Environment
	mu  sync.Mutex // serialises reading, changing and publishing the manifest
}

// inject injects a fault and returns when it is over. It returns false for a
// fault that the stand-ins handle.
func (c *devFaults) inject(ctx context.Context, f workload.Fault) bool {
	if strings.HasPrefix(f.Target, daemonPrefix) {
		c.injectDaemonFault(ctx, f)
		return true
	}
	switch f.Command.Kind {
	case Leave:
		c.leave(ctx, f)
	case Rollout:
		c.publish(setSecondVersion)
	default:
		return false
	}
	return true
}

func (c *devFaults) injectDaemonFault(ctx context.Context, f workload.Fault) {
	daemons := c.dev.Daemons()
	number, err := strconv.Atoi(strings.TrimPrefix(f.Target, daemonPrefix))
	if err != nil || number < 1 || number > len(daemons) {
		return
	}
	removed := daemons[number-1]
	duration := time.Duration(f.Command.ForMS) * time.Millisecond
	switch f.Command.Kind {
	case Drain:
		drain, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		_ = c.dev.RemoveDaemon(drain, removed) // requests that outlast the drain are cut off
	case fault.Kill:
		now, cancel := context.WithCancel(ctx)
		cancel()
		_ = c.dev.RemoveDaemon(now, removed) // the cancelled context skips the drain
		waitUntil(ctx, time.Now().Add(duration))
	}
	_, _ = c.dev.AddDaemon() // a failure shows in the results of the run
}

func (c *devFaults) leave(ctx context.Context, f workload.Fault) {
	at := time.Now().Add(time.Duration(f.Command.ForMS) * time.Millisecond)
	c.publish(func(m *manifest.Manifest) {
		departure := manifest.Departure{Target: names.Target(f.Target), At: at}
		m.Departures = append(slices.Clone(m.Departures), departure)
	})
	if !waitUntil(ctx, at) {
		return
	}
	for i, t := range c.dev.Manifest().Targets {
		if t.Name == names.Target(f.Target) && i < len(c.dev.Fleet.Engines()) {
			_ = c.dev.Fleet.Engines()[i].Kill() // fails if the engine is already down
		}
	}
}

func setSecondVersion(m *manifest.Manifest) {
	m.Targets = slices.Clone(m.Targets)
	for i := range m.Targets {
		if m.Targets[i].Service == "" {
			m.Targets[i].Want.Version = fleet.SecondVersion
		}
	}
}

// publish changes the manifest and publishes it as the next version.
func (c *devFaults) publish(change func(*manifest.Manifest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.dev.Manifest()
	change(&m)
	m.Version++
	_ = c.dev.Publish(m) // a failure shows in the results of the run
}

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

// daemonPrefix begins the names of daemons in faults: "daemon-1" is the first
// that runs at the time.
const daemonPrefix = "daemon-"

// Kinds of events that only a run with daemons in the same process has.
const (
	// Leave publishes that a target leaves after the command's ForMS, and
	// stops the target then.
	Leave fault.Kind = "leave"
	// Rollout publishes that all engines shall serve the second version.
	Rollout fault.Kind = "rollout"
	// Drain drains a daemon for at most the command's ForMS and replaces it.
	Drain fault.Kind = "drain"
)

// devCauses carries out faults of a development fleet.
type devCauses struct {
	dev *dev.Environment
	mu  sync.Mutex // held while a manifest is changed and published
}

func (c *devCauses) cause(ctx context.Context, f workload.Fault) bool {
	if strings.HasPrefix(f.Target, daemonPrefix) {
		c.causeDaemon(ctx, f)
		return true
	}
	switch f.Command.Kind {
	case Leave:
		c.leave(ctx, f)
	case Rollout:
		c.publish(rollOut)
	default:
		return false
	}
	return true
}

func (c *devCauses) causeDaemon(ctx context.Context, f workload.Fault) {
	daemons := c.dev.Daemons()
	number, err := strconv.Atoi(strings.TrimPrefix(f.Target, daemonPrefix))
	if err != nil || number < 1 || number > len(daemons) {
		return
	}
	gone := daemons[number-1]
	lasts := time.Duration(f.Command.ForMS) * time.Millisecond
	switch f.Command.Kind {
	case Drain:
		drain, cancel := context.WithTimeout(ctx, lasts)
		defer cancel()
		_ = c.dev.RemoveDaemon(drain, gone) // what was left is cut
	case fault.Kill:
		now, cancel := context.WithCancel(ctx)
		cancel()
		_ = c.dev.RemoveDaemon(now, gone) // it is cut at once
		waitUntil(ctx, time.Now().Add(lasts))
	}
	_, _ = c.dev.AddDaemon() // the run shows if it fails
}

func (c *devCauses) leave(ctx context.Context, f workload.Fault) {
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
			_ = c.dev.Fleet.Engines()[i].Kill() // it may be down already
		}
	}
}

func rollOut(m *manifest.Manifest) {
	m.Targets = slices.Clone(m.Targets)
	for i := range m.Targets {
		if m.Targets[i].Service == "" {
			m.Targets[i].Want.Version = fleet.SecondVersion
		}
	}
}

// publish changes the manifest and publishes it as the next version.
func (c *devCauses) publish(change func(*manifest.Manifest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.dev.Manifest()
	change(&m)
	m.Version++
	_ = c.dev.Publish(m) // the run shows if it fails
}

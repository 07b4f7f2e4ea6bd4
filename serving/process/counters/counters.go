// Package counters counts events of a process, such as refusals and retries, with
// one counter per reason.
package counters

import (
	"strings"

	"carobspoke.example/core/verdict"
	"github.com/rcrowley/go-metrics"
)

// Prefixes of the names of the counters that exist for each reason.
const (
	RefusedPrefix = "refused."
	RetriedPrefix = "retried."
	FailedPrefix  = "failed."
)

// Counters wraps a metrics registry. Its methods are safe for concurrent use.
type Counters struct {
	registry metrics.Registry
}

// New returns counters in a new registry. The counters of refusals, retries and
// failures exist from the start for every reason, at zero.
func New() *Counters {
	c := &Counters{registry: metrics.NewRegistry()}
	for _, reason := range verdict.Reasons() {
		c.counter(RefusedPrefix + string(reason))
		c.counter(RetriedPrefix + string(reason))
		c.counter(FailedPrefix + string(reason))
	}
	return c
}

// Registry returns the registry, so that other packages can add metrics to it.
func (c *Counters) Registry() metrics.Registry { return c.registry }

// RecordError counts a request that ended with an error: as refused if it provably
// did not run (verdict.NotRun), as failed otherwise.
func (c *Counters) RecordError(err *verdict.Error) {
	if err.Verdict == verdict.NotRun {
		c.Add(RefusedPrefix+string(err.Reason), 1)
		return
	}
	c.Add(FailedPrefix+string(err.Reason), 1)
}

// RecordRetry counts a retry under the reason for which the previous attempt
// failed.
func (c *Counters) RecordRetry(reason verdict.Reason) {
	c.Add(RetriedPrefix+string(reason), 1)
}

// Add adds n to the named counter, which is created if it does not exist.
func (c *Counters) Add(name string, n int64) { c.counter(name).Inc(n) }

// Get returns the value of the named counter, which is created if it does not
// exist.
func (c *Counters) Get(name string) int64 { return c.counter(name).Count() }

// Refusals returns the number of refusals by reason, without the reasons that have
// none.
func (c *Counters) Refusals() map[string]int64 {
	found := make(map[string]int64)
	c.registry.Each(func(name string, metric any) {
		reason, ok := strings.CutPrefix(name, RefusedPrefix)
		counter, isCounter := metric.(metrics.Counter)
		if ok && isCounter && counter.Count() > 0 {
			found[reason] = counter.Count()
		}
	})
	return found
}

// All returns the values of every metric in the registry, by name.
func (c *Counters) All() map[string]map[string]any { return c.registry.GetAll() }

func (c *Counters) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.registry)
}

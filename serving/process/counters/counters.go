// Package counters counts refusals, retries and other events of a process,
// one counter for each reason, and reads them out.
package counters

import (
	"strings"

	"carobspoke.example/core/verdict"
	"github.com/rcrowley/go-metrics"
)

// Prefixes of the counters that exist for each reason.
const (
	RefusedPrefix = "refused."
	RetriedPrefix = "retried."
	FailedPrefix  = "failed."
)

// Counters wraps a metrics registry. Its methods are safe for concurrent use.
type Counters struct {
	registry metrics.Registry
}

// New returns counters in a registry of their own. Every refusal, retry and
// failure reason is there from the start, at zero.
func New() *Counters {
	c := &Counters{registry: metrics.NewRegistry()}
	for _, reason := range verdict.Reasons() {
		c.counter(RefusedPrefix + string(reason))
		c.counter(RetriedPrefix + string(reason))
		c.counter(FailedPrefix + string(reason))
	}
	return c
}

// Registry returns the registry, for packages that add metrics of their own.
func (c *Counters) Registry() metrics.Registry { return c.registry }

// Ended counts a request that ended with an error: refused if it provably did
// not run, failed otherwise.
func (c *Counters) Ended(err *verdict.Error) {
	if err.Verdict == verdict.NotRun {
		c.Add(RefusedPrefix+string(err.Reason), 1)
		return
	}
	c.Add(FailedPrefix+string(err.Reason), 1)
}

// Retried counts a retry, by the reason of the attempt before it.
func (c *Counters) Retried(reason verdict.Reason) {
	c.Add(RetriedPrefix+string(reason), 1)
}

// Add adds n to the counter of a name.
func (c *Counters) Add(name string, n int64) { c.counter(name).Inc(n) }

// Get returns a counter's value.
func (c *Counters) Get(name string) int64 { return c.counter(name).Count() }

// Refusals returns the refusals by reason, those that occurred.
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

// All returns every metric with its values.
func (c *Counters) All() map[string]map[string]any { return c.registry.GetAll() }

func (c *Counters) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.registry)
}

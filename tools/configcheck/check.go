// Package configcheck checks a routing configuration before it is published, and compares
// it with the version in force.
package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
)

// Severity is how serious a finding is.
type Severity string

// Severities. With an Error, daemons refuse the configuration, or requests that it seems to
// allow are never served. A Warning is an entry or value without the effect that it seems to
// have.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity
	// Place is the entry and field, such as `routes[2] "chat": prefix`.
	Place string
	Text  string
}

func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Place, f.Text) }

// Bounds of the daemon that no configuration can exceed.
const (
	maxHeaderBytes   = 256 << 10
	maxHeaderTimeout = 30 * time.Second
	maxPriority      = 9
)

// findings collects findings in the order of the configuration.
type findings []Finding

func (f *findings) add(severity Severity, place, format string, args ...any) {
	*f = append(*f, Finding{Severity: severity, Place: place, Text: fmt.Sprintf(format, args...)})
}

// Check returns the faults of a configuration, in the order of its entries.
func Check(c *routing.Config) []Finding {
	var f findings
	if c.Version == 0 {
		f.add(Error, "version", "is missing or zero")
	}
	f.checkRoutes(c)
	f.checkServices(c)
	f.checkCustomers(c)
	f.checkLimits(&c.Limits)
	return f
}

func routePlace(i int, r *routing.Route, field string) string {
	return fmt.Sprintf("routes[%d] %q: %s", i, r.Name, field)
}

func (f *findings) checkRoutes(c *routing.Config) {
	if len(c.Routes) == 0 {
		f.add(Error, "routes", "there is none, all requests are refused")
	}
	known := make(map[names.Service]bool)
	for i := range c.Services {
		known[c.Services[i].Name] = true
	}
	type match struct{ hostname, prefix string }
	first, byName := make(map[match]int), make(map[string]int)
	for i := range c.Routes {
		r := &c.Routes[i]
		if before, ok := byName[r.Name]; ok {
			f.add(Warning, routePlace(i, r, "name"), "is that of routes[%d] as well, logs cannot tell them apart", before)
		}
		byName[r.Name] = i
		f.checkMatch(i, r)
		at := match{r.Hostname, r.Prefix}
		if before, ok := first[at]; ok {
			f.add(Error, routePlace(i, r, "prefix"), "never matches, routes[%d] %q has the same hostname and prefix", before, c.Routes[before].Name)
		} else {
			first[at] = i
		}
		f.checkSplit(i, r, known)
		f.checkRouteTimes(i, r)
	}
}

// checkMatch checks which requests a route matches by itself.
func (f *findings) checkMatch(i int, r *routing.Route) {
	switch {
	case r.Hostname == "":
		f.add(Error, routePlace(i, r, "hostname"), "is missing")
	case strings.ContainsAny(r.Hostname, ":/ "):
		f.add(Error, routePlace(i, r, "hostname"), "never matches, %q is not a host name without a port", r.Hostname)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		f.add(Error, routePlace(i, r, "prefix"), "%q does not begin and end with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?#"):
		f.add(Error, routePlace(i, r, "prefix"), "never matches, no path contains the query or fragment of %q", r.Prefix)
	}
}

func (f *findings) checkSplit(i int, r *routing.Route, known map[names.Service]bool) {
	total := 0
	for _, s := range r.Services {
		if !known[s.Service] {
			f.add(Error, routePlace(i, r, "service"), "%q is not among the services", s.Service)
		}
		if s.Weight <= 0 {
			f.add(Warning, routePlace(i, r, "service"), "%q has the weight %d and gets no requests", s.Service, s.Weight)
		}
		total += max(s.Weight, 0)
	}
	if total == 0 {
		f.add(Error, routePlace(i, r, "service"), "no service has a weight, all requests are refused")
	}
}

func (f *findings) checkRouteTimes(i int, r *routing.Route) {
	if r.Timeout <= 0 {
		f.add(Error, routePlace(i, r, "time-out"), "is %s, want more than zero", r.Timeout)
	}
	if r.LatencyTarget > r.Timeout {
		f.add(Error, routePlace(i, r, "latency target"), "%s exceeds the time-out of %s", r.LatencyTarget, r.Timeout)
	}
	if r.GapTarget > r.Timeout {
		f.add(Error, routePlace(i, r, "gap target"), "%s exceeds the time-out of %s", r.GapTarget, r.Timeout)
	}
	if r.GapTarget > 0 && r.Kind != routing.Streaming {
		f.add(Warning, routePlace(i, r, "gap target"), "has no effect, only streams have events")
	}
	if r.Resumable && r.Kind != routing.Streaming {
		f.add(Warning, routePlace(i, r, "resumable"), "has no effect, only streams are resumed")
	}
	if r.MaxAttempts <= 0 {
		f.add(Error, routePlace(i, r, "most attempts"), "is %d, want one or more", r.MaxAttempts)
	}
	if r.MaxAttempts > 1 && !r.Repeatable() {
		f.add(Warning, routePlace(i, r, "most attempts"), "%d are allowed, a request of this kind runs at most once", r.MaxAttempts)
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		f.add(Error, routePlace(i, r, "priority"), "is %d, want 0 to %d", r.Priority, maxPriority)
	}
}

func (f *findings) checkServices(c *routing.Config) {
	used := make(map[names.Service]bool)
	for i := range c.Routes {
		for _, s := range c.Routes[i].Services {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	seen := make(map[names.Service]int)
	for i := range c.Services {
		s := &c.Services[i]
		place := func(field string) string { return fmt.Sprintf("services[%d] %q: %s", i, s.Name, field) }
		if before, ok := seen[s.Name]; ok {
			f.add(Error, place("name"), "is that of services[%d] as well, which has no effect", before)
		}
		seen[s.Name] = i
		if !used[s.Name] {
			f.add(Warning, place("name"), "no route sends requests to it")
		}
		if (s.ColdTime > 0) != (s.ColdRate > 0) {
			f.add(Warning, place("cold rate"), "cold for %s with a rate of %g a second: without both there is no bound", s.ColdTime, s.ColdRate)
		}
		if s.Engine != nil {
			f.checkEngine(s.Engine, place)
		}
	}
}

func (f *findings) checkEngine(e *routing.Engine, place func(string) string) {
	if e.Slots <= 0 {
		f.add(Error, place("slots"), "are %d, want one or more", e.Slots)
	}
	if e.MemoryTokens <= 0 {
		f.add(Error, place("memory"), "of %d tokens, want one or more", e.MemoryTokens)
		return
	}
	if e.ChunkTokens > e.MemoryTokens {
		f.add(Error, place("chunk"), "of %d tokens exceeds the memory of %d", e.ChunkTokens, e.MemoryTokens)
	}
	if mean := e.MeanPromptTokens + e.MeanAnswerTokens; mean > e.MemoryTokens && !e.ParallelPrefill {
		f.add(Error, place("usual lengths"), "sum up to %d tokens, which exceed the memory of %d", mean, e.MemoryTokens)
	}
}

func (f *findings) checkCustomers(c *routing.Config) {
	owner, seen := make(map[string]int), make(map[names.Customer]int)
	for i := range c.Customers {
		customer := &c.Customers[i]
		place := func(field string) string { return fmt.Sprintf("tenants[%d] %q: %s", i, customer.Name, field) }
		if before, ok := seen[customer.Name]; ok {
			f.add(Warning, place("name"), "is that of tenants[%d] as well", before)
		}
		seen[customer.Name] = i
		if len(slices.DeleteFunc(slices.Clone(customer.Keys), func(key string) bool { return key == "" })) == 0 {
			f.add(Warning, place("keys"), "there is none, the tenant cannot call")
		}
		f.checkKeys(c, customer, place, owner, i)
		if customer.Priority != nil && (*customer.Priority < 0 || *customer.Priority > maxPriority) {
			f.add(Error, place("priority"), "is %d, want 0 to %d", *customer.Priority, maxPriority)
		}
		for j := range c.Routes {
			if r := &c.Routes[j]; disjoint(r.Regions, customer.Regions) {
				f.add(Warning, place("allowed regions"), "none is among those of routes[%d] %q, all its requests there are refused", j, r.Name)
			}
		}
	}
}

// checkKeys checks the keys of a customer. owner maps the keys of earlier ones to their
// places in the list. Keys are secret and not part of a finding.
func (f *findings) checkKeys(c *routing.Config, customer *routing.Customer, place func(string) string, owner map[string]int, i int) {
	for k, key := range customer.Keys {
		before, ok := owner[key]
		switch {
		case key == "":
			f.add(Warning, place(fmt.Sprintf("keys[%d]", k)), "is empty and never matches")
			continue
		case ok && before != i && c.Customers[before].Name != customer.Name:
			f.add(Error, place(fmt.Sprintf("keys[%d]", k)), "is also a key of tenants[%d] %q", before, c.Customers[before].Name)
		case ok:
			f.add(Warning, place(fmt.Sprintf("keys[%d]", k)), "is listed twice")
		}
		owner[key] = i
	}
}

// disjoint reports whether both lists restrict, and no region is in both.
func disjoint(a, b []names.Region) bool {
	return len(a) > 0 && len(b) > 0 && !slices.ContainsFunc(a, func(r names.Region) bool { return slices.Contains(b, r) })
}

func (f *findings) checkLimits(l *routing.Limits) {
	if l.HeaderBytes > maxHeaderBytes {
		f.add(Error, "limits: header bytes", "%d exceed the daemon's own limit of %d", l.HeaderBytes, maxHeaderBytes)
	}
	if l.HeaderTimeout > maxHeaderTimeout {
		f.add(Error, "limits: header time-out", "%s exceeds the daemon's own of %s", l.HeaderTimeout, maxHeaderTimeout)
	}
	if l.HeaderTimeout < 0 || l.IdleTimeout < 0 || l.HeaderBytes < 0 || l.BodyBytes < 0 {
		f.add(Error, "limits", "one is negative")
	}
	for _, missing := range []struct {
		name string
		zero bool
	}{
		{"header bytes", l.HeaderBytes == 0}, {"body bytes", l.BodyBytes == 0}, {"header time-out", l.HeaderTimeout == 0}, {"idle time-out", l.IdleTimeout == 0},
	} {
		if missing.zero {
			f.add(Warning, "limits: "+missing.name, "is missing or zero, callers are not limited by it")
		}
	}
}

// HasErrors reports whether a finding is an error.
func HasErrors(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == Error })
}

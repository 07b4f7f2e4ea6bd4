package routing

import (
	"maps"
	"slices"
	"strings"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// Table answers lookups in one version of the configuration.
type Table struct {
	Version  names.Version
	Limits   Limits
	routes   map[string][]*Route
	services map[names.Service]*Service
	byKey    map[string]*Customer
	// requiresKey is true if the configuration has customers.
	requiresKey bool
}

// NewTable checks and indexes a configuration. Its error names the first invalid
// entry.
func NewTable(c *Config) (*Table, error) {
	if c.Version == 0 {
		return nil, errors.New("routing: the version is missing")
	}
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		routes:   make(map[string][]*Route),
		services: make(map[names.Service]*Service, len(c.Services)),
		byKey:    make(map[string]*Customer),

		requiresKey: len(c.Customers) > 0,
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	if err := t.addRoutes(c.Routes); err != nil {
		return nil, err
	}
	return t, t.addCustomers(c.Customers)
}

func (t *Table) addRoutes(routes []Route) error {
	for i := range routes {
		r := &routes[i]
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return errors.Errorf("routing: route %q: the prefix %q does not begin and end with a slash", r.Name, r.Prefix)
		}
		if len(r.Services) == 0 {
			return errors.Errorf("routing: route %q has no service", r.Name)
		}
		t.routes[r.Hostname] = append(t.routes[r.Hostname], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

func (t *Table) addCustomers(customers []Customer) error {
	for i := range customers {
		customer := &customers[i]
		for _, key := range customer.Keys {
			if key == "" {
				continue // that of a request without a key
			}
			if other, ok := t.byKey[key]; ok && other.Name != customer.Name {
				return errors.Errorf("routing: customers %q and %q have the same key", other.Name, customer.Name)
			}
			t.byKey[key] = customer
		}
	}
	return nil
}

// Match returns the route of a host name with the longest prefix that matches the
// path, or nil.
func (t *Table) Match(hostname, path string) *Route {
	for _, r := range t.routes[hostname] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name names.Service) *Service { return t.services[name] }

// ServiceNames returns the names of all services, in no order.
func (t *Table) ServiceNames() []names.Service { return slices.Collect(maps.Keys(t.services)) }

// CustomerByKey returns the customer that has an API key, or nil.
func (t *Table) CustomerByKey(key string) *Customer { return t.byKey[key] }

// RequiresKey reports whether requests need an API key: if there are customers, also if
// none of them has a key.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// PickService returns the service for a request, weighted at random, or an empty name if
// no service has a weight. The argument is a random number in [0, 1).
func (r *Route) PickService(random float64) names.Service {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	remaining := random * float64(total)
	var last names.Service
	for _, s := range r.Services {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if remaining -= float64(s.Weight); remaining < 0 {
			break
		}
	}
	return last
}

package manifest

import (
	"cmp"
	"slices"
)

// Canonical returns a copy with each section sorted by name, empty lists as
// nil and times in UTC. Two equivalent manifests have the same canonical form,
// except for the order of names within an entry.
func (m *Manifest) Canonical() *Manifest {
	c := *m
	c.Fleet.DataCentres = sortedByName(m.Fleet.DataCentres, func(d DataCentreRegion) string { return string(d.Name) })
	c.Models = sortedByName(m.Models, func(x Model) string { return string(x.Name) })
	c.Services = sortedByName(m.Services, func(x Service) string { return string(x.Name) })
	c.Customers = sortedByName(m.Customers, func(x Customer) string { return string(x.Name) })
	c.Targets = sortedByName(m.Targets, func(x Target) string { return string(x.Name) })
	c.Departures = sortedByName(m.Departures, func(x Departure) string { return string(x.Target) })
	for i := range c.Models {
		c.Models[i].Versions = nilIfEmpty(c.Models[i].Versions)
		c.Models[i].Adapters = nilIfEmpty(c.Models[i].Adapters)
	}
	for i := range c.Customers {
		c.Customers[i].KeyDigests = nilIfEmpty(c.Customers[i].KeyDigests)
		c.Customers[i].Models = nilIfEmpty(c.Customers[i].Models)
		c.Customers[i].Services = nilIfEmpty(c.Customers[i].Services)
	}
	for i := range c.Targets {
		c.Targets[i].Want.Adapters = nilIfEmpty(c.Targets[i].Want.Adapters)
	}
	for i := range c.Departures {
		c.Departures[i].At = c.Departures[i].At.UTC()
	}
	return &c
}

func sortedByName[T any](list []T, name func(T) string) []T {
	list = slices.Clone(nilIfEmpty(list))
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return list
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

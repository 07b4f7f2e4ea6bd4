package manifest

import (
	"cmp"
	"slices"
)

// Canonical returns a copy with each section sorted by name, empty lists as
// nil and times in UTC. Two manifests that mean the same have the same
// canonical form but for the order of names within an entry.
func (m *Manifest) Canonical() *Manifest {
	c := *m
	c.Fleet.DataCentres = sorted(m.Fleet.DataCentres, func(d DataCentreRegion) string { return string(d.Name) })
	c.Models = sorted(m.Models, func(x Model) string { return string(x.Name) })
	c.Services = sorted(m.Services, func(x Service) string { return string(x.Name) })
	c.Customers = sorted(m.Customers, func(x Customer) string { return string(x.Name) })
	c.Targets = sorted(m.Targets, func(x Target) string { return string(x.Name) })
	c.Departures = sorted(m.Departures, func(x Departure) string { return string(x.Target) })
	for i := range c.Models {
		c.Models[i].Versions = orNil(c.Models[i].Versions)
		c.Models[i].Adapters = orNil(c.Models[i].Adapters)
	}
	for i := range c.Customers {
		c.Customers[i].KeyDigests = orNil(c.Customers[i].KeyDigests)
		c.Customers[i].Models = orNil(c.Customers[i].Models)
		c.Customers[i].Services = orNil(c.Customers[i].Services)
	}
	for i := range c.Targets {
		c.Targets[i].Want.Adapters = orNil(c.Targets[i].Want.Adapters)
	}
	for i := range c.Departures {
		c.Departures[i].At = c.Departures[i].At.UTC()
	}
	return &c
}

func sorted[T any](list []T, name func(T) string) []T {
	list = slices.Clone(orNil(list))
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return list
}

func orNil[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

package manifest

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Index answers lookups in one version in constant time. It is built once,
// never changes and is safe for concurrent use. Returned pointers and slices
// are shared and must not be modified.
type Index struct {
	m              *Manifest
	byKey          map[names.Digest]*Customer
	customers      map[names.Customer]*Customer
	models         map[names.Model]*Model
	services       map[names.Service]*Service
	targets        map[names.Target]*Target
	modelTargets   map[names.Model][]*Target
	serviceTargets map[names.Service][]*Target
	regions        map[names.DataCentre]names.Region
	departures     map[names.Target]time.Time
	modelAccess    map[customerModel]bool
	serviceAccess  map[customerService]bool
}

type customerModel struct {
	customer names.Customer
	model    names.Model
}

type customerService struct {
	customer names.Customer
	service  names.Service
}

// NewIndex returns the index of a valid manifest. The manifest must not be
// modified afterwards.
func NewIndex(m *Manifest) *Index {
	x := &Index{
		m:              m,
		byKey:          map[names.Digest]*Customer{},
		customers:      make(map[names.Customer]*Customer, len(m.Customers)),
		models:         make(map[names.Model]*Model, len(m.Models)),
		services:       make(map[names.Service]*Service, len(m.Services)),
		targets:        make(map[names.Target]*Target, len(m.Targets)),
		modelTargets:   map[names.Model][]*Target{},
		serviceTargets: map[names.Service][]*Target{},
		regions:        map[names.DataCentre]names.Region{},
		departures:     map[names.Target]time.Time{},
		modelAccess:    map[customerModel]bool{},
		serviceAccess:  map[customerService]bool{},
	}
	x.addFleet()
	x.addCustomers()
	x.addTargets()
	return x
}

func (x *Index) addFleet() {
	for _, d := range x.m.Fleet.DataCentres {
		x.regions[d.Name] = d.Region
	}
	for i := range x.m.Models {
		x.models[x.m.Models[i].Name] = &x.m.Models[i]
	}
	for i := range x.m.Services {
		x.services[x.m.Services[i].Name] = &x.m.Services[i]
	}
	for _, d := range x.m.Departures {
		x.departures[d.Target] = d.At
	}
}

func (x *Index) addCustomers() {
	for i := range x.m.Customers {
		c := &x.m.Customers[i]
		x.customers[c.Name] = c
		for _, key := range c.KeyDigests {
			x.byKey[key] = c
		}
		for _, model := range c.Models {
			x.modelAccess[customerModel{c.Name, model}] = true
		}
		for _, service := range c.Services {
			x.serviceAccess[customerService{c.Name, service}] = true
		}
	}
}

func (x *Index) addTargets() {
	for i := range x.m.Targets {
		t := &x.m.Targets[i]
		x.targets[t.Name] = t
		if t.Service != "" {
			x.serviceTargets[t.Service] = append(x.serviceTargets[t.Service], t)
			continue
		}
		x.modelTargets[t.Want.Model] = append(x.modelTargets[t.Want.Model], t)
	}
	for _, list := range x.modelTargets {
		slices.SortFunc(list, byName)
	}
	for _, list := range x.serviceTargets {
		slices.SortFunc(list, byName)
	}
}

func byName(a, b *Target) int { return cmp.Compare(a.Name, b.Name) }

// Manifest returns the indexed manifest.
func (x *Index) Manifest() *Manifest { return x.m }

// CustomerByKey returns the customer that has the API key with this digest.
func (x *Index) CustomerByKey(key names.Digest) (*Customer, bool) {
	c, ok := x.byKey[key]
	return c, ok
}

// Customer returns the customer with the given name.
func (x *Index) Customer(name names.Customer) (*Customer, bool) {
	c, ok := x.customers[name]
	return c, ok
}

// Model returns the model with the given name.
func (x *Index) Model(name names.Model) (*Model, bool) {
	m, ok := x.models[name]
	return m, ok
}

// Service returns the plain service with the given name.
func (x *Index) Service(name names.Service) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Target returns the target with the given name.
func (x *Index) Target(name names.Target) (*Target, bool) {
	t, ok := x.targets[name]
	return t, ok
}

// EnginesOf returns the engines that should serve a model, sorted by name.
func (x *Index) EnginesOf(model names.Model) []*Target { return x.modelTargets[model] }

// TargetsOf returns the replicas of a plain service, sorted by name.
func (x *Index) TargetsOf(service names.Service) []*Target { return x.serviceTargets[service] }

// MayUseModel reports whether a customer may call a model.
func (x *Index) MayUseModel(c names.Customer, model names.Model) bool {
	return x.modelAccess[customerModel{c, model}]
}

// MayUseService reports whether a customer may call a plain service.
func (x *Index) MayUseService(c names.Customer, service names.Service) bool {
	return x.serviceAccess[customerService{c, service}]
}

// RegionOf returns the region of a data centre, or an empty name if the
// manifest does not list the data centre.
func (x *Index) RegionOf(d names.DataCentre) names.Region { return x.regions[d] }

// Departure returns the departure time of a target and whether the manifest
// lists one.
func (x *Index) Departure(t names.Target) (time.Time, bool) {
	at, ok := x.departures[t]
	return at, ok
}

package fleet

import (
	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// Size is the name of a fleet.
type Size string

// Sizes of fleets: one for developers, and those of the two users.
const (
	Dev       Size = "dev"
	Sahayatri Size = "sahayatri"
	Tuuraj    Size = "tuuraj"
)

// layout describes the fleet of a size.
type layout struct {
	region      names.Region
	dataCentres []names.DataCentre
	model       names.Model
	adapters    []names.Adapter
	engines     int
	// application is the first part of the names of the replicas which serve
	// both services below.
	application string
	replicas    int
	// orders may run at most once; lookups may be repeated.
	orders  names.Service
	lookups names.Service
	// large and small are the customers with a large and a small share.
	large   []names.Customer
	small   []names.Customer
	daemons int
	// fencingEvery is n if every n-th engine checks fencing tokens; one means
	// that all do.
	fencingEvery int
}

var layouts = map[Size]layout{
	Dev: {
		region:       "local",
		dataCentres:  []names.DataCentre{"local-1", "local-2"},
		model:        "draft",
		adapters:     []names.Adapter{"letters"},
		engines:      4,
		application:  "desk",
		replicas:     2,
		orders:       "orders",
		lookups:      "status",
		large:        []names.Customer{"customer-a"},
		small:        []names.Customer{"customer-b", "customer-c"},
		daemons:      3,
		fencingEvery: 2,
	},
	Sahayatri: {
		region:      "bagmati",
		dataCentres: []names.DataCentre{"bagmati-1", "bagmati-2", "bagmati-3"},
		model:       "draft",
		adapters:    []names.Adapter{"petition", "land", "passport"},
		engines:     15,
		application: "counter",
		replicas:    3,
		orders:      "submissions",
		lookups:     "status",
		large:       []names.Customer{"ward-offices", "land-revenue", "passport-counters"},
		small: []names.Customer{
			"stall-01", "stall-02", "stall-03", "stall-04", "stall-05", "stall-06", "stall-07",
		},
		daemons:      8,
		fencingEvery: 1,
	},
	Tuuraj: {
		region:      "ulaanbaatar",
		dataCentres: []names.DataCentre{"ulaanbaatar-1", "ulaanbaatar-2", "ulaanbaatar-3"},
		model:       "proof",
		adapters:    []names.Adapter{"diary", "school", "family"},
		engines:     25,
		application: "press",
		replicas:    3,
		orders:      "plate-orders",
		lookups:     "stock",
		large:       []names.Customer{"member-a", "member-b", "member-c"},
		small: []names.Customer{
			"desk-01", "desk-02", "desk-03", "desk-04", "desk-05", "desk-06", "desk-07",
		},
		daemons:      9,
		fencingEvery: 2,
	},
}

func findLayout(size Size) (layout, error) {
	l, ok := layouts[size]
	if !ok {
		return layout{}, errors.Errorf("unknown fleet size %q", size)
	}
	return l, nil
}

// Model returns the model that a fleet serves.
func (s Size) Model() names.Model { return layouts[s].model }

// Orders returns the fleet's service whose calls may run at most once.
func (s Size) Orders() names.Service { return layouts[s].orders }

// Lookups returns the fleet's service whose calls may be repeated.
func (s Size) Lookups() names.Service { return layouts[s].lookups }

// Customers returns the fleet's customers, the large ones first.
func (s Size) Customers() []names.Customer {
	l := layouts[s]
	return append(append([]names.Customer(nil), l.large...), l.small...)
}

package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
)

// Versions of the model's weights, and the size of each in bytes.
const (
	FirstVersion  = "1"
	SecondVersion = "2"
	weightBytes   = 60 << 30
)

// Shares of large and small customers, and the maximum priority of all.
const (
	largeShare  = 5
	smallShare  = 1
	maxPriority = 5
)

// APIKey returns the API key of a customer of a stand-in fleet.
func APIKey(customer names.Customer) string { return "standin-" + string(customer) }

// baseManifest returns the manifest of the fleet without targets.
func (l layout) baseManifest() manifest.Manifest {
	m := manifest.Manifest{
		Schema:  manifest.Schema,
		Version: 1,
		Fleet:   manifest.Fleet{ExpectedDaemons: l.daemons},
		Models: []manifest.Model{{
			Name: l.model,
			Versions: []manifest.ModelVersion{
				{Name: FirstVersion, WeightBytes: weightBytes},
				{Name: SecondVersion, WeightBytes: weightBytes},
			},
			Adapters: l.adapters,
		}},
		Services: []manifest.Service{
			{Name: l.orders, Idempotent: false},
			{Name: l.lookups, Idempotent: true},
		},
	}
	for _, name := range l.dataCentres {
		m.Fleet.DataCentres = append(m.Fleet.DataCentres, manifest.DataCentreRegion{Name: name, Region: l.region})
	}
	for _, name := range l.large {
		m.Customers = append(m.Customers, l.customer(name, largeShare))
	}
	for _, name := range l.small {
		m.Customers = append(m.Customers, l.customer(name, smallShare))
	}
	return m
}

func (l layout) customer(name names.Customer, share float64) manifest.Customer {
	digest := sha256.Sum256([]byte(APIKey(name)))
	return manifest.Customer{
		Name:        name,
		KeyDigests:  []names.Digest{names.Digest(hex.EncodeToString(digest[:]))},
		Share:       share,
		MaxPriority: maxPriority,
		Models:      []names.Model{l.model},
		Services:    []names.Service{l.orders, l.lookups},
	}
}

// dataCentre returns the data centre of an engine or replica. They are assigned
// in rotation.
func (l layout) dataCentre(i int) names.DataCentre { return l.dataCentres[i%len(l.dataCentres)] }

func (l layout) engineName(i int) names.Target {
	return names.Target(fmt.Sprintf("%s-%02d", l.model, i+1))
}

func (l layout) replicaName(i int, service names.Service) names.Target {
	return names.Target(fmt.Sprintf("%s-%d-%s", l.application, i+1, service))
}

func (l layout) desiredState() target.State {
	return target.State{Model: l.model, Version: FirstVersion, Adapters: l.adapters[:1], Role: target.Mixed}
}

func (l layout) checksFencing(i int) bool { return i%l.fencingEvery == 0 }

// runsSuspected reports whether an engine is reserved for requests that are
// suspected of crashing engines, which is so for the last one.
func (l layout) runsSuspected(i int) bool { return i == l.engines-1 }

// Package names defines the identifiers that all other packages use.
//
// Four terms are those of the users' specification: a host is a machine of the
// platform on which a daemon runs, a data centre is a group of hosts that fail
// together, a customer is a tenant with its own keys and quota, and a target is
// a process that runs requests: a model engine or a plain service.
package names

// Host is the address of a daemon's host with its peer port, "IP:port".
type Host string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a group of data centres.
type Region string

// Customer is the name of a customer.
type Customer string

// Target is the name of a target.
type Target string

// Model is the name of a model.
type Model string

// Adapter is the name of an adapter of a model; empty means none.
type Adapter string

// Service is the name of a plain service.
type Service string

// Incarnation identifies one run of a daemon. It is chosen when the daemon
// starts and is larger after each restart on the same host.
type Incarnation uint64

// Version is the version number of a manifest. It only increases.
type Version uint64

// Digest is a SHA-256 digest in lower-case hexadecimal.
type Digest string

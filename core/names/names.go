// Package names holds the identifiers that every other package uses.
//
// Four words are those of the users' brief: a host is a machine of the
// platform on which a daemon runs, a data centre is a group of hosts that
// fail together, a customer is a tenant with its own keys and quota, and a
// target is a process that runs requests: a model engine or a plain service.
package names

// Host is the address of a daemon's host and its peer port, "IP:port".
type Host string

// DataCentre names a data centre.
type DataCentre string

// Region names a group of data centres.
type Region string

// Customer names a customer.
type Customer string

// Target names a target.
type Target string

// Model names a model.
type Model string

// Adapter names an adapter of a model; empty means none.
type Adapter string

// Service names a plain service.
type Service string

// Incarnation is the number that a daemon draws when it starts. A restarted
// daemon on the same host has a larger one.
type Incarnation uint64

// Version is the number of a manifest. It only grows.
type Version uint64

// Digest is the SHA-256 of some bytes, in lower-case hexadecimal.
type Digest string

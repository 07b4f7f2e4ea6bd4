// Package platform is the interface to the services of the platform on which
// daemons run: a configuration service that can only be read and watched, and a
// list of hosts, which lags behind. Client is the implementation over HTTP; other
// environments, such as a test bench, provide their own.
package platform

import (
	"context"
	"time"

	"carobspoke.example/core/names"
)

// Revision is the number that the configuration service assigns to a value of a
// key. It increases with each change, but a stale replica of the service may
// return an older revision.
type Revision uint64

// Value is a value of the configuration service, of at most 1 MB.
type Value struct {
	Key      string
	Revision Revision
	Data     []byte
}

// HostState is the state of a host as the platform reports it, with a lag.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostEntry is an entry of the host list of the platform.
type HostEntry struct {
	Host       names.Host       `json:"host"`
	DataCentre names.DataCentre `json:"data_centre"`
	State      HostState        `json:"state"`
	// LeavesAt is the time at which a leaving host is removed; zero if
	// unknown.
	LeavesAt time.Time `json:"leaves_at"`
}

// Platform reads the configuration service and the host list. Each call counts
// towards the rate limit of the service; a Watch counts as one call, however long
// it waits. The expected errors are ErrNotFound, ErrThrottled and ErrUnavailable.
type Platform interface {
	// Get returns the value of a key.
	Get(ctx context.Context, key string) (Value, error)
	// Watch waits until the key has a revision above after and returns its
	// value. It returns ErrNoChange if the service ends the watch first.
	Watch(ctx context.Context, key string, after Revision) (Value, error)
	// Hosts returns the list of hosts on which daemons run.
	Hosts(ctx context.Context) ([]HostEntry, error)
}

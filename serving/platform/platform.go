// Package platform is the seam to what the users' platform gives: a
// configuration service that can only be read and watched, and a lagging list
// of hosts. Another bench attaches here.
package platform

import (
	"context"
	"time"

	"carobspoke.example/core/names"
)

// Revision is the configuration service's number of a key's value. It grows
// with each change, but a stale replica of the service may answer with an old
// one.
type Revision uint64

// Value is one value of the configuration service, at most 1 MB.
type Value struct {
	Key      string
	Revision Revision
	Data     []byte
}

// HostState says what the platform knows of a host. It lags.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostEntry is a line of the platform's host list.
type HostEntry struct {
	Host       names.Host       `json:"host"`
	DataCentre names.DataCentre `json:"data_centre"`
	State      HostState        `json:"state"`
	// LeavesAt is when a leaving host is taken away; zero if unknown.
	LeavesAt time.Time `json:"leaves_at"`
}

// Platform reads the configuration service and the host list. Each call
// counts against the service's limit on calls, a waiting Watch as one.
// ErrNotFound, ErrThrottled and ErrUnavailable are the expected failures.
type Platform interface {
	// Get returns the value of a key.
	Get(ctx context.Context, key string) (Value, error)
	// Watch waits until the key has a revision above after and returns its
	// value. It returns ErrNoChange when the service ends the wait.
	Watch(ctx context.Context, key string, after Revision) (Value, error)
	// Hosts returns the list of hosts on which daemons run.
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// Package version holds the manifest version that a daemon has in force.
//
// A Snapshot is immutable. A request loads it once and uses it until its end, so
// that it sees a single version throughout. Install replaces the Snapshot
// atomically, and only by one with a higher version.
package version

import (
	"sync"
	"sync/atomic"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
)

// Snapshot is a manifest version with its index.
type Snapshot struct {
	Manifest *manifest.Manifest
	Index    *manifest.Index
	// Digest is the digest of the root of the version.
	Digest names.Digest
}

// Version returns the number of the version, or zero if s is nil because no
// version is in force.
func (s *Snapshot) Version() names.Version {
	if s == nil {
		return 0
	}
	return s.Manifest.Version
}

// Holder holds the version in force. Its zero value holds none and is ready for
// use. Its methods are safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]
	mutex   sync.Mutex
	// subscribers are the channels of the current subscriptions.
	subscribers map[chan struct{}]struct{}
}

// Current returns the version in force, or nil before the first Install.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Install puts a valid manifest in force and notifies the subscribers, if its
// version is above the one in force. It reports whether it was.
func (h *Holder) Install(m *manifest.Manifest, digest names.Digest) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if m.Version <= h.current.Load().Version() {
		return false
	}
	h.current.Store(&Snapshot{Manifest: m, Index: manifest.NewIndex(m), Digest: digest})
	for c := range h.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	return true
}

// Subscribe returns a channel that receives a value after each successful Install,
// and a function that ends the subscription. The channel has a buffer of one:
// several versions may be notified by one value, so that a receiver must call
// Current.
func (h *Holder) Subscribe() (changes <-chan struct{}, cancel func()) {
	c := make(chan struct{}, 1)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.subscribers == nil {
		h.subscribers = map[chan struct{}]struct{}{}
	}
	h.subscribers[c] = struct{}{}
	return c, func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		delete(h.subscribers, c)
	}
}

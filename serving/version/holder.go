// Package version holds the manifest version that a daemon has in force.
//
// A State never changes. A request loads it once and uses it to the end, so
// that it sees one version throughout; Install swaps the pointer and never
// goes down.
package version

import (
	"sync"
	"sync/atomic"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
)

// State is one version in force.
type State struct {
	Manifest *manifest.Manifest
	Index    *manifest.Index
	// Digest is the digest of the version's root.
	Digest names.Digest
}

// Version returns the version's number, or zero if none is in force.
func (s *State) Version() names.Version {
	if s == nil {
		return 0
	}
	return s.Manifest.Version
}

// Holder holds the version in force. Its zero value holds none and is ready
// for use.
type Holder struct {
	current atomic.Pointer[State]
	mutex   sync.Mutex
	waiting map[chan struct{}]struct{}
}

// Current returns the version in force, or nil before the first.
func (h *Holder) Current() *State { return h.current.Load() }

// Install puts a valid manifest in force and reports true. It changes nothing
// and reports false unless the version is above the one in force.
func (h *Holder) Install(m *manifest.Manifest, digest names.Digest) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if m.Version <= h.current.Load().Version() {
		return false
	}
	h.current.Store(&State{Manifest: m, Index: manifest.NewIndex(m), Digest: digest})
	for c := range h.waiting {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	return true
}

// Subscribe returns a channel that receives after each Install, and a function
// that ends the subscription. Installs that happen while the channel is full
// are not repeated: a receiver reads Current.
func (h *Holder) Subscribe() (changes <-chan struct{}, cancel func()) {
	c := make(chan struct{}, 1)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.waiting == nil {
		h.waiting = map[chan struct{}]struct{}{}
	}
	h.waiting[c] = struct{}{}
	return c, func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		delete(h.waiting, c)
	}
}

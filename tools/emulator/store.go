// Package emulator stands in for the users' platform on loopback: its store,
// its engines and plain services, and what they see of the daemons' promises.
// Wire names and encodings come from package platform.
package emulator

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"github.com/pkg/errors"
)

// Mode is how the store treats calls.
type Mode int

// Modes of the store.
const (
	Serving Mode = iota
	// Busy answers 503.
	Busy
	// Silent does not answer.
	Silent
)

// record is an item, or in a watch its removal.
type record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is the platform's store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	records  map[string]record
	log      []record
	revision uint64
	forgot   uint64
	changed  chan struct{}
	mode     Mode
	// turnedAway are callers that get no service; empty for none.
	turnedAway map[netip.Addr]bool
	calls      int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{records: make(map[string]record), revision: 1, changed: make(chan struct{}), turnedAway: make(map[netip.Addr]bool)}
}

// SetMode changes how all calls are treated.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notify()
}

// TurnAway refuses the calls of some addresses, and no others.
func (s *Store) TurnAway(addresses ...netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.turnedAway)
	for _, a := range addresses {
		s.turnedAway[a] = true
	}
	s.notify()
}

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgot = s.revision
	s.log = nil
	s.notify()
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// PutConfig publishes a configuration.
func (s *Store) PutConfig(c *routing.Config) error {
	value, err := platform.EncodeConfig(c)
	if err != nil {
		return err
	}
	s.put(platform.KeyConfig, value)
	return nil
}

// PutTarget publishes a target's entry.
func (s *Store) PutTarget(t *replicas.Target) error {
	value, err := platform.EncodeTarget(t)
	if err != nil {
		return err
	}
	s.put(platform.PrefixTargets+string(t.ID), value)
	return nil
}

// RemoveTarget removes a target's entry.
func (s *Store) RemoveTarget(t *replicas.Target) {
	s.put(platform.PrefixTargets+string(t.ID), nil)
}

func (s *Store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r := record{Key: key, Value: value, Revision: s.revision, Deleted: value == nil}
	s.log = append(s.log, r)
	if r.Deleted {
		delete(s.records, key)
	} else {
		s.records[key] = r
	}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// treat returns how a caller is treated, and what tells of changes.
func (s *Store) treat(r *http.Request) (Mode, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil && s.turnedAway[from.Addr()] {
		return Busy, s.changed
	}
	return s.mode, s.changed
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if mode, _ := s.treat(r); mode == Busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case platform.PathRange:
		s.list(w, r)
	case platform.PathWatch:
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer is the body of the store's answers.
type answer struct {
	Entries  []record `json:"entries,omitempty"`
	Events   []record `json:"events,omitempty"`
	Revision uint64   `json:"current_rev"`
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if !s.served(r) {
		return
	}
	s.mu.Lock()
	a := answer{Revision: s.revision}
	for key, item := range s.records {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			a.Entries = append(a.Entries, item)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Entries, func(x, y record) int { return strings.Compare(x.Key, y.Key) })
	_ = json.NewEncoder(w).Encode(&a) // the caller is gone otherwise
}

// served waits while the store is silent and reports whether the caller is
// still there.
func (s *Store) served(r *http.Request) bool {
	for {
		mode, changed := s.treat(r)
		if mode != Silent {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		if !s.served(r) {
			return
		}
		a, changed, err := s.since(after)
		if err != nil {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(a.Events) > 0 {
			_ = json.NewEncoder(w).Encode(&a) // the caller is gone otherwise
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_ = json.NewEncoder(w).Encode(&a) // the same
			return
		case <-r.Context().Done():
			return
		}
	}
}

var errForgotten = errors.New("emulator: the history is forgotten")

func (s *Store) since(after uint64) (answer, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgot {
		return answer{}, nil, errForgotten
	}
	a := answer{Revision: s.revision}
	for _, r := range s.log {
		if r.Revision > after {
			a.Events = append(a.Events, r)
		}
	}
	return a, s.changed, nil
}

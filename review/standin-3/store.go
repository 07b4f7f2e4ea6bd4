package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
)

// store is the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

// item is an item of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_revision,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// listing is the answer to a range read or a watch.
type listing struct {
	Entries   []item `json:"entries"`
	Events    []item `json:"events"`
	Truncated bool   `json:"truncated"`
	Revision  uint64 `json:"current_rev"`
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes an item, or removes it if the value is nil.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Deleted: value == nil}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.history = append(s.history, i)
	s.items[key] = i
	if i.Deleted {
		delete(s.items, key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// putConfig writes a configuration.
func (s *store) putConfig(c *routing.Config) error {
	value, err := platform.EncodeConfig(c)
	if err == nil {
		s.put(platform.KeyConfig, value)
	}
	return err
}

// putTarget writes the whole entry of a replica. Later heartbeats change nothing but its sequence,
// with which alone the entry does not change.
func (s *store) putTarget(t *replicas.Target) error {
	known, err := platform.EncodeTarget(t)
	if err != nil {
		return err
	}
	fields := map[string]any{"version": "v1", "seq": 1}
	if err := json.Unmarshal(known, &fields); err != nil {
		return err
	}
	value, err := json.Marshal(fields)
	if err == nil {
		s.put(platform.PrefixTargets+string(t.ID), value)
	}
	return err
}

// removeTarget removes the entry of a replica.
func (s *store) removeTarget(t *replicas.Target) { s.put(platform.PrefixTargets+string(t.ID), nil) }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	switch r.URL.Path {
	case platform.PathRange:
		s.mu.Lock()
		answer := listing{Revision: s.revision}
		for key, i := range s.items {
			if strings.HasPrefix(key, prefix) {
				answer.Entries = append(answer.Entries, i)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(answer.Entries, func(x, y item) int { return strings.Compare(x.Key, y.Key) })
		_ = json.NewEncoder(w).Encode(&answer) // fails only if the daemon has gone
	case platform.PathWatch:
		s.watch(w, r, prefix)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string) {
	after, errAfter := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		answer, changed := listing{Revision: s.revision}, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				answer.Events = append(answer.Events, i)
			}
		}
		s.mu.Unlock()
		if ended || len(answer.Events) > 0 {
			_ = json.NewEncoder(w).Encode(&answer) // fails only if the daemon has gone
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

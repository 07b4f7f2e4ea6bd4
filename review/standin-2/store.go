package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobspoke.example/platform"
)

// rawStore is a stand-in of the platform's store. It holds any bytes, as other writers may put
// them.
type rawStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]rawItem
	history  []rawItem
	changed  chan struct{}
}

// rawItem is an item, or its removal.
type rawItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_revision,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// rawAnswer is the answer to a range read or a watch.
type rawAnswer struct {
	Entries   []rawItem `json:"entries"`
	Events    []rawItem `json:"events"`
	Truncated bool      `json:"truncated"`
	Revision  uint64    `json:"current_rev"`
}

func newRawStore() *rawStore {
	return &rawStore{revision: 1, items: make(map[string]rawItem), changed: make(chan struct{})}
}

// put writes an item, or removes it if the value is nil.
func (s *rawStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value)
}

// putEntry writes the entry of a target. It changes when more than the sequence changes.
func (s *rawStore) putEntry(id string, e entry) {
	value, _ := json.Marshal(&e)
	s.mu.Lock()
	defer s.mu.Unlock()
	var known entry
	if old, ok := s.items[platform.PrefixTargets+id]; ok && json.Unmarshal(old.Value, &known) == nil {
		if known.Seq = e.Seq; known == e {
			return
		}
	}
	s.putLocked(platform.PrefixTargets+id, value)
}

// removeEntry removes the entry of a target.
func (s *rawStore) removeEntry(id string) { s.put(platform.PrefixTargets+id, nil) }

// putLocked is put for a caller that holds mu.
func (s *rawStore) putLocked(key string, value []byte) {
	s.revision++
	item := rawItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Deleted: value == nil}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.history = append(s.history, item)
	if item.Deleted {
		delete(s.items, key)
	} else {
		s.items[key] = item
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *rawStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	w.Header().Set(platform.HeaderEra, "1")
	switch r.URL.Path {
	case platform.PathRange:
		s.mu.Lock()
		answer := rawAnswer{Revision: s.revision}
		for key, item := range s.items {
			if strings.HasPrefix(key, prefix) {
				answer.Entries = append(answer.Entries, item)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(answer.Entries, func(x, y rawItem) int { return strings.Compare(x.Key, y.Key) })
		_ = json.NewEncoder(w).Encode(&answer)
	case platform.PathWatch:
		s.watch(w, r, prefix)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *rawStore) watch(w http.ResponseWriter, r *http.Request, prefix string) {
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
		answer, changed := rawAnswer{Revision: s.revision}, s.changed
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				answer.Events = append(answer.Events, item)
			}
		}
		s.mu.Unlock()
		if ended || len(answer.Events) > 0 {
			_ = json.NewEncoder(w).Encode(&answer)
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

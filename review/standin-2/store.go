package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobspoke.example/platform"
)

// rawStore is a stand-in of the platform's store that holds any bytes, as other writers may put
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
	Deleted  bool   `json:"deleted,omitempty"`
}

// rawAnswer is the answer to a range read or a watch.
type rawAnswer struct {
	Entries  []rawItem `json:"entries,omitempty"`
	Events   []rawItem `json:"events,omitempty"`
	Revision uint64    `json:"current_rev"`
}

// startRawStore starts a store, which daemons that are started later use.
func (b *bed) startRawStore() (*rawStore, error) {
	s := &rawStore{revision: 1, items: make(map[string]rawItem), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // returns after Close
	b.atEnd(func() { _ = server.Close() })
	return s, b.useStore(listener.Addr().String())
}

// put writes an item, or removes it if the value is nil.
func (s *rawStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := rawItem{Key: key, Value: value, Revision: s.revision, Deleted: value == nil}
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

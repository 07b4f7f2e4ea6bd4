// Package emulator emulates the users' platform on loopback: its store, its
// engines and its plain services. A Checker verifies the daemons' guarantees
// against what the targets receive. Wire names and encodings come from package
// platform.
package emulator

import (
	"encoding/json"
	"maps"
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

// Mode is how the store answers requests.
type Mode int

// Modes of the store.
const (
	// Serving answers normally.
	Serving Mode = iota
	// Busy answers with status 503.
	Busy
	// Unresponsive answers no request until the mode changes.
	Unresponsive

	modeCount
)

// maxEncoding bounds the answers that are encoded at once.
const maxEncoding = 8

// record is an entry of the store, or an event of a watch. Deleted marks the
// removal of an entry.
type record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store emulates the platform's key-value store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	records map[string]record
	// history has the changes after the revision compacted, oldest first.
	history   []record
	revision  uint64
	compacted uint64
	era       uint64
	// log has all changes with their times, from which a copy is rebuilt.
	log []loggedChange
	// lost holds the last changes that restorations lost and that were not written
	// again.
	lost    map[string]record
	changed chan struct{}
	// modes counts the active disturbances by mode. The last one began or ended at
	// disturbedAt.
	modes       [modeCount]int
	disturbedAt time.Time
	// refusedClients are the addresses whose requests are answered with status
	// 503.
	refusedClients map[netip.Addr]bool
	// evacuatedSince is since when each key of an evacuation has been held.
	evacuatedSince map[string]time.Time
	requests       int
	// encoding holds an element for each answer that is being encoded.
	encoding chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		records: make(map[string]record), lost: make(map[string]record), revision: 1, changed: make(chan struct{}),
		refusedClients: make(map[netip.Addr]bool), evacuatedSince: make(map[string]time.Time),
		encoding: make(chan struct{}, maxEncoding),
	}
}

// Disturb answers requests as mode m says until the returned function is called.
// Of several modes the last of the list above applies. Requests that wait in mode
// Unresponsive are answered when it ends.
func (s *Store) Disturb(m Mode) (end func()) {
	s.countMode(m, 1)
	return func() { s.countMode(m, -1) }
}

func (s *Store) countMode(m Mode, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[m] += change
	s.disturbedAt = time.Now()
	s.notify()
}

// mode returns how requests are answered. The caller holds mu.
func (s *Store) mode() Mode {
	m := modeCount - 1
	for m > Serving && s.modes[m] == 0 {
		m--
	}
	return m
}

// Undisturbed reports whether no mode but Serving has applied in the last d.
func (s *Store) Undisturbed(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode() == Serving && time.Since(s.disturbedAt) > d
}

// RefuseClients answers requests from the given addresses as in mode Busy. It
// replaces the addresses of earlier calls.
func (s *Store) RefuseClients(addresses ...netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.refusedClients)
	for _, a := range addresses {
		s.refusedClients[a] = true
	}
	s.notify()
}

// Compact drops the history, so that watches from an older revision are answered
// with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.notify()
}

// loggedChange is a change and when it was made.
type loggedChange struct {
	record
	at time.Time
}

// Restore replaces the contents by those of a copy of the given age, and begins a new
// era. It returns the keys whose last change is lost, of this restoration and of earlier
// ones, sorted. Their writers are to write them again, see Rewrite.
func (s *Store) Restore(age time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := time.Now().Add(-age)
	clear(s.records)
	kept := s.log[:0]
	s.history, s.revision = nil, 1
	for _, change := range s.log {
		if change.at.After(copied) {
			s.lost[change.Key] = change.record
			continue
		}
		kept = append(kept, change)
		s.apply(change.record)
		s.revision = change.Revision
	}
	s.log = kept
	s.history = slices.DeleteFunc(s.history, func(r record) bool { return r.Revision <= s.compacted })
	s.compacted = min(s.compacted, s.revision)
	s.era++
	s.trackEvacuations()
	s.notify()
	return slices.Sorted(maps.Keys(s.lost))
}

// Rewrite writes the lost change of a key again, unless the key was written since.
func (s *Store) Rewrite(key string) {
	s.mu.Lock()
	r, ok := s.lost[key]
	s.mu.Unlock()
	if ok {
		s.put(key, r.Value)
	}
}

// Requests returns how many requests the store has received.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
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

// PutTarget publishes the entry of a target.
func (s *Store) PutTarget(t *replicas.Target) error {
	value, err := platform.EncodeTarget(t)
	if err != nil {
		return err
	}
	s.put(platform.PrefixTargets+string(t.ID), value)
	return nil
}

// RemoveTarget removes the entry of a target.
func (s *Store) RemoveTarget(t *replicas.Target) {
	s.put(platform.PrefixTargets+string(t.ID), nil)
}

// put stores a value, or deletes the key if the value is nil.
func (s *Store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.lost, key)
	r := record{Key: key, Value: value, Revision: s.revision, Deleted: value == nil}
	s.log = append(s.log, loggedChange{record: r, at: time.Now()})
	s.apply(r)
	s.trackEvacuations()
	s.notify()
}

// apply makes a change. The caller holds mu.
func (s *Store) apply(r record) {
	s.history = append(s.history, r)
	if r.Deleted {
		delete(s.records, r.Key)
		return
	}
	s.records[r.Key] = r
}

// notify wakes all waiting requests. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// modeFor returns the mode that applies to a request, and a channel that is
// closed at the next change of the store.
func (s *Store) modeFor(r *http.Request) (Mode, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from, err := netip.ParseAddrPort(r.RemoteAddr); err == nil && s.refusedClients[from.Addr()] {
		return Busy, s.changed
	}
	return s.mode(), s.changed
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	if mode, _ := s.modeFor(r); mode == Busy {
		s.setEra(w, s.currentEra())
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

// response is the body of an answer to a list or a watch.
type response struct {
	Entries  []record `json:"entries,omitempty"`
	Events   []record `json:"events,omitempty"`
	Revision uint64   `json:"current_rev"`
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if !s.waitResponsive(r) {
		return
	}
	s.mu.Lock()
	era := s.era
	body := response{Revision: s.revision}
	for key, entry := range s.records {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			body.Entries = append(body.Entries, entry)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(body.Entries, func(x, y record) int { return strings.Compare(x.Key, y.Key) })
	s.setEra(w, era)
	s.send(w, r, &body)
}

// send encodes an answer, unless its caller has gone in the meantime. At most maxEncoding
// answers are encoded at once, so that callers that give up and ask again on a busy machine do not
// make the store hold ever more of them.
func (s *Store) send(w http.ResponseWriter, r *http.Request, body *response) {
	select {
	case s.encoding <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.encoding }()
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

// waitResponsive waits while the store is unresponsive. It reports whether the
// request is still open.
func (s *Store) waitResponsive(r *http.Request) bool {
	for {
		mode, changed := s.modeFor(r)
		if mode != Unresponsive {
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
	ended := false
	for {
		if !s.waitResponsive(r) {
			return
		}
		body, era, changed, err := s.eventsAfter(after)
		if err != nil {
			s.setEra(w, era)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(body.Events) > 0 || ended {
			s.setEra(w, era)
			s.send(w, r, &body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true // a change may have come since the events were read
		case <-r.Context().Done():
			return
		}
	}
}

var errCompacted = errors.New("emulator: the revision has been compacted")

func (s *Store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// setEra sets the header of an answer as of an era.
func (*Store) setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(platform.HeaderEra, strconv.FormatUint(era, 10))
}

// eventsAfter returns the changes after a revision, the era, and a channel that is closed
// at the next change of the store. The store has no changes after a revision that it
// has not reached, or that it has dropped.
func (s *Store) eventsAfter(after uint64) (response, uint64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted || after > s.revision {
		return response{}, s.era, nil, errCompacted
	}
	body := response{Revision: s.revision}
	for _, r := range s.history {
		if r.Revision > after {
			body.Events = append(body.Events, r)
		}
	}
	return body, s.era, s.changed, nil
}

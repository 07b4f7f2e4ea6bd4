// Package platform is a stand-in for the users' platform: a configuration
// service with a rate limit, whose clients can only read and watch values, and a
// list of hosts that is updated with a delay. Only the process that runs the
// stand-in can publish values, through Publish.
package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"carobspoke.example/serving/platform"
	"carobspoke.example/tools/standin/fault"
	"github.com/pkg/errors"
)

// Defaults of Config.
const (
	// DefaultWait is the default of Config.Wait.
	DefaultWait = 30 * time.Second
	// DefaultCallsPerSecond is the default of Config.CallsPerSecond.
	DefaultCallsPerSecond = 2000
)

// Config is the platform's settings.
type Config struct {
	// Wait is the time after which a watch without a change ends.
	Wait time.Duration
	// CallsPerSecond is the limit on the calls of all readers together. A watch
	// counts as one call, however long it waits.
	CallsPerSecond int
	// HostLag is the delay after which readers see a change of the list of
	// hosts.
	HostLag time.Duration
}

// Server is a running platform.
type Server struct {
	*fault.Server
	config Config
	limit  limiter

	mu      sync.Mutex
	values  map[string]value
	frozen  map[string]value // what readers see while stale; nil otherwise
	changed chan struct{}    // closed at each change
	hosts   []hostList
	calls   int
	refused int
}

type value struct {
	revision platform.Revision
	data     []byte
}

type hostList struct {
	setAt time.Time
	hosts []platform.HostEntry
}

// Start serves the platform at address, "IP:port".
func Start(address string, config Config) (*Server, error) {
	if config.Wait == 0 {
		config.Wait = DefaultWait
	}
	if config.CallsPerSecond == 0 {
		config.CallsPerSecond = DefaultCallsPerSecond
	}
	s := &Server{config: config, values: map[string]value{}, changed: make(chan struct{})}
	s.limit = limiter{rate: float64(config.CallsPerSecond)}
	server, err := fault.Start(address, s.routes(), fault.Hooks{SetFault: s.switchFault})
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Publish sets a key and returns its new revision. Data of more than
// platform.MaxValueBytes is an error.
func (s *Server) Publish(key string, data []byte) (platform.Revision, error) {
	if len(data) > platform.MaxValueBytes {
		return 0, errors.Errorf("value of %d bytes exceeds the limit of %d bytes", len(data), platform.MaxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := value{revision: s.values[key].revision + 1, data: append([]byte(nil), data...)}
	s.values[key] = next
	s.notifyLocked()
	return next.revision, nil
}

// SetHosts replaces the list of hosts. Readers see it after Config.HostLag.
func (s *Server) SetHosts(hosts []platform.HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := hostList{setAt: time.Now(), hosts: append([]platform.HostEntry(nil), hosts...)}
	s.hosts = append(s.hosts, entry)
}

// SetStale freezes the values that readers see at the present ones, or ends
// that.
func (s *Server) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	if stale {
		s.frozen = copyValues(s.values)
	}
	s.notifyLocked()
}

// Checkpoint takes a snapshot of the values and returns a function that freezes
// what readers see at the snapshot. It simulates a lagging replica of the
// configuration service.
func (s *Server) Checkpoint() (rollBack func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := copyValues(s.values)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.frozen = old
		s.notifyLocked()
	}
}

// Calls returns the number of calls that were admitted and the number refused
// by the rate limit.
func (s *Server) Calls() (answered, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.refused
}

func (s *Server) switchFault(kind fault.Kind, on bool) {
	if kind == fault.Stale {
		s.SetStale(on)
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key}", s.rateLimited(s.getValue))
	mux.HandleFunc("GET /v1/hosts", s.rateLimited(s.getHosts))
	return mux
}

// rateLimited applies the rate limit to a handler and counts its calls.
func (s *Server) rateLimited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit() {
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.allow(time.Now()) {
		s.refused++
		return false
	}
	s.calls++
	return true
}

// getValue answers a read or, if the query has "after", a watch for a revision
// greater than that.
func (s *Server) getValue(w http.ResponseWriter, r *http.Request) {
	after, err := parseAfter(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(s.config.Wait)
	defer timer.Stop()
	for {
		found, exists, changed := s.lookUp(r.PathValue("key"))
		if exists && found.revision > after {
			writeValue(w, found)
			return
		}
		if !r.URL.Query().Has("after") {
			http.Error(w, "no such key", http.StatusNotFound)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.visibleHosts(time.Now()))
}

func (s *Server) visibleHosts(now time.Time) []platform.HostEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.hosts) - 1; i >= 0; i-- {
		if now.Sub(s.hosts[i].setAt) >= s.config.HostLag {
			return s.hosts[i].hosts
		}
	}
	return []platform.HostEntry{}
}

// lookUp returns the value of a key that readers see, and a channel that is
// closed at the next change of any key.
func (s *Server) lookUp(key string) (found value, exists bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.values
	if s.frozen != nil {
		source = s.frozen
	}
	found, exists = source[key]
	return found, exists, s.changed
}

// notifyLocked wakes all waiting watches. s.mu must be held.
func (s *Server) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func parseAfter(r *http.Request) (platform.Revision, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(text, 10, 64)
	return platform.Revision(after), errors.Wrap(err, "after")
}

func writeValue(w http.ResponseWriter, v value) {
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(uint64(v.revision), 10))
	_, _ = w.Write(v.data)
}

func copyValues(values map[string]value) map[string]value {
	result := make(map[string]value, len(values))
	for key, v := range values {
		result[key] = v
	}
	return result
}

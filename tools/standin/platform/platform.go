// Package platform is a stand-in for the users' platform: a configuration
// service that can only be read and watched, with a limit on its calls, and a
// lagging list of hosts. Only the test itself publishes, through Publish.
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
	// DefaultWait is how long a watch waits for a change.
	DefaultWait = 30 * time.Second
	// DefaultCallsPerSecond is the limit on calls of all readers together.
	DefaultCallsPerSecond = 2000
)

// Config is the platform's settings.
type Config struct {
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// CallsPerSecond is the limit on calls; a waiting watch counts as one.
	CallsPerSecond int
	// HostLag is how late the list of hosts is.
	HostLag time.Duration
}

// Server is a running platform.
type Server struct {
	*fault.Server
	config Config
	limit  limiter

	mu      sync.Mutex
	values  map[string]value
	frozen  map[string]value // answers while stale; nil otherwise
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
	since time.Time
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
	server, err := fault.Start(address, s.routes(), fault.Hooks{Switch: s.switchFault})
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Publish sets a key and returns its new revision. Data over the service's
// limit on values is an error.
func (s *Server) Publish(key string, data []byte) (platform.Revision, error) {
	if len(data) > platform.MaxValueBytes {
		return 0, errors.Errorf("value of %d bytes is over %d", len(data), platform.MaxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := value{revision: s.values[key].revision + 1, data: append([]byte(nil), data...)}
	s.values[key] = next
	s.wakeLocked()
	return next.revision, nil
}

// SetHosts replaces the list of hosts. Readers see it after the lag.
func (s *Server) SetHosts(hosts []platform.HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := hostList{since: time.Now(), hosts: append([]platform.HostEntry(nil), hosts...)}
	s.hosts = append(s.hosts, entry)
}

// SetStale freezes what readers see at the present state, or ends that.
func (s *Server) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	if stale {
		s.frozen = copyValues(s.values)
	}
	s.wakeLocked()
}

// Checkpoint remembers the present state and returns a function that freezes
// what readers see at it, as a replica does that has fallen behind.
func (s *Server) Checkpoint() (goBack func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := copyValues(s.values)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.frozen = old
		s.wakeLocked()
	}
}

// Calls returns how many calls were answered and how many refused by the
// limit.
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
	mux.HandleFunc("GET /v1/values/{key}", s.counted(s.getValue))
	mux.HandleFunc("GET /v1/hosts", s.counted(s.getHosts))
	return mux
}

func (s *Server) counted(next http.HandlerFunc) http.HandlerFunc {
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
	if !s.limit.take(time.Now()) {
		s.refused++
		return false
	}
	s.calls++
	return true
}

func (s *Server) getValue(w http.ResponseWriter, r *http.Request) {
	after, err := parseAfter(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(s.config.Wait)
	defer timer.Stop()
	for {
		found, exists, changed := s.look(r.PathValue("key"))
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
		if now.Sub(s.hosts[i].since) >= s.config.HostLag {
			return s.hosts[i].hosts
		}
	}
	return []platform.HostEntry{}
}

func (s *Server) look(key string) (found value, exists bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.values
	if s.frozen != nil {
		source = s.frozen
	}
	found, exists = source[key]
	return found, exists, s.changed
}

func (s *Server) wakeLocked() {
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

// Package service is a stand-in for a plain service. It records each call that
// ran, so that a test can count the runs of a call independently of the answer
// its caller received. GET /v1/runs returns the records to tests in other
// processes.
package service

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/tools/standin/fault"
	"github.com/cespare/xxhash/v2"
)

// Config is the settings of a service.
type Config struct {
	// Name is part of each answer.
	Name names.Service
	// CallDuration is the time that a call takes.
	CallDuration time.Duration
	// MaxConcurrentCalls is the number of calls that run at the same time;
	// further ones are refused. Zero means no limit.
	MaxConcurrentCalls int
}

// Run is the record of a call that ran.
type Run struct {
	Customer names.Customer `json:"customer"`
	// Key is the idempotency key.
	Key     string `json:"key"`
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	// BodyDigest is the digest of the call's body.
	BodyDigest uint64 `json:"body"`
}

// Server is a running service.
type Server struct {
	*fault.Server
	config Config

	mu      sync.Mutex
	running int
	runs    []Run
}

// Start serves calls at address, "IP:port".
func Start(address string, config Config) (*Server, error) {
	s := &Server{config: config}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls", s.call)
	mux.HandleFunc("GET /v1/runs", s.getRuns)
	server, err := fault.Start(address, mux, fault.Hooks{})
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Runs returns every call that ran, in the order of their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Count returns how often calls with an idempotency key of a customer ran.
func (s *Server) Count(customer names.Customer, key string) int {
	count := 0
	for _, run := range s.Runs() {
		if run.Customer == customer && run.Key == key {
			count++
		}
	}
	return count
}

// Answer returns the body of the answer of a service to a call. It depends on
// the name of the service and on the customer, key and body of the call alone.
func Answer(name names.Service, call target.Call) []byte {
	digest := xxhash.Sum64String(string(call.Customer) + "\x00" + call.Key + "\x00" + string(call.Body))
	return fmt.Appendf(nil, "%s:%016x", name, digest)
}

// BodyDigest returns the digest of the body of a call, as a Run records it.
func BodyDigest(body []byte) uint64 { return xxhash.Sum64(body) }

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var call target.Call
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.begin(call) {
		w.Header().Set(targetapi.NotRunHeader, "1")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	time.Sleep(s.config.CallDuration)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(target.Reply{
		ID: call.ID, Attempt: call.Attempt, Status: http.StatusOK, Body: Answer(s.config.Name, call),
	})
}

// begin records a call that starts. It returns false if too many calls are
// running.
func (s *Server) begin(call target.Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.MaxConcurrentCalls > 0 && s.running >= s.config.MaxConcurrentCalls {
		return false
	}
	s.running++
	s.runs = append(s.runs, Run{
		Customer: call.Customer, Key: call.Key, ID: call.ID, Attempt: call.Attempt, BodyDigest: BodyDigest(call.Body),
	})
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

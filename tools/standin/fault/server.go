package fault

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Restart tries for 2 s to listen on the address again.
const (
	rebindAttempts = 200
	rebindInterval = 10 * time.Millisecond
)

// Hooks are callbacks to the stand-in. Each may be nil.
type Hooks struct {
	// Killed is called after Kill has closed the connections.
	Killed func()
	// SetFault starts or ends a fault that the stand-in implements itself.
	SetFault func(kind Kind, on bool)
}

// Server is an HTTP server that injects faults.
type Server struct {
	handler http.Handler
	hooks   Hooks
	address string

	mu     sync.Mutex
	server *http.Server // nil while killed
	closed bool

	faults faults
}

// Start listens on address, "IP:port", and serves handler.
func Start(address string, handler http.Handler, hooks Hooks) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{handler: handler, hooks: hooks, address: listener.Addr().String()}
	s.serve(listener)
	return s, nil
}

// Address returns "IP:port". It is the same after Kill and Restart.
func (s *Server) Address() string { return s.address }

// Close ends a pause and stops the server permanently.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Resume()
	return s.Kill()
}

// Kill closes the listener and all connections.
func (s *Server) Kill() error {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Close()
	if s.hooks.Killed != nil {
		s.hooks.Killed()
	}
	return errors.Wrap(err, "close")
}

// Restart listens again after Kill, on the same address. A closed server stays
// closed.
func (s *Server) Restart() error {
	listener, err := s.rebind()
	if err != nil {
		return err
	}
	if !s.serve(listener) {
		return errors.Wrap(listener.Close(), "close")
	}
	return nil
}

// Running reports whether the server listens.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

func (s *Server) rebind() (net.Listener, error) {
	var lastErr error
	for range rebindAttempts {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			return listener, nil
		}
		lastErr = err
		time.Sleep(rebindInterval)
	}
	return nil, errors.Wrap(lastErr, "listen on the previous address")
}

// serve starts to serve and returns true, or returns false if the server is
// closed or listens already.
func (s *Server) serve(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server != nil {
		return false
	}
	server := &http.Server{Handler: s}
	s.server = server
	go server.Serve(listener) //nolint:errcheck // it returns ErrServerClosed
	return true
}

// ServeHTTP applies the faults around the stand-in's handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ControlPath {
		s.control(w, r)
		return
	}
	if s.faults.isDown() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	s.WaitWhilePaused()
	time.Sleep(s.faults.currentDelay())
	s.handler.ServeHTTP(s.faults.newWriter(w, s.WaitWhilePaused), r)
}

package fault

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Rebinding of an address after Kill.
const (
	rebindAttempts = 200
	rebindPause    = 10 * time.Millisecond
)

// Hooks are what a stand-in itself does about faults.
type Hooks struct {
	// Killed is called after Kill has cut the connections.
	Killed func()
	// Switch carries out kinds of faults that only this stand-in knows.
	Switch func(kind Kind, on bool)
}

// Server is an HTTP server with faults.
type Server struct {
	handler http.Handler
	hooks   Hooks
	address string

	mu     sync.Mutex
	server *http.Server // nil while killed
	closed bool

	faults faults
}

// Start listens on address, "IP:port", and serves handler. The
// hooks may be empty.
func Start(address string, handler http.Handler, hooks Hooks) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{handler: handler, hooks: hooks, address: listener.Addr().String()}
	s.serve(listener)
	return s, nil
}

// Address returns "IP:port". It stays the same over Kill and Restart.
func (s *Server) Address() string { return s.address }

// Close ends the server for good.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Continue()
	return s.Kill()
}

// Kill closes the listener and cuts all connections.
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

// Restart listens again after Kill, on the same address.
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
	var last error
	for range rebindAttempts {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			return listener, nil
		}
		last = err
		time.Sleep(rebindPause)
	}
	return nil, errors.Wrap(last, "listen again")
}

// serve reports false if the server is closed or listens already.
func (s *Server) serve(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server != nil {
		return false
	}
	server := &http.Server{Handler: s}
	s.server = server
	go server.Serve(listener) //nolint:errcheck // it ends with ErrServerClosed
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
	s.Wait()
	time.Sleep(s.faults.delayNow())
	s.handler.ServeHTTP(s.faults.writer(w, s.Wait), r)
}

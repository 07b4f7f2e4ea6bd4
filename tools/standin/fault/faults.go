package fault

import (
	"net/http"
	"sync"
	"time"
)

// faults holds the active faults.
type faults struct {
	mu     sync.Mutex
	paused chan struct{} // closed when the pause ends; nil while not paused
	down   bool
	delay  time.Duration
	drops  int
	cut    int
}

// Pause stops the stand-in, which neither answers nor works until the pause ends.
func (s *Server) Pause() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.paused == nil {
		s.faults.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (s *Server) Resume() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.paused != nil {
		close(s.faults.paused)
		s.faults.paused = nil
	}
}

// WaitWhilePaused blocks while the server is paused.
func (s *Server) WaitWhilePaused() {
	s.faults.mu.Lock()
	paused := s.faults.paused
	s.faults.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// SetDown makes every request fail with status 503, or ends that.
func (s *Server) SetDown(down bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.down = down
}

// SetDelay delays every request by d before it is handled.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = d
}

// DropAnswers passes the next n requests to the handler, but closes their
// connections without an answer.
func (s *Server) DropAnswers(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.drops = n
}

// CutAfter closes the connection of every answer after n writes; zero ends
// the fault. Each frame of a stream is one write.
func (s *Server) CutAfter(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.cut = n
}

func (f *faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *faults) currentDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

// newWriter wraps the writer of an answer. It uses up one of the drops.
func (f *faults) newWriter(w http.ResponseWriter, wait func()) http.ResponseWriter {
	f.mu.Lock()
	defer f.mu.Unlock()
	drop := f.drops > 0
	if drop {
		f.drops--
	}
	return &faultWriter{ResponseWriter: w, wait: wait, drop: drop, cut: f.cut}
}

// faultWriter applies the faults that were active when the handler started: it
// aborts the answer at the first write if drop is set, and otherwise after cut
// writes if cut is positive.
type faultWriter struct {
	http.ResponseWriter
	wait   func()
	drop   bool
	cut    int
	writes int
}

// WriteHeader implements http.ResponseWriter.
func (w *faultWriter) WriteHeader(status int) {
	w.beforeWrite()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *faultWriter) Write(p []byte) (int, error) {
	w.beforeWrite()
	if w.cut > 0 && w.writes >= w.cut {
		panic(http.ErrAbortHandler)
	}
	w.writes++
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *faultWriter) Flush() {
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

func (w *faultWriter) beforeWrite() {
	w.wait()
	if w.drop {
		panic(http.ErrAbortHandler)
	}
}

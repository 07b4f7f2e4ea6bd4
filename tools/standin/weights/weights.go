// Package weights is a stand-in for the weight store. Reads take as long as the
// store's rate allows, and all readers share that rate.
//
// A read transfers no weights. GET /v1/weights/MODEL/VERSION is answered at the
// time when the store would have delivered the complete file. If a reader closes
// its connection, the rest of its time is available to the other readers.
package weights

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/tools/standin/fault"
)

// timeSlice is the time for which a reader has the store before it yields to
// other readers.
const timeSlice = 5 * time.Millisecond

// Config is the settings of the store.
type Config struct {
	// Rate is the read rate of all readers together, in bytes a second, before
	// Speedup.
	Rate float64
	// Speedup multiplies Rate; zero means one.
	Speedup float64
	// Bytes is the size of each file. DefaultBytes is the size of files that are
	// not listed in it.
	Bytes        map[File]int64
	DefaultBytes int64
}

// File identifies the weights of a version of a model.
type File struct {
	Model   names.Model
	Version string
}

// Server is a running store.
type Server struct {
	*fault.Server
	config Config
	// turn is held by the reader that is using the store.
	turn sync.Mutex

	mu        sync.Mutex
	completed map[File]int // number of complete reads
}

// ReadResult is the answer to a complete read.
type ReadResult struct {
	Bytes int64 `json:"bytes"`
}

// Start serves weights at address, "IP:port".
func Start(address string, config Config) (*Server, error) {
	if config.Speedup == 0 {
		config.Speedup = 1
	}
	s := &Server{config: config, completed: map[File]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.get)
	server, err := fault.Start(address, mux, fault.Hooks{})
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Reads returns how often a file was read completely.
func (s *Server) Reads(file File) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed[file]
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	file := File{names.Model(r.PathValue("model")), r.PathValue("version")}
	size, ok := s.config.Bytes[file]
	if !ok {
		size = s.config.DefaultBytes
	}
	for remaining := s.duration(size); remaining > 0; {
		if r.Context().Err() != nil {
			return
		}
		remaining -= s.useTimeSlice(remaining)
	}
	s.mu.Lock()
	s.completed[file]++
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ReadResult{Bytes: size})
}

// duration returns the time in which the store delivers a file to one reader.
func (s *Server) duration(size int64) time.Duration {
	return time.Duration(float64(size) / (s.config.Rate * s.config.Speedup) * float64(time.Second))
}

// useTimeSlice uses the store for at most a time slice and returns the time that
// was measured, which a slow timer can make longer.
func (s *Server) useTimeSlice(remaining time.Duration) time.Duration {
	s.turn.Lock()
	defer s.turn.Unlock()
	start := time.Now()
	time.Sleep(min(remaining, timeSlice))
	return time.Since(start)
}

// Package weights is a stand-in for the weight store: reads take as long as
// the store's rate allows, and all readers share that rate.
//
// A read moves no bytes. GET /v1/weights/MODEL/VERSION answers when the store
// would have delivered the whole file; closing the connection gives the rest
// of the time back to the other readers.
package weights

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/tools/standin/fault"
)

// turn is how long one reader uses the store before the next has its turn.
const turn = 5 * time.Millisecond

// Config is the store's settings.
type Config struct {
	// Rate is in bytes a second, of all readers together, before Speedup.
	Rate float64
	// Speedup multiplies Rate; zero means one.
	Speedup float64
	// Bytes is the size of each file; DefaultBytes that of files not named.
	Bytes        map[File]int64
	DefaultBytes int64
}

// File is one set of weights.
type File struct {
	Model   names.Model
	Version string
}

// Server is a running store.
type Server struct {
	*fault.Server
	config Config
	// store is locked by the reader whose turn it is.
	store sync.Mutex

	mu   sync.Mutex
	read map[File]int
}

// Read is the answer to a whole read.
type Read struct {
	Bytes int64 `json:"bytes"`
}

// Start serves weights at address, "IP:port".
func Start(address string, config Config) (*Server, error) {
	if config.Speedup == 0 {
		config.Speedup = 1
	}
	s := &Server{config: config, read: map[File]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.get)
	server, err := fault.Start(address, mux, fault.Hooks{})
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Reads returns how often a file was read whole.
func (s *Server) Reads(file File) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read[file]
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	file := File{names.Model(r.PathValue("model")), r.PathValue("version")}
	size, ok := s.config.Bytes[file]
	if !ok {
		size = s.config.DefaultBytes
	}
	for left := s.duration(size); left > 0; {
		if r.Context().Err() != nil {
			return
		}
		left -= s.takeTurn(left)
	}
	s.mu.Lock()
	s.read[file]++
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Read{Bytes: size})
}

func (s *Server) duration(size int64) time.Duration {
	return time.Duration(float64(size) / (s.config.Rate * s.config.Speedup) * float64(time.Second))
}

// takeTurn uses the store for a moment and returns for how long, as measured.
func (s *Server) takeTurn(left time.Duration) time.Duration {
	s.store.Lock()
	defer s.store.Unlock()
	start := time.Now()
	time.Sleep(min(left, turn))
	return time.Since(start)
}

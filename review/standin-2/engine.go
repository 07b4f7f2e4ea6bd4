package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"carobspoke.example/platform"
)

// engines are the targets of the model service.
type engines struct {
	bed *bed
	// crashingPart is the part of a prompt that crashes each target that begins to write an
	// answer on it.
	crashingPart string
	mu           sync.Mutex
	list         []*engine
	starts       int
	// crashes holds when targets crashed under a prompt with the part.
	crashes []time.Time
	// ran counts the requests with the part that reached a target.
	ran int
}

// engine is one place of a target, at an address that it keeps.
type engine struct {
	of      *engines
	address string
	mu      sync.Mutex
	id      string
	up      bool
	server  *http.Server
}

// Times of a target.
const (
	// eventInterval is the time between the events of a stream, and events their number.
	eventInterval = 100 * time.Millisecond
	events        = 25
	// partDownTime is how long a target is away after a prompt has crashed it.
	partDownTime = 3 * time.Second
	// lapseTime is after how long the entry of a silent target is removed: three heartbeats.
	lapseTime = 3 * heartbeat
)

// startEngines starts some targets.
func startEngines(b *bed, count int, crashingPart string) (*engines, error) {
	e := &engines{bed: b, crashingPart: crashingPart}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		place := &engine{of: e, address: listener.Addr().String()}
		e.list = append(e.list, place)
		place.serve(listener)
	}
	b.atEnd(func() {
		for _, place := range e.list {
			place.stop()
		}
	})
	return e, nil
}

// serve begins a new incarnation, and publishes its entry.
func (e *engine) serve(listener net.Listener) {
	e.of.mu.Lock()
	e.of.starts++
	id := fmt.Sprintf("i-%04d", e.of.starts)
	e.of.mu.Unlock()
	e.mu.Lock()
	e.id, e.up = id, true
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns after stop
	const slots = 12
	e.of.bed.store.putEntry(id, entry{
		Service: modelService, Address: e.address, Zone: dataCentre, Version: softwareVersion, Slots: slots, State: ready, Seq: 1, Born: time.Now().UnixMilli(),
	})
}

// stop closes the listener and all connections, and returns the ID of the target that ran;
// empty if none did.
func (e *engine) stop() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return ""
	}
	e.up = false
	_ = e.server.Close()
	return e.id
}

// crash ends the target, which comes back after a time under a new ID.
func (e *engine) crash(down time.Duration) {
	id := e.stop()
	if id == "" {
		return
	}
	time.AfterFunc(lapseTime, func() { e.of.bed.store.removeEntry(id) })
	time.AfterFunc(down, func() {
		for range 50 {
			listener, err := net.Listen("tcp", e.address)
			if err == nil {
				e.serve(listener)
				return
			}
			const pause = 20 * time.Millisecond
			time.Sleep(pause)
		}
		e.of.bed.note("target at %s could not start again", e.address)
	})
}

// crashAll ends all targets at once.
func (e *engines) crashAll(down time.Duration) {
	e.bed.note("all %d targets crash, for %s", len(e.list), down)
	for _, place := range e.list {
		place.crash(down)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	attempt := r.Header.Get(platform.HeaderAttempt)
	w.Header().Set(platform.HeaderAttempt, attempt)
	if r.Header.Get(platform.HeaderTarget) != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == platform.PathReport {
		_, _ = io.WriteString(w, "{}")
		return
	}
	w.Header().Set(platform.HeaderSeal, id)
	w.Header().Set("Content-Type", "text/event-stream")
	const prefill = 20 * time.Millisecond
	time.Sleep(prefill)
	if slices.ContainsFunc(strings.Split(r.Header.Get(platform.HeaderParts), ","), func(part string) bool {
		return strings.HasPrefix(part, e.of.crashingPart+":")
	}) {
		e.of.bed.note("request %s crashes target %s", attempt, id)
		e.of.mu.Lock()
		e.of.ran++
		e.of.crashes = append(e.of.crashes, time.Now())
		e.of.mu.Unlock()
		e.crash(partDownTime)
		return
	}
	controller := http.NewResponseController(w)
	for n := range events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, attempt, n); err != nil {
			return
		}
		_ = controller.Flush() // an error shows at the next write
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

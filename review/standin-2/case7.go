package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
)

// Case 7: another writer puts an entry with fields missing over the entry of a target. It names
// no target to use.

// entry is the entry of a target as the target writes it.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int    `json:"cold_left_ms"`
	Seq      int    `json:"seq"`
	Born     int64  `json:"born"`
}

// partialEntry is that of the other writer: zone, version, seq, born and the rest are missing.
type partialEntry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

const (
	deskService  = "sewa-app"
	modelService = "lekhak-llm"
	slots        = 6
	ready        = "ready"
	// softwareVersion is that of the targets.
	softwareVersion = "1"
	case7Rounds     = 4
	// heartbeat is the interval at which targets write their entries.
	heartbeat = 1200 * time.Millisecond
)

// plainTarget is a sound target that answers calls.
type plainTarget struct {
	bed     *bed
	id      string
	service string
	address string
	born    int64
	seq     atomic.Int64
	mu      sync.Mutex
	// ran holds the IDs of the requests that it has run, and paths their paths.
	ran   []string
	paths []string
}

func newPlainTarget(b *bed, id, service string) (*plainTarget, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &plainTarget{bed: b, id: id, service: service, address: listener.Addr().String(), born: time.Now().UnixMilli()}
	server := &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // returns after Close
	b.atEnd(func() { _ = server.Close() })
	return t, nil
}

// ServeHTTP implements http.Handler.
func (t *plainTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderAttempt)
	w.Header().Set(platform.HeaderAttempt, id)
	if r.Header.Get(platform.HeaderTarget) != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == platform.PathReport {
		_, _ = io.WriteString(w, "{}")
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	t.mu.Lock()
	t.ran, t.paths = append(t.ran, id), append(t.paths, r.URL.Path)
	t.mu.Unlock()
	t.bed.note("target %s of %s runs request %s, %s", t.id, t.service, id, r.URL.Path)
	const work = 30 * time.Millisecond
	time.Sleep(work)
	w.Header().Set(platform.HeaderSeal, t.id)
	_, _ = io.WriteString(w, "done "+id)
}

// write writes the target's own entry.
func (t *plainTarget) write(s *rawStore) {
	s.putEntry(t.id, entry{
		Service: t.service, Address: t.address, Zone: dataCentre, Version: softwareVersion, Slots: slots, State: ready,
		Seq: int(t.seq.Add(1)), Born: t.born,
	})
}

func usedPartialEntry(b *bed) ([]string, error) {
	s := b.store
	desk, err := newPlainTarget(b, "i-desk", deskService)
	if err != nil {
		return nil, err
	}
	model, err := newPlainTarget(b, "i-model", modelService)
	if err != nil {
		return nil, err
	}
	route := routing.Route{
		Name: "form-submit", Hostname: hostname, Prefix: "/submit/", Kind: routing.NonIdempotent, Timeout: 1200 * time.Millisecond,
		LatencyTarget: 150 * time.Millisecond, MaxAttempts: 1, Services: []routing.WeightedService{{Service: deskService, Weight: 1}},
	}
	if err := b.publish(1, []routing.Route{route}, routing.Service{Name: deskService, MaxConnections: 110}, routing.Service{Name: modelService, MaxConnections: 274}); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, t := range []*plainTarget{desk, model} {
		t.write(s)
		go func() {
			for ticker := time.NewTicker(heartbeat); ; {
				select {
				case <-ticker.C:
					t.write(s)
				case <-stop:
					return
				}
			}
		}()
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	sent := 0
	for round := range case7Rounds {
		if b.trouble {
			value, _ := json.Marshal(&partialEntry{Service: deskService, Address: model.address, Slots: slots, State: ready})
			b.note("another writer puts %s over the entry of %s", value, model.id)
			s.put(platform.PrefixTargets+model.id, value)
		}
		const requests, pause = 12, 80 * time.Millisecond
		for range requests {
			time.Sleep(pause)
			b.submit(sent, b.hosts[sent%len(b.hosts)])
			sent++
		}
		const rest = 2 * heartbeat // the target has written its entry again
		time.Sleep(rest)
		b.note("round %d is over", round)
	}
	return model.misrouted(), nil
}

// misrouted returns a line for each request that ran at a target of a service to which no
// configuration sends it.
func (t *plainTarget) misrouted() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	for i, id := range t.ran {
		if strings.HasPrefix(t.paths[i], "/submit/") {
			lines = append(lines, fmt.Sprintf("request %s for %s ran at target %s of %s", id, deskService, t.id, t.service))
		}
	}
	return lines
}

// submit sends a non-idempotent request.
func (b *bed) submit(n int, h *host) { b.submitFrom(n, h) }

// submitFrom sends a non-idempotent request whose body names the daemon that it is sent to, and
// reports whether the answer of a target came.
func (b *bed) submitFrom(n int, h *host) bool {
	const patience = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.CallerAddress.String()+"/submit/form", strings.NewReader(h.settings.Name))
	if err != nil {
		return false
	}
	id := attemptID(n)
	request.Host = hostname
	request.Header.Set(platform.HeaderAttempt, id)
	request.Header.Set(platform.HeaderDeadline, "1200")
	request.Header.Set(platform.HeaderKey, key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		b.note("request %s to %s: no answer: %v", id, h.settings.Name, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	seal := response.Header.Get(platform.HeaderSeal)
	b.note("request %s to %s: status %d, seal %q, %q, error %v", id, h.settings.Name, response.StatusCode, seal, answer, err)
	return seal != ""
}

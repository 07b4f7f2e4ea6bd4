package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
)

// Case 10: the seeds of the fleet are down when the others start. A target in need names how many
// requests a second it takes from all daemons together.

const (
	case10Daemons, case10Seeds = 9, 3
	limitRate                  = 2.0
	case10Time                 = 40 * time.Second
	// The bound: in any limitWindow at most one and a half times what the limit allows, and
	// limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// passedOnFor is how long before a request its daemon must have passed on an answer with
	// the limit, for the request to count.
	passedOnFor = 500 * time.Millisecond
	// callEvery is the time between two calls at one daemon.
	callEvery = 150 * time.Millisecond
)

// limitedTarget is a sound target in need. It learns from the body of a call at which daemon its
// client has sent it.
type limitedTarget struct {
	bed     *bed
	id      string
	address string
	mu      sync.Mutex
	firstAt time.Time
	// passedOn holds since when each daemon has passed on an answer with the limit.
	passedOn map[string]time.Time
	// counted are the arrivals that count against the limit.
	counted []time.Time
	arrived int
}

// ServeHTTP implements http.Handler.
func (t *limitedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderAttempt)
	w.Header().Set(platform.HeaderAttempt, id)
	w.Header().Set(platform.HeaderLimit, strconv.FormatFloat(limitRate, 'f', -1, 64))
	if r.Header.Get(platform.HeaderTarget) != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	from, now := string(body), time.Now()
	t.mu.Lock()
	t.arrived++
	if t.firstAt.IsZero() {
		t.firstAt = now
	}
	since, known := t.passedOn[from]
	if known && now.Sub(since) >= passedOnFor && now.Sub(t.firstAt) >= stableTime {
		t.counted = append(t.counted, now)
	}
	t.mu.Unlock()
	const work = 30 * time.Millisecond
	time.Sleep(work)
	w.Header().Set(platform.HeaderSeal, t.id)
	_, _ = io.WriteString(w, "done "+id)
}

// passed records that a daemon has passed on an answer.
func (t *limitedTarget) passed(from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.passedOn[from]; !known {
		t.passedOn[from] = time.Now()
	}
}

// most returns the largest number of counted arrivals in a window.
func (t *limitedTarget) most() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most, first := 0, 0
	for i, at := range t.counted {
		for at.Sub(t.counted[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func exceededLimit(b *bed) ([]string, error) {
	b.hosts = nil
	if err := b.addHosts(b.storeAddress, case10Daemons, case10Seeds); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &limitedTarget{bed: b, id: "i-need", address: listener.Addr().String(), passedOn: make(map[string]time.Time)}
	server := &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // returns after Close
	b.atEnd(func() { _ = server.Close() })
	b.list("i-need", deskService, t.address, time.Now().UnixMilli())
	route := routing.Route{
		Name: "form-submit", Hostname: hostname, Prefix: "/submit/", Kind: routing.NonIdempotent, Timeout: 1200 * time.Millisecond,
		LatencyTarget: 150 * time.Millisecond, MaxAttempts: 1, Services: []routing.WeightedService{{Service: deskService, Weight: 1}},
	}
	if err := b.publish(1, []routing.Route{route}, routing.Service{Name: deskService, MaxConnections: 110}); err != nil {
		return nil, err
	}
	up := b.hosts
	if b.trouble {
		up = b.hosts[case10Seeds:]
		b.note("the %d seeds are down", case10Seeds)
	}
	if err := b.startSome(up); err != nil {
		return nil, err
	}
	// Clients call the same daemons in both cases.
	var running sync.WaitGroup
	until := time.Now().Add(case10Time)
	for at, h := range b.hosts[case10Seeds:] {
		running.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				const ids = 100_000
				if b.submitFrom(ids*(at+1)+n, h) {
					t.passed(h.settings.Name)
				}
				time.Sleep(callEvery)
			}
		})
	}
	running.Wait()
	allowed := int(limitFactor*limitRate*limitWindow.Seconds()) + limitSlack
	most := t.most()
	t.mu.Lock()
	b.note("%d requests reached the target; at most %d in %s that count, %d allowed", t.arrived, most, limitWindow, allowed)
	t.mu.Unlock()
	if most > allowed {
		return []string{fmt.Sprintf("%d requests in %s reached a target that takes %g a second, %d are allowed", most, limitWindow, limitRate, allowed)}, nil
	}
	return nil, nil
}

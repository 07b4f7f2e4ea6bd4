package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"github.com/pkg/errors"
)

const (
	modelService = "lekhak-llm"
	bundlePath   = "/case-bundle/"
	// sharedParts is the number of documents of the case file that all prompts share, and
	// partTokens the length of each.
	sharedParts = 100
	partTokens  = 40
	// crashingPart is the part that crashes the engines.
	crashingPart = "5c1e07a2"
	// backAfter is how long an engine is down after a crash.
	backAfter = 3 * time.Second
	// maxCrashes, maxLate and so on are the figures of the rule.
	maxCrashes = 5
	maxLate    = 3
)

// engines are the engines of the model service.
type engines struct {
	bed *bed

	mu      sync.Mutex
	live    map[names.Target]*http.Server
	lastID  int
	crashes []time.Time
	// arrivals are those of requests with the crashing part.
	arrivals []arrival
	closed   bool
}

// crashCount returns how many engines have crashed.
func (e *engines) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashes)
}

// late returns the requests with the part that reached engines too late, if they are more
// than the rule allows.
func (e *engines) late() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bed.log("%d engines crashed, %d requests with the part reached engines", len(e.crashes), len(e.arrivals))
	if len(e.crashes) < maxCrashes {
		return nil
	}
	var late []string
	from := e.crashes[maxCrashes-1].Add(stableTime)
	for _, a := range e.arrivals {
		if a.at.After(from) {
			late = append(late, fmt.Sprintf("request %s with the part reached an engine %s after the fifth crash", a.attempt, a.at.Sub(e.crashes[maxCrashes-1]).Round(time.Millisecond)))
		}
	}
	if len(late) <= maxLate {
		return nil
	}
	return late
}

// start starts an engine and writes its entry.
func (e *engines) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "engine")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return listener.Close()
	}
	e.lastID++
	entry := replicas.Target{
		ID: names.Target(fmt.Sprintf("i-llm-%d", e.lastID)), Service: modelService, Address: listener.Addr().String(), DataCentre: "bagmati-a",
		Slots: 16, Started: time.Now().UnixMilli(),
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(entry, w, r) })}
	e.live[entry.ID] = server
	go func() { _ = server.Serve(listener) }()
	e.bed.log("%s starts", entry.ID)
	return e.bed.store.PutTarget(&entry)
}

// crash ends an engine and all its connections. Another one starts some seconds later.
func (e *engines) crash(entry replicas.Target, attempt string) {
	e.mu.Lock()
	server, ok := e.live[entry.ID]
	delete(e.live, entry.ID)
	if ok {
		e.crashes = append(e.crashes, time.Now())
	}
	e.mu.Unlock()
	if !ok {
		return
	}
	e.bed.log("%s crashes on request %s", entry.ID, attempt)
	_ = server.Close()
	time.AfterFunc(backAfter, func() {
		e.bed.store.RemoveTarget(&entry)
		_ = e.start()
	})
}

func (e *engines) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, s := range e.live {
		_ = s.Close()
	}
}

func (e *engines) serve(entry replicas.Target, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(platform.HeaderAttempt)
	w.Header().Set(platform.HeaderAttempt, attempt)
	if r.Header.Get(platform.HeaderTarget) != string(entry.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == platform.PathReport || r.URL.Path == platform.PathOrder {
		_, _ = io.WriteString(w, "{}")
		return
	}
	crashes := strings.Contains(r.Header.Get(platform.HeaderParts), crashingPart+":")
	if crashes {
		e.mu.Lock()
		e.arrivals = append(e.arrivals, arrival{at: time.Now(), attempt: attempt})
		e.mu.Unlock()
	}
	e.bed.log("%s runs request %s, crashing part %t", entry.ID, attempt, crashes)
	time.Sleep(50 * time.Millisecond)
	w.Header().Set(platform.HeaderSeal, string(entry.ID))
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(platform.HeaderResume))
	const events = 17
	for i := first + 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, attempt, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if crashes && e.bed.trouble {
			e.crash(entry, attempt)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// prompt returns the parts of a prompt: those that all share, the crashing one if asked for,
// and one of its own.
func prompt(crashing bool, shared int) string {
	var parts []string
	for i := range shared {
		parts = append(parts, fmt.Sprintf("%08x:%d", 0x10000000+i*0x01234567, partTokens))
	}
	if crashing {
		at := rand.IntN(len(parts) + 1)
		parts = append(parts[:at:at], append([]string{crashingPart + ":" + strconv.Itoa(partTokens)}, parts[at:]...)...)
	}
	own := fmt.Sprintf("%08x:%d", rand.Uint32(), partTokens)
	return strings.Join(append(parts, own), ",")
}

// stream sends a request for a stream to a daemon and reads the answer.
func (b *bed) stream(d *daemon, crashing bool, shared int) (complete bool) {
	attempt := fmt.Sprintf("a%04d", lastAttempt.Add(1))
	r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddress.String()+bundlePath+"1", strings.NewReader("prompt"))
	if err != nil {
		return false
	}
	r.Host = hostname
	r.Header.Set(platform.HeaderAttempt, attempt)
	r.Header.Set(platform.HeaderDeadline, "10000")
	r.Header.Set(platform.HeaderKey, keyA)
	r.Header.Set(platform.HeaderTokens, fmt.Sprintf("%d,800", (shared+2)*partTokens))
	r.Header.Set(platform.HeaderParts, prompt(crashing, shared))
	b.log("request %s sent to %s, crashing part %t", attempt, d.name, crashing)
	response, err := b.caller.Do(r)
	if err != nil {
		b.log("request %s: no answer: %v", attempt, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	b.log("request %s: answered %d, %d events, complete %t", attempt, response.StatusCode, strings.Count(string(body), "data:"), err == nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// runParts sends prompts of many parts, some of which hold a part that crashes the engines
// which begin to write an answer on it.
func runParts(b *bed) ([]string, error) {
	shared := sharedParts
	if text := os.Getenv("PARTS"); text != "" { // for a comparison
		shared, _ = strconv.Atoi(text)
	}
	e := &engines{bed: b, live: make(map[names.Target]*http.Server)}
	defer e.close()
	const engineCount, daemons = 8, 5
	for range engineCount {
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	if _, err := b.publish(3, []routing.Customer{{Name: "hule930", Keys: []string{keyA}}}); err != nil {
		return nil, err
	}
	if err := b.startDaemons(daemons, 1); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // the daemons know each other
	var senders sync.WaitGroup
	var mu sync.Mutex
	sound, complete := 0, 0
	end := time.Now().Add(40 * time.Second)
	for range 10 {
		senders.Go(func() {
			for time.Now().Before(end) {
				ok := b.stream(b.daemons[rand.IntN(daemons)], false, shared)
				mu.Lock()
				sound++
				if ok {
					complete++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	for time.Now().Before(end) {
		senders.Go(func() { b.stream(b.daemons[rand.IntN(daemons)], true, shared) })
		time.Sleep(time.Second)
	}
	senders.Wait()
	b.log("%d of %d requests without the part were answered completely", complete, sound)
	return e.late(), nil
}

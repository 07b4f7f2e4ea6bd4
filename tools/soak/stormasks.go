package soak

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/platform"
	"carobspoke.example/tools/emulator"
)

// askHost asks a daemon for the versions of a storm until ctx ends.
func (s *storms) askHost(ctx context.Context, h *host, before int, random *rand.Rand) {
	a := &inquiry{storms: s, host: h, random: random, served: make(map[int]bool), gone: make(map[int]bool)}
	ticks := time.NewTicker(stormAskInterval)
	defer ticks.Stop()
	defer a.running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		q, ok := a.next(before)
		if !ok || a.open.Load() >= maxAsked {
			continue
		}
		a.open.Add(1)
		a.running.Go(func() {
			defer a.open.Add(-1)
			a.ask(context.WithoutCancel(ctx), q)
		})
	}
}

// kind is what a request of a storm is for.
type kind string

// Kinds of requests.
const (
	onAdded    kind = "an added route"
	onDropped  kind = "a dropped route"
	withOldKey kind = "a key that was taken away"
)

// question is a request that shows whether a version is in force.
type question struct {
	kind    kind
	version int
}

// inquiry chooses the requests to one daemon in one storm.
type inquiry struct {
	*storms
	host    *host
	random  *rand.Rand
	running sync.WaitGroup
	open    atomic.Int64

	mu sync.Mutex
	// served and gone are the versions whose added route was served, and whose dropped
	// route or key was refused.
	served, gone map[int]bool
}

// next returns the next request: for a version that is not in force beyond its bound, otherwise
// for any that is not known to be in force, otherwise now and then for any.
func (a *inquiry) next(before int) (question, bool) {
	late, open, all := a.candidates(before)
	a.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	const idle = 4
	switch {
	case len(late) > 0:
		return late[a.random.IntN(len(late))], true
	case len(open) > 0:
		return open[a.random.IntN(len(open))], true
	case len(all) > 0 && a.random.IntN(idle) == 0:
		return all[0], true
	default:
		return question{}, false
	}
}

// candidates returns the requests for the versions of the storm that are late, those that are
// open, and all.
func (a *inquiry) candidates(before int) (late, open, all []question) {
	a.storms.mu.Lock()
	acknowledged := maps.Clone(a.acknowledged)
	a.storms.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for v := before + 1; v <= before+a.config.Versions; v++ {
		age := time.Since(acknowledged[v])
		if acknowledged[v].IsZero() || age > stormAskTime {
			continue
		}
		for _, q := range questions(v) {
			all = append(all, q)
			known := a.gone[v]
			if q.kind == onAdded {
				known = a.served[v]
			}
			switch {
			case known:
			case age > changeBound:
				late = append(late, q)
			default:
				open = append(open, q)
			}
		}
	}
	return late, open, all
}

// questions returns the requests that show whether a version is in force.
func questions(v int) []question {
	list := []question{{onAdded, v}, {onAdded, v}, {onDropped, v}}
	if v%keyInterval == 0 {
		list = append(list, question{withOldKey, v})
	}
	return list
}

// ask sends a request and records its answer.
func (a *inquiry) ask(ctx context.Context, q question) {
	route, with, client := addedRoute(q.version), key, a.kept
	switch q.kind {
	case onAdded:
	case onDropped:
		route = droppedRoute(q.version)
	case withOldKey:
		route, with = "read", takenKey(q.version)
	}
	n := a.number.Add(1)
	if n%newConnections == 0 {
		client = a.fresh
	}
	r := answer{question: q, host: a.host.settings.Name, id: "ask-" + strconv.FormatInt(n, 10), incarnation: a.incarnations[a.host].Load()}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.host.settings.CallerAddress.String()+"/"+route+"/x", http.NoBody)
	if err != nil {
		a.checker.RecordViolation("a request cannot be built: %v", err)
		return
	}
	setHeaders(request, r.id, with)
	r.sent = time.Now()
	r.status = status(client, request)
	r.answered = time.Now()
	r.restarted = a.incarnations[a.host].Load() != r.incarnation
	a.record(&r)
}

// setHeaders sets the headers of a request that may be repeated.
func setHeaders(r *http.Request, id, with string) {
	r.Host = hostname
	r.Header.Set(platform.HeaderAttempt, id)
	r.Header.Set(platform.HeaderKey, with)
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	r.Header.Set(emulator.HeaderExpectedCustomer, customer)
	r.Header.Set(emulator.HeaderRepeatable, "1")
}

// status returns the status of the answer, or zero if there is none.
func status(client *http.Client, r *http.Request) int {
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // only the status counts
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// record records an answer.
func (a *inquiry) record(r *answer) {
	a.storms.mu.Lock()
	a.answers = append(a.answers, *r)
	a.storms.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case r.kind == onAdded && r.ran():
		a.served[r.version] = true
	case r.kind != onAdded && r.refusedAsUnknown():
		a.gone[r.version] = true
	}
}

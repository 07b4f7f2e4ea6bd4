package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"github.com/pkg/errors"
)

const (
	plainIDs, tokenIDs = "drafts-by-event", "drafts-by-token"
	// tokensPerEvent is how many tokens an event holds, as on the users' sheet.
	tokensPerEvent = 46
	// requestsPerClient is the number of streams that a client asks for one after the other on a
	// connection that it keeps.
	keptClients, requestsPerClient = 6, 5
	// mayCut is how often a machine may close a kept connection without an answer.
	mayCut = 3
)

// streamer returns a handler that sends a stream whose event IDs grow by step.
func streamer(f *fleet, step int) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get(platform.HeaderAttempt)
		w.Header().Set("Content-Type", "text/event-stream")
		last := 0
		_, _ = fmt.Sscan(q.Header.Get(platform.HeaderResume), &last) // without the header nothing was read
		for event := last + step; event <= streamEvents*step; event += step {
			select {
			case <-time.After(eventPause / 2):
			case <-q.Context().Done():
				f.record.add("the connection of %s to its replica ended before event %d", id, event)
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, id, event) // fails only if the daemon has gone
			_ = http.NewResponseController(w).Flush()                          // as above
		}
		f.record.add("the replica has sent all events of %s", id)
	}
}

// growingIDs moves the route of streams to a service whose events count tokens: their IDs grow,
// and not by one.
func growingIDs(f *fleet, trouble bool) (breaches int, err error) {
	steps := map[names.Service]int{plainIDs: 1, tokenIDs: tokensPerEvent}
	for service, step := range steps {
		for i := range 3 {
			if err := f.startReplica(names.Target(fmt.Sprintf("i-%s-%d", service, i+1)), service, streamer(f, step)); err != nil {
				return 0, err
			}
		}
	}
	route := callRoute("r-draft", streamPrefix, plainIDs, 10*time.Second)
	route.Kind, route.Resumable, route.MaxAttempts, route.GapTarget, route.LatencyTarget = routing.Streaming, true, 2, 200*time.Millisecond, 300*time.Millisecond
	config := &routing.Config{
		Limits: limits(), Services: []routing.Service{modelService(plainIDs), modelService(tokenIDs)},
		Routes: []routing.Route{route},
	}
	if err := f.publish(config); err != nil {
		return 0, err
	}
	if err := f.startDaemons(3); err != nil {
		return 0, err
	}
	if trouble {
		config.Routes[0].Services[0].Service = tokenIDs
		if err := f.publish(config); err != nil {
			return 0, err
		}
	}
	time.Sleep(applyTime + time.Second)
	return f.countCuts(1200, streamEvents)
}

// countCuts has clients ask for streams on connections that they keep, and returns the number of
// daemons that closed more than mayCut of these in place of a complete answer.
func (f *fleet) countCuts(body, events int) (breaches int, err error) {
	var running sync.WaitGroup
	cut := make([]int, keptClients)
	failed := make([]error, keptClients)
	for client := range keptClients {
		running.Go(func() {
			cut[client], failed[client] = f.keptConnection(f.daemons[client%len(f.daemons)], client, body, events)
		})
	}
	running.Wait()
	for i, d := range f.daemons {
		n := 0
		for client := i; client < keptClients; client += len(f.daemons) {
			if failed[client] != nil {
				return 0, failed[client]
			}
			n += cut[client]
		}
		f.record.add("%s closed kept connections %d times before the answer of a sound replica was complete", d.name, n)
		if n > mayCut {
			f.record.add("BROKEN: more than %d times", mayCut)
			breaches++
		}
	}
	return breaches, nil
}

// keptConnection asks for streams one after the other on a connection, and on a new one after it
// was closed. The first request on each connection is a small one that keeps it. It returns how
// often the connection was closed instead of a complete answer.
func (f *fleet) keptConnection(d *daemon, client, body, events int) (cut int, err error) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := range requestsPerClient {
		if conn == nil {
			if conn, err = net.DialTimeout("tcp", d.callers(), time.Second); err != nil {
				return 0, errors.WithStack(err)
			}
			reader = bufio.NewReader(conn)
			if a := f.exchange(conn, reader, &request{id: fmt.Sprintf("k-%d-%d", client, i), method: http.MethodGet, path: "/no-such-route/", deadline: time.Second}); a.err != nil {
				return 0, a.err
			}
		}
		q := &request{id: fmt.Sprintf("s-%d-%d", client, i), method: http.MethodPost, path: streamPrefix + "petition", deadline: 15 * time.Second, body: body}
		f.record.add("client sends %s to %s on a kept connection", q.id, d.name)
		a := f.exchange(conn, reader, q)
		f.record.add("client got for %s: status %d, %d of %d events, error %v", q.id, a.status, strings.Count(a.body, "\n\n"), events, a.err)
		if a.err != nil {
			if !isTimeout(a.err) { // otherwise its deadline was reached
				cut++
			}
			_ = conn.Close() // it has ended
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close() // all answers were read
	}
	return cut, nil
}

// exchange sends a request on an open connection and reads its answer.
func (f *fleet) exchange(conn net.Conn, reader *bufio.Reader, q *request) answer {
	_ = conn.SetDeadline(time.Now().Add(q.deadline)) // of an open connection
	if _, err := io.WriteString(conn, q.head()+strings.Repeat("x", q.body)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), err: err}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
)

const (
	// longBody is below max_body_bytes, and more than the sockets between a daemon and a replica
	// hold.
	longBody = 4_000_000
	// readsAfter is how long a slow replica reads nothing.
	readsAfter = 3 * time.Second
	// slowEvents come over 4 s.
	slowEvents = 80
)

// early returns a handler that begins its stream at once, and reads the body beside it, from a
// time on.
func early(f *fleet, readsAfter time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get(platform.HeaderAttempt)
		controller := http.NewResponseController(w)
		_ = controller.EnableFullDuplex() // HTTP/1.1 has it
		read := make(chan error, 1)
		go func() {
			time.Sleep(readsAfter)
			n, err := io.Copy(io.Discard, q.Body)
			f.record.add("the replica has read %d bytes of the body of %s, error %v", n, id, err)
			read <- err
		}()
		w.Header().Set("Content-Type", "text/event-stream")
		last := -1
		_, _ = fmt.Sscan(q.Header.Get(platform.HeaderResume), &last) // without the header nothing was read
		for event := last + 1; event < slowEvents; event++ {
			time.Sleep(eventPause)
			_, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, id, event)
			if err == nil {
				err = controller.Flush()
			}
			if err != nil {
				f.record.add("the replica could not send event %d of %s: %v", event, id, err)
				break
			}
		}
		<-read
	}
}

// slowReader sends streams with long bodies to replicas that answer at once and read the body
// later.
func slowReader(f *fleet, trouble bool) (breaches int, err error) {
	pause := time.Duration(0)
	if trouble {
		pause = readsAfter
	}
	for i := range 3 {
		err := f.start(&replica{serve: early(f, pause), early: true, Target: replicas.Target{
			ID: names.Target(fmt.Sprintf("i-drafts-%d", i+1)), Service: drafts, DataCentre: zone, Slots: slots, Started: time.Now().UnixMilli(),
		}})
		if err != nil {
			return 0, err
		}
	}
	route := callRoute("r-draft", streamPrefix, drafts, 15*time.Second)
	route.Kind, route.Resumable, route.MaxAttempts, route.GapTarget, route.LatencyTarget = routing.Streaming, true, 2, 800*time.Millisecond, 3*time.Second
	config := &routing.Config{
		Limits: limits(), Services: []routing.Service{modelService(drafts)}, Routes: []routing.Route{route},
	}
	if err := f.publish(config); err != nil {
		return 0, err
	}
	if err := f.startDaemons(3); err != nil {
		return 0, err
	}
	return f.countCuts(longBody, slowEvents)
}

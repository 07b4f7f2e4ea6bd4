package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
)

const (
	// workTime is how long a replica works on a request.
	workTime = 400 * time.Millisecond
	// uploadBytes is the size of a body, which its client sends over uploadTime.
	uploadBytes, uploadParts = 64 << 10, 64
	// clients begin before the signal, and their bodies end one after the other.
	uploads       = 12
	firstBodyEnds = 6900 * time.Millisecond // after the signal
	bodiesApart   = 50 * time.Millisecond
	beginBefore   = time.Second
	uploadTimeout = 15 * time.Second
)

// lateBodyAtStop stops a daemon while clients upload bodies over slow links. The last bytes of
// the bodies arrive later than 3 s after the signal.
func lateBodyAtStop(f *fleet, trouble bool) (int, error) {
	work := func(w http.ResponseWriter, q *http.Request) {
		select {
		case <-time.After(workTime):
			_, _ = io.WriteString(w, "done") // fails only if the daemon has gone
		case <-q.Context().Done():
			f.record.add("the connection of %s to its replica ended while it was at work", q.Header.Get(platform.HeaderAttempt))
		}
	}
	for i := range 3 {
		if err := f.startReplica(names.Target(fmt.Sprintf("i-desk-%d", i+1)), "desk", work); err != nil {
			return 0, err
		}
	}
	config := &routing.Config{
		Limits: limits(), Services: []routing.Service{{Name: "desk", MaxConnections: connections}},
		Routes: []routing.Route{callRoute("r-submit", "/submit/", "desk", uploadTimeout)},
	}
	if err := f.publish(config); err != nil {
		return 0, err
	}
	if err := f.startDaemons(3); err != nil {
		return 0, err
	}
	d := f.daemons[0]
	signal := time.Now().Add(beginBefore + time.Second)
	var breaches atomic.Int32
	var running sync.WaitGroup
	for i := range uploads {
		begin := signal.Add(-beginBefore + time.Duration(i)*bodiesApart)
		running.Go(func() {
			time.Sleep(time.Until(begin))
			if f.upload(d, i, signal, signal.Add(firstBodyEnds+time.Duration(i)*bodiesApart)) {
				breaches.Add(1)
			}
		})
	}
	time.Sleep(time.Until(signal))
	if trouble {
		f.record.add("SIGTERM to %s", d.name)
		_ = d.command.Process.Signal(syscall.SIGTERM)
	}
	running.Wait()
	return int(breaches.Load()), nil
}

// upload sends a request whose body ends at a time, and reports whether the connection ended
// without an answer although the request was whole.
func (f *fleet) upload(d *daemon, i int, signal, ends time.Time) (lost bool) {
	q := &request{id: fmt.Sprintf("q-%02d", i), method: http.MethodPost, path: "/submit/form", deadline: uploadTimeout, body: uploadBytes}
	conn, err := net.DialTimeout("tcp", d.callers(), time.Second)
	if err != nil {
		f.record.add("client of %s: %v", q.id, err)
		return false
	}
	defer func() { _ = conn.Close() }() // the answer was read
	_, err = io.WriteString(conn, q.head())
	pause := time.Until(ends) / uploadParts
	for part := 0; part < uploadParts && err == nil; part++ {
		time.Sleep(time.Until(ends.Add(-time.Duration(uploadParts-1-part) * pause)))
		_, err = io.WriteString(conn, strings.Repeat("x", uploadBytes/uploadParts))
	}
	if err != nil {
		f.record.add("client of %s could not send its body: %v", q.id, err)
		return false
	}
	f.record.add("client has sent %s whole, %.3f s after the signal", q.id, time.Since(signal).Seconds())
	sent := time.Now()
	a := read(conn, q)
	f.record.add("client got for %s after %.3f s: status %d, %q, error %v", q.id, time.Since(sent).Seconds(), a.status, a.body, a.err)
	lost = a.err != nil && !isTimeout(a.err) // otherwise its deadline was reached
	if lost {
		f.record.add("BROKEN: %s was whole and its connection ended without a complete answer", q.id)
	}
	return lost
}

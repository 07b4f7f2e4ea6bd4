package main

import (
	"fmt"
	"net/http"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
)

// Services and prefixes of the case: all files go to the archive. Then the operator adds a route
// for the public ones.
const (
	archive, public            = "archive", "public"
	filesPrefix, publicPrefix  = "/files/", "/files/public/"
	encodedPath, publicPath    = "/files/public%2F17", "/files/public/17"
	encodedRequests, pauseTime = 20, 50 * time.Millisecond
)

func callRoute(name, prefix string, service names.Service, timeout time.Duration) routing.Route {
	return routing.Route{
		Name: name, Hostname: hostname, Prefix: prefix, Kind: routing.NonIdempotent, Timeout: timeout, LatencyTarget: 150 * time.Millisecond,
		Priority: 2, MaxAttempts: 1, Services: []routing.WeightedService{{Service: service, Weight: 1}},
	}
}

// encodedSlash sends requests whose path holds an encoded slash. The prefix of a route that is
// added does not begin this path, so that it must not change where they run.
func encodedSlash(f *fleet, trouble bool) (breaches int, err error) {
	answerer := func(service string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, service) } // fails only if the daemon has gone
	}
	for _, service := range []names.Service{archive, public} {
		for i := range 3 {
			if err := f.startReplica(names.Target(fmt.Sprintf("i-%s-%d", service, i+1)), service, answerer(string(service))); err != nil {
				return 0, err
			}
		}
	}
	config := &routing.Config{
		Limits: limits(), Services: []routing.Service{{Name: archive, MaxConnections: connections}, {Name: public, MaxConnections: connections}},
		Routes: []routing.Route{callRoute("r-files", filesPrefix, archive, 2500*time.Millisecond)},
	}
	if err := f.publish(config); err != nil {
		return 0, err
	}
	if err := f.startDaemons(3); err != nil {
		return 0, err
	}
	if trouble {
		config.Routes = append(config.Routes, callRoute("r-public", publicPrefix, public, 2500*time.Millisecond))
		if err := f.publish(config); err != nil {
			return 0, err
		}
	}
	time.Sleep(applyTime + time.Second)
	for i := range encodedRequests {
		d := f.daemons[i%len(f.daemons)]
		q := &request{id: fmt.Sprintf("q-%02d", i), method: http.MethodPost, path: encodedPath, deadline: 2500 * time.Millisecond, body: 200}
		if i%4 == 3 {
			q.path = publicPath // shows which configuration is in force
		}
		f.record.add("client sends %s to %s: %s %s", q.id, d.name, q.method, q.path)
		a := f.send(d, q)
		f.record.add("client got for %s: status %d, %q, error %v", q.id, a.status, a.body, a.err)
		if q.path == encodedPath && a.body == public {
			f.record.add("BROKEN: %s ran at service %s, whose prefix %s does not begin its path", q.id, public, publicPrefix)
			breaches++
		}
		time.Sleep(pauseTime)
	}
	return breaches, nil
}

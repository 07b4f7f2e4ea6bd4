package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/version/routing"
)

// homesOf returns the daemons that place the requests of a service.
func (b *bed) homesOf(service names.Service) []*daemon {
	var live []membership.Member
	for _, d := range b.daemons {
		live = append(live, membership.Member{Host: names.Host(d.settings.PeerAddress.String()), State: membership.Alive, Incarnation: 1})
	}
	selected := homes.Select(homes.Group{Service: service, Groups: 1}, live, time.Now())
	var list []*daemon
	for _, d := range b.daemons {
		if slices.Contains(selected.Deciders, names.Host(d.settings.PeerAddress.String())) {
			list = append(list, d)
		}
	}
	return list
}

// runRestarts lets a part crash three engines and waits until its refusal has lapsed. Then two
// daemons are stopped and started again in turn, as planned, and requests with the part come as
// before.
func runRestarts(b *bed) ([]string, error) {
	e := &engines{bed: b, live: make(map[names.Target]*http.Server)}
	defer e.close()
	const engineCount, daemons, shared = 8, 5, 3
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
	end := time.Now().Add(75 * time.Second)
	for range 10 {
		senders.Go(func() {
			for time.Now().Before(end) {
				b.stream(b.daemons[rand.IntN(daemons)], false, shared)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	const firstCrashes, mostRequests = 3, 5
	for range mostRequests {
		if e.crashCount() < firstCrashes {
			b.stream(b.daemons[rand.IntN(daemons)], true, shared)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(17 * time.Second) // a refusal after three crashes has lapsed
	if os.Getenv("RESTARTS") != "0" {
		b.restartInTurn(b.homesOf(modelService))
	}
	time.Sleep(6 * time.Second)
	b.log("requests with the part come again")
	for time.Now().Before(end) {
		senders.Go(func() { b.stream(b.daemons[rand.IntN(daemons)], true, shared) })
		time.Sleep(time.Second)
	}
	senders.Wait()
	return e.late(), nil
}

// restartInTurn stops daemons as the platform does, one after the other, and starts each again
// once it has ended.
func (b *bed) restartInTurn(list []*daemon) {
	const gap = 1400 * time.Millisecond
	var stops sync.WaitGroup
	for _, d := range list {
		stops.Go(func() {
			b.log("%s gets SIGTERM", d.name)
			d.signal(syscall.SIGTERM)
			d.awaitEnd(graceTime)
			d.kill()
			b.log("%s has ended", d.name)
			_ = d.start()
		})
		time.Sleep(gap)
	}
	stops.Wait()
}

package main

import (
	"fmt"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
)

// runWatchers cuts the three daemons that read the store for the others off from the store:
// what they send there is lost. Then a key is taken away from a customer. It returns the
// requests of the other daemons that ran with that key too late.
func runWatchers(b *bed) ([]string, error) {
	for _, id := range []string{"i-app-1", "i-app-2", "i-app-3"} {
		if _, err := b.startTarget(names.Target(id), appService); err != nil {
			return nil, err
		}
	}
	a := routing.Customer{Name: "hule930", Keys: []string{keyA, keyB}}
	if _, err := b.publish(3, []routing.Customer{a}); err != nil {
		return nil, err
	}
	const daemons, centres, watcherCount = 9, 3, 3
	if err := b.startDaemons(daemons, centres); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // the daemons know each other
	for _, d := range b.daemons {
		d.takeCalls()
	}
	const observed = 5 * time.Second
	time.Sleep(observed)
	var watchers, others []*daemon
	for _, d := range b.daemons {
		n := d.takeCalls()
		b.log("%s in %s has called the store %d times in %s", d.name, d.settings.DataCentre, n, observed)
		if n > 0 {
			watchers = append(watchers, d)
		} else {
			others = append(others, d)
		}
	}
	if len(watchers) != watcherCount {
		return nil, fmt.Errorf("%d daemons read the store", len(watchers))
	}
	if _, err := b.publish(8, []routing.Customer{a}); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	if b.trouble {
		for _, d := range watchers {
			d.setSilent(true)
			b.log("%s in %s is cut off from the store", d.name, d.settings.DataCentre)
		}
		defer func() {
			for _, d := range watchers {
				d.setSilent(false)
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	a.Keys = []string{keyA}
	acknowledged, err := b.publish(11, []routing.Customer{a})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	var callers sync.WaitGroup
	for _, d := range others {
		callers.Go(func() {
			for time.Since(acknowledged) < 8*time.Second {
				r := b.call(d, readPath+"1", keyB)
				after := r.sent.Sub(acknowledged)
				if after > configApplyTime && b.ran(r.attempt) {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("request %s was sent to %s in %s %s after the acknowledgement of version 11 with the key %q, which it drops, and ran (answered %d)",
						r.attempt, d.name, d.settings.DataCentre, after.Round(time.Millisecond), keyB, r.status))
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return broken, nil
}

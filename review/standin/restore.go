package main

import (
	"fmt"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
)

// runRestore has the store fall silent for a moment and come back from a copy that is some
// seconds old. Once the store is stable again, a target that never reports that it drains is
// taken away: its entry is removed, and it goes on serving for a while.
func runRestore(b *bed) ([]string, error) {
	for _, id := range []string{"i-app-1", "i-app-2", "i-app-3"} {
		if _, err := b.startTarget(names.Target(id), appService); err != nil {
			return nil, err
		}
	}
	a := routing.Customer{Name: "hule930", Keys: []string{keyA}}
	if _, err := b.publish(3, []routing.Customer{a}); err != nil {
		return nil, err
	}
	const daemons = 3
	if err := b.startDaemons(daemons, 1); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // the daemons know each other
	if _, err := b.publish(8, []routing.Customer{a}); err != nil {
		return nil, err
	}
	time.Sleep(100 * time.Millisecond)
	const away = time.Second
	if b.trouble {
		for _, d := range b.daemons {
			d.setSilent(true)
		}
		b.log("the store falls silent")
		time.Sleep(away)
		const age = 3 * time.Second
		lost := b.store.Restore(age)
		for _, key := range lost {
			b.store.Rewrite(key)
		}
		for _, d := range b.daemons {
			d.setSilent(false)
		}
		b.log("the store is back from a copy that is %s old; written again: %v", age, lost)
	} else {
		time.Sleep(away)
	}
	time.Sleep(stableTime + 100*time.Millisecond)
	leaving := b.targets[0]
	b.store.RemoveTarget(&leaving.entry)
	acknowledged := time.Now()
	b.log("the store has acknowledged the removal of the entry of %s", leaving.entry.ID)
	var callers sync.WaitGroup
	for _, d := range b.daemons {
		callers.Go(func() {
			for time.Since(acknowledged) < 8*time.Second {
				b.call(d, readPath+"1", keyA)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	var broken []string
	for _, r := range leaving.arrivalsAfter(acknowledged.Add(drainTime)) {
		broken = append(broken, fmt.Sprintf("request %s reached %s %s after the acknowledgement of the removal of its entry", r.attempt, leaving.entry.ID, r.at.Sub(acknowledged).Round(time.Millisecond)))
	}
	return broken, nil
}

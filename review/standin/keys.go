package main

import (
	"fmt"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
)

// Keys of the two customers, and one that no configuration ever held.
const (
	keyA       = "n2ctnfzs989anu6wsjnb"
	keyB       = "k7vq2mzs114xro8wplda"
	keyUnknown = "z9zz9zzz999zzz9zzzzz"
)

// runKeys takes the only key of each of two customers away, one after the other. The
// configuration goes on to contain both customers.
func runKeys(b *bed) ([]string, error) {
	for _, id := range []string{"i-app-1", "i-app-2"} {
		if _, err := b.startTarget(names.Target(id), appService); err != nil {
			return nil, err
		}
	}
	a, c := routing.Customer{Name: "hule930", Keys: []string{keyA}}, routing.Customer{Name: "remo214", Keys: []string{keyB}}
	if _, err := b.publish(3, []routing.Customer{a, c}); err != nil {
		return nil, err
	}
	const daemons = 3
	if err := b.startDaemons(daemons, 1); err != nil {
		return nil, err
	}
	time.Sleep(stableTime)
	for _, d := range b.daemons {
		if r := b.call(d, readPath+"1", keyA); r.status != 200 {
			return nil, fmt.Errorf("a held key is answered %d", r.status)
		}
	}
	revoked := map[string]time.Time{}
	if b.trouble {
		a.Keys = []string{}
		at, err := b.publish(8, []routing.Customer{a, c})
		if err != nil {
			return nil, err
		}
		revoked[keyA] = at
		time.Sleep(1100 * time.Millisecond)
		c.Keys = []string{}
		if at, err = b.publish(11, []routing.Customer{a, c}); err != nil {
			return nil, err
		}
		revoked[keyB] = at
	}
	time.Sleep(configApplyTime + stableTime)
	var broken []string
	for _, d := range b.daemons {
		for _, key := range []string{keyUnknown, "", keyA, keyB} {
			_, taken := revoked[key]
			held := (key == keyA || key == keyB) && !taken
			for _, path := range []string{readPath + "2", orderPath + "2"} {
				r := b.call(d, path, key)
				if ran := b.ran(r.attempt); ran && !held {
					broken = append(broken, fmt.Sprintf("request %s with key %q ran and was answered %d, version 11 has been acknowledged for over %s", r.attempt, key, r.status, configApplyTime))
				}
			}
		}
	}
	return broken, nil
}

// ran reports whether a target ran a request.
func (b *bed) ran(attempt string) bool {
	for _, t := range b.targets {
		for _, a := range t.arrivalsAfter(b.began) {
			if a.attempt == attempt {
				return true
			}
		}
	}
	return false
}

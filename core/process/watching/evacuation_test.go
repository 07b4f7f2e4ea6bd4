package watching

import (
	"fmt"
	"testing"
	"time"

	"carobspoke.example/core/process/evacuation"
)

// evacuees replays an evacuation in a region, by the path of all published changes. Each daemon
// sends a request to a random data centre every step.
type evacuees struct {
	*region
	tables map[*replayed]*evacuation.Table
	// last is when a request last reached the evacuated data centre.
	last time.Time
	// first is when each daemon first sent a request there after it was taken back.
	first map[*replayed]time.Time
}

const evacuated = "b"

// change has the source acknowledge the next change. Messages about the one before are of an
// earlier position.
func (e *evacuees) change() {
	for _, d := range e.daemons {
		d.hasChange = false
	}
	for i := range e.messages {
		e.messages[i].change = false
	}
	clear(e.inForce)
	e.changed = e.now
}

// run lets time pass. apply is called with the table of a daemon that has the change.
func (e *evacuees) run(d time.Duration, apply func(*evacuation.Table)) {
	applied := make(map[*replayed]bool)
	for end := e.now.Add(d); e.now.Before(end); {
		e.step()
		for _, daemon := range e.daemons {
			table := e.tables[daemon]
			if daemon.hasChange && !applied[daemon] {
				applied[daemon] = true
				apply(table)
			}
			if _, refused := table.InForce()[evacuated]; refused {
				continue
			}
			e.last = e.now
			if _, ok := e.first[daemon]; !ok {
				e.first[daemon] = e.now
			}
		}
	}
}

// A data centre is evacuated and taken back, while the watchers are well, cut off from the store
// or dead. Guards against requests that reach it later than the bound of 5 s, and against a
// data centre that daemons do not use again in that time. Times are virtual.
func TestEvacuationReachesAllDaemons(t *testing.T) {
	const bound = 5 * time.Second
	cuts := map[string]*cut{"calm": nil, "watchers refused": {}, "watchers silent": {openHangs: true, newHangs: true}, "watchers dead": {dead: true}}
	for _, size := range []struct{ centres, perCentre int }{{1, 61}, {5, 59}, {10, 83}} {
		for name, c := range cuts {
			t.Run(fmt.Sprintf("%d daemons/%s", size.centres*size.perCentre, name), func(t *testing.T) {
				t.Parallel()
				e := &evacuees{region: newRegion(size.centres, size.perCentre, false, 1), tables: make(map[*replayed]*evacuation.Table), first: make(map[*replayed]time.Time)}
				for _, d := range e.daemons {
					e.tables[d] = evacuation.New()
					if c != nil && d.watcher {
						begun := *c
						begun.from = e.now.Add(6 * time.Second)
						d.cut = &begun
					}
				}
				e.run(6*time.Second, nil)
				e.change()
				e.run(2*bound, func(table *evacuation.Table) { table.Put(evacuated, 7, e.now) })
				if took := e.last.Sub(e.changed); took > bound {
					t.Errorf("requests reach the data centre %s after the key was written", took)
				} else {
					t.Logf("evacuated everywhere after %s", took)
				}
				clear(e.first)
				e.change()
				e.run(2*bound, func(table *evacuation.Table) { table.Remove(evacuated, 8, e.now) })
				for i, d := range e.daemons {
					if at, ok := e.first[d]; !d.isCut(e.now) && (!ok || at.Sub(e.changed) > bound) {
						t.Fatalf("daemon %d uses the data centre %s after the key was removed (%t)", i, at.Sub(e.changed), ok)
					}
				}
			})
		}
	}
}

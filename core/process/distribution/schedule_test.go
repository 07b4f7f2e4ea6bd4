package distribution

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

// schedule drives a fleet through faults drawn from a seed, and counts how
// often a host put a lower version in force than it had before, also before a
// restart.
type schedule struct {
	d       *driver
	random  *rand.Rand
	highest []names.Version
	reverts int
	// seen is the highest version in force anywhere.
	seen names.Version
}

// outage is how long a daemon is down when it restarts.
const outage = 3 * time.Second

func newSchedule(seed uint64, useNaive bool) *schedule {
	s := &schedule{d: newTestDriver(9, useNaive), random: rand.New(rand.NewPCG(seed, 7))}
	s.d.random = rand.New(rand.NewPCG(seed, 8))
	s.highest = make([]names.Version, len(s.d.daemons))
	s.d.onAction = s.observe
	s.d.published = held(1)
	s.d.bootAll()
	s.d.runFor(15 * time.Second)
	return s
}

func (s *schedule) observe(x *daemon, a Action) {
	install, ok := a.(Install)
	if !ok {
		return
	}
	v := install.Held.Version
	if v < s.highest[x.index] {
		s.reverts++
	}
	s.highest[x.index] = max(s.highest[x.index], v)
	s.seen = max(s.seen, v)
	s.d.engines = s.seen
}

// fault draws a fault or its end.
func (s *schedule) fault(partitions bool) {
	d := s.d
	switch s.random.IntN(8) {
	case 0, 1:
		d.published = held(d.published.Version + 1)
	case 2:
		d.stale = held(1 + names.Version(s.random.Uint64N(uint64(d.published.Version))))
	case 3:
		d.stale = Held{}
	case 4:
		s.restart(d.daemons[s.random.IntN(len(d.daemons))])
	case 5:
		for _, x := range d.daemons {
			if s.random.IntN(2) == 0 {
				s.restart(x)
			}
		}
	case 6:
		for _, x := range d.daemons {
			s.restart(x)
		}
	case 7:
		if partitions {
			s.partition()
		}
	}
}

func (s *schedule) restart(x *daemon) {
	if x.machine == nil {
		return
	}
	x.machine = nil
	x.boot++
	s.d.after(outage, func() {
		s.d.boot(x)
		s.d.tellMembers()
	})
}

// partition cuts a random set of daemons off, or ends the partition.
func (s *schedule) partition() {
	apart := s.random.Uint64()
	if s.random.IntN(2) == 0 {
		apart = 0
	}
	s.d.cut = func(a, b int) bool { return apart>>a&1 != apart>>b&1 }
	s.d.tellMembers()
}

func (s *schedule) run(partitions bool) {
	for range faultsOfSchedule {
		s.fault(partitions)
		s.d.runFor(time.Duration(s.random.Int64N(int64(15 * time.Second))))
	}
	s.d.cut = func(int, int) bool { return false }
	s.d.stale = Held{}
	s.d.runFor(2 * outage)
	s.d.tellMembers()
	s.d.runFor(2 * time.Minute)
}

// schedules is the number of seeds of each test.
var schedules = flag.Uint64("schedules", 20, "number of schedules of faults")

const faultsOfSchedule = 25

// TestSchedulesWithoutPartitions has restarts of one, half and all daemons
// against a service that goes back and forth.
func TestSchedulesWithoutPartitions(t *testing.T) {
	naiveReverts := 0
	for seed := range *schedules {
		s := newSchedule(seed, false)
		s.run(false)
		if s.reverts > 0 || !s.d.allHave(s.d.published.Version) {
			t.Errorf("seed %d: %d reverts, in force %v of %v", seed, s.reverts, s.d.versions(), s.d.published.Version)
		}
		other := newSchedule(seed, true)
		other.run(false)
		naiveReverts += other.reverts
	}
	t.Logf("%d schedules of %d faults: the naive version went back %d times", *schedules, faultsOfSchedule, naiveReverts)
	if naiveReverts == 0 {
		t.Fatal("the naive version never went back")
	}
}

// TestSchedulesWithPartitions adds partitions, under which a side that
// restarted may take an older version (docs/design/manifest.md says when). No
// process ever goes back, and all agree afterwards.
func TestSchedulesWithPartitions(t *testing.T) {
	reverts, naiveReverts := 0, 0
	for seed := range *schedules {
		s := newSchedule(seed, false)
		s.run(true)
		reverts += s.reverts
		if !s.d.allHave(s.d.published.Version) {
			t.Errorf("seed %d: in force %v of %v", seed, s.d.versions(), s.d.published.Version)
		}
		for _, x := range s.d.daemons {
			if !ascending(x.history) {
				t.Errorf("seed %d: a process went through %v", seed, x.history)
			}
		}
		other := newSchedule(seed, true)
		other.run(true)
		naiveReverts += other.reverts
	}
	t.Logf("%d schedules of %d faults: hosts went back %d times after restarts, those of the naive version %d times",
		*schedules, faultsOfSchedule, reverts, naiveReverts)
	if reverts >= naiveReverts {
		t.Fatal("no better than the naive version")
	}
}

func ascending(list []names.Version) bool {
	for i := 1; i < len(list); i++ {
		if list[i] <= list[i-1] {
			return false
		}
	}
	return true
}

func (d *driver) versions() []names.Version {
	list := make([]names.Version, 0, len(d.daemons))
	for _, x := range d.daemons {
		list = append(list, x.machine.InForce().Version)
	}
	return list
}

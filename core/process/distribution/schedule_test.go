package distribution

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

// faultSchedule injects pseudo-random faults into a simulated fleet. It counts how
// often a host put a lower version in force than it ever had before, including
// before restarts.
type faultSchedule struct {
	sim    *simulator
	random *rand.Rand
	// highest is the highest version that each host has had in force.
	highest []names.Version
	reverts int
	// highestAnywhere is the highest version that any host has had in force.
	highestAnywhere names.Version
}

// restartDowntime is how long a daemon is down during a restart.
const restartDowntime = 3 * time.Second

func newFaultSchedule(seed uint64, useNaive bool) *faultSchedule {
	s := &faultSchedule{sim: newTestSimulator(9, useNaive), random: rand.New(rand.NewPCG(seed, 7))}
	s.sim.random = rand.New(rand.NewPCG(seed, 8))
	s.highest = make([]names.Version, len(s.sim.daemons))
	s.sim.onAction = s.observe
	s.sim.published = simulatedVersion(1)
	s.sim.startAll()
	s.sim.runFor(15 * time.Second)
	return s
}

func (s *faultSchedule) observe(d *daemon, a Action) {
	install, ok := a.(Install)
	if !ok {
		return
	}
	v := install.VersionID.Version
	if v < s.highest[d.index] {
		s.reverts++
	}
	s.highest[d.index] = max(s.highest[d.index], v)
	s.highestAnywhere = max(s.highestAnywhere, v)
	s.sim.engineFence = s.highestAnywhere
}

// injectFault publishes a version, or starts or ends a random fault.
func (s *faultSchedule) injectFault(partitions bool) {
	sim := s.sim
	switch s.random.IntN(8) {
	case 0, 1:
		sim.published = simulatedVersion(sim.published.Version + 1)
	case 2:
		sim.stale = simulatedVersion(1 + names.Version(s.random.Uint64N(uint64(sim.published.Version))))
	case 3:
		sim.stale = VersionID{}
	case 4:
		s.restart(sim.daemons[s.random.IntN(len(sim.daemons))])
	case 5:
		for _, d := range sim.daemons {
			if s.random.IntN(2) == 0 {
				s.restart(d)
			}
		}
	case 6:
		for _, d := range sim.daemons {
			s.restart(d)
		}
	case 7:
		if partitions {
			s.partition()
		}
	}
}

// restart stops a daemon and starts it again after restartDowntime.
func (s *faultSchedule) restart(d *daemon) {
	if d.machine == nil {
		return
	}
	d.machine = nil
	d.generation++
	s.sim.schedule(restartDowntime, func() {
		s.sim.startDaemon(d)
		s.sim.updateMembers()
	})
}

// partition separates a random set of daemons from the others, or ends the
// partition.
func (s *faultSchedule) partition() {
	side := s.random.Uint64()
	if s.random.IntN(2) == 0 {
		side = 0
	}
	s.sim.partitioned = func(a, b int) bool { return side>>a&1 != side>>b&1 }
	s.sim.updateMembers()
}

// run injects the faults, ends them all, and gives the fleet time to recover.
func (s *faultSchedule) run(partitions bool) {
	for range faultsPerSchedule {
		s.injectFault(partitions)
		s.sim.runFor(time.Duration(s.random.Int64N(int64(15 * time.Second))))
	}
	s.sim.partitioned = func(int, int) bool { return false }
	s.sim.stale = VersionID{}
	s.sim.runFor(2 * restartDowntime)
	s.sim.updateMembers()
	s.sim.runFor(2 * time.Minute)
}

// schedules is the number of seeds that each test runs.
var schedules = flag.Uint64("schedules", 20, "number of schedules of faults")

const faultsPerSchedule = 25

// TestSchedulesWithoutPartitions restarts one, half and all daemons while the
// service returns old and new versions in turn. No host may install a lower
// version than it had before, also across restarts.
func TestSchedulesWithoutPartitions(t *testing.T) {
	naiveReverts := 0
	for seed := range *schedules {
		s := newFaultSchedule(seed, false)
		s.run(false)
		if s.reverts > 0 || !s.sim.allInForce(s.sim.published.Version) {
			t.Errorf("seed %d: %d reverts, in force %v of %v", seed, s.reverts, s.sim.versionsInForce(), s.sim.published.Version)
		}
		other := newFaultSchedule(seed, true)
		other.run(false)
		naiveReverts += other.reverts
	}
	t.Logf("%d schedules of %d faults: the naive machines reverted %d times", *schedules, faultsPerSchedule, naiveReverts)
	if naiveReverts == 0 {
		t.Fatal("the naive machines never reverted")
	}
}

// TestSchedulesWithPartitions adds partitions, during which a side that restarted
// may install an older version (docs/design/manifest.md says when). No process
// may install a lower version than before, and all daemons must have the newest
// one after the partition.
func TestSchedulesWithPartitions(t *testing.T) {
	reverts, naiveReverts := 0, 0
	for seed := range *schedules {
		s := newFaultSchedule(seed, false)
		s.run(true)
		reverts += s.reverts
		if !s.sim.allInForce(s.sim.published.Version) {
			t.Errorf("seed %d: in force %v of %v", seed, s.sim.versionsInForce(), s.sim.published.Version)
		}
		for _, d := range s.sim.daemons {
			if !ascending(d.installs) {
				t.Errorf("seed %d: a process installed %v", seed, d.installs)
			}
		}
		other := newFaultSchedule(seed, true)
		other.run(true)
		naiveReverts += other.reverts
	}
	t.Logf("%d schedules of %d faults: hosts reverted %d times after restarts, with naive machines %d times",
		*schedules, faultsPerSchedule, reverts, naiveReverts)
	if reverts >= naiveReverts {
		t.Fatal("hosts reverted at least as often as with naive machines")
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

func (s *simulator) versionsInForce() []names.Version {
	list := make([]names.Version, 0, len(s.daemons))
	for _, d := range s.daemons {
		list = append(list, d.machine.InForce().Version)
	}
	return list
}

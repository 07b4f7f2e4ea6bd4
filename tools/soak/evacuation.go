package soak

import (
	"fmt"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/tools/emulator"
	"github.com/pkg/errors"
)

const (
	// zonedDataCentres is the number of data centres in runs with Config.zoned.
	zonedDataCentres = 3
	// evacuationTime is how long a data centre is evacuated at least: the bound and some
	// time to see requests that come later.
	evacuationTime = emulator.EvacuateBound + 2*time.Second
	// One evacuation in fullEvacuations is of all data centres.
	fullEvacuations = 6
)

// evacuationValues are values of the keys of evacuations. All of them count.
var evacuationValues = []string{"", "1", "0", `{"by":"operator"}`, "\xff{"}

// Warm-up of the targets in runs with Config.Cold. The rate is well below that of the
// callers, so that daemons which ignore it exceed the bound; overage and slack are the users'.
const (
	coldTime    = 6 * time.Second
	coldRate    = 4
	coldOverage = 1.5
	coldSlack   = 5
	// coldNotice is how long after a running target has become cold, and its entry says so,
	// daemons may not know it yet.
	coldNotice = drainBound
)

// zoned reports whether the targets are spread over the data centres of the daemons.
func (c *Config) zoned() bool { return c.Evacuate || c.Cold || c.Regions }

// regionOf returns the region of the i-th data centre.
func (c *Config) regionOf(i int) names.Region {
	if !c.Regions {
		return "region"
	}
	return names.Region(fmt.Sprintf("region-%d", i%2))
}

// allowedRegions returns the regions that requests of a kind may reach, none for no
// restriction.
func (c *Config) allowedRegions(kind string) []names.Region {
	if !c.Regions || kind == kindRead {
		return nil
	}
	return []names.Region{c.regionOf(0)}
}

// addCold sets how the targets of a service warm up.
func (c *Config) addCold(s *routing.Service) {
	if c.Cold {
		s.ColdTime, s.ColdRate = coldTime, coldRate
	}
}

// leastPopulated returns the data centre with the fewest targets of a service.
func (b *testbed) leastPopulated(service names.Service) names.DataCentre {
	if !b.config.zoned() {
		return "dc"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	count := make(map[names.DataCentre]int)
	for _, t := range b.targets {
		if t.Service == service {
			count[t.DataCentre]++
		}
	}
	least := b.config.dataCentre(0)
	for i := range b.config.DataCentres {
		if dc := b.config.dataCentre(i); count[dc] < count[least] {
			least = dc
		}
	}
	return least
}

// surround tells a target what it needs to know of the platform.
func (b *testbed) surround(t *target) {
	t.Surroundings = emulator.Surroundings{
		Identify: func(address string) emulator.Sender {
			return b.identify(func() string { return t.proxy.Client(address) })
		},
		Crashed:    func() { b.active.Go(func() { b.returnCrashed(t) }) },
		LinkStable: func() bool { return t.proxy.Undisturbed(emulator.StableTime) },
		Region:     b.config.regions()[t.DataCentre],
		RegionAt:   b.regionAt,
	}
	if b.config.Outages > 0 {
		t.EventInterval = outageEventInterval
	}
	if b.config.Evacuate {
		t.EvacuatedSince = b.store.EvacuatedSince
	}
	if b.config.Cold && !b.noneCold.Load() {
		t.Warmup = emulator.Warmup{Time: coldTime, Rate: coldRate, Overage: coldOverage, Slack: coldSlack}
	}
}

// regionAt returns the region of the target with an entry of an address.
func (b *testbed) regionAt(address string) (names.Region, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		if t.entry.Address == address {
			return t.Region, true
		}
	}
	return "", false
}

// publishTarget publishes the entry of a target, or records a violation if that fails.
func (b *testbed) publishTarget(t *target) {
	b.mu.Lock()
	entry := t.entry
	b.mu.Unlock()
	entry.ColdLeft = t.ColdLeft()
	if err := b.store.PutTarget(&entry); err != nil {
		b.checker.RecordViolation("a target's entry cannot be published: %v", err)
	}
}

// beginCold makes a target cold and publishes it.
func (b *testbed) beginCold(t *target, notice time.Duration) {
	if b.config.Cold {
		t.BeginCold(coldTime, notice)
		b.publishTarget(t)
	}
}

// coldFault returns the fault that a running target becomes cold.
func coldFault() fault {
	return fault{"target becomes cold", func(b *testbed) (func(), string) {
		t := b.randomTarget()
		b.beginCold(t, coldNotice)
		return func() { time.Sleep(coldTime) }, string(t.ID)
	}}
}

// dataCentresInUse returns the data centres that are not evacuated.
func (b *testbed) dataCentresInUse() map[names.DataCentre]bool {
	inUse := make(map[names.DataCentre]bool)
	for i := range b.config.DataCentres {
		if dc := b.config.dataCentre(i); b.store.EvacuatedSince(dc).IsZero() {
			inUse[dc] = true
		}
	}
	return inUse
}

// evacuateFault returns the fault that operators evacuate a data centre, or all, which are
// taken back later. Only if it evacuates all of them does none stay in use. In half of the cases they restart the targets meanwhile.
func evacuateFault() fault {
	return fault{"evacuate", func(b *testbed) (func(), string) {
		first, count := b.random.IntN(b.config.DataCentres), 1
		if b.random.IntN(fullEvacuations) == 0 {
			count = b.config.DataCentres
		}
		value, restarts := evacuationValues[b.random.IntN(len(evacuationValues))], b.random.IntN(2) == 0
		var list []names.DataCentre
		inUse := b.dataCentresInUse()
		for i := range count {
			dc := b.config.dataCentre((first + i) % b.config.DataCentres)
			if inUse[dc] && (len(inUse) > 1 || count > 1) {
				b.store.Evacuate(dc, value)
				list = append(list, dc)
			}
		}
		return func() {
			time.Sleep(evacuationTime)
			for _, dc := range list {
				b.takeBack(dc, restarts)
			}
			if b.config.Cold {
				time.Sleep(coldTime)
			}
		}, fmt.Sprint(list)
	}}
}

// takeBack ends the evacuation of a data centre, whose targets are cold then.
func (b *testbed) takeBack(dc names.DataCentre, restarts bool) {
	for _, t := range b.targetsIn(dc) {
		if restarts && t.Active() == 0 {
			b.restartTarget(t)
			continue
		}
		b.beginCold(t, 0)
	}
	b.store.TakeBack(dc)
	b.recordFault("taken back %s", dc)
}

func (b *testbed) targetsIn(dc names.DataCentre) []*target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*target
	for _, t := range b.targets {
		if t.DataCentre == dc {
			list = append(list, t)
		}
	}
	return list
}

// restartTarget ends a target and starts another one at its address, or elsewhere if
// another program has taken the port.
func (b *testbed) restartTarget(t *target) {
	if !b.unlist(t) {
		return
	}
	t.Crash()
	t.proxy.Close()
	b.store.RemoveTarget(&t.entry)
	err := b.addTargetIn(t.DataCentre, t.Service, t.proxy.Address())
	if errors.Is(err, syscall.EADDRINUSE) {
		err = b.addTargetIn(t.DataCentre, t.Service, anyPort)
	}
	if err != nil {
		b.checker.RecordViolation("a target cannot be added: %v", err)
	}
}

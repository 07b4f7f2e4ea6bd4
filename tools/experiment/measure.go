package experiment

import (
	"sync"
	"time"
)

// measured holds the results of one policy on one fleet, over all seeds.
type measured struct {
	policy string
	// One result per scenario. shortOnly repeats steady, the run at steadyLoad,
	// with only its short prompts.
	steady, shortOnly, overload, noisyNeighbour, impatient, spike, commonPrefixes, spanning result
	// overloadGoodput is the throughput of complete answers during the overload
	// phase, as a share of capacity ("crest goodput" in the tables).
	overloadGoodput float64
	// smallTokens and smallAloneTokens are the small customer's completed
	// tokens with and without the large customer's load.
	smallTokens, smallAloneTokens int
	// recovery is the longest time, over all seeds, from the end of the spike
	// until goodput is back at its earlier level.
	recovery time.Duration
}

// measure runs one policy through the scenarios of the main table.
func measure(p policy, s size, seeds []uint64) *measured {
	m := &measured{policy: p.name}
	for _, seed := range seeds {
		m.runSteady(p, s, seed)
		m.runOverload(p, s, seed)
		m.runNoisyNeighbour(p, s, seed)
		m.runSpike(p, s, seed)
		m.impatient.add(simulate(p, s, impatient(s, seed), seed))
	}
	m.overloadGoodput /= float64(len(seeds))
	return m
}

func (m *measured) runSteady(p policy, s size, seed uint64) {
	list := steady(s, steadyLoad, seed)
	m.steady.add(simulate(p, s, list, seed))
	m.shortOnly.add(simulate(p, s, onlyKind(list, shortPrompt), seed))
}

// overloadSkip is the start of the overload phase that is left out of the
// goodput, so that answers started before the phase do not count.
const overloadSkip = 30 * time.Second

func (m *measured) runOverload(p policy, s size, seed uint64) {
	r := simulate(p, s, overload(s, seed), seed)
	m.overload.add(r)
	tokens, _ := capacity(s.mix, seed)
	goodput := r.goodput(warmUpTime+overloadSkip, warmUpTime+overloadTime)
	m.overloadGoodput += goodput / (tokens * float64(s.engines))
}

func (m *measured) runNoisyNeighbour(p policy, s size, seed uint64) {
	list := noisyNeighbour(s, seed)
	r := simulate(p, s, list, seed)
	m.noisyNeighbour.add(r)
	m.smallTokens += r.customers[smallCustomer]
	m.smallAloneTokens += simulate(p, s, onlyCustomer(list, smallCustomer), seed).customers[smallCustomer]
}

// recoveryResolution is the resolution of the recovery time, and
// recoveryWindow the time over which goodput is averaged.
const (
	recoveryResolution = time.Second
	recoveryWindow     = 10 * time.Second
)

func (m *measured) runSpike(p policy, s size, seed uint64) {
	r := simulate(p, s, spike(s, seed), seed)
	m.spike.add(r)
	before := r.goodput(warmUpTime/3, warmUpTime)
	end := warmUpTime + spikeTime
	took := time.Duration(0)
	for took < recoveryTime && r.goodput(end+took, end+took+recoveryWindow) < before {
		took += recoveryResolution
	}
	m.recovery = max(m.recovery, took)
}

// parallelRuns is the maximum number of policies measured concurrently.
const parallelRuns = 5

// measureCommonPrefixes runs one policy over prompts with common prefixes.
func measureCommonPrefixes(p policy, s size, seeds []uint64) *measured {
	m := &measured{policy: p.name}
	for _, seed := range seeds {
		m.commonPrefixes.add(simulate(p, s, commonPrefixes(s, seed), seed))
	}
	return m
}

// measureSpanning runs one policy with prompts larger than one engine's memory.
func measureSpanning(p policy, s size, seeds []uint64) *measured {
	m := &measured{policy: p.name}
	for _, seed := range seeds {
		m.spanning.add(simulate(p, s, spanning(s, seed), seed))
	}
	return m
}

// measureFunc runs one policy through one or more scenarios.
type measureFunc func(p policy, s size, seeds []uint64) *measured

// measureAll measures policies, up to parallelRuns concurrently, and returns
// the results in the order of the policies.
func measureAll(runOne measureFunc, policies []policy, s size, seeds []uint64) []*measured {
	results := make([]*measured, len(policies))
	slots := make(chan struct{}, parallelRuns)
	var wait sync.WaitGroup
	for i, p := range policies {
		wait.Go(func() {
			slots <- struct{}{}
			results[i] = runOne(p, s, seeds)
			<-slots
		})
	}
	wait.Wait()
	return results
}

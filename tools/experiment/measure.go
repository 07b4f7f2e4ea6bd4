package experiment

import (
	"sync"
	"time"
)

// measured is what one policy reached at one size, over all seeds.
type measured struct {
	policy string
	// steady is the run at steadyLoad, alone its short prompts without the
	// others.
	steady, alone, crest, crowd, impatient, spike, repeating, spanning result
	// crestGoodput is the throughput of complete answers at the crest, as a
	// share of capacity.
	crestGoodput float64
	// small and solo are the small customer's tokens beside the large one
	// and alone.
	small, solo int
	// recovery is the time from the spike's end until goodput is back.
	recovery time.Duration
}

// measure runs one policy through all scenarios.
func measure(p policy, s size, seeds []uint64) *measured {
	m := &measured{policy: p.name}
	for _, seed := range seeds {
		m.runSteady(p, s, seed)
		m.runCrest(p, s, seed)
		m.runCrowd(p, s, seed)
		m.runSpike(p, s, seed)
		m.impatient.add(simulate(p, s, impatient(s, seed), seed))
	}
	m.crestGoodput /= float64(len(seeds))
	return m
}

func (m *measured) runSteady(p policy, s size, seed uint64) {
	list := steady(s, steadyLoad, seed)
	m.steady.add(simulate(p, s, list, seed))
	m.alone.add(simulate(p, s, onlyKind(list, shortPrompt), seed))
}

// crestSkip is left out at the start of the crest, until answers that began
// before it are complete.
const crestSkip = 30 * time.Second

func (m *measured) runCrest(p policy, s size, seed uint64) {
	r := simulate(p, s, crest(s, seed), seed)
	m.crest.add(r)
	tokens, _ := capacity(s.mix, seed)
	goodput := r.goodput(warmTime+crestSkip, warmTime+crestTime)
	m.crestGoodput += goodput / (tokens * float64(s.engines))
}

func (m *measured) runCrowd(p policy, s size, seed uint64) {
	list := crowd(s, seed)
	r := simulate(p, s, list, seed)
	m.crowd.add(r)
	m.small += r.customers[smallCustomer]
	m.solo += simulate(p, s, onlyCustomer(list, smallCustomer), seed).customers[smallCustomer]
}

// recoveryStep is the resolution of the time of recovery, and recoveryWindow
// the time over which goodput is averaged.
const (
	recoveryStep   = time.Second
	recoveryWindow = 10 * time.Second
)

func (m *measured) runSpike(p policy, s size, seed uint64) {
	r := simulate(p, s, spike(s, seed), seed)
	m.spike.add(r)
	before := r.goodput(warmTime/3, warmTime)
	end := warmTime + spikeTime
	took := time.Duration(0)
	for took < recoverTime && r.goodput(end+took, end+took+recoveryWindow) < before {
		took += recoveryStep
	}
	m.recovery = max(m.recovery, took)
}

// parallelRuns bounds the policies that are measured at the same time.
const parallelRuns = 5

// measureRepeating runs one policy over prompts with common beginnings.
func measureRepeating(p policy, s size, seeds []uint64) *measured {
	m := &measured{policy: p.name}
	for _, seed := range seeds {
		m.repeating.add(simulate(p, s, repeating(s, seed), seed))
	}
	return m
}

// measureSpanning runs one policy with prompts over one engine's memory.
func measureSpanning(p policy, s size, seeds []uint64) *measured {
	m := &measured{policy: p.name}
	for _, seed := range seeds {
		m.spanning.add(simulate(p, s, spanning(s, seed), seed))
	}
	return m
}

// measurement runs one policy through some scenarios.
type measurement func(p policy, s size, seeds []uint64) *measured

// measureAll measures policies, several at a time, and returns them in order.
func measureAll(of measurement, policies []policy, s size, seeds []uint64) []*measured {
	results := make([]*measured, len(policies))
	slots := make(chan struct{}, parallelRuns)
	var wait sync.WaitGroup
	for i, p := range policies {
		wait.Go(func() {
			slots <- struct{}{}
			results[i] = of(p, s, seeds)
			<-slots
		})
	}
	wait.Wait()
	return results
}

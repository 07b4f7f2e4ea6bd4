package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/prefix"
)

// sizes returns the fleets of both users, each with preemptive and with
// non-preemptive engines.
func sizes() []size {
	sahayatri := size{name: "Sahayatri", engines: 15, daemons: 8, mix: usualMix()}
	tuuraj := size{name: "Tuuraj", engines: 25, daemons: 9, mix: usualMix()}
	return []size{sahayatri, sahayatri.withNonPreemptive(), tuuraj, tuuraj.withNonPreemptive()}
}

func (s size) withMix(m mix) size {
	s.mix = m
	return s
}

func (s size) withNonPreemptive() size {
	s.nonPreemptive = true
	return s
}

// Durations of the scenarios and their phases.
const (
	steadyTime     = 240 * time.Second
	contentionTime = 120 * time.Second
	warmUpTime     = 30 * time.Second
	overloadTime   = 120 * time.Second
	spikeTime      = 10 * time.Second
	recoveryTime   = 60 * time.Second
	// steadyLoad is the load of the steady scenario, as a share of capacity.
	steadyLoad = 0.6
)

// tenCustomers returns ten customers; three of them send five times as many
// jobs as the others.
func tenCustomers() []customerLoad {
	list := make([]customerLoad, 10)
	for i := range list {
		list[i] = customerLoad{name: names.Customer("customer" + strconv.Itoa(i)), weight: 1}
	}
	for i := range 3 {
		list[i].weight = 5
	}
	return list
}

// capacity returns the throughput of one saturated engine, in tokens a second
// and in jobs of the mix a second.
func capacity(m mix, seed uint64) (tokens, jobsPerSecond float64) {
	list := generateJobs(m, seed, []phase{{length: time.Second, rate: 400}}, tenCustomers())
	c := newClock()
	e := newEngine(c, "", false)
	done, sum := 0, 0
	var last time.Time
	for i := range list {
		j := &list[i]
		s := &stream{id: strconv.Itoa(i), prompt: j.prompt, answer: j.answer, onFirstToken: func() {}}
		s.onComplete = func() {
			done++
			sum += j.tokens()
			last = c.now
		}
		e.submit(s)
	}
	start := c.now
	c.run(start.Add(time.Hour))
	elapsed := last.Sub(start).Seconds()
	return float64(sum) / elapsed, float64(done) / elapsed
}

// jobRate returns the arrival rate, in jobs a second, for a share of the
// fleet's capacity.
func (s size) jobRate(share float64, seed uint64) float64 {
	_, jobsPerSecond := capacity(s.mix, seed)
	return share * jobsPerSecond * float64(s.engines)
}

// steady generates a constant load.
func steady(s size, share float64, seed uint64) []job {
	return generateJobs(s.mix, seed, []phase{{length: steadyTime, rate: s.jobRate(share, seed)}}, tenCustomers())
}

// overload generates loads of 0.6, 2 and again 0.6 of the capacity.
func overload(s size, seed uint64) []job {
	low, high := s.jobRate(0.6, seed), s.jobRate(2, seed)
	return generateJobs(s.mix, seed, []phase{
		{length: warmUpTime, rate: low},
		{length: overloadTime, rate: high},
		{length: recoveryTime, rate: low},
	}, tenCustomers())
}

// spike generates a load of 0.6 of the capacity, five times that for ten
// seconds, and again 0.6.
func spike(s size, seed uint64) []job {
	low := s.jobRate(0.6, seed)
	return generateJobs(s.mix, seed, []phase{
		{length: warmUpTime, rate: low},
		{length: spikeTime, rate: 5 * low},
		{length: recoveryTime, rate: low},
	}, tenCustomers())
}

// Customers of noisyNeighbour.
const (
	smallCustomer names.Customer = "small"
	largeCustomer names.Customer = "large"
)

// noisyNeighbour generates the load of a customer within its share and of one
// that sends ten times as much; together they exceed capacity.
func noisyNeighbour(s size, seed uint64) []job {
	return generateJobs(s.mix, seed, []phase{{length: contentionTime, rate: s.jobRate(2.2, seed)}}, []customerLoad{
		{name: smallCustomer, weight: 1}, {name: largeCustomer, weight: 10},
	})
}

// impatient generates a load slightly over capacity whose deadlines allow
// little more time than an idle engine needs.
func impatient(s size, seed uint64) []job {
	list := generateJobs(s.mix, seed, []phase{{length: contentionTime, rate: s.jobRate(1.2, seed)}}, tenCustomers())
	for i := range list {
		list[i].impatient = true
	}
	return list
}

// commonPrefixes generates a load just under capacity in which half the prompts
// begin with one of two texts of their customer, for up to their full length.
func commonPrefixes(s size, seed uint64) []job {
	list := generateJobs(s.mix, seed, []phase{{length: steadyTime, rate: s.jobRate(repeatLoad, seed)}}, tenCustomers())
	random := rand.New(rand.NewPCG(seed, 3))
	for i := range list {
		text := uint64(i) + textsPerCustomer
		if random.IntN(2) == 0 {
			text = random.Uint64N(textsPerCustomer)
		}
		list[i].digests = digestsOf(&list[i], text)
	}
	return list
}

// Parameters of commonPrefixes.
const (
	repeatLoad       = 0.9
	textsPerCustomer = 2
)

// digestsOf returns the prefix digests of a prompt that begins with the given
// text of its customer.
func digestsOf(j *job, text uint64) []uint64 {
	var digests []uint64
	for i := 0; prefix.TokensCovered(i) <= j.prompt; i++ {
		name := fmt.Sprint(j.customer, "/", text, "/", i)
		digests = append(digests, xxhash.Sum64String(name))
	}
	return digests
}

// Parameters of spanning.
const (
	spanLoad     = 0.4
	spanInterval = 45 * time.Second
	spanTime     = 10 * time.Minute
	// spanTokens is the length of a prompt that needs 2.2 engines' memory.
	spanTokens   = engineTokens * 22 / 10
	spanTimeout  = 4 * time.Minute
	killInterval = time.Minute
)

// spanning generates a moderate load with a prompt larger than two engines'
// memory at every spanInterval.
func spanning(s size, seed uint64) []job {
	list := generateJobs(s.mix, seed, []phase{{length: spanTime, rate: s.jobRate(spanLoad, seed)}}, tenCustomers())
	for at := spanInterval; at < spanTime; at += spanInterval {
		list = append(list, job{
			at: at, kind: spanPrompt, customer: tenCustomers()[0].name, prompt: spanTokens, answer: answerMax,
		})
	}
	slices.SortStableFunc(list, func(a, b job) int { return cmp.Compare(a.at, b.at) })
	return list
}

package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Kinds of prompts in the workload, by length: 1 k to 8 k, 8 k to 100 k and over
// 100 k tokens in the usual mix. They are independent of the policy's classes.
const (
	shortPrompt = iota
	mediumPrompt
	longPrompt
	spanPrompt // larger than one engine's memory; not in any mix
	kindCount
)

// mix is a distribution of prompt lengths.
type mix struct {
	name string
	// lengths are the bounds of each kind, in tokens; prompt lengths are
	// distributed log-uniformly between them.
	lengths [spanPrompt][2]float64
	// share is each kind's share of the prompts.
	share [spanPrompt]float64
}

// usualMix is the users' mix: one prompt in fifty is long.
func usualMix() mix {
	return mix{
		name:    "usual mix",
		lengths: [spanPrompt][2]float64{{1000, 8000}, {8000, 100_000}, {100_000, 440_000}},
		share:   [spanPrompt]float64{0.80, 0.18, 0.02},
	}
}

// fewShortMix is a mix in which one prompt in ten is short.
func fewShortMix() mix {
	m := usualMix()
	m.name = "one short prompt in ten"
	m.share = [spanPrompt]float64{0.10, 0.70, 0.20}
	return m
}

// Answer lengths, in tokens, and the parts of callers' timeouts.
const (
	answerMin, answerMax = 20, 200
	// tokenTimeout is the time that a caller allows for each token of the
	// answer.
	tokenTimeout = 90 * time.Millisecond
	// baseTimeout is the time that a caller allows for any prompt. It adds
	// prefillTimeoutFactor times the prompt's prefill time.
	baseTimeout          = 5 * time.Second
	prefillTimeoutFactor = 3
	// The same for an impatient caller.
	impatientBaseTimeout   = 500 * time.Millisecond
	impatientPrefillFactor = 1.2
	impatientTokenTimeout  = 62 * time.Millisecond
)

// job is a request of a caller, sent in one or more attempts.
type job struct {
	at       time.Duration
	kind     int
	customer names.Customer
	prompt   int
	answer   int
	// impatient gives the job the timeout of an impatient caller.
	impatient bool
	// digests are the digests of the prompt's prefixes.
	digests []uint64
}

func (j *job) tokens() int { return j.prompt + j.answer }

// unloadedLatency returns the time to first token at an idle engine.
func (j *job) unloadedLatency() time.Duration {
	full, rest := j.prompt/chunkTokens, j.prompt%chunkTokens
	t := 2*networkDelay + time.Duration(full)*stepTime(chunkTokens, 0)
	if rest > 0 {
		t += stepTime(rest, 0)
	}
	return t
}

// minFirstTokenBound is the lowest bound on the time to first token, and
// firstTokenRatio the bound's ratio to the time at an idle engine.
const (
	minFirstTokenBound = 1900 * time.Millisecond
	firstTokenRatio    = 1.3
)

// firstTokenBound returns the time within which the first token should arrive:
// a constant, or a multiple of the time at an idle engine if that is longer.
func (j *job) firstTokenBound() time.Duration {
	return max(minFirstTokenBound, time.Duration(firstTokenRatio*float64(j.unloadedLatency())))
}

// timeout returns the time within which the caller needs the complete answer.
func (j *job) timeout() time.Duration {
	if j.kind == spanPrompt {
		return spanTimeout
	}
	if j.impatient {
		return impatientBaseTimeout + time.Duration(impatientPrefillFactor*float64(j.unloadedLatency())) + time.Duration(j.answer)*impatientTokenTimeout
	}
	prefill := time.Duration(j.prompt) * prefillTimePerToken
	return baseTimeout + prefillTimeoutFactor*prefill + time.Duration(j.answer)*tokenTimeout
}

// phase is a period with a constant arrival rate.
type phase struct {
	length time.Duration
	rate   float64 // jobs a second
}

// customerLoad is a customer with its weight in the arrivals.
type customerLoad struct {
	name   names.Customer
	weight float64
}

// generateJobs returns a random workload with Poisson arrivals in phases,
// sorted by arrival time.
func generateJobs(m mix, seed uint64, phases []phase, customers []customerLoad) []job {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []job
	var start time.Duration
	for _, p := range phases {
		at := start
		for p.rate > 0 {
			at += time.Duration(random.ExpFloat64() / p.rate * float64(time.Second))
			if at >= start+p.length {
				break
			}
			list = append(list, randomJob(m, random, at, customers))
		}
		start += p.length
	}
	slices.SortStableFunc(list, func(a, b job) int { return cmp.Compare(a.at, b.at) })
	return list
}

func randomJob(m mix, random *rand.Rand, at time.Duration, customers []customerLoad) job {
	kind := pickWeighted(random, m.share[:])
	low, high := math.Log(m.lengths[kind][0]), math.Log(m.lengths[kind][1])
	weights := make([]float64, len(customers))
	for i, t := range customers {
		weights[i] = t.weight
	}
	return job{
		at:       at,
		kind:     kind,
		prompt:   int(math.Exp(low + random.Float64()*(high-low))),
		answer:   answerMin + random.IntN(answerMax-answerMin),
		customer: customers[pickWeighted(random, weights)].name,
	}
}

// pickWeighted returns a random index with a probability in proportion to its
// weight.
func pickWeighted(random *rand.Rand, weights []float64) int {
	var total float64
	for _, p := range weights {
		total += p
	}
	remaining := random.Float64() * total
	for i, p := range weights {
		remaining -= p
		if remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// onlyKind keeps the jobs of one kind.
func onlyKind(list []job, kind int) []job {
	return slices.DeleteFunc(slices.Clone(list), func(j job) bool { return j.kind != kind })
}

// onlyCustomer keeps the jobs of one customer.
func onlyCustomer(list []job, c names.Customer) []job {
	return slices.DeleteFunc(slices.Clone(list), func(j job) bool { return j.customer != c })
}

package choice

import (
	"math/rand/v2"
	"strconv"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/verdict"
)

// Input is what the parts of a chooser look at besides a candidate.
type Input struct {
	Request *facts.Request
	Now     time.Time
}

// Filter drops candidates that must not get the request.
type Filter interface {
	// Name identifies the filter in explanations.
	Name() string
	// Keep returns false, and why, for a candidate that must not get the
	// request.
	Keep(in *Input, c *Candidate) (keep bool, why string)
	// Refusal is the reason for the caller when this filter dropped the
	// last candidates.
	Refusal(in *Input) verdict.Reason
}

// Scorer predicts a part of a request's time to first token at a candidate.
// The chooser adds up what its scorers say.
type Scorer interface {
	// Name identifies the scorer in explanations.
	Name() string
	// Score returns the predicted time.
	Score(in *Input, c *Candidate) time.Duration
}

// Scored is a candidate that passed all filters.
type Scored struct {
	Candidate *Candidate
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
}

// Picker takes one of the candidates that passed all filters. It is called
// with at least one, in the order in which they came.
type Picker interface {
	Pick(scored []Scored, random *rand.Rand) Scored
}

// Policy is a Chooser made of parts: filters in order, then scorers, then the
// picker. It has no state and may be shared.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// Settings parametrise the policy of New.
type Settings struct {
	// ShortReserve is the share of a model's targets that take no prefill
	// longer than LendLimit; zero switches the reserve off.
	ShortReserve float64
	// LendLimit bounds the prefill time lent from the reserve, and with it
	// the time until the reserve is free again.
	LendLimit time.Duration
	// Region returns the region of a data centre; nil puts all in one.
	Region func(names.DataCentre) names.Region
}

// DefaultSettings returns the settings of this release.
func DefaultSettings() Settings {
	return Settings{ShortReserve: DefaultShortReserve, LendLimit: DefaultLendLimit}
}

// Defaults of Settings.
const (
	DefaultShortReserve = 0.25
	DefaultLendLimit    = time.Second
)

// New returns the policy of this release.
func New(s Settings) *Policy {
	return &Policy{
		Filters: []Filter{
			isolation{},
			served{},
			leaving{},
			breaker{},
			memory{},
			reserve{share: s.ShortReserve, limit: s.LendLimit},
		},
		Scorers: []Scorer{
			queueTime{},
			prefillTime{},
			decodeTime{},
			distance{region: s.Region},
			adapterLoad{},
			versionLag{},
			memoryWait{},
		},
		Picker: TwoChoices{},
	}
}

// Choose implements Chooser.
func (p *Policy) Choose(r facts.Request, candidates []Candidate, now time.Time, random *rand.Rand, explain bool) Decision {
	c := choosing{policy: p, in: Input{Request: &r, Now: now}, explain: explain}
	scored := c.score(candidates)
	if len(scored) == 0 {
		c.decision.Refusal = c.refusal()
		return c.decision
	}
	pick := p.Picker.Pick(scored, random)
	c.note(pick.Candidate.Target, "picker", "picked", "")
	c.decision.Target = pick.Candidate.Target
	c.decision.FirstToken = pick.FirstToken
	return c.decision
}

// choosing is one run of Choose.
type choosing struct {
	policy   *Policy
	in       Input
	explain  bool
	decision Decision
	// furthest is the filter that dropped a candidate last in the order of
	// filters, plus one: what kept the best of the targets from serving.
	furthest int
}

func (c *choosing) score(candidates []Candidate) []Scored {
	scored := make([]Scored, 0, len(candidates))
	for i := range candidates {
		candidate := &candidates[i]
		if !c.keep(candidate) {
			continue
		}
		scored = append(scored, Scored{Candidate: candidate, FirstToken: c.predict(candidate)})
	}
	return scored
}

func (c *choosing) keep(candidate *Candidate) bool {
	for i, f := range c.policy.Filters {
		keep, why := f.Keep(&c.in, candidate)
		if !keep {
			c.furthest = max(c.furthest, i+1)
			c.note(candidate.Target, f.Name(), "dropped", why)
			return false
		}
		c.note(candidate.Target, f.Name(), "kept", "")
	}
	return true
}

func (c *choosing) predict(candidate *Candidate) time.Duration {
	var sum time.Duration
	for _, s := range c.policy.Scorers {
		score := s.Score(&c.in, candidate)
		sum += score
		if c.explain {
			c.note(candidate.Target, s.Name(), strconv.FormatFloat(score.Seconds(), 'f', 3, 64), "seconds")
		}
	}
	return sum
}

func (c *choosing) note(t names.Target, part, say, why string) {
	if !c.explain {
		return
	}
	c.decision.Steps = append(c.decision.Steps, Step{Target: t, Part: part, Say: say, Why: why})
}

func (c *choosing) refusal() *verdict.Error {
	if c.furthest == 0 {
		return verdict.New(verdict.NotRun, verdict.NoTarget, "no target serves the model")
	}
	f := c.policy.Filters[c.furthest-1]
	return verdict.Newf(verdict.NotRun, f.Refusal(&c.in), "no target can take the request: %s", f.Name())
}

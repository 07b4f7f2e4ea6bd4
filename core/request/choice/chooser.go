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

// Policy is a Chooser made of parts: filters in order, then preferences,
// scorers, and the picker. It has no state and may be shared.
type Policy struct {
	Filters []Filter
	// Preferences are filters that give way rather than leave a request
	// without a target: of the candidates that passed Filters, the one with
	// the highest rank is kept if they would drop all.
	Preferences []Filter
	Scorers     []Scorer
	Picker      Picker
}

// Settings parametrise the policy of New.
type Settings struct {
	// Zones governs the reserve; its zero value lets all targets take
	// everything.
	Zones Zones
	// Region returns the region of a data centre; nil puts all in one.
	Region func(names.DataCentre) names.Region
}

// DefaultSettings returns the settings of this release.
func DefaultSettings() Settings {
	return Settings{Zones: Zones{
		LendLimit: DefaultLendLimit,
		Cost:      DefaultZoneCost,
	}}
}

// Defaults of Zones.
const (
	DefaultLendLimit = time.Second
	DefaultZoneCost  = 100 * time.Millisecond
)

// New returns the policy of this release.
func New(s Settings) *Policy {
	p := &Policy{
		Filters: []Filter{isolation{}, served{}, leaving{}, breaker{}, memory{}},
		Scorers: []Scorer{
			queueTime{},
			prefillTime{},
			decodeTime{},
			distance{region: s.Region},
			adapterLoad{},
			versionLag{},
			memoryWait{},
		},
		Picker: Spread{},
	}
	if s.Zones != (Zones{}) {
		p.Preferences = []Filter{s.Zones}
		p.Scorers = append(p.Scorers, zoneCost{cost: s.Zones.Cost})
	}
	return p
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
	var last *Candidate
	for i := range candidates {
		candidate := &candidates[i]
		if !c.filter(candidate) {
			continue
		}
		if last == nil || candidate.Rank > last.Rank {
			last = candidate
		}
		if c.passes(c.policy.Preferences, candidate) < 0 {
			scored = append(scored, Scored{Candidate: candidate, FirstToken: c.predict(candidate)})
		}
	}
	if len(scored) == 0 && last != nil {
		c.note(last.Target, "preferences", "kept", "no other is left")
		scored = append(scored, Scored{Candidate: last, FirstToken: c.predict(last)})
	}
	return scored
}

func (c *choosing) filter(candidate *Candidate) bool {
	failed := c.passes(c.policy.Filters, candidate)
	c.furthest = max(c.furthest, failed+1)
	return failed < 0
}

// passes returns the index of the filter that drops a candidate, or -1.
func (c *choosing) passes(filters []Filter, candidate *Candidate) int {
	for i, f := range filters {
		keep, why := f.Keep(&c.in, candidate)
		if !keep {
			c.note(candidate.Target, f.Name(), "dropped", why)
			return i
		}
		c.note(candidate.Target, f.Name(), "kept", "")
	}
	return -1
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

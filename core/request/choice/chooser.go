package choice

import (
	"math/rand/v2"
	"strconv"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/verdict"
)

// Input is the input of filters and scorers besides a candidate.
type Input struct {
	Request *facts.Request
	Now     time.Time
}

// Filter drops candidates that must not get the request.
type Filter interface {
	// Name identifies the filter in explanations.
	Name() string
	// Keep reports whether the candidate may get the request, and the reason
	// if it may not.
	Keep(in *Input, c *Candidate) (keep bool, reason string)
	// RefusalReason returns the reason of the refusal if this filter dropped
	// the last remaining candidates.
	RefusalReason(in *Input) verdict.Reason
}

// Scorer predicts one component of a request's time to first token at a
// candidate. The chooser adds up the scores.
type Scorer interface {
	// Name identifies the scorer in explanations.
	Name() string
	// Score returns the predicted time.
	Score(in *Input, c *Candidate) time.Duration
}

// ScoredCandidate is a candidate that passed all filters.
type ScoredCandidate struct {
	Candidate *Candidate
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
}

// Picker selects one of the candidates that passed all filters. It is called
// with at least one, in their original order.
type Picker interface {
	Pick(scored []ScoredCandidate, random *rand.Rand) ScoredCandidate
}

// Policy is a Chooser that applies filters in order, then preferences, scorers
// and the picker. It has no state and may be shared.
type Policy struct {
	Filters []Filter
	// Preferences are soft filters, which never leave a request without a
	// target: if they would drop all candidates that passed Filters, the one
	// with the highest rank is kept.
	Preferences []Filter
	Scorers     []Scorer
	Picker      Picker
}

// Settings parametrise the policy of New.
type Settings struct {
	// Reserve configures the reserve for short prefills. Its zero value
	// disables it, so that every target takes requests of all classes.
	Reserve ReserveFilter
	// Region returns the region of a data centre. If it is nil, all data
	// centres count as one region.
	Region func(names.DataCentre) names.Region
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Reserve: ReserveFilter{
		MaxPrefillTime:   DefaultMaxReservePrefillTime,
		ZoneMismatchCost: DefaultZoneMismatchCost,
	}}
}

// Defaults of ReserveFilter.
const (
	DefaultMaxReservePrefillTime = time.Second
	DefaultZoneMismatchCost      = 100 * time.Millisecond
)

// New returns the standard policy.
func New(s Settings) *Policy {
	p := &Policy{
		Filters: []Filter{isolation{}, servesModel{}, departure{}, circuitBreaker{}, memoryCapacity{}},
		Scorers: []Scorer{
			queueTime{},
			prefillTime{},
			decodeTime{},
			networkDistance{region: s.Region},
			adapterLoadTime{},
			versionMismatch{},
			memoryWait{},
		},
		Picker: NearestOnRing{},
	}
	if s.Reserve != (ReserveFilter{}) {
		p.Preferences = []Filter{s.Reserve}
		p.Scorers = append(p.Scorers, zoneMismatch{cost: s.Reserve.ZoneMismatchCost})
	}
	return p
}

// Choose implements Chooser.
func (p *Policy) Choose(r facts.Request, candidates []Candidate, now time.Time, random *rand.Rand, explain bool) Decision {
	c := selection{policy: p, in: Input{Request: &r, Now: now}, explain: explain}
	scored := c.scoreCandidates(candidates)
	if len(scored) == 0 {
		c.decision.Refusal = c.refusal()
		return c.decision
	}
	pick := p.Picker.Pick(scored, random)
	c.recordStep(pick.Candidate.Target, "picker", "picked", "")
	c.decision.Target = pick.Candidate.Target
	c.decision.TimeToFirstToken = pick.TimeToFirstToken
	return c.decision
}

// selection is the state of one call of Choose.
type selection struct {
	policy   *Policy
	in       Input
	explain  bool
	decision Decision
	// furthestFilter is one plus the highest index of a filter that dropped a
	// candidate, or zero. The candidate that passed the most filters failed at
	// this one, so it gives the reason of a refusal.
	furthestFilter int
}

// scoreCandidates returns the candidates that pass all filters and preferences,
// with their predictions.
func (c *selection) scoreCandidates(candidates []Candidate) []ScoredCandidate {
	scored := make([]ScoredCandidate, 0, len(candidates))
	var fallback *Candidate
	for i := range candidates {
		candidate := &candidates[i]
		if !c.passesFilters(candidate) {
			continue
		}
		if fallback == nil || candidate.Rank > fallback.Rank {
			fallback = candidate
		}
		if c.firstFailing(c.policy.Preferences, candidate) < 0 {
			scored = append(scored, ScoredCandidate{Candidate: candidate, TimeToFirstToken: c.predictTimeToFirstToken(candidate)})
		}
	}
	if len(scored) == 0 && fallback != nil {
		c.recordStep(fallback.Target, "preferences", "kept", "no other is left")
		scored = append(scored, ScoredCandidate{Candidate: fallback, TimeToFirstToken: c.predictTimeToFirstToken(fallback)})
	}
	return scored
}

// passesFilters reports whether a candidate passes all filters of the policy.
func (c *selection) passesFilters(candidate *Candidate) bool {
	failed := c.firstFailing(c.policy.Filters, candidate)
	c.furthestFilter = max(c.furthestFilter, failed+1)
	return failed < 0
}

// firstFailing returns the index of the first filter that drops a candidate, or
// -1 if it passes all.
func (c *selection) firstFailing(filters []Filter, candidate *Candidate) int {
	for i, f := range filters {
		keep, reason := f.Keep(&c.in, candidate)
		if !keep {
			c.recordStep(candidate.Target, f.Name(), "dropped", reason)
			return i
		}
		c.recordStep(candidate.Target, f.Name(), "kept", "")
	}
	return -1
}

// predictTimeToFirstToken returns the sum of the scores of a candidate.
func (c *selection) predictTimeToFirstToken(candidate *Candidate) time.Duration {
	var sum time.Duration
	for _, s := range c.policy.Scorers {
		score := s.Score(&c.in, candidate)
		sum += score
		if c.explain {
			c.recordStep(candidate.Target, s.Name(), strconv.FormatFloat(score.Seconds(), 'f', 3, 64), "seconds")
		}
	}
	return sum
}

// recordStep adds a step to the decision if an explanation was requested.
func (c *selection) recordStep(t names.Target, component, result, reason string) {
	if !c.explain {
		return
	}
	c.decision.Steps = append(c.decision.Steps, Step{Target: t, Component: component, Result: result, Reason: reason})
}

// refusal returns the refusal of a request that no candidate can serve.
func (c *selection) refusal() *verdict.Error {
	if c.furthestFilter == 0 {
		return verdict.New(verdict.NotRun, verdict.NoTarget, "no target serves the model")
	}
	f := c.policy.Filters[c.furthestFilter-1]
	return verdict.Newf(verdict.NotRun, f.RefusalReason(&c.in), "no target can take the request: %s", f.Name())
}

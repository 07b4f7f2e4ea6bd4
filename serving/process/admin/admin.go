// Package admin implements the administration interface. The interface is
// read-only: operators change the fleet by publishing a manifest.
package admin

import (
	"context"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/gen/admin"
	"carobspoke.example/serving/request/directory"
	"carobspoke.example/serving/version"
)

// Explanation is the placement decision for a request, with the request's class.
type Explanation struct {
	Class    string
	Decision choice.Decision
}

// Sources provide the data that the interface shows.
type Sources struct {
	// KeyDigests are the digests of the accepted administration keys.
	KeyDigests []names.Digest
	Versions   *version.Holder
	// Status returns the state of the daemon.
	Status func() *admin.StatusResult
	// Explain returns the placement decision for a request without sending
	// it.
	Explain func(r facts.Request) Explanation
	// Metrics returns the values of all metrics, by metric name.
	Metrics func() map[string]map[string]any
	// Ready returns nil if the daemon accepts new requests.
	Ready func() error
}

// Service implements admin.Service.
type Service struct {
	Sources
}

var _ admin.Service = (*Service)(nil)

// Defaults of a request that Explain describes without them: the maximum number
// of answer tokens and the timeout.
const (
	defaultMaxTokens = 512
	defaultTimeout   = time.Minute
)

// authenticate checks the Authorization header against the digests of the
// administration keys.
func (s *Service) authenticate(authorization *string) error {
	refusal := verdict.New(verdict.NotRun, verdict.Unauthenticated, "an administration key is needed")
	if authorization == nil {
		return refusal
	}
	digest, ok := directory.APIKeyDigest(*authorization)
	if !ok {
		return refusal
	}
	for _, accepted := range s.KeyDigests {
		if accepted == digest {
			return nil
		}
	}
	return refusal
}

// Status implements admin.Service.
func (s *Service) Status(_ context.Context, p *admin.StatusPayload) (*admin.StatusResult, error) {
	if err := s.authenticate(p.Authorization); err != nil {
		return nil, err
	}
	return s.Sources.Status(), nil
}

// Metrics implements admin.Service.
func (s *Service) Metrics(_ context.Context, p *admin.MetricsPayload) (map[string]any, error) {
	if err := s.authenticate(p.Authorization); err != nil {
		return nil, err
	}
	all := make(map[string]any)
	for name, values := range s.Sources.Metrics() {
		all[name] = values
	}
	return all, nil
}

// Health implements admin.Service.
func (s *Service) Health(context.Context) (string, error) { return "ok", nil }

// Ready implements admin.Service.
func (s *Service) Ready(context.Context) (string, error) {
	if err := s.Sources.Ready(); err != nil {
		return "", err
	}
	return "ready", nil
}

// Explain implements admin.Service.
func (s *Service) Explain(_ context.Context, p *admin.ExplainPayload) (*admin.ExplainResult, error) {
	if err := s.authenticate(p.Authorization); err != nil {
		return nil, err
	}
	explanation := s.Sources.Explain(explainRequest(p))
	return explainResult(explanation), nil
}

// explainRequest returns the request that a payload describes.
func explainRequest(p *admin.ExplainPayload) facts.Request {
	r := facts.Request{
		ID:           "explain",
		Customer:     names.Customer(p.Customer),
		Model:        names.Model(p.Model),
		PromptTokens: p.PromptTokens,
		MaxTokens:    defaultMaxTokens,
		Deadline:     time.Now().Add(defaultTimeout),
	}
	if p.MaxTokens != nil {
		r.MaxTokens = *p.MaxTokens
	}
	if p.TimeoutMs != nil {
		r.Deadline = time.Now().Add(time.Duration(*p.TimeoutMs) * time.Millisecond)
	}
	return r
}

func explainResult(e Explanation) *admin.ExplainResult {
	result := &admin.ExplainResult{Class: e.Class}
	if e.Decision.Refusal != nil {
		result.Decision = e.Decision.Refusal.Error()
	} else {
		chosen := string(e.Decision.Target)
		result.Target = &chosen
		result.Decision = "first token predicted in " + e.Decision.TimeToFirstToken.Round(time.Millisecond).String()
	}
	for _, step := range e.Decision.Steps {
		result.Steps = append(result.Steps, &admin.ScoreStep{
			Target: string(step.Target), Step: step.Component, Verdict: step.Result, Reason: step.Reason,
		})
	}
	return result
}

// DryRun implements admin.Service.
func (s *Service) DryRun(_ context.Context, p *admin.DryRunPayload) (*admin.DryRunResult, error) {
	if err := s.authenticate(p.Authorization); err != nil {
		return nil, err
	}
	result := &admin.DryRunResult{Problems: []string{}, Changes: []string{}}
	next, err := manifest.Parse([]byte(p.Manifest))
	if err != nil {
		result.Problems = append(result.Problems, err.Error())
		return result, nil
	}
	for _, problem := range next.Validate() {
		result.Problems = append(result.Problems, problem.String())
	}
	result.Valid = len(result.Problems) == 0
	if view := s.Versions.Current(); view != nil && result.Valid {
		result.Problems, result.Valid = checkVersion(view, next)
		result.Changes = changes(view, next)
	}
	return result, nil
}

// checkVersion returns the problem with the version of a manifest, and whether
// daemons would accept it after the one in force.
func checkVersion(view *version.Snapshot, next *manifest.Manifest) ([]string, bool) {
	if next.Version > view.Version() {
		return []string{}, true
	}
	return []string{"version: expected a number above the one in force"}, false
}

// changes describes the differences between the manifest in force and the next.
func changes(view *version.Snapshot, next *manifest.Manifest) []string {
	lines := []string{}
	for _, change := range manifest.Diff(view.Manifest, next) {
		lines = append(lines, change.Description)
	}
	return lines
}

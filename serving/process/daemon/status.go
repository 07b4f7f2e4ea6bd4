package daemon

import (
	"time"

	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/manifest"
	genadmin "carobspoke.example/serving/gen/admin"
	"carobspoke.example/serving/process/admin"
	"carobspoke.example/serving/version"
)

// status returns the daemon's state for the administration interface.
func (d *Daemon) status() *genadmin.StatusResult {
	result := &genadmin.StatusResult{
		Host:        string(d.Host()),
		DataCentre:  string(d.settings.DataCentre),
		Incarnation: uint64(d.incarnation),
		Ready:       d.ready() == nil,
		Draining:    d.draining.Load(),
		Members:     memberStatus(d.fleet.View().Members),
		Targets:     []*genadmin.TargetStatus{},
		Quotas:      d.quotaStatus(),
		Refusals:    d.counters.Refusals(),
		Control:     d.meter.Read(),
	}
	view := d.versions.Current()
	if view == nil {
		return result
	}
	result.Version = uint64(view.Version())
	result.Digest = string(view.Digest)
	result.Targets = d.targetStatus(view)
	return result
}

func (d *Daemon) quotaStatus() []*genadmin.QuotaStatus {
	list := []*genadmin.QuotaStatus{}
	view := d.versions.Current()
	for _, use := range d.quota.Usages() {
		status := &genadmin.QuotaStatus{Customer: string(use.Customer), UsedTokensPerSecond: use.TokensPerSecond}
		if entry, ok := view.Index.Customer(use.Customer); ok {
			status.GrantedTokensPerSecond = entry.TokensPerSecond
		}
		list = append(list, status)
	}
	return list
}

func memberStatus(members []membership.Member) []*genadmin.MemberStatus {
	list := make([]*genadmin.MemberStatus, 0, len(members))
	for i := range members {
		list = append(list, &genadmin.MemberStatus{
			Host:        string(members[i].Host),
			DataCentre:  string(members[i].DataCentre),
			Incarnation: uint64(members[i].Incarnation),
			State:       members[i].State.String(),
			Version:     uint64(members[i].Version),
		})
	}
	return list
}

func (d *Daemon) targetStatus(view *version.Snapshot) []*genadmin.TargetStatus {
	var list []*genadmin.TargetStatus
	for i := range view.Manifest.Models {
		for _, candidate := range d.admitter.Candidates(view.Manifest.Models[i].Name) {
			if entry, ok := view.Index.Target(candidate.Target); ok {
				list = append(list, engineStatus(entry, candidate))
			}
		}
	}
	return list
}

func engineStatus(entry *manifest.Target, c choice.Candidate) *genadmin.TargetStatus {
	status := &genadmin.TargetStatus{
		Name:         string(entry.Name),
		Address:      entry.Address,
		DataCentre:   string(entry.DataCentre),
		Serves:       string(c.Report.State.Model) + " " + c.Report.State.Version,
		State:        stateOf(c),
		QueuedTokens: c.QueueTokens(),
		FreeBlocks:   c.Report.FreeBlocks,
		TotalBlocks:  c.Report.TotalBlocks,
		InFlight:     c.UnreportedStreams,
		ReportAgeMs:  c.ReportAge.Milliseconds(),
	}
	if !c.LeavesAt.IsZero() {
		at := c.LeavesAt.UTC().Format(time.RFC3339)
		status.LeavesAt = &at
	}
	return status
}

// stateOf returns the state of an engine as the administration interface shows
// it.
func stateOf(c choice.Candidate) string {
	switch {
	case c.Leaving:
		return "leaving"
	case !c.ReportFresh, c.BreakerOpen:
		return "unreachable"
	case c.Report.State.Loading:
		return "loading"
	default:
		return "ready"
	}
}

// explain returns the placement decision for a request without sending it.
func (d *Daemon) explain(r facts.Request) admin.Explanation {
	r.DataCentre = d.settings.DataCentre
	action := d.admitter.Explain(admission.Arrival{Request: r, Share: 1})
	decision := action.Decision
	if action.Kind == admission.Refuse {
		decision.Refusal = action.Refusal
	}
	if action.Kind == admission.Span {
		decision.Refusal = verdict.New(verdict.NotRun, verdict.SpanUnavailable, "the prompt would run on several engines")
	}
	return admin.Explanation{Class: action.Request.Class.String(), Decision: decision}
}

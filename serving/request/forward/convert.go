// Package forward forwards a generation to another daemon. A generation is
// forwarded only once: the receiver runs it at a target of which it is a keeper,
// and never forwards it again.
//
// The deadline is sent as the remaining time, so that the daemons' clocks need not
// agree. A failure includes its verdict. If the connection ends without one, the
// verdict is that the request may have run, unless the call provably reached no
// server.
package forward

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/process/prefix"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/peerpb"
)

// FormatVersion is the version of the messages that this release sends. A receiver
// refuses a higher version with NotRun.
const FormatVersion = 1

// Request is a generation that is forwarded to another daemon.
type Request struct {
	Facts  facts.Request
	Prompt string
	// Digest identifies the prompt among those that crashed targets.
	Digest crash.Digest
	Stream target.StreamID
	// Version is the manifest version under which the sender admitted the
	// request.
	Version names.Version
	// Target is the target that the sender selected. If it is empty, the
	// receiver selects one.
	Target names.Target
	// Resume is set if the request resumes Stream at Target.
	Resume  bool
	Attempt uint32
}

func encodeRequest(r Request, now time.Time) *peerpb.GenerateRequest {
	return &peerpb.GenerateRequest{
		Format:       FormatVersion,
		RequestId:    r.Facts.ID,
		Customer:     string(r.Facts.Customer),
		Model:        string(r.Facts.Model),
		Adapter:      string(r.Facts.Adapter),
		Prompt:       r.Prompt,
		PromptTokens: int64(r.Facts.PromptTokens),
		MaxTokens:    int64(r.Facts.MaxTokens),
		Priority:     int32(r.Facts.Priority),
		TimeoutMs:    r.Facts.Deadline.Sub(now).Milliseconds(),
		Version:      uint64(r.Version),
		Hops:         1,
		Stream:       string(r.Stream),
		From:         int64(r.Facts.DeliveredTokens),
		Target:       string(r.Target),
		Resume:       r.Resume,
		Attempt:      r.Attempt,
	}
}

// decodeRequest decodes a request that a daemon in dataCentre received at now.
func decodeRequest(m *peerpb.GenerateRequest, dataCentre names.DataCentre, now time.Time) Request {
	return Request{
		Prompt:  m.GetPrompt(),
		Digest:  crash.DigestOf(names.Customer(m.GetCustomer()), names.Model(m.GetModel()), names.Adapter(m.GetAdapter()), m.GetPrompt()),
		Stream:  target.StreamID(m.GetStream()),
		Version: names.Version(m.GetVersion()),
		Target:  names.Target(m.GetTarget()),
		Resume:  m.GetResume(),
		Attempt: m.GetAttempt(),
		Facts: facts.Request{
			ID:              m.GetRequestId(),
			Customer:        names.Customer(m.GetCustomer()),
			Model:           names.Model(m.GetModel()),
			Adapter:         names.Adapter(m.GetAdapter()),
			PromptTokens:    int(m.GetPromptTokens()),
			MaxTokens:       int(m.GetMaxTokens()),
			Priority:        int(m.GetPriority()),
			Deadline:        now.Add(time.Duration(m.GetTimeoutMs()) * time.Millisecond),
			DeliveredTokens: int(m.GetFrom()),
			Prefixes:        prefixes(m),
			DataCentre:      dataCentre,
		},
	}
}

// prefixes recomputes the digests of the prompt's prefixes, which is cheaper than
// sending them.
func prefixes(m *peerpb.GenerateRequest) []uint64 {
	scope := prefix.Scope(names.Customer(m.GetCustomer()), names.Model(m.GetModel()), names.Adapter(m.GetAdapter()))
	return prefix.Digests(scope, m.GetPrompt())
}

// EncodeFailure encodes an error for a peer.
func EncodeFailure(err error) *peerpb.Failure {
	e := verdict.From(err)
	return &peerpb.Failure{
		Verdict:      e.Verdict.String(),
		Reason:       string(e.Reason),
		Message:      e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// DecodeFailure decodes a failure received from a peer.
func DecodeFailure(f *peerpb.Failure) error {
	e := verdict.New(verdict.Parse(f.GetVerdict()), verdict.Reason(f.GetReason()), f.GetMessage())
	return e.WithRetryAfter(time.Duration(f.GetRetryAfterMs()) * time.Millisecond)
}

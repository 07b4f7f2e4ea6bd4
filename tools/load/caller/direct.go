package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/tools/load/workload"
)

// Direct calls targets without daemons. Each attempt goes to a random target,
// and every failure is retried, even if the request may have run. It is the
// baseline that runs with daemons are compared with.
type Direct struct {
	engines  []*targetapi.Client
	services map[names.Service][]*targetapi.Client
	retry    workload.Retry
	digests  *DigestRegistry
}

// NewDirect returns a caller of the targets of a manifest, except isolation
// targets.
func NewDirect(m manifest.Manifest, retry workload.Retry) *Direct {
	transport := targetapi.NewTransport()
	transport.MaxIdleConnsPerHost = idlePerHost
	d := &Direct{services: map[names.Service][]*targetapi.Client{}, retry: retry, digests: NewDigestRegistry()}
	for _, t := range m.Targets {
		client := targetapi.NewClient(t.Address, transport)
		switch {
		case t.Service != "":
			d.services[t.Service] = append(d.services[t.Service], client)
		case !t.Isolation:
			d.engines = append(d.engines, client)
		}
	}
	return d
}

// Generate implements Caller.
func (d *Direct) Generate(ctx context.Context, r *workload.Request, random *rand.Rand) Answer {
	var result Answer
	prompt := r.Prompt()
	sendWithRetries(ctx, random, d.retry, &result, func(attempt int) outcome {
		check := &tokenChecker{digests: d.digests, request: r.Index, wantTokens: r.AnswerTokens}
		engine := d.engines[random.IntN(len(d.engines))]
		o := d.stream(ctx, engine, newSubmit(ctx, r, prompt, attempt), check, &result)
		result.WrongTokens = check.wrong
		return o
	})
	return result
}

func newSubmit(ctx context.Context, r *workload.Request, prompt string, attempt int) target.Submit {
	deadline, _ := ctx.Deadline()
	deadline = deadline.Add(-DeadlineGrace)
	return target.Submit{
		Stream:       target.StreamID(fmt.Sprintf("direct-%s-%d", r.Name(), attempt)),
		Attempt:      uint32(attempt),
		Scope:        string(r.Customer.Name),
		Model:        r.Model,
		PromptTokens: r.PromptTokens,
		Prompt:       prompt,
		MaxTokens:    r.AnswerTokens,
		Priority:     r.Priority,
		Deadline:     deadline,
	}
}

func (d *Direct) stream(ctx context.Context, engine *targetapi.Client, s target.Submit, check *tokenChecker, result *Answer) outcome {
	stream, err := engine.Submit(ctx, s)
	if err != nil {
		return errorOutcome(ctx, err)
	}
	defer stream.Close() //nolint:errcheck // the stream has ended
	result.TokenTimes = nil
	for {
		frame, err := stream.Next()
		switch {
		case err != nil:
			return errorOutcome(ctx, err)
		case frame.End && frame.Failure != "":
			return failed(verdict.Ran, frame.Failure)
		case frame.End:
			check.checkLength()
			return outcome{complete: true, verdict: verdict.Ran}
		}
		result.TokenTimes = append(result.TokenTimes, time.Now())
		check.checkToken(frame.Text)
	}
}

// Call implements Caller.
func (d *Direct) Call(ctx context.Context, r *workload.Request, random *rand.Rand) Answer {
	var result Answer
	replicas := d.services[r.Call.Service]
	deadline, _ := ctx.Deadline()
	deadline = deadline.Add(-DeadlineGrace)
	sendWithRetries(ctx, random, d.retry, &result, func(attempt int) outcome {
		call := target.Call{
			ID: r.Name(), Attempt: uint32(attempt), Customer: r.Customer.Name, Key: r.Name(), Body: r.Body(),
			Deadline: deadline,
		}
		if _, err := replicas[random.IntN(len(replicas))].Call(ctx, call); err != nil {
			return errorOutcome(ctx, err)
		}
		return outcome{complete: true, verdict: verdict.Ran}
	})
	return result
}

func errorOutcome(ctx context.Context, err error) outcome {
	e := verdict.From(err)
	o := failedOrTimedOut(ctx, e.Verdict, string(e.Reason))
	o.retryAfter = e.RetryAfter
	return o
}

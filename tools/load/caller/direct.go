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

// Direct calls bare targets: each send goes to one by chance, and whatever
// failed is sent again. It is the naive version that runs are compared with.
type Direct struct {
	engines  []*targetapi.Client
	services map[names.Service][]*targetapi.Client
	retry    workload.Retry
	seen     *Seen
}

// NewDirect returns a caller of the targets of a manifest, but for those set
// apart.
func NewDirect(m manifest.Manifest, retry workload.Retry) *Direct {
	transport := targetapi.NewTransport()
	transport.MaxIdleConnsPerHost = idlePerHost
	d := &Direct{services: map[names.Service][]*targetapi.Client{}, retry: retry, seen: NewSeen()}
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
	again(ctx, random, d.retry, &result, func(attempt int) outcome {
		check := &checker{seen: d.seen, request: r.Index, want: r.AnswerTokens}
		engine := d.engines[random.IntN(len(d.engines))]
		o := d.stream(ctx, engine, submitOf(ctx, r, prompt, attempt), check, &result)
		result.Wrong = check.wrong
		return o
	})
	return result
}

func submitOf(ctx context.Context, r *workload.Request, prompt string, attempt int) target.Submit {
	deadline, _ := ctx.Deadline()
	deadline = deadline.Add(-Grace)
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

func (d *Direct) stream(ctx context.Context, engine *targetapi.Client, s target.Submit, check *checker, result *Answer) outcome {
	stream, err := engine.Submit(ctx, s)
	if err != nil {
		return errorOutcome(ctx, err)
	}
	defer stream.Close() //nolint:errcheck // the stream is over
	result.Tokens = nil
	for {
		frame, err := stream.Next()
		switch {
		case err != nil:
			return errorOutcome(ctx, err)
		case frame.End && frame.Failure != "":
			return failed(verdict.Ran, frame.Failure)
		case frame.End:
			check.end()
			return outcome{whole: true, verdict: verdict.Ran}
		}
		result.Tokens = append(result.Tokens, time.Now())
		check.take(frame.Text)
	}
}

// Call implements Caller.
func (d *Direct) Call(ctx context.Context, r *workload.Request, random *rand.Rand) Answer {
	var result Answer
	replicas := d.services[r.Call.Service]
	deadline, _ := ctx.Deadline()
	deadline = deadline.Add(-Grace)
	again(ctx, random, d.retry, &result, func(attempt int) outcome {
		call := target.Call{
			ID: r.Name(), Attempt: uint32(attempt), Customer: r.Customer.Name, Key: r.Name(), Body: r.Body(),
			Deadline: deadline,
		}
		if _, err := replicas[random.IntN(len(replicas))].Call(ctx, call); err != nil {
			return errorOutcome(ctx, err)
		}
		return outcome{whole: true, verdict: verdict.Ran}
	})
	return result
}

func errorOutcome(ctx context.Context, err error) outcome {
	e := verdict.From(err)
	o := cut(ctx, e.Verdict, string(e.Reason))
	o.retryAfter = e.RetryAfter
	return o
}

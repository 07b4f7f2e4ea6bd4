package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"

	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/load/workload"
)

// Headers of calls to plain services.
const (
	callTicketHeader     = "Carobspoke-Ticket"
	idempotencyKeyHeader = "Idempotency-Key"
)

// ticketReply is the answer to a request for a ticket.
type ticketReply struct {
	Ticket string `json:"ticket"`
}

// Call implements Caller.
func (g *Gateway) Call(ctx context.Context, r *workload.Request, random *rand.Rand) Answer {
	p := callPost(r, "/call", r.Body())
	switch r.Call.Mode {
	case workload.Ticket:
		ticket, refused := g.fetchTicket(ctx, r, random)
		if ticket == "" {
			return refused
		}
		p.header = map[string]string{callTicketHeader: ticket}
	case workload.Key:
		p.header = map[string]string{idempotencyKeyHeader: r.Name()}
	}
	var result Answer
	sendWithRetries(ctx, random, g.Retry, &result, func(int) outcome {
		return g.send(ctx, random, p, func(response *http.Response) outcome { return readReply(ctx, response) })
	})
	return result
}

func callPost(r *workload.Request, action string, body []byte) post {
	path := "/v1/services/" + url.PathEscape(string(r.Call.Service)) + action
	return post{path: path, body: body, key: r.Customer.Key, priority: r.Priority}
}

// fetchTicket returns a ticket. If it gets none, the call did not run and the
// returned Answer holds the failure.
func (g *Gateway) fetchTicket(ctx context.Context, r *workload.Request, random *rand.Rand) (string, Answer) {
	var reply ticketReply
	var result Answer
	sendWithRetries(ctx, random, g.Retry, &result, func(int) outcome {
		p := callPost(r, "/tickets", []byte("{}"))
		return g.send(ctx, random, p, func(response *http.Response) outcome {
			if json.NewDecoder(response.Body).Decode(&reply) != nil || reply.Ticket == "" {
				return failed(verdict.NotRun, CodeUnreadable)
			}
			return outcome{complete: true}
		})
	})
	result.Complete = false
	result.Verdict = verdict.NotRun
	return reply.Ticket, result
}

func readReply(ctx context.Context, response *http.Response) outcome {
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return failedOrTimedOut(ctx, verdict.MayHaveRun, CodeCut)
	}
	return outcome{complete: true, verdict: verdict.Ran}
}

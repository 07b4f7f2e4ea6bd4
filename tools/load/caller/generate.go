package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/load/workload"
)

// Parts of an event stream.
const (
	ticketHeader = "Carobspoke-Stream"
	dataField    = "data: "
	ticketField  = ": stream "
	lastData     = "[DONE]"
	maxEvent     = 1 << 20
)

// generation is one answer over all its sends.
type generation struct {
	ticket string
	check  checker
	answer *Answer
}

// chunk is an event of a stream.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	failure
}

// Generate implements Caller.
func (g *Gateway) Generate(ctx context.Context, r *workload.Request, random *rand.Rand) Answer {
	var result Answer
	current := &generation{
		check:  checker{seen: g.Seen, request: r.Index, want: r.AnswerTokens},
		answer: &result,
	}
	first, err := firstPost(r)
	if err != nil {
		return Answer{Code: CodeUnreadable}
	}
	again(ctx, random, g.Retry, &result, func(int) outcome {
		p := first
		if current.check.next > 0 {
			p = current.resumePost(r)
			result.Resumes++
		}
		return g.send(ctx, random, p, func(response *http.Response) outcome {
			return current.read(ctx, response)
		})
	})
	result.Wrong = current.check.wrong
	return result
}

func firstPost(r *workload.Request) (post, error) {
	body, err := json.Marshal(chatRequest{
		Model:      string(r.Model),
		Messages:   []chatMessage{{Role: "user", Content: r.Prompt()}},
		MaxTokens:  r.AnswerTokens,
		Stream:     true,
		PromptHint: r.PromptTokens,
	})
	return post{path: "/v1/chat/completions", body: body, key: r.Customer.Key, priority: r.Priority}, err
}

func (c *generation) resumePost(r *workload.Request) post {
	body, _ := json.Marshal(resumeRequest{Ticket: c.ticket, From: c.check.next}) // plain values always encode
	return post{path: "/v1/streams/resume", body: body, key: r.Customer.Key, priority: r.Priority}
}

// read reads events to the end of an answer.
func (c *generation) read(ctx context.Context, response *http.Response) outcome {
	if ticket := response.Header.Get(ticketHeader); ticket != "" {
		c.ticket = ticket
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
	for lines.Scan() {
		if end := c.line(lines.Bytes()); end != nil {
			return *end
		}
	}
	o := cut(ctx, verdict.Ran, CodeCut)
	o.final = o.final || c.ticket == ""
	return o
}

// line reads a line of a stream and returns the outcome if it is the last.
func (c *generation) line(line []byte) *outcome {
	if ticket, ok := bytes.CutPrefix(line, []byte(ticketField)); ok {
		c.ticket = string(ticket)
		return nil
	}
	data, ok := bytes.CutPrefix(line, []byte(dataField))
	if !ok {
		return nil
	}
	if string(data) == lastData {
		c.check.end()
		return &outcome{whole: true, verdict: verdict.Ran}
	}
	var event chunk
	if json.Unmarshal(data, &event) != nil {
		return &outcome{verdict: verdict.Ran, code: CodeUnreadable, final: true}
	}
	if event.Error != nil {
		o := event.outcome()
		o.final = true
		return &o
	}
	for _, choice := range event.Choices {
		c.token(choice.Delta.Content)
	}
	return nil
}

func (c *generation) token(text string) {
	if text == "" {
		return
	}
	c.answer.Tokens = append(c.answer.Tokens, time.Now())
	c.check.take(text)
}

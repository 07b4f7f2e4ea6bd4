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

// Format of the event stream of an answer.
const (
	streamTicketHeader = "Carobspoke-Stream"
	dataPrefix         = "data: "
	ticketPrefix       = ": stream "
	doneData           = "[DONE]"
	maxEvent           = 1 << 20 // bytes of a line
)

// generation is the state of one answer over all its attempts.
type generation struct {
	ticket  string
	checker tokenChecker
	answer  *Answer
}

// chunk is the data of an event: tokens, or an error that ends the stream.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	errorResponse
}

// Generate implements Caller.
func (g *Gateway) Generate(ctx context.Context, r *workload.Request, random *rand.Rand) Answer {
	var result Answer
	current := &generation{
		checker: tokenChecker{digests: g.Digests, request: r.Index, wantTokens: r.AnswerTokens},
		answer:  &result,
	}
	first, err := firstPost(r)
	if err != nil {
		return Answer{Code: CodeUnreadable}
	}
	sendWithRetries(ctx, random, g.Retry, &result, func(int) outcome {
		p := first
		if current.checker.nextOffset > 0 {
			p = current.resumePost(r)
			result.Resumes++
		}
		return g.send(ctx, random, p, func(response *http.Response) outcome {
			return current.read(ctx, response)
		})
	})
	result.WrongTokens = current.checker.wrong
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
	body, _ := json.Marshal(resumeRequest{Ticket: c.ticket, From: c.checker.nextOffset}) // cannot fail for strings and integers
	return post{path: "/v1/streams/resume", body: body, key: r.Customer.Key, priority: r.Priority}
}

// read reads events to the end of the response. An interrupted stream can be
// resumed only with a ticket.
func (c *generation) read(ctx context.Context, response *http.Response) outcome {
	if ticket := response.Header.Get(streamTicketHeader); ticket != "" {
		c.ticket = ticket
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
	lines.Split(scanWholeLines)
	for lines.Scan() {
		if end := c.handleLine(lines.Bytes()); end != nil {
			return *end
		}
	}
	o := failedOrTimedOut(ctx, verdict.Ran, CodeCut)
	o.final = o.final || c.ticket == ""
	return o
}

// scanWholeLines is bufio.ScanLines, but for a line that the end of the input cuts off.
func scanWholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && !bytes.ContainsRune(data, '\n') {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// handleLine handles a line of the stream. It returns nil if more lines follow,
// otherwise the outcome of the attempt.
func (c *generation) handleLine(line []byte) *outcome {
	if ticket, ok := bytes.CutPrefix(line, []byte(ticketPrefix)); ok {
		c.ticket = string(ticket)
		return nil
	}
	data, ok := bytes.CutPrefix(line, []byte(dataPrefix))
	if !ok {
		return nil
	}
	if string(data) == doneData {
		c.checker.checkLength()
		return &outcome{complete: true, verdict: verdict.Ran}
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
		c.addToken(choice.Delta.Content)
	}
	return nil
}

func (c *generation) addToken(text string) {
	if text == "" {
		return
	}
	c.answer.TokenTimes = append(c.answer.TokenTimes, time.Now())
	c.checker.checkToken(text)
}

package gateway

import (
	"encoding/json"
	"strconv"
	"time"
)

// answerFormat describes the JSON format of an answer.
type answerFormat struct {
	idPrefix    string
	object      string
	chunkObject string
	// before and after enclose the text of a token in the choice of a
	// chunk.
	before, after string
	// choice returns the choice of a document with the complete text.
	choice func(text string) map[string]any
}

// The formats of chat and text completions that common client libraries expect.
var (
	chatFormat = &answerFormat{
		idPrefix: "chatcmpl-", object: "chat.completion", chunkObject: "chat.completion.chunk",
		before: `"delta":{"content":`, after: `}`,
		choice: func(text string) map[string]any {
			return map[string]any{"message": map[string]string{"role": "assistant", "content": text}}
		},
	}
	textFormat = &answerFormat{
		idPrefix: "cmpl-", object: "text_completion", chunkObject: "text_completion",
		before: `"text":`, after: ``,
		choice: func(text string) map[string]any { return map[string]any{"text": text} },
	}
)

// answerEncoder encodes an answer as server-sent events or as one JSON
// document.
type answerEncoder struct {
	format *answerFormat
	stream bool
	id     string
	model  string
	// chunkPrefix is the part of a chunk that is the same for all tokens.
	chunkPrefix []byte
	// buf is the buffer in which events are encoded.
	buf []byte
}

func newAnswerEncoder(format *answerFormat, stream bool, requestID, model string) *answerEncoder {
	e := &answerEncoder{format: format, stream: stream, id: format.idPrefix + requestID, model: model}
	e.chunkPrefix = e.encodeChunkPrefix()
	return e
}

func (e *answerEncoder) contentType() string {
	if e.stream {
		return "text/event-stream"
	}
	return "application/json"
}

// encodeChunkPrefix returns the beginning of a chunk, up to the text of the
// token.
func (e *answerEncoder) encodeChunkPrefix() []byte {
	model, _ := json.Marshal(e.model) // encoding a string cannot fail
	prefix := `{"id":"` + e.id + `","object":"` + e.format.chunkObject +
		`","created":` + strconv.FormatInt(time.Now().Unix(), 10) +
		`,"model":` + string(model) + `,"choices":[{"index":0,` + e.format.before
	return []byte(prefix)
}

// tokenEvent returns the event of a token. The result is valid until the next
// call of a method that returns events.
func (e *answerEncoder) tokenEvent(offset int, text string) []byte {
	quoted, _ := json.Marshal(text) // encoding a string cannot fail
	buf := e.buf[:0]
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(offset), 10)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, e.chunkPrefix...)
	buf = append(buf, quoted...)
	buf = append(buf, e.format.after...)
	buf = append(buf, ",\"finish_reason\":null}]}\n\n"...)
	e.buf = buf
	return buf
}

// endEvents returns the events that end a complete answer.
func (e *answerEncoder) endEvents() []byte {
	buf := e.buf[:0]
	buf = append(buf, "data: "...)
	buf = append(buf, e.chunkPrefix...)
	buf = append(buf, `""`...)
	buf = append(buf, e.format.after...)
	buf = append(buf, ",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"...)
	e.buf = buf
	return buf
}

// errorEvent returns the error event that ends an incomplete answer.
func (e *answerEncoder) errorEvent(body any) []byte {
	text, _ := json.Marshal(body) // encoding an error body cannot fail
	buf := e.buf[:0]
	buf = append(buf, "data: "...)
	buf = append(buf, text...)
	return append(buf, "\n\n"...)
}

// ticketComment returns an SSE comment with the ticket of the stream. Clients
// that do not resume streams ignore it.
func (e *answerEncoder) ticketComment(ticket string) []byte {
	return []byte(": stream " + ticket + "\n\n")
}

// document returns a complete answer as one JSON document.
func (e *answerEncoder) document(text string, promptTokens, tokens int) []byte {
	choice := e.format.choice(text)
	choice["index"] = 0
	choice["finish_reason"] = "stop"
	document := map[string]any{
		"id": e.id, "object": e.format.object, "created": time.Now().Unix(), "model": e.model,
		"choices": []any{choice},
		"usage": map[string]int{
			"prompt_tokens": promptTokens, "completion_tokens": tokens, "total_tokens": promptTokens + tokens,
		},
	}
	encoded, _ := json.Marshal(document) // encoding strings and integers cannot fail
	return append(encoded, '\n')
}

package gateway

import (
	"encoding/json"
	"strconv"
	"time"
)

// formKind is the shape of an answer.
type formKind struct {
	prefix string
	object string
	chunk  string
	// before and after enclose a token's text in a choice.
	before, after string
	whole         func(text string) map[string]any
}

// The two shapes that the ecosystem's clients know.
var (
	chatForm = &formKind{
		prefix: "chatcmpl-", object: "chat.completion", chunk: "chat.completion.chunk",
		before: `"delta":{"content":`, after: `}`,
		whole: func(text string) map[string]any {
			return map[string]any{"message": map[string]string{"role": "assistant", "content": text}}
		},
	}
	textForm = &formKind{
		prefix: "cmpl-", object: "text_completion", chunk: "text_completion",
		before: `"text":`, after: ``,
		whole: func(text string) map[string]any { return map[string]any{"text": text} },
	}
)

// form writes an answer as server-sent events or as one JSON document.
type form struct {
	kind   *formKind
	stream bool
	id     string
	model  string
	head   []byte
	line   []byte
}

func newForm(kind *formKind, stream bool, requestID, model string) *form {
	f := &form{kind: kind, stream: stream, id: kind.prefix + requestID, model: model}
	f.head = f.chunkHead()
	return f
}

func (f *form) contentType() string {
	if f.stream {
		return "text/event-stream"
	}
	return "application/json"
}

// chunkHead returns the part of a chunk that is the same for all tokens.
func (f *form) chunkHead() []byte {
	model, _ := json.Marshal(f.model) // a string always encodes
	head := `{"id":"` + f.id + `","object":"` + f.kind.chunk +
		`","created":` + strconv.FormatInt(time.Now().Unix(), 10) +
		`,"model":` + string(model) + `,"choices":[{"index":0,` + f.kind.before
	return []byte(head)
}

// token returns the event of a token. The result is valid until the next
// call.
func (f *form) token(offset int, text string) []byte {
	quoted, _ := json.Marshal(text) // a string always encodes
	line := f.line[:0]
	line = append(line, "id: "...)
	line = strconv.AppendInt(line, int64(offset), 10)
	line = append(line, "\ndata: "...)
	line = append(line, f.head...)
	line = append(line, quoted...)
	line = append(line, f.kind.after...)
	line = append(line, ",\"finish_reason\":null}]}\n\n"...)
	f.line = line
	return line
}

// end returns the events that close a whole answer.
func (f *form) end() []byte {
	line := f.line[:0]
	line = append(line, "data: "...)
	line = append(line, f.head...)
	line = append(line, `""`...)
	line = append(line, f.kind.after...)
	line = append(line, ",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"...)
	f.line = line
	return line
}

// failed returns the event that ends an answer that is not whole.
func (f *form) failed(body any) []byte {
	text, _ := json.Marshal(body) // the failure form always encodes
	line := f.line[:0]
	line = append(line, "data: "...)
	line = append(line, text...)
	return append(line, "\n\n"...)
}

// ticket returns a comment with a stream's ticket, which clients that do not
// resume ignore.
func (f *form) ticket(ticket string) []byte {
	return []byte(": stream " + ticket + "\n\n")
}

// document returns a whole answer.
func (f *form) document(text string, promptTokens, tokens int) []byte {
	choice := f.kind.whole(text)
	choice["index"] = 0
	choice["finish_reason"] = "stop"
	document := map[string]any{
		"id": f.id, "object": f.kind.object, "created": time.Now().Unix(), "model": f.model,
		"choices": []any{choice},
		"usage": map[string]int{
			"prompt_tokens": promptTokens, "completion_tokens": tokens, "total_tokens": promptTokens + tokens,
		},
	}
	encoded, _ := json.Marshal(document) // plain values always encode
	return append(encoded, '\n')
}

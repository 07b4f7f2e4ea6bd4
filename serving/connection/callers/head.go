package callers

import (
	"bytes"

	"carobspoke.example/core/process/memory"
)

// headCount counts the bytes and lines of a head as they arrive.
type headCount struct {
	bytes, lines int
	// line is the length of the current line without a final carriage return.
	line int
	// begun is true once a line that is not empty has come. Empty lines before a request
	// do not end its head.
	begun bool
	// charged are the bytes that the account was asked for.
	charged int64
}

func (h *headCount) reset() { *h = headCount{} }

// add counts bytes. It reports whether they hold the end of the head, and ignores what
// follows it.
func (h *headCount) add(p []byte) (complete bool) {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += len(p)
			h.line += len(p)
			if h.line == 1 && p[len(p)-1] == '\r' {
				h.line = 0 // an empty line, unless more than the line feed follows
			}
			return false
		}
		h.bytes += end + 1
		h.lines++
		line := h.line + end
		h.line = 0
		if line == 0 || line == 1 && p[0] == '\r' && end == 1 {
			if h.begun {
				return true
			}
		} else {
			h.begun = true
		}
		p = p[end+1:]
	}
	return false
}

// cost returns the bytes to add to the account for what was counted since the last call.
func (h *headCount) cost() int64 {
	cost := memory.HeadCost(h.bytes, h.lines) - h.charged
	h.charged += cost
	return cost
}

package pages

import (
	"bytes"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// Delta builds a page, or a signed root, from an older one by copying runs of
// lines and inserting new ones.
type Delta struct {
	// From and To are the digests of the old and of the new text.
	From names.Digest `json:"from"`
	To   names.Digest `json:"to"`
	Ops  []Op         `json:"ops"`
}

// Op appends Length bytes of the old text, starting at byte Offset, and then
// Insert.
type Op struct {
	Offset int    `json:"offset,omitempty"`
	Length int    `json:"length,omitempty"`
	Insert []byte `json:"insert,omitempty"`
}

// NewDelta returns the delta that transforms the text old into next. from and to
// are their digests.
func NewDelta(from names.Digest, old []byte, to names.Digest, next []byte) Delta {
	offsets := lineOffsets(old)
	d := Delta{From: from, To: to}
	for line := range bytes.Lines(next) {
		offset, found := offsets[string(line)]
		d.append(offset, found, line)
	}
	return d
}

// lineOffsets returns the byte offset of each line of text. For a line that occurs
// several times it is the offset of the last one.
func lineOffsets(text []byte) map[string]int {
	offsets := map[string]int{}
	offset := 0
	for line := range bytes.Lines(text) {
		offsets[string(line)] = offset
		offset += len(line)
	}
	return offsets
}

// append adds one line to the result: a copy of the line at offset of the old text
// if found is true, and an insertion otherwise.
func (d *Delta) append(offset int, found bool, line []byte) {
	var last *Op
	if n := len(d.Ops); n > 0 {
		last = &d.Ops[n-1]
	}
	switch {
	case found && last != nil && len(last.Insert) == 0 && last.Offset+last.Length == offset:
		last.Length += len(line)
	case found:
		d.Ops = append(d.Ops, Op{Offset: offset, Length: len(line)})
	case last != nil:
		last.Insert = append(last.Insert, line...)
	default:
		d.Ops = append(d.Ops, Op{Insert: bytes.Clone(line)})
	}
}

// InsertedBytes returns the total size of the inserted text, in bytes.
func (d Delta) InsertedBytes() int {
	n := 0
	for _, op := range d.Ops {
		n += len(op.Insert)
	}
	return n
}

// Apply applies the delta to the old text and returns the result, whose digest it
// verifies. A result larger than MaxPageBytes is an error.
func (d Delta) Apply(old []byte) ([]byte, error) {
	var next []byte
	for _, op := range d.Ops {
		if op.Offset < 0 || op.Length < 0 || op.Offset > len(old) || op.Length > len(old)-op.Offset {
			return nil, errors.Wrap(ErrUntrusted, "delta does not fit the text")
		}
		if len(next)+op.Length+len(op.Insert) > MaxPageBytes {
			return nil, errors.Wrap(ErrUntrusted, "delta makes a text over the limit")
		}
		next = append(next, old[op.Offset:op.Offset+op.Length]...)
		next = append(next, op.Insert...)
	}
	if DigestOf(next) != d.To {
		return nil, errors.Wrap(ErrUntrusted, "delta's result has another digest")
	}
	return next, nil
}

package history

import (
	"fmt"

	"carobspoke.example/core/names"
	"github.com/anishathalye/porcupine"
)

// StreamInput is an item that a caller received from a stream, recorded in the
// order of receipt: a token or the end of the answer.
type StreamInput struct {
	Stream string
	// End is true if the caller received the end of the answer.
	End bool
}

// StreamOutput holds the text of a token, or at the end the number of tokens.
type StreamOutput struct {
	Text   string
	Tokens int
}

// StreamModel returns a model in which each stream delivers the expected tokens
// in order, each once, and ends only after the last. The function want returns
// the expected token of a stream at an offset, and false after the last token.
func StreamModel(want func(stream string, offset int) (string, bool)) porcupine.Model {
	return porcupine.Model{
		Partition: partition(func(input any) string { return input.(StreamInput).Stream }),
		Init:      func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			in, out, next := input.(StreamInput), output.(StreamOutput), state.(int)
			token, more := want(in.Stream, next)
			if in.End {
				return !more && out.Tokens == next, next
			}
			return more && out.Text == token, next + 1
		},
	}
}

// DescribeStream formats an operation on a stream as one line.
func DescribeStream(op porcupine.Operation) string {
	in, out := op.Input.(StreamInput), op.Output.(StreamOutput)
	if in.End {
		return fmt.Sprintf("%d %s ends after %d", op.Call, in.Stream, out.Tokens)
	}
	return fmt.Sprintf("%d %s: %s", op.Call, in.Stream, out.Text)
}

// VersionInput identifies the observer of a version: an incarnation of a daemon,
// or a caller.
type VersionInput struct{ Observer string }

// VersionModel returns a model in which the versions seen by an observer never
// decrease. The output of an operation is a names.Version.
func VersionModel() porcupine.Model {
	return porcupine.Model{
		Partition: partition(func(input any) string { return input.(VersionInput).Observer }),
		Init:      func() any { return names.Version(0) },
		Step: func(state, _, output any) (bool, any) {
			seen := output.(names.Version)
			return seen >= state.(names.Version), seen
		},
	}
}

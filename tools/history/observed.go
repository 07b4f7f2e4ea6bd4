package history

import (
	"fmt"

	"carobspoke.example/core/names"
	"github.com/anishathalye/porcupine"
)

// StreamInput is what a caller received of one stream, in its order.
type StreamInput struct {
	Stream string
	// End is the end of the answer as the caller was told it.
	End bool
}

// StreamOutput is the token, or at the end the number of tokens.
type StreamOutput struct {
	Text   string
	Tokens int
}

// StreamModel is the whole answer of each stream. Want returns the token of a
// stream at an offset, and false after the last.
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

// DescribeStream writes an operation on a stream.
func DescribeStream(op porcupine.Operation) string {
	in, out := op.Input.(StreamInput), op.Output.(StreamOutput)
	if in.End {
		return fmt.Sprintf("%d %s ends after %d", op.Call, in.Stream, out.Tokens)
	}
	return fmt.Sprintf("%d %s: %s", op.Call, in.Stream, out.Text)
}

// VersionInput says who observed a version: an incarnation of a daemon, or a
// caller.
type VersionInput struct{ Observer string }

// VersionModel is the version that each observer sees; it never falls. An
// operation's output is a names.Version.
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

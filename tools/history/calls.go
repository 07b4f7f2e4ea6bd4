package history

import (
	"fmt"

	"carobspoke.example/core/verdict"
	"github.com/anishathalye/porcupine"
)

// CallInput is an operation on the register of one call.
type CallInput struct {
	// Call names the call, whatever key or ticket its sends bring.
	Call string
	// Act is true for the service's action and false for a caller's send.
	Act bool
}

// CallOutput is the outcome of an operation on a call.
type CallOutput struct {
	// Answer is the action's number, or the answer that a send was given.
	Answer string
	// Failed sends have a Verdict.
	Failed  bool
	Verdict verdict.Verdict
}

// callState is what has become of a call.
type callState struct {
	acted  bool
	answer string
}

// CallModel is the at-most-once register of each call.
func CallModel() porcupine.Model {
	return porcupine.Model{
		Partition: partition(func(input any) string { return input.(CallInput).Call }),
		Init:      func() any { return callState{} },
		Step: func(state, input, output any) (bool, any) {
			return state.(callState).step(input.(CallInput), output.(CallOutput))
		},
	}
}

func (s callState) step(in CallInput, out CallOutput) (bool, any) {
	switch {
	case in.Act:
		return !s.acted, callState{acted: true, answer: out.Answer}
	case !out.Failed:
		return s.acted && s.answer == out.Answer, s
	case out.Verdict == verdict.NotRun:
		return !s.acted, s
	case out.Verdict == verdict.Ran:
		return s.acted, s
	default:
		return true, s
	}
}

// DescribeCall writes an operation on a call.
func DescribeCall(op porcupine.Operation) string {
	in, out := op.Input.(CallInput), op.Output.(CallOutput)
	what := "send"
	if in.Act {
		what = "act"
	}
	outcome := out.Answer
	if out.Failed {
		outcome = out.Verdict.String()
	}
	return fmt.Sprintf("%d-%d %s %s: %s", op.Call, op.Return, what, in.Call, outcome)
}

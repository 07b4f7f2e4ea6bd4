package history

import (
	"fmt"

	"carobspoke.example/core/verdict"
	"github.com/anishathalye/porcupine"
)

// CallInput is an operation on the register of one call.
type CallInput struct {
	// Call identifies the call, regardless of the idempotency key or ticket of
	// its sends.
	Call string
	// IsExecution is true for an execution by the service and false for a
	// caller's send.
	IsExecution bool
}

// CallOutput is the outcome of an operation on a call.
type CallOutput struct {
	// Answer is the number of the execution, or the answer that a send received.
	Answer string
	// Failed is true for a send that returned an error.
	Failed bool
	// Verdict is set only if Failed is true.
	Verdict verdict.Verdict
}

// callState is the state of a call's register; answer is set once the call is
// executed.
type callState struct {
	executed bool
	answer   string
}

// CallModel returns a model in which each call has a register that allows at
// most one execution.
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
	case in.IsExecution:
		return !s.executed, callState{executed: true, answer: out.Answer}
	case !out.Failed:
		return s.executed && s.answer == out.Answer, s
	case out.Verdict == verdict.NotRun:
		return !s.executed, s
	case out.Verdict == verdict.Ran:
		return s.executed, s
	default:
		return true, s
	}
}

// DescribeCall formats an operation on a call as one line.
func DescribeCall(op porcupine.Operation) string {
	in, out := op.Input.(CallInput), op.Output.(CallOutput)
	kind := "send"
	if in.IsExecution {
		kind = "act"
	}
	outcome := out.Answer
	if out.Failed {
		outcome = out.Verdict.String()
	}
	return fmt.Sprintf("%d-%d %s %s: %s", op.Call, op.Return, kind, in.Call, outcome)
}

package history

import (
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// TestCallModelRefusesFaults checks that CallModel rejects histories with one
// fault each and accepts correct ones.
func TestCallModelRefusesFaults(t *testing.T) {
	execute := func(r *Recorder, answer string) {
		r.RecordInstant(0, CallInput{Call: "c", IsExecution: true}, CallOutput{Answer: answer})
	}
	failed := func(v verdict.Verdict) CallOutput { return CallOutput{Failed: true, Verdict: v} }
	cases := []struct {
		name   string
		record func(r *Recorder)
		want   bool
	}{
		{"resent after an error, then answered", func(r *Recorder) {
			end := r.Begin(1, CallInput{Call: "c"})
			execute(r, "1")
			end(failed(verdict.MayHaveRun))
			r.RecordInstant(1, CallInput{Call: "c"}, CallOutput{Answer: "1"})
		}, true},
		{"executed twice", func(r *Recorder) { execute(r, "1"); execute(r, "2") }, false},
		{"not run, although executed before", func(r *Recorder) {
			execute(r, "1")
			r.RecordInstant(1, CallInput{Call: "c"}, failed(verdict.NotRun))
		}, false},
		{"not run, executed during the send", func(r *Recorder) {
			end := r.Begin(1, CallInput{Call: "c"})
			execute(r, "1")
			end(failed(verdict.NotRun))
		}, true},
		{"answered without an execution", func(r *Recorder) {
			r.RecordInstant(1, CallInput{Call: "c"}, CallOutput{Answer: "1"})
		}, false},
		{"answer of another execution", func(r *Recorder) {
			execute(r, "1")
			r.RecordInstant(1, CallInput{Call: "c"}, CallOutput{Answer: "2"})
		}, false},
		{"ran, although never executed", func(r *Recorder) {
			r.RecordInstant(1, CallInput{Call: "c"}, failed(verdict.Ran))
		}, false},
	}
	for _, c := range cases {
		r := &Recorder{}
		c.record(r)
		if got := Check(CallModel(), r.Operations()); got != c.want {
			t.Errorf("%s: accepted is %t", c.name, got)
		}
	}
}

func TestVersionModel(t *testing.T) {
	r := &Recorder{}
	observe := func(observer string, v names.Version) { r.RecordInstant(0, VersionInput{Observer: observer}, v) }
	observe("a", 3)
	observe("b", 2)
	observe("a", 3)
	observe("b", 4)
	if !Check(VersionModel(), r.Operations()) {
		t.Error("versions that differ between observers were rejected")
	}
	observe("b", 3)
	if Check(VersionModel(), r.Operations()) {
		t.Error("an observer that saw an older version was accepted")
	}
}

package history

import (
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// TestCallModelRefusesFaults gives the model histories with one fault each.
func TestCallModelRefusesFaults(t *testing.T) {
	act := func(r *Recorder, answer string) {
		r.Point(0, CallInput{Call: "c", Act: true}, CallOutput{Answer: answer})
	}
	failed := func(v verdict.Verdict) CallOutput { return CallOutput{Failed: true, Verdict: v} }
	cases := []struct {
		name string
		play func(r *Recorder)
		want bool
	}{
		{"resent, answered once more", func(r *Recorder) {
			end := r.Begin(1, CallInput{Call: "c"})
			act(r, "1")
			end(failed(verdict.MayHaveRun))
			r.Point(1, CallInput{Call: "c"}, CallOutput{Answer: "1"})
		}, true},
		{"acted twice", func(r *Recorder) { act(r, "1"); act(r, "2") }, false},
		{"not run, although it acted before", func(r *Recorder) {
			act(r, "1")
			r.Point(1, CallInput{Call: "c"}, failed(verdict.NotRun))
		}, false},
		{"not run, and acted meanwhile", func(r *Recorder) {
			end := r.Begin(1, CallInput{Call: "c"})
			act(r, "1")
			end(failed(verdict.NotRun))
		}, true},
		{"answered without an action", func(r *Recorder) {
			r.Point(1, CallInput{Call: "c"}, CallOutput{Answer: "1"})
		}, false},
		{"another action's answer", func(r *Recorder) {
			act(r, "1")
			r.Point(1, CallInput{Call: "c"}, CallOutput{Answer: "2"})
		}, false},
		{"ran, although nothing acted", func(r *Recorder) {
			r.Point(1, CallInput{Call: "c"}, failed(verdict.Ran))
		}, false},
	}
	for _, c := range cases {
		r := &Recorder{}
		c.play(r)
		if got := Check(CallModel(), r.Operations()); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

func TestVersionModel(t *testing.T) {
	r := &Recorder{}
	see := func(observer string, v names.Version) { r.Point(0, VersionInput{Observer: observer}, v) }
	see("a", 3)
	see("b", 2)
	see("a", 3)
	see("b", 4)
	if !Check(VersionModel(), r.Operations()) {
		t.Error("observers may differ")
	}
	see("b", 3)
	if Check(VersionModel(), r.Operations()) {
		t.Error("an observer saw an older version")
	}
}

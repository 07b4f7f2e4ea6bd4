package target

import (
	"reflect"
	"testing"
	"time"
)

func TestReportHeaderRoundTrip(t *testing.T) {
	r := Report{
		BootID: 1 << 60, Seq: 7, MeasuredAt: time.UnixMilli(1_700_000_000_123), QueuedTokens: 99, RunningStreams: 3,
		FreeBlocks: 5, TotalBlocks: 9, BlockTokens: 16, PrefillRate: 20000, StepTime: 15 * time.Millisecond, Fence: 12,
		State: State{Model: "draft", Version: "v/2", Role: Mixed, Loading: true},
	}
	parsed, err := ParseReportHeader(r.HeaderText())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(r, parsed) {
		t.Fatalf("%+v was parsed as %+v", r, parsed)
	}
}

func FuzzParseReportHeader(f *testing.F) {
	r := Report{State: State{Model: "m", Version: "1", Role: Mixed}}
	f.Add(r.HeaderText())
	f.Add("1 2")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ParseReportHeader(text)
		if err != nil {
			return
		}
		if _, err := ParseReportHeader(parsed.HeaderText()); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
	})
}

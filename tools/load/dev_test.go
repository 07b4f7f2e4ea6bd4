package load

import (
	"testing"
	"time"

	"carobspoke.example/tools/load/measure"
	"carobspoke.example/tools/load/workload"
)

// killWorkload puts load on three daemons, two of which are killed one after the
// other while streams run, and on a replica that drops answers after executing
// the calls.
const killWorkload = `
name = "killed"
seed = 7
duration = "3s"
fleet = "dev"
speedup = 8
rate = 25
text_tokens = 64

[[classes]]
name = "short"
share = 9
min_tokens = 200
max_tokens = 400
min_answer = 200
max_answer = 400
timeout = "30s"

[[calls]]
service = "orders"
share = 3
mode = "ticket"
bytes = 100
timeout = "10s"

[[customers]]
name = "customer-a"
weight = 1

[[customers]]
name = "customer-b"
weight = 1

[retry]
attempts = 8
max_wait = "5s"

[[faults]]
at = "500ms"
target = "desk-1-orders"
command = { kind = "drop", count = 5 }

[[faults]]
at = "1s"
target = "daemon-1"
command = { kind = "kill", for_ms = 200 }

[[faults]]
at = "2s"
target = "daemon-1"
command = { kind = "kill", for_ms = 200 }
`

// TestGuaranteesHoldWhileDaemonsAreKilled guards against lost streams, repeated
// calls and leaked resources when daemons are killed while streams run.
func TestGuaranteesHoldWhileDaemonsAreKilled(t *testing.T) {
	w, err := workload.Parse([]byte(killWorkload))
	if err != nil {
		t.Fatal(err)
	}
	run := Run{Workload: w, Schedule: w.Schedule(), SettleTimeout: 20 * time.Second}
	stop, err := run.connectDev(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	result, err := run.Do(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if want := (measure.Checks{CallsChecked: true}); result.Checks != want {
		t.Errorf("checks %+v, violations %+v; expected no violations", result.Checks, result.Violations)
	}
	short := result.Find("short", measure.AllPhases)
	if short.Complete != short.Offered || short.Resumes == 0 {
		t.Errorf("%d of %d answers complete, %d resumes, outcomes %+v; expected all complete and some resumes", short.Complete, short.Offered, short.Resumes, short.Outcomes)
	}
}

// TestDirectCallerRepeatsCalls verifies that the checks detect repeated calls:
// the direct caller resends calls whose answers were dropped.
func TestDirectCallerRepeatsCalls(t *testing.T) {
	w, err := workload.Parse([]byte(killWorkload))
	if err != nil {
		t.Fatal(err)
	}
	run := Run{Workload: w, Schedule: w.Schedule(), SettleTimeout: 20 * time.Second}
	stop, err := run.connectDirect()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	result, err := run.Do(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if result.Checks.RepeatedCalls == 0 {
		t.Fatalf("no repeated call was detected: checks %+v", result.Checks)
	}
}

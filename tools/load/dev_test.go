package load

import (
	"testing"
	"time"

	"carobspoke.example/tools/load/measure"
	"carobspoke.example/tools/load/workload"
)

// killed is a load on three daemons, of which one after the other is killed
// while streams run, and on replicas that drop answers after acting.
const killed = `
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

func TestPromisesHoldWhileDaemonsAreKilled(t *testing.T) {
	w, err := workload.Parse([]byte(killed))
	if err != nil {
		t.Fatal(err)
	}
	run := Run{Workload: w, Schedule: w.Schedule(), Settle: 20 * time.Second}
	stop, err := run.connectDev(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	result, err := run.Do(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if want := (measure.Checks{Ran: true}); result.Checks != want {
		t.Errorf("checks %+v, broken %+v", result.Checks, result.Broken)
	}
	short := result.Find("short", measure.AllPhases)
	if short.Whole != short.Offered || short.Resumes == 0 {
		t.Errorf("%d of %d answers whole, %d resumes, %+v", short.Whole, short.Offered, short.Resumes, short.Outcomes)
	}
}

// TestTheNaiveCallerRepeatsCalls shows that the checks see what they are for.
func TestTheNaiveCallerRepeatsCalls(t *testing.T) {
	w, err := workload.Parse([]byte(killed))
	if err != nil {
		t.Fatal(err)
	}
	run := Run{Workload: w, Schedule: w.Schedule(), Settle: 20 * time.Second}
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
		t.Fatalf("checks %+v", result.Checks)
	}
}

package soak

import (
	"context"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestAddedRoutesAreServedInTimeOnSlowHosts guards against daemons that hold their records for
// complete, and refuse routes that were added over two seconds before, while they catch up slowly.
func TestAddedRoutesAreServedInTimeOnSlowHosts(t *testing.T) {
	// Built without the race detector, under which the emulator of the store holds the daemons up.
	const limit = 2 * time.Minute
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	program := filepath.Join(t.TempDir(), "carobspoke")
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", program, "carobspoke.example/tools/cmd/carobspoke").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, output)
	}
	command := exec.CommandContext(ctx, program, "soak", "--seed", "1", "--storms", "3", "--folder", t.TempDir())
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // its daemons end with it
	command.Cancel = func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGKILL) }
	output, err := command.CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, output)
	} else {
		t.Logf("%s", output)
	}
}

func TestJudgeCountsAnswersThatOnlyOlderVersionsAllow(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	acknowledged := map[int]time.Time{4: at(0), 5: at(100)}
	request := func(k kind, version, sentMS, status int) answer {
		return answer{question: question{k, version}, host: "host-1", id: "ask", sent: at(sentMS), answered: at(sentMS + 10), status: status}
	}
	restarted := request(onAdded, 4, 1500, http.StatusNotFound)
	restarted.incarnation = 1
	for _, c := range []struct {
		name                         string
		answers                      []answer
		excuses                      []excuse
		refused, ran, late503, regrs int
	}{
		{"refused within the bound", []answer{request(onAdded, 4, 1999, http.StatusNotFound)}, nil, 0, 0, 0, 0},
		{"refused late", []answer{request(onAdded, 4, 2001, http.StatusNotFound), request(onAdded, 5, 2101, http.StatusForbidden)}, nil, 2, 0, 0, 0},
		{"refused a dropped route", []answer{request(onDropped, 4, 2500, http.StatusNotFound)}, nil, 0, 0, 0, 0},
		{"ran late", []answer{request(onDropped, 4, 2500, http.StatusOK), request(withOldKey, 4, 2500, http.StatusOK)}, nil, 0, 2, 0, 0},
		{"unavailable late", []answer{request(onAdded, 4, 2500, http.StatusServiceUnavailable)}, nil, 0, 0, 1, 0},
		{"excused", []answer{request(onAdded, 4, 2500, http.StatusNotFound)}, []excuse{{"host-1", at(2505), at(6000)}}, 0, 0, 0, 0},
		{"another daemon is excused", []answer{request(onAdded, 4, 2500, http.StatusNotFound)}, []excuse{{"host-2", at(2505), at(6000)}}, 1, 0, 0, 0},
		{"regressed", []answer{request(onAdded, 5, 500, http.StatusOK), request(onAdded, 4, 800, http.StatusNotFound), request(onDropped, 5, 800, http.StatusOK)}, nil, 0, 0, 0, 2},
		{"just seen", []answer{request(onAdded, 5, 500, http.StatusOK), request(onAdded, 4, 760, http.StatusNotFound)}, nil, 0, 0, 0, 0},
		{"a newer version", []answer{request(onAdded, 4, 500, http.StatusOK), request(onAdded, 5, 1500, http.StatusNotFound)}, nil, 0, 0, 0, 0},
		{"another incarnation", []answer{request(onAdded, 5, 500, http.StatusOK), restarted}, nil, 0, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, violations := judge(c.answers, acknowledged, c.excuses, &daemonLogs{})
			if r.Refused.Count != c.refused || r.Ran.Count != c.ran || r.Unavailable.Count != c.late503 || r.Regressed.Count != c.regrs {
				t.Errorf("refused %v, ran %v, unavailable %v, regressed %v, want %d, %d, %d, %d", r.Refused, r.Ran, r.Unavailable, r.Regressed, c.refused, c.ran, c.late503, c.regrs)
			}
			if want := c.refused + c.ran + c.regrs; len(violations) != want {
				t.Errorf("violations %q, want %d", violations, want)
			}
		})
	}
}

func TestRefusalOnLaterConfirmationIsOverstated(t *testing.T) {
	var confirmed refusal
	confirmed.Request, confirmed.Configuration.Age = "ask", 400
	logs := &daemonLogs{refusals: map[string]refusal{"ask": confirmed}}
	a := answer{question: question{onAdded, 4}, id: "ask", status: http.StatusNotFound}
	if by, ok := logs.overstated(&a, 500*time.Millisecond); !ok || by != 100*time.Millisecond {
		t.Errorf("overstated by %s (%t), want 100ms", by, ok)
	}
	if by, ok := logs.overstated(&a, 300*time.Millisecond); ok {
		t.Errorf("overstated by %s although the version was acknowledged after the confirmation", by)
	}
	now := time.Now()
	a.sent, a.answered = now.Add(500*time.Millisecond), now.Add(510*time.Millisecond)
	if r, violations := judge([]answer{a}, map[int]time.Time{4: now}, nil, logs); r.Overstated.Count != 1 || len(violations) != 1 {
		t.Errorf("overstated %v, violations %q, want one each", r.Overstated, violations)
	}
}

func TestQuantile(t *testing.T) {
	times := []time.Duration{1, 2, 3, 4}
	for q, want := range map[float64]time.Duration{0.25: 1, 0.5: 2, 0.51: 3, 0.99: 4} {
		if got := quantile(times, q); got != want {
			t.Errorf("quantile %g is %d, want %d", q, got, want)
		}
	}
	if got := quantile(nil, 0.5); got != 0 {
		t.Errorf("quantile of nothing is %d, want 0", got)
	}
}

func TestParseProcessorTime(t *testing.T) {
	line := "71 (a daemon (1)) S " + strings.Repeat("0 ", 10) + "7 5 " + strings.Repeat("0 ", 20)
	if got := parseProcessorTime(line); got != 120*time.Millisecond {
		t.Errorf("processor time %s, want 120ms", got)
	}
	if got := parseProcessorTime("71 (a"); got != 0 {
		t.Errorf("processor time %s of a broken line, want 0", got)
	}
}

package soak

import (
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// regressions are seeds of runs that have failed, each with the cause.
var regressions = []struct {
	seed    uint64
	planned bool
	cause   string
}{
	{1001, false, "1001, the emulator treated probes of targets as requests"},
	{1003, false, "1003, same cause as 1001"},
	{2000, false, "2000, same cause as 1001"},
}

// runSeed runs one seed and fails the test if a guarantee was violated.
func runSeed(t *testing.T, program string, seed uint64, planned, restore bool) {
	t.Helper()
	c := DefaultConfig()
	c.Seed, c.PlannedOnly, c.RestoreStore, c.FaultTime = seed, planned, restore, 5*time.Second
	c.Program, c.Folder = program, filepath.Join(t.TempDir(), strconv.FormatUint(seed, 10))
	report, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if err := report.Err(); err != nil {
		t.Error(err)
	}
	if report.Counts.Served == 0 || report.Reservations == 0 {
		t.Error("no request was served, or no memory was reserved")
	}
}

// TestSeeds runs a few seeds. `carobspoke soak` runs more seeds for a longer time.
func TestSeeds(t *testing.T) {
	program, err := Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Run("planned work", func(t *testing.T) { runSeed(t, program, 1, true, false) })
	t.Run("faults", func(t *testing.T) { runSeed(t, program, 2, false, false) })
	t.Run("restored store", func(t *testing.T) { runSeed(t, program, 3, true, true) })
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) { runSeed(t, program, r.seed, r.planned, false) })
	}
}

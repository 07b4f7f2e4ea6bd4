package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Counts Counts
	// Violations are the violated guarantees.
	Violations []string
	// Faults are the injected faults, each after its start in seconds since the
	// start of the run.
	Faults        []string
	StoreRequests int
	// Reservations counts the reservations granted or renewed by the targets
	// that still run at the end.
	Reservations int
	// Prompts are the outcomes of a run with Config.Parts.
	Prompts Prompts
	// Storms are the outcomes of RunStorms, nil for other runs.
	Storms *StormResult
}

// String returns the report in a few lines.
func (r *Report) String() string {
	text := fmt.Sprintf("seed %d: sent %d, served %d, refused %d, failed %d, cut %d, abandoned %d, served %d of %d after the recovery (%d of %d giant prompts refused); %d faults, %d requests to the store, %d reservations, %d violations",
		r.Seed, r.Counts.Sent, r.Counts.Served, r.Counts.Refused, r.Counts.Failed, r.Counts.Cut, r.Counts.Abandoned, r.Counts.ServedAfterRecovery, r.Counts.SentAfterRecovery,
		r.Counts.RefusedGiantsAfterRecovery, r.Counts.GiantsAfterRecovery, len(r.Faults), r.StoreRequests, r.Reservations, len(r.Violations))
	if r.Prompts.Crashes > 0 {
		text += "\n  " + r.Prompts.String()
	}
	if r.Storms != nil {
		text += "\n  " + r.Storms.String()
	}
	for _, violation := range r.Violations {
		text += "\n  violation: " + violation
	}
	return text
}

// Build builds the daemon into a folder and returns the path of the program.
func Build(ctx context.Context, folder string) (string, error) {
	program := filepath.Join(folder, "carobspoked")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", program, "carobspoke.example/serving/cmd/carobspoked").CombinedOutput()
	return program, errors.Wrapf(err, "go build: %s", output)
}

// Run runs the daemons with the faults of one seed and returns what it found. The
// error is nil if guarantees were violated: see Report.Err.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Parts {
		c.FaultTime = max(c.FaultTime, minPartsTime)
	}
	c.FaultTime = max(c.FaultTime, faultTimeOf(c.Outages))
	if c.zoned() {
		c.DataCentres = zonedDataCentres
	}
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	b, err := newTestbed(c)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return nil, err
	}
	if err := b.waitReady(ctx); err != nil {
		return nil, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	all := &callers{testbed: b, misses: make(map[*host]int), rotation: b.hosts}
	var running sync.WaitGroup
	running.Go(func() { all.balance(loadCtx) })
	running.Go(func() { b.watchVersions(loadCtx) })
	for i := range c.Callers {
		running.Go(func() { all.call(loadCtx, i) })
	}
	if c.Parts {
		b.active.Go(func() { all.sendCrashing(loadCtx) })
	}
	b.active.Go(func() { b.runOutages(loadCtx) })
	b.inject(loadCtx)
	if c.Cold {
		time.Sleep(coldTime) // the targets that have started last are warm then
	}
	b.checkRecovery(loadCtx, all)
	stopLoad()
	running.Wait()
	b.checkServedAfterRecovery(&all.counts)
	b.checkReservationsReleased()
	prompts := all.checkPrompts()
	return &Report{
		Prompts: prompts,
		Seed:    c.Seed, Counts: all.counts, Violations: b.checker.Violations(), Faults: b.faults, StoreRequests: b.store.Requests(), Reservations: b.reservations(),
	}, nil
}

// Err returns an error if the run violated a guarantee.
func (r *Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return errors.Errorf("%s\nfaults:\n  %s", r, strings.Join(r.Faults, "\n  "))
}

package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Report is what a run showed.
type Report struct {
	Seed   uint64
	Counts Counts
	Broken []string
	// Faults are those injected, with their times in seconds.
	Faults []string
	Calls  int
	// Reservations counts memory set aside at targets that live at the end,
	// renewals among them.
	Reservations int
}

// String returns the report in a few lines.
func (r *Report) String() string {
	text := fmt.Sprintf("seed %d: sent %d, served %d, refused %d, failed %d, cut %d, left %d, %d of %d after the last fault; %d faults, %d calls to the store, %d reservations, %d promises broken",
		r.Seed, r.Counts.Sent, r.Counts.Served, r.Counts.Refused, r.Counts.Failed, r.Counts.Cut, r.Counts.Left, r.Counts.CalmServed, r.Counts.CalmSent, len(r.Faults), r.Calls, r.Reservations, len(r.Broken))
	for _, broken := range r.Broken {
		text += "\n  broken: " + broken
	}
	return text
}

// Build builds the daemon into a folder.
func Build(ctx context.Context, folder string) (string, error) {
	program := filepath.Join(folder, "carobspoked")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", program, "carobspoke.example/serving/cmd/carobspoked").CombinedOutput()
	return program, errors.Wrapf(err, "go build: %s", output)
}

// Run plays one seed.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	w, err := newWorld(c)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	if err := w.waitReady(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	all := &callers{world: w, misses: make(map[*host]int), rotation: w.hosts}
	var running sync.WaitGroup
	running.Go(func() { all.balance(load) })
	running.Go(func() { w.watchVersions(load) })
	for i := range c.Callers {
		running.Go(func() { all.call(load, i) })
	}
	w.inject(load)
	w.checkEnd(load, all)
	stop()
	running.Wait()
	w.checkCalm(&all.counts)
	w.checkMemory()
	return &Report{
		Seed: c.Seed, Counts: all.counts, Broken: w.checker.Violations(), Faults: w.events, Calls: w.store.Requests(), Reservations: w.reservations(),
	}, nil
}

// Fail returns an error if the run broke a promise.
func (r *Report) Fail() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return errors.Errorf("%s\nfaults:\n  %s", r, strings.Join(r.Faults, "\n  "))
}

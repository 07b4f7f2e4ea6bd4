package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"carobspoke.example/tools/dev"
	"carobspoke.example/tools/load/caller"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// readyTimeout bounds the wait for separately started daemons to be ready.
	readyTimeout = 5 * time.Minute
	// readyPollInterval is the time between two readiness checks of a daemon.
	readyPollInterval = 200 * time.Millisecond
)

// connectSeparate starts the stand-ins, writes the settings files of the daemons
// into a folder, prints the commands that start the daemons, and waits until
// all are ready.
func (r *Run) connectSeparate(ctx context.Context, daemons int, folder string, out io.Writer) (stop func(), err error) {
	d, err := dev.Start(ctx, dev.Config{Fleet: r.fleetConfig(), Daemons: daemons, SeparateProcesses: true, Log: zap.NewNop()})
	if err != nil {
		return nil, err
	}
	separate, err := d.WriteSettings(folder)
	if err != nil {
		d.Close()
		return nil, err
	}
	bases := make([]string, 0, len(separate))
	for _, one := range separate {
		bases = append(bases, "http://"+one.Settings.Caller.Listen)
		printf(out, "carobspoked --config %s\n", one.File)
	}
	if err := waitReady(ctx, separate); err != nil {
		d.Close()
		return nil, err
	}
	r.Caller = caller.NewGateway(func() []string { return bases }, r.Workload.Retry, nil)
	r.Standins = NewStandins(d.Manifest(), d.Fleet.Platform().Address())
	return d.Close, nil
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...) // a failed write to the terminal is ignored
}

func waitReady(ctx context.Context, daemons []dev.SeparateDaemon) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, one := range daemons {
		for !ready(ctx, one.Settings.Admin.Listen) {
			if !waitUntil(ctx, time.Now().Add(readyPollInterval)) {
				return errors.Errorf("the daemon with settings file %s did not become ready", one.File)
			}
		}
	}
	return nil
}

func ready(ctx context.Context, admin string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

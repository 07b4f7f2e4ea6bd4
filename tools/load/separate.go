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
	// separateWait bounds the time until separate daemons are ready.
	separateWait = 5 * time.Minute
	// readyPause is the time between two looks at whether they are.
	readyPause = 200 * time.Millisecond
)

// connectSeparate starts stand-ins, writes settings of daemons into a folder,
// says how to start them, and waits until they are ready.
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
		line(out, "carobspoked --config %s\n", one.File)
	}
	if err := waitReady(ctx, separate); err != nil {
		d.Close()
		return nil, err
	}
	r.Caller = caller.NewGateway(func() []string { return bases }, r.Workload.Retry, nil)
	r.Standins = NewStandins(d.Manifest(), d.Fleet.Platform().Address())
	return d.Close, nil
}

func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...) // it goes to a terminal
}

func waitReady(ctx context.Context, daemons []dev.SeparateDaemon) error {
	ctx, cancel := context.WithTimeout(ctx, separateWait)
	defer cancel()
	for _, one := range daemons {
		for !ready(ctx, one.Settings.Admin.Listen) {
			if !waitUntil(ctx, time.Now().Add(readyPause)) {
				return errors.Errorf("the daemon of %s is not ready", one.File)
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

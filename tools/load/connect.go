package load

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"carobspoke.example/core/version/manifest"
	"carobspoke.example/tools/dev"
	"carobspoke.example/tools/load/caller"
	"carobspoke.example/tools/standin/fleet"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// connect sets the caller and the stand-ins of the run as the flags require. The
// returned function stops all servers that connect started.
func (r *Run) connect(ctx context.Context, c *cli.Command) (stop func(), err error) {
	switch {
	case c.Bool("direct"):
		return r.connectDirect()
	case c.String("separate") != "":
		return r.connectSeparate(ctx, c.Int("daemons"), c.String("separate"), c.Root().Writer)
	case c.Bool("dev"):
		return r.connectDev(ctx, c.Int("daemons"))
	}
	bases := c.StringSlice("daemon")
	if len(bases) == 0 {
		return nil, errors.New("one of the flags --daemon, --dev, --separate and --direct is required")
	}
	transport, err := daemonTransport(c.String("ca"))
	if err != nil {
		return nil, err
	}
	r.Caller = caller.NewGateway(func() []string { return bases }, r.Workload.Retry, transport)
	if path := c.String("manifest"); path != "" {
		if r.Standins, err = readStandins(path, c.String("platform")); err != nil {
			return nil, err
		}
	}
	return func() {}, nil
}

func (r *Run) fleetConfig() fleet.Config {
	return fleet.Config{Size: r.Workload.Fleet, Speedup: r.Workload.Speedup, Seed: r.Workload.Seed}
}

// connectDirect starts the stand-ins and calls them without daemons.
func (r *Run) connectDirect() (stop func(), err error) {
	f, err := fleet.Start(r.fleetConfig())
	if err != nil {
		return nil, err
	}
	r.Caller = caller.NewDirect(f.Manifest(), r.Workload.Retry)
	r.Standins = NewStandins(f.Manifest(), f.Platform().Address())
	return f.Close, nil
}

// connectDev starts the stand-ins and the daemons in this process.
func (r *Run) connectDev(ctx context.Context, daemons int) (stop func(), err error) {
	d, err := dev.Start(ctx, dev.Config{Fleet: r.fleetConfig(), Daemons: daemons, Log: zap.NewNop()})
	if err != nil {
		return nil, err
	}
	r.Caller = caller.NewGateway(func() []string { return callerURLs(d) }, r.Workload.Retry, nil)
	r.Standins = NewStandins(d.Manifest(), d.Fleet.Platform().Address())
	r.FaultHook = (&devFaults{dev: d}).inject
	return d.Close, nil
}

func callerURLs(d *dev.Environment) []string {
	daemons := d.Daemons()
	bases := make([]string, 0, len(daemons))
	for _, daemon := range daemons {
		bases = append(bases, "http://"+daemon.CallerAddress())
	}
	return bases
}

// daemonTransport returns a transport that trusts the certificate authority in
// the file ca, or nil if ca is empty.
func daemonTransport(ca string) (*http.Transport, error) {
	if ca == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s contains no PEM certificate", ca)
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}, nil
}

func readStandins(path, platform string) (*Standins, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	m, err := manifest.Parse(text)
	if err != nil {
		return nil, err
	}
	return NewStandins(*m, platform), nil
}

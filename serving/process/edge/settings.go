// Package edge assembles the daemon for a fleet whose routes and targets are
// published in a store. Package relay passes callers' requests to targets. The
// daemons exchange the published records, their dispatches and the requests
// suspected of crashing targets.
package edge

import (
	"net/netip"
	"time"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// Settings configure a daemon at its start.
type Settings struct {
	// Name is the name of the host in logs.
	Name       string
	DataCentre names.DataCentre
	// Regions maps each data centre to its region.
	Regions map[names.DataCentre]names.Region
	// Callers is the address for callers, Ready the address for the load
	// balancer's readiness checks, Metrics the address for metrics scrapes.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Metrics netip.AddrPort
	// ReadyPath is the URL path of the readiness check, MetricsPath that of the
	// metrics.
	ReadyPath   string
	MetricsPath string
	// Peer is the address at which other daemons reach this one, by UDP and
	// TCP. SharePort is the UDP port for dispatch events of other daemons.
	// Both ports must be the same at all daemons.
	Peer      netip.AddrPort
	SharePort uint16
	// Seeds are the peers contacted first to join the fleet; some may be gone.
	Seeds []netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration
	// RetryRatio is the number of retries allowed per first attempt of a
	// service, over RetryWindow and summed over all daemons. RetrySlack is
	// the number of retries allowed in addition, per RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LogLevel is the lowest level logged: debug, info, warn or error.
	LogLevel string
}

// Check returns an error for the first invalid setting, or nil.
func (s *Settings) Check() error {
	addresses := []struct {
		name  string
		value netip.AddrPort
	}{{"callers", s.Callers}, {"ready", s.Ready}, {"peer", s.Peer}, {"store", s.Store}}
	for _, a := range addresses {
		if !a.value.IsValid() {
			return errors.Errorf("settings: the address for %s is missing or not IP:port", a.name)
		}
	}
	switch {
	case s.DataCentre == "":
		return errors.New("settings: the data centre is missing")
	case s.SharePort == 0:
		return errors.New("settings: two ports for peers are needed")
	case s.Grace <= 0:
		return errors.New("settings: the grace time must be positive")
	case s.RetryWindow <= 0 || s.RetryRatio < 0 || s.RetrySlack < 0:
		return errors.New("settings: the retry budget must not be negative and its window must be positive")
	}
	return nil
}

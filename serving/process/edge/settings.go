// Package edge assembles the daemon for a fleet whose routes and targets are
// published in a store. Package relay passes callers' requests to targets. The
// daemons exchange the published records, their dispatches and the parts of prompts
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
	// CallerAddress is the address for callers, ReadyAddress the address for the
	// load balancer's readiness checks, MetricsAddress the address for metrics
	// scrapes.
	CallerAddress  netip.AddrPort
	ReadyAddress   netip.AddrPort
	MetricsAddress netip.AddrPort
	// ReadyPath is the URL path of the readiness check, MetricsPath that of the
	// metrics.
	ReadyPath   string
	MetricsPath string
	// PeerAddress is the address at which other daemons reach this one, by UDP
	// and TCP. SharePort is the UDP port for dispatch events of other daemons.
	// Both ports must be the same at all daemons.
	PeerAddress netip.AddrPort
	SharePort   uint16
	// Seeds are the peers contacted first to join the fleet; some may be gone.
	Seeds []netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// GracePeriod is the time from the stop signal to the end of the process.
	GracePeriod time.Duration
	// RetryRatio is the number of retries allowed per first attempt of a
	// service, over RetryWindow and summed over all daemons. RetrySlack is
	// the number of retries allowed in addition, per RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOverage and ColdSlack bound the requests that reach a cold target in any
	// second, summed over all daemons: its service's ColdRate times ColdOverage, and
	// ColdSlack more. Both are zero where there is no such bound.
	ColdOverage float64
	ColdSlack   float64
	// MemoryBytes and Descriptors are the memory and the file descriptors that the host
	// grants to the process; zero if the settings do not say.
	MemoryBytes int64
	Descriptors int
	// LogLevel is the lowest level logged: debug, info, warn or error.
	LogLevel string
}

// Check returns an error for the first invalid setting, or nil.
func (s *Settings) Check() error {
	addresses := []struct {
		name  string
		value netip.AddrPort
	}{{"callers", s.CallerAddress}, {"ready", s.ReadyAddress}, {"peer", s.PeerAddress}, {"store", s.StoreAddress}}
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
	case s.GracePeriod <= 0:
		return errors.New("settings: the grace time must be positive")
	case s.RetryWindow <= 0 || s.RetryRatio < 0 || s.RetrySlack < 0:
		return errors.New("settings: the retry budget must not be negative and its window must be positive")
	case s.ColdOverage < 0 || s.ColdSlack < 0:
		return errors.New("settings: the bounds on cold targets must not be negative")
	case s.MemoryBytes < 0 || s.Descriptors < 0:
		return errors.New("settings: the host's memory and descriptors must not be negative")
	}
	return nil
}

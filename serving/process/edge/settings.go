// Package edge wires the daemon of a fleet whose routes and targets are
// published: callers' requests go through package relay to targets, and the
// daemons share what they know.
package edge

import (
	"net/netip"
	"time"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// Settings are what a daemon is told at its start.
type Settings struct {
	// Name is the host's name in logs.
	Name       string
	DataCentre names.DataCentre
	// Regions says in which region each data centre lies.
	Regions map[names.DataCentre]names.Region
	// Callers is where callers connect, Ready where the balancer asks whether
	// the daemon takes new connections, Metrics where metrics are read.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Metrics netip.AddrPort
	// ReadyPath is the path of the balancer's question, MetricsPath that of
	// the metrics.
	ReadyPath   string
	MetricsPath string
	// Peer is where other daemons reach this one, by UDP and TCP; SharePort
	// is the UDP port for what daemons sent to targets. Both ports are the
	// same at all daemons.
	Peer      netip.AddrPort
	SharePort uint16
	// Seeds are peers to begin with; they may be stale.
	Seeds []netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration
	// RetryRatio is the part of a service's requests that may be repeated,
	// over RetryWindow and summed over all daemons; RetrySlack is added.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Check returns the first setting that cannot work.
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

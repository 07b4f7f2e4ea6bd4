// Package dev runs a fleet in one process on loopback: stand-ins for engines,
// plain services and the platform, and the daemons that serve callers.
package dev

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/core/version/pages"
	"carobspoke.example/serving/platform"
	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/serving/process/settings"
	"carobspoke.example/tools/standin/fleet"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// AdminKey is the administration key of a development fleet.
const AdminKey = "dev-admin"

// ReadyTimeout limits how long WaitReady waits for all daemons to have the
// manifest in force.
const ReadyTimeout = 20 * time.Second

// Config configures a development fleet.
type Config struct {
	Fleet fleet.Config
	// Daemons is the number of daemons; zero means the number that the
	// manifest expects.
	Daemons int
	// SeparateProcesses starts no daemons in this process; they run as separate
	// processes with the settings files that WriteSettings writes.
	SeparateProcesses bool
	// CallerAddress is the first daemon's listen address for callers,
	// "IP:port"; empty means a free port.
	CallerAddress string
	// Loopback is the IP address at which daemons listen; empty means 127.0.0.1. Ports of
	// an address of its own are not taken by other processes while daemons restart.
	Loopback string
	// Authority signs the daemons' TLS certificates; nil means plain TCP.
	Authority *Authority
	// AdjustManifest, if set, modifies the first manifest before it is published.
	AdjustManifest func(*manifest.Manifest)
	Log            *zap.Logger
	// AdjustOptions, if set, modifies the options of each daemon before it is
	// created.
	AdjustOptions func(*daemon.Options)
}

// Environment is a running development fleet.
type Environment struct {
	Fleet *fleet.Fleet

	config   Config
	key      ed25519.PrivateKey
	fleetKey string

	mu       sync.Mutex
	daemons  []*daemon.Daemon
	manifest manifest.Manifest
	packed   *pages.PackedManifest
}

// Start starts a fleet and, unless the daemons run as separate processes, waits
// until all of them have its manifest in force.
func Start(ctx context.Context, c Config) (*Environment, error) {
	standIns, err := fleet.Start(c.Fleet)
	if err != nil {
		return nil, err
	}
	d := &Environment{Fleet: standIns, config: c, manifest: standIns.Manifest(), fleetKey: randomKey()}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Environment) start(ctx context.Context) error {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.WithStack(err)
	}
	d.key = key
	count := d.config.Daemons
	if count == 0 {
		count = d.manifest.Fleet.ExpectedDaemons
	}
	d.manifest.Fleet.ExpectedDaemons = count
	if d.config.AdjustManifest != nil {
		d.config.AdjustManifest(&d.manifest)
	}
	if err := d.Publish(d.manifest); err != nil {
		return err
	}
	if d.config.SeparateProcesses {
		return nil
	}
	for range count {
		if _, err := d.AddDaemon(); err != nil {
			return err
		}
	}
	return d.WaitReady(ctx)
}

// Publish packs, signs and publishes a manifest. The pages are written before
// the root that refers to them.
func (d *Environment) Publish(m manifest.Manifest) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	packed, err := pages.Pack(&m, d.key)
	if err != nil {
		return err
	}
	values, err := pages.ValuesToPublish(d.packed, packed)
	if err != nil {
		return err
	}
	for _, value := range values {
		if _, err := d.Fleet.Platform().Publish(value.Key, value.Data); err != nil {
			return err
		}
	}
	d.packed = packed
	d.manifest = m
	return nil
}

// Manifest returns the last published manifest.
func (d *Environment) Manifest() manifest.Manifest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.manifest
}

// AddDaemon starts another daemon and adds it to the platform's list of hosts.
func (d *Environment) AddDaemon() (*daemon.Daemon, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, listeners, err := d.settings(len(d.daemons))
	if err != nil {
		return nil, err
	}
	options := daemon.Options{
		Settings:  s,
		Log:       d.config.Log.With(zap.String("host", string(s.Host))),
		Listeners: listeners,
	}
	if d.config.AdjustOptions != nil {
		d.config.AdjustOptions(&options)
	}
	added, err := daemon.New(options)
	if err != nil {
		return nil, err
	}
	d.daemons = append(d.daemons, added)
	d.publishHosts()
	added.Start()
	return added, nil
}

// publishHosts replaces the platform's list of hosts by the running daemons.
// The caller holds d.mu.
func (d *Environment) publishHosts() {
	entries := make([]platform.HostEntry, 0, len(d.daemons))
	for _, running := range d.daemons {
		entries = append(entries, platform.HostEntry{
			Host: running.Host(), DataCentre: running.DataCentre(), State: platform.HostLive,
		})
	}
	d.Fleet.Platform().SetHosts(entries)
}

func (d *Environment) settings(number int) (*settings.Settings, daemon.Listeners, error) {
	var listeners daemon.Listeners
	freeAddress := net.JoinHostPort(cmp.Or(d.config.Loopback, "127.0.0.1"), "0")
	callerAddress := freeAddress
	if number == 0 && d.config.CallerAddress != "" {
		callerAddress = d.config.CallerAddress
	}
	sockets := []struct {
		listener *net.Listener
		address  string
	}{
		{&listeners.Caller, callerAddress},
		{&listeners.Admin, freeAddress},
		{&listeners.Peer, freeAddress},
	}
	for _, socket := range sockets {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			return nil, listeners, errors.WithStack(err)
		}
		*socket.listener = listener
	}
	dataCentres := d.manifest.Fleet.DataCentres
	adminDigest := sha256.Sum256([]byte(AdminKey))
	s := settings.Default()
	s.Caller.DrainLinger = settings.Duration{Duration: drainLinger}
	s.Host = names.Host(listeners.Peer.Addr().String())
	s.DataCentre = dataCentres[number%len(dataCentres)].Name
	s.Caller.Listen = listeners.Caller.Addr().String()
	s.Admin.Listen = listeners.Admin.Addr().String()
	s.Admin.KeyDigests = []names.Digest{names.Digest(hex.EncodeToString(adminDigest[:]))}
	s.Peer.FleetKeys = []string{d.fleetKey}
	if d.manifest.Fleet.ExpectedDaemons == 1 {
		s.Peer.AloneAfter = settings.Duration{Duration: singleDaemonAloneAfter}
	}
	d.configureTLS(s)
	s.Platform.Address = d.Fleet.Platform().Address()
	s.Manifest.PublicKey = hex.EncodeToString(d.key.Public().(ed25519.PublicKey)) //nolint:forcetypeassert // an Ed25519 key has no other public key
	return s, listeners, s.Check()
}

// drainLinger is the minimum time for which a draining daemon keeps serving.
const drainLinger = 200 * time.Millisecond

// singleDaemonAloneAfter is the time after which the only daemon of a fleet
// becomes ready without peers.
const singleDaemonAloneAfter = 500 * time.Millisecond

// configureTLS enables TLS for callers and peers if there is an authority.
func (d *Environment) configureTLS(s *settings.Settings) {
	a := d.config.Authority
	if a == nil {
		return
	}
	s.Caller.CertFile, s.Caller.KeyFile = a.File(CertFile), a.File(KeyFile)
	s.Peer.CertFile, s.Peer.KeyFile, s.Peer.CAFile = a.File(CertFile), a.File(KeyFile), a.File(CAFile)
}

// Daemons returns the running daemons of this process in the order in which
// they were started.
func (d *Environment) Daemons() []*daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*daemon.Daemon(nil), d.daemons...)
}

// RemoveDaemon drains a daemon until ctx ends, removes it from the platform's
// list of hosts and closes it. It returns the error of the drain.
func (d *Environment) RemoveDaemon(ctx context.Context, removed *daemon.Daemon) error {
	err := removed.Drain(ctx)
	d.mu.Lock()
	for i, running := range d.daemons {
		if running == removed {
			d.daemons = append(d.daemons[:i], d.daemons[i+1:]...)
			break
		}
	}
	d.publishHosts()
	d.mu.Unlock()
	removed.Close()
	return err
}

// WaitReady waits until all daemons are ready, have the published version in
// force and list each other as members. It fails after ReadyTimeout.
func (d *Environment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	for !d.allReady() {
		select {
		case <-ctx.Done():
			return errors.Errorf("manifest version %d is not in force at all daemons", d.Manifest().Version)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

const readyPollInterval = 10 * time.Millisecond

func (d *Environment) allReady() bool {
	want := d.Manifest().Version
	daemons := d.Daemons()
	for _, running := range daemons {
		if running.Versions().Current().Version() < want || running.Ready() != nil || running.LiveMemberCount() != len(daemons) {
			return false
		}
	}
	return true
}

// Close stops the daemons and the stand-ins.
func (d *Environment) Close() {
	for _, running := range d.Daemons() {
		running.Close()
	}
	d.Fleet.Close()
}

func randomKey() string {
	var key [settings.FleetKeyBytes]byte
	_, _ = rand.Read(key[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(key[:])
}

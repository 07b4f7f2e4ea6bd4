package dev

import (
	"fmt"
	"os"
	"path/filepath"

	"carobspoke.example/serving/platform"
	"carobspoke.example/serving/process/settings"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

const (
	settingsMode = 0o600
	folderMode   = 0o700
)

// SeparateDaemon describes a daemon that runs in a separate process.
type SeparateDaemon struct {
	// File is the path of the daemon's settings file.
	File     string
	Settings *settings.Settings
}

// WriteSettings writes a settings file for each daemon into a folder and sets
// the platform's list of hosts to these daemons. The ports are free when they
// are chosen, but are not held until the daemons start.
func (d *Environment) WriteSettings(folder string) ([]SeparateDaemon, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.WithStack(err)
	}
	count := d.Manifest().Fleet.ExpectedDaemons
	daemons := make([]SeparateDaemon, 0, count)
	for number := range count {
		separate, err := d.writeDaemonSettings(folder, number)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, separate)
	}
	d.publishSeparateHosts(daemons)
	return daemons, nil
}

func (d *Environment) writeDaemonSettings(folder string, number int) (SeparateDaemon, error) {
	s, listeners, err := d.settings(number)
	if err != nil {
		return SeparateDaemon{}, err
	}
	for _, closeErr := range []error{listeners.Caller.Close(), listeners.Admin.Close(), listeners.Peer.Close()} {
		if closeErr != nil {
			return SeparateDaemon{}, errors.WithStack(closeErr)
		}
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return SeparateDaemon{}, errors.WithStack(err)
	}
	file := filepath.Join(folder, fmt.Sprintf("daemon-%d.toml", number+1))
	return SeparateDaemon{File: file, Settings: s}, errors.WithStack(os.WriteFile(file, text, settingsMode))
}

func (d *Environment) publishSeparateHosts(daemons []SeparateDaemon) {
	entries := make([]platform.HostEntry, 0, len(daemons))
	for _, separate := range daemons {
		entries = append(entries, platform.HostEntry{
			Host: separate.Settings.Host, DataCentre: separate.Settings.DataCentre, State: platform.HostLive,
		})
	}
	d.Fleet.Platform().SetHosts(entries)
}

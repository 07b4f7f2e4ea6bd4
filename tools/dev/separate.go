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

// Separate is a daemon that runs in a process of its own.
type Separate struct {
	// File is its settings file.
	File     string
	Settings *settings.Settings
}

// WriteSettings writes a settings file for each daemon into a folder and puts
// the daemons on the platform's list. Their ports were free a moment ago.
func (d *Dev) WriteSettings(folder string) ([]Separate, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.WithStack(err)
	}
	count := d.Manifest().Fleet.ExpectedDaemons
	daemons := make([]Separate, 0, count)
	for number := range count {
		one, err := d.writeOne(folder, number)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, one)
	}
	d.listHosts(daemons)
	return daemons, nil
}

func (d *Dev) writeOne(folder string, number int) (Separate, error) {
	s, listeners, err := d.settings(number)
	if err != nil {
		return Separate{}, err
	}
	for _, closed := range []error{listeners.Caller.Close(), listeners.Admin.Close(), listeners.Peer.Close()} {
		if closed != nil {
			return Separate{}, errors.WithStack(closed)
		}
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return Separate{}, errors.WithStack(err)
	}
	file := filepath.Join(folder, fmt.Sprintf("daemon-%d.toml", number+1))
	return Separate{File: file, Settings: s}, errors.WithStack(os.WriteFile(file, text, settingsMode))
}

func (d *Dev) listHosts(daemons []Separate) {
	entries := make([]platform.HostEntry, 0, len(daemons))
	for _, one := range daemons {
		entries = append(entries, platform.HostEntry{
			Host: one.Settings.Host, DataCentre: one.Settings.DataCentre, State: platform.HostLive,
		})
	}
	d.Fleet.Platform().SetHosts(entries)
}

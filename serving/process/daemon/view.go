package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/serving/platform"
	"carobspoke.example/serving/process/fleet"
	"carobspoke.example/serving/version"
)

const hostsPoll = time.Second

// every calls f at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// hostList follows the platform's list of hosts.
type hostList struct {
	entries atomic.Pointer[[]platform.HostEntry]
}

func (l *hostList) read(ctx context.Context, p platform.Platform) {
	if entries, err := p.Hosts(ctx); err == nil {
		l.entries.Store(&entries)
	}
}

// Entries returns the newest list.
func (l *hostList) Entries() []platform.HostEntry {
	if entries := l.entries.Load(); entries != nil {
		return *entries
	}
	return nil
}

// Count returns the number of listed hosts.
func (l *hostList) Count() int { return len(l.Entries()) }

// changed takes in a new view of members and version.
func (d *Daemon) changed(v *fleet.View) {
	hosts := make([]names.Host, 0, len(v.Members))
	for i := range v.Members {
		hosts = append(hosts, v.Members[i].Host)
	}
	if v.Version == nil {
		return
	}
	regions := make(map[names.DataCentre]names.Region)
	for _, dc := range v.Version.Manifest.Fleet.DataCentres {
		regions[dc.Name] = dc.Region
	}
	d.members.SetRegions(regions)
	d.calls.Observe(hosts, v.Version.Manifest.Fleet.ExpectedDaemons)
	d.retries.SetShare(v.Version.Manifest.Policy.RetryBudget)
	d.admitter.SetMaxReserve(v.Version.Manifest.Policy.ShortReserve)
	d.keepTargets(v)
}

// keepTargets tells the tables of load and of prefixes which engines this
// daemon keeps.
func (d *Daemon) keepTargets(v *fleet.View) {
	if v.Version == nil {
		return
	}
	list := d.specs(v)
	kept := make([]names.Target, 0, len(list))
	for _, spec := range list {
		kept = append(kept, spec.Name)
	}
	d.keeping.keep(kept)
	d.admitter.Keep(list)
}

// specs returns what the load table is told of the engines that this daemon
// keeps.
func (d *Daemon) specs(v *fleet.View) []load.Spec {
	index, _ := slices.BinarySearchFunc(v.Members, d.Host(), func(m membership.Member, h names.Host) int {
		return cmp.Compare(m.Host, h)
	})
	places := load.Positions(v.Version.Manifest, index, len(v.Members))
	var list []load.Spec
	for i := range v.Version.Manifest.Targets {
		entry := &v.Version.Manifest.Targets[i]
		if entry.Service != "" || !v.Assignment.Keeps(entry.Name) {
			continue
		}
		at, leaves := v.Version.Index.Departure(entry.Name)
		list = append(list, load.Spec{
			Name:         entry.Name,
			DataCentre:   entry.DataCentre,
			Want:         entry.Want,
			MemoryBlocks: entry.MemoryBlocks,
			BlockTokens:  entry.BlockTokens,
			PrefillRate:  entry.PrefillRate,
			Isolation:    entry.Isolation,
			LeavesAt:     at,
			Leaving:      leaves || d.keeping.isQuiet(entry.Name),
			Position:     places[entry.Name],
		})
	}
	return list
}

// leaves reports whether a departing target takes no new work.
func leaves(view *version.Snapshot, t names.Target) bool {
	_, leaving := view.Index.Departure(t)
	return leaving
}

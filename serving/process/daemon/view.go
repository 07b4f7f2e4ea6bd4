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

// hostsPollInterval is the time between two reads of the platform's host list.
const hostsPollInterval = time.Second

// every calls f at once and then at each interval, until ctx ends.
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

// hostList holds the platform's list of hosts as last read; a failed read leaves
// it unchanged.
type hostList struct {
	entries atomic.Pointer[[]platform.HostEntry]
}

func (l *hostList) refresh(ctx context.Context, p platform.Platform) {
	if entries, err := p.Hosts(ctx); err == nil {
		l.entries.Store(&entries)
	}
}

// Entries returns the list, or nil before the first successful read.
func (l *hostList) Entries() []platform.HostEntry {
	if entries := l.entries.Load(); entries != nil {
		return *entries
	}
	return nil
}

// Count returns the number of listed hosts.
func (l *hostList) Count() int { return len(l.Entries()) }

// applyView passes a new view of members and manifest version to the components
// that depend on it.
func (d *Daemon) applyView(v *fleet.View) {
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
	d.calls.SetMembers(hosts, v.Version.Manifest.Fleet.ExpectedDaemons)
	d.retries.SetShare(v.Version.Manifest.Policy.RetryBudget)
	d.admitter.SetMaxReserveShare(v.Version.Manifest.Policy.ShortReserve)
	d.updateKeptTargets(v)
}

// updateKeptTargets sets in the load table and the prefix index which engines
// this daemon keeps.
func (d *Daemon) updateKeptTargets(v *fleet.View) {
	if v.Version == nil {
		return
	}
	list := d.loadSpecs(v)
	kept := make([]names.Target, 0, len(list))
	for _, spec := range list {
		kept = append(kept, spec.Name)
	}
	d.keeperAdapter.setTargets(kept)
	d.admitter.SetTargets(list)
}

// loadSpecs returns the entries of the load table: one for each engine that this
// daemon keeps.
func (d *Daemon) loadSpecs(v *fleet.View) []load.Spec {
	index, _ := slices.BinarySearchFunc(v.Members, d.Host(), func(m membership.Member, h names.Host) int {
		return cmp.Compare(m.Host, h)
	})
	positions := load.Positions(v.Version.Manifest, index, len(v.Members))
	var list []load.Spec
	for i := range v.Version.Manifest.Targets {
		entry := &v.Version.Manifest.Targets[i]
		if entry.Service != "" || !v.Assignment.Keeps(entry.Name) {
			continue
		}
		leavesAt, leaving := v.Version.Index.Departure(entry.Name)
		list = append(list, load.Spec{
			Name:         entry.Name,
			DataCentre:   entry.DataCentre,
			Want:         entry.Want,
			MemoryBlocks: entry.MemoryBlocks,
			BlockTokens:  entry.BlockTokens,
			PrefillRate:  entry.PrefillRate,
			Isolation:    entry.Isolation,
			LeavesAt:     leavesAt,
			Leaving:      leaving || d.keeperAdapter.isQuiesced(entry.Name),
			Position:     positions[entry.Name],
		})
	}
	return list
}

// isDeparting reports whether a target has a departure in the manifest, so that
// it takes no new work.
func isDeparting(view *version.Snapshot, t names.Target) bool {
	_, leaving := view.Index.Departure(t)
	return leaving
}

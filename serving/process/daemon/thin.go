package daemon

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/core/version/pages"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/version"
	"go.uber.org/zap"
)

// freeQuota admits everything.
type freeQuota struct{}

// Admit implements dispatch.Quota.
func (freeQuota) Admit(names.Customer, int) error { return nil }

// allKept is the relay table of a daemon that keeps every target.
type allKept struct{}

// Keeps implements dispatch.Relays.
func (allKept) Keeps(names.Model) bool { return true }

// Pick implements dispatch.Relays.
func (allKept) Pick(names.Model, []names.Host) (names.Host, bool) { return "", false }

const (
	manifestPoll = 500 * time.Millisecond
	reportPoll   = 250 * time.Millisecond
)

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

// readManifest reads the version in the configuration service.
func (d *Daemon) readManifest(ctx context.Context) {
	m, digest, err := d.fetchManifest(ctx)
	if err != nil {
		d.log.Debug("manifest not read", zap.Error(err))
		return
	}
	if d.versions.Install(m, digest) {
		d.admitter.Keep(specs(d.versions.Current()))
		d.log.Info("manifest in force", zap.Uint64("version", uint64(m.Version)))
	}
}

func (d *Daemon) fetchManifest(ctx context.Context) (*manifest.Manifest, names.Digest, error) {
	value, err := d.platform.Get(ctx, pages.RootKey)
	if err != nil {
		return nil, "", err
	}
	publication, err := pages.ParsePublication(value.Data)
	if err != nil {
		return nil, "", err
	}
	key, err := hex.DecodeString(d.settings.Manifest.PublicKey)
	if err != nil {
		return nil, "", err
	}
	root, err := pages.ParseRoot([]byte(publication.Root), []ed25519.PublicKey{key})
	if err != nil {
		return nil, "", err
	}
	if root.Version <= d.versions.Current().Version() {
		return d.versions.Current().Manifest, "", nil
	}
	m, err := pages.Assemble(root, func(digest names.Digest) ([]byte, bool) {
		page, err := d.platform.Get(ctx, pages.PageKey(digest))
		return page.Data, err == nil
	})
	return m, pages.DigestOf([]byte(publication.Root)), err
}

// readReports asks every engine for its load.
func (d *Daemon) readReports(ctx context.Context) {
	view := d.versions.Current()
	if view == nil {
		return
	}
	for i := range view.Manifest.Targets {
		entry := &view.Manifest.Targets[i]
		if entry.Service == "" {
			go d.readReport(ctx, d.dispatcher.Engines.Engine(entry.Address), entry.Name)
		}
	}
}

func (d *Daemon) readReport(ctx context.Context, engine targetapi.Engine, name names.Target) {
	report, err := engine.Report(ctx)
	if err != nil {
		return
	}
	report.Target = name
	d.admitter.Report(report)
}

// specs returns what the load table is told of a version's engines.
func specs(view *version.State) []load.Spec {
	ranks := load.Ranks(view.Manifest)
	var list []load.Spec
	for i := range view.Manifest.Targets {
		entry := &view.Manifest.Targets[i]
		if entry.Service != "" {
			continue
		}
		at, leaves := view.Index.Departure(entry.Name)
		list = append(list, load.Spec{
			Name:         entry.Name,
			DataCentre:   entry.DataCentre,
			Want:         entry.Want,
			MemoryBlocks: entry.MemoryBlocks,
			BlockTokens:  entry.BlockTokens,
			PrefillRate:  entry.PrefillRate,
			Isolation:    entry.Isolation,
			LeavesAt:     at,
			Leaving:      leaves,
			Rank:         ranks[entry.Name],
		})
	}
	return list
}

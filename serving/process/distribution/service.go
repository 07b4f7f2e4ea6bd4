package distribution

import (
	"context"
	"math/rand/v2"
	"sync"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/distribution"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/core/version/pages"
	"carobspoke.example/serving/platform"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// readRoot reads the root at the configuration service once.
func (d *Distributor) readRoot(ctx context.Context) {
	value, err := d.config.Platform.Get(ctx, pages.RootKey)
	d.post(ctx, d.rootEvent(value, err, false))
}

// watchRoot starts a watch for the next root at the configuration service.
func (d *Distributor) watchRoot(ctx context.Context, a core.WatchRoot) {
	watchCtx, cancel := context.WithCancel(ctx)
	d.cancelWatch = cancel
	d.spawn(func() {
		defer cancel()
		value, err := d.config.Platform.Watch(watchCtx, pages.RootKey, platform.Revision(a.After))
		if watchCtx.Err() == nil {
			d.post(watchCtx, d.rootEvent(value, err, true))
		}
	})
}

// rootEvent converts the service's answer to an event, and stores the root if
// its signature is valid.
func (d *Distributor) rootEvent(value platform.Value, err error, watched bool) core.Event {
	if err != nil {
		return core.ReadFailed{FromWatch: watched, NoChange: errors.Is(err, platform.ErrNoChange)}
	}
	d.counts.bytesIn.Inc(int64(len(value.Data)))
	publication, err := pages.ParsePublication(value.Data)
	if err != nil {
		return d.rejectRoot(err, watched)
	}
	root, err := pages.ParseRoot([]byte(publication.Root), d.config.Keys)
	if err != nil {
		return d.rejectRoot(err, watched)
	}
	missing := d.storeRoot(root, publication.Deltas)
	return core.RootRead{Revision: uint64(value.Revision), VersionID: versionIDOf(root), Missing: missing, FromWatch: watched}
}

func (d *Distributor) rejectRoot(err error, watched bool) core.Event {
	d.config.Logger.Error("root at the configuration service refused, the version in force stays",
		zap.Uint64("in_force", uint64(d.Status().InForce.Version)), zap.String("cause", err.Error()))
	return core.ReadFailed{FromWatch: watched, BadRoot: true, BadContent: errors.Is(err, pages.ErrInvalidManifest)}
}

// storeRoot stores a root above the version in force, builds pages from deltas,
// and returns the number of pages that are still missing.
func (d *Distributor) storeRoot(root *pages.Root, deltas []pages.Delta) int {
	if root.Version <= d.Status().InForce.Version {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.store.AddRoot(root)
	d.store.ApplyDeltas(root, deltas)
	return len(root.Missing(d.store.HasPage))
}

// fetchService reads missing pages of a version from the service, at most
// a.Calls of them.
func (d *Distributor) fetchService(ctx context.Context, a core.FetchService) {
	ctx, cancel := context.WithTimeout(ctx, FetchTimeout)
	defer cancel()
	d.mutex.Lock()
	root, held := d.store.Root(a.VersionID.Digest)
	var missing []pages.Ref
	if held {
		missing = root.Missing(d.store.HasPage)
	}
	d.mutex.Unlock()
	if !held {
		d.post(ctx, core.FetchFailed{VersionID: a.VersionID, Failure: core.Unreachable, Missing: 1})
		return
	}
	badDigest := d.readPages(ctx, missing[:min(a.Calls, len(missing))])
	d.post(ctx, d.serviceFetchResult(root, badDigest))
}

// readPages reads pages, up to MaxParallelReads at a time, and reports whether
// any did not match the digest in its key.
func (d *Distributor) readPages(ctx context.Context, refs []pages.Ref) bool {
	var badDigest bool
	var mutex sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, MaxParallelReads)
	for _, ref := range refs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			value, err := d.config.Platform.Get(ctx, pages.PageKey(ref.Digest))
			if err != nil || d.addPage(ref, value.Data) {
				return
			}
			mutex.Lock()
			badDigest = true
			mutex.Unlock()
		})
	}
	group.Wait()
	return badDigest
}

func (d *Distributor) addPage(ref pages.Ref, data []byte) bool {
	d.counts.bytesIn.Inc(int64(len(data)))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.store.AddPage(ref, data)
}

// serviceFetchResult returns the event that ends a fetch from the service.
func (d *Distributor) serviceFetchResult(root *pages.Root, badDigest bool) core.Event {
	d.mutex.Lock()
	left := len(root.Missing(d.store.HasPage))
	d.mutex.Unlock()
	switch {
	case badDigest:
		return core.FetchFailed{VersionID: versionIDOf(root), Failure: core.BadSource, Missing: left}
	case left > 0:
		return core.FetchFailed{VersionID: versionIDOf(root), Failure: core.NotYet, Missing: left}
	default:
		return d.assemble(root)
	}
}

// queryTargets queries a random sample of a version's engines for their fencing
// tokens.
func (d *Distributor) queryTargets(ctx context.Context, h core.VersionID) {
	queryCtx, cancel := context.WithTimeout(ctx, QueryTimeout)
	defer cancel()
	d.mutex.Lock()
	m := d.assembled[h]
	d.mutex.Unlock()
	if m == nil {
		return
	}
	sample := sampleEngines(m)
	answers := make(chan uint64, len(sample))
	var group sync.WaitGroup
	for _, t := range sample {
		group.Go(func() {
			if report, err := d.config.FetchReport(queryCtx, t.Address); err == nil {
				answers <- report.Fence
			}
		})
	}
	group.Wait()
	close(answers)
	e := core.TargetsAnswered{VersionID: h, Asked: len(sample), Answered: len(answers)}
	for fence := range answers {
		if v := names.Version(fence); v <= manifest.MaxVersion {
			d.post(ctx, core.Fence{Version: v})
		}
	}
	d.post(ctx, e)
}

// sampleEngines returns up to FenceSampleSize engines of a manifest at random.
func sampleEngines(m *manifest.Manifest) []*manifest.Target {
	var engines []*manifest.Target
	for i := range m.Targets {
		if m.Targets[i].Service == "" {
			engines = append(engines, &m.Targets[i])
		}
	}
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	return engines[:min(len(engines), FenceSampleSize)]
}

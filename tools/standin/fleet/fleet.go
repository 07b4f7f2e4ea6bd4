// Package fleet starts a fleet of stand-ins of a named size and builds the
// manifest that describes it, for the development command, the load tool and
// end-to-end tests.
//
// Each replica of the fleet's application serves both of its services, one
// whose calls may be repeated and one whose calls may not; the manifest lists
// the replica as a target of each. The last engine is reserved for requests that
// are suspected of crashing engines.
package fleet

import (
	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/tools/standin/engine"
	"carobspoke.example/tools/standin/platform"
	"carobspoke.example/tools/standin/service"
	"carobspoke.example/tools/standin/weights"
)

// freeLoopbackAddress makes a stand-in listen on a free port of the loopback
// interface.
const freeLoopbackAddress = "127.0.0.1:0"

// weightStoreRate is the read rate of the weight store, in bytes a second.
const weightStoreRate = 10 << 30

// Config selects the fleet to start and its settings.
type Config struct {
	Size Size
	// Speedup divides the durations of engines and of the weight store; zero
	// means one.
	Speedup float64
	// Seed seeds the random events of the first engine. The engine with index
	// i has the seed Seed + i.
	Seed uint64
	// Platform configures the platform.
	Platform platform.Config
	// AdjustEngine, if set, changes the settings of engine i before it starts.
	AdjustEngine func(i int, config *engine.Config)
	// AdjustService, if set, changes the settings of replica i of the
	// application before it starts.
	AdjustService func(i int, config *service.Config)
}

// Fleet is a set of running stand-ins.
type Fleet struct {
	manifest manifest.Manifest
	engines  []*engine.Server
	services []*service.Server
	platform *platform.Server
	weights  *weights.Server
}

// Start starts a fleet. If a stand-in fails to start, it closes those that are
// already running.
func Start(config Config) (*Fleet, error) {
	l, err := findLayout(config.Size)
	if err != nil {
		return nil, err
	}
	if config.Speedup == 0 {
		config.Speedup = 1
	}
	f := &Fleet{manifest: l.baseManifest()}
	if err := f.start(l, config); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Manifest returns a copy of the manifest that describes the fleet. The caller
// may change the fields of the copy, but not the contents of its slices.
func (f *Fleet) Manifest() manifest.Manifest { return f.manifest }

// Engines returns the engines, in the manifest's order.
func (f *Fleet) Engines() []*engine.Server { return f.engines }

// Services returns the application's replicas, in the manifest's order.
func (f *Fleet) Services() []*service.Server { return f.services }

// Platform returns the platform.
func (f *Fleet) Platform() *platform.Server { return f.platform }

// Weights returns the weight store.
func (f *Fleet) Weights() *weights.Server { return f.weights }

// Close stops all stand-ins.
func (f *Fleet) Close() {
	for _, e := range f.engines {
		_ = e.Close()
	}
	for _, s := range f.services {
		_ = s.Close()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
	if f.weights != nil {
		_ = f.weights.Close()
	}
}

func (f *Fleet) start(l layout, config Config) error {
	var err error
	if f.platform, err = platform.Start(freeLoopbackAddress, config.Platform); err != nil {
		return err
	}
	store := weights.Config{Rate: weightStoreRate, Speedup: config.Speedup, DefaultBytes: weightBytes}
	if f.weights, err = weights.Start(freeLoopbackAddress, store); err != nil {
		return err
	}
	for i := range l.engines {
		if err := f.startEngine(l, config, i); err != nil {
			return err
		}
	}
	for i := range l.replicas {
		if err := f.startReplica(l, config, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEngine(l layout, config Config, i int) error {
	settings := engine.Default()
	settings.Target = l.engineName(i)
	settings.State = l.desiredState()
	settings.Fencing = l.checksFencing(i)
	settings.Speedup = config.Speedup
	settings.Seed = config.Seed + uint64(i)
	settings.WeightStore = f.weights.Address()
	if config.AdjustEngine != nil {
		config.AdjustEngine(i, &settings)
	}
	e, err := engine.Start(freeLoopbackAddress, settings)
	if err != nil {
		return err
	}
	f.engines = append(f.engines, e)
	f.manifest.Targets = append(f.manifest.Targets, manifest.Target{
		Name:          settings.Target,
		Address:       e.Address(),
		DataCentre:    l.dataCentre(i),
		Want:          settings.State,
		MemoryBlocks:  settings.Blocks,
		BlockTokens:   settings.BlockTokens,
		PrefillRate:   settings.PrefillRate * settings.Speedup,
		ChecksFencing: settings.Fencing,
		Isolation:     l.runsSuspected(i),
	})
	return nil
}

func (f *Fleet) startReplica(l layout, config Config, i int) error {
	settings := service.Config{Name: names.Service(l.application)}
	if config.AdjustService != nil {
		config.AdjustService(i, &settings)
	}
	s, err := service.Start(freeLoopbackAddress, settings)
	if err != nil {
		return err
	}
	f.services = append(f.services, s)
	for _, m := range f.manifest.Services {
		f.manifest.Targets = append(f.manifest.Targets, manifest.Target{
			Name:       l.replicaName(i, m.Name),
			Address:    s.Address(),
			DataCentre: l.dataCentre(i),
			Service:    m.Name,
		})
	}
	return nil
}

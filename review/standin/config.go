package main

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
)

// Routes and the plain service of all cases.
const (
	appService = "sewa-app"
	readPath   = "/status-check/"
	orderPath  = "/form-submit/"
)

// publish writes a version of the configuration, with further routes, and returns when the store has
// acknowledged it.
func (b *bed) publish(version names.Version, customers []routing.Customer, further ...routing.Route) (time.Time, error) {
	route := func(name string, kind routing.Kind, path string) routing.Route {
		return routing.Route{
			Name: name, Hostname: hostname, Prefix: path, Kind: kind, Timeout: 2500 * time.Millisecond, LatencyTarget: 150 * time.Millisecond,
			MaxAttempts: 2, Priority: 1, Services: []routing.WeightedService{{Service: appService, Weight: 1}},
		}
	}
	err := b.store.PutConfig(&routing.Config{
		Version: version,
		Routes: append([]routing.Route{
			route("status-check", routing.Idempotent, readPath),
			route("form-submit", routing.NonIdempotent, orderPath),
			{
				Name: "case-bundle", Hostname: hostname, Prefix: bundlePath, Kind: routing.Streaming, Timeout: 15 * time.Second, LatencyTarget: 3 * time.Second,
				GapTarget: 800 * time.Millisecond, MaxAttempts: 2, Priority: 1, Resumable: true, Services: []routing.WeightedService{{Service: modelService, Weight: 1}},
			},
		}, further...),
		Services: []routing.Service{
			{Name: appService, MaxConnections: 110},
			{Name: modelService, MaxConnections: 274, Engine: &routing.Engine{
				Slots: 16, MemoryTokens: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepTimePerSequence: 4830 * time.Nanosecond,
				StepTimePerThousandTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, PrefillTimePerMillionPairs: 91700 * time.Nanosecond,
				ChunkTokens: 2048, MeanPromptTokens: 13227, MeanAnswerTokens: 1541,
			}},
		},
		Customers: customers,
		Limits:    routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	b.log("the store has acknowledged version %d, %d further routes: %+v", version, len(further), customers)
	return time.Now(), err
}

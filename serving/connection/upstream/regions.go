package upstream

import (
	"context"

	"carobspoke.example/core/names"
)

type regionsContext struct{}

// WithRegions returns a context for connections that carry a request which may reach hosts in
// some regions only. A Dialer must not connect through a peer outside them. An empty list sets
// no restriction.
func WithRegions(ctx context.Context, regions []names.Region) context.Context {
	if len(regions) == 0 {
		return ctx
	}
	return context.WithValue(ctx, regionsContext{}, regions)
}

// RegionsOf returns the regions to which the connections of a context are restricted; empty if
// there is no restriction.
func RegionsOf(ctx context.Context) []names.Region {
	regions, _ := ctx.Value(regionsContext{}).([]names.Region)
	return regions
}

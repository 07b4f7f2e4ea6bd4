package quota

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/subset"
)

const (
	// MessagesPerSecond bounds the reports that one daemon sends for its own
	// callers.
	MessagesPerSecond = 3
	// largeLease and largeLongLease are the times of leases where homes form
	// a tree, so that many daemons send fewer messages.
	largeLease     = 12 * time.Second
	largeLongLease = 48 * time.Second
)

// ConfigFor returns the settings of a fleet of a size.
func ConfigFor(daemons int) Config {
	c := DefaultConfig()
	if daemons > DirectDaemons {
		c.Lease = largeLease
		c.LongLease = largeLongLease
	}
	return c
}

// Routes says where a daemon reports a customer's demand. It is immutable.
type Routes struct {
	top   *subset.Assigner
	sites map[names.DataCentre]*subset.Assigner
}

// NewRoutes returns the routes among members, which must be sorted by host.
func NewRoutes(members []membership.Member) *Routes {
	r := &Routes{top: subset.New(members)}
	if len(members) <= DirectDaemons {
		return r
	}
	byPlace := make(map[names.DataCentre][]membership.Member)
	for i := range members {
		dc := members[i].DataCentre
		byPlace[dc] = append(byPlace[dc], members[i])
	}
	r.sites = make(map[names.DataCentre]*subset.Assigner, len(byPlace))
	for dc, list := range byPlace {
		r.sites[dc] = subset.New(list)
	}
	return r
}

// Top returns the customer's own home.
func (r *Routes) Top(customer names.Customer) (membership.Member, bool) {
	return r.top.Home("quota/" + string(customer))
}

// Site returns the home to which daemons of a data centre report: the
// customer's own in a small fleet, and one in the data centre in a large one.
func (r *Routes) Site(customer names.Customer, dc names.DataCentre) (membership.Member, bool) {
	if site, ok := r.sites[dc]; ok {
		return site.Home("quota/" + string(customer))
	}
	return r.Top(customer)
}

// Levels returns 1 if daemons report to the customer's home itself, and 2 if
// they report through their data centre.
func (r *Routes) Levels() int {
	if r.sites == nil {
		return 1
	}
	return 2
}

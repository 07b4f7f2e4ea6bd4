// Package quota runs customers' quotas in a daemon: it decides on admission,
// reports demand to the customers' homes each second, and is itself the home of
// some customers.
//
// The decisions are those of core's package quota. A home that does not answer
// within a report period, or that does not take itself for the home, leaves its
// caller with an equal part of the quota. Admit takes a lock but never waits for
// another daemon.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"carobspoke.example/core/names"
	corebudget "carobspoke.example/core/process/budget"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/quota"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/budget"
)

const (
	// ReportPeriod is the time between two rounds of reports.
	ReportPeriod = time.Second
	// reportTimeout bounds one report.
	reportTimeout = 800 * time.Millisecond
)

// Members is what a Service needs to know of the fleet.
type Members interface {
	// Live returns the members that take work, sorted by host.
	Live() []membership.Member
	// Unreachable returns members that may serve beyond a partition.
	Unreachable() []membership.Member
	// Self returns this daemon's own entry.
	Self() membership.Member
}

// Peers gives clients of other daemons.
type Peers interface {
	Quotas(h names.Host) (peerpb.QuotasClient, error)
}

// Options are what a Service needs. Members and Peers are required.
type Options struct {
	Config  quota.Config
	Members Members
	Peers   Peers
	Logger  *zap.Logger
	Metrics gometrics.Registry
	// Meter counts control work; nil counts nothing.
	Meter *budget.Meter
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Service decides on quotas in one daemon.
type Service struct {
	peerpb.UnimplementedQuotasServer

	options Options
	counts  counts

	mu     sync.Mutex
	local  *quota.Local
	site   *quota.Home
	top    *quota.Home
	quotas map[names.Customer]float64
	// sent is what the site's home last reported of each customer.
	sent map[names.Customer]sent
	// members is the list that routes was made from.
	members []membership.Member
	routes  *quota.Routes
}

// sent is a report of a data centre's home.
type sent struct {
	renew time.Time
	rate  float64
}

// counts are the Service's metrics.
type counts struct {
	admitted, refused, reports, unanswered, notHome gometrics.Counter
}

// New returns a Service without quotas: every request is admitted.
func New(o Options) (*Service, error) {
	if o.Members == nil || o.Peers == nil {
		return nil, errors.New("quota: members and peers are required")
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = gometrics.NewRegistry()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter("quota."+name, o.Metrics) }
	return &Service{
		options: o,
		counts: counts{
			admitted:   counter("admitted"),
			refused:    counter("refused"),
			reports:    counter("reports"),
			unanswered: counter("unanswered"),
			notHome:    counter("not_home"),
		},
		local:  quota.NewLocal(o.Config),
		site:   quota.NewHome(o.Config),
		top:    quota.NewHome(o.Config),
		quotas: make(map[names.Customer]float64),
		sent:   make(map[names.Customer]sent),
		routes: quota.NewRoutes(nil),
	}, nil
}

// SetQuotas replaces the quotas, from the manifest in force.
func (s *Service) SetQuotas(quotas []quota.Quota) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	s.local.SetQuotas(s.options.Now(), quotas)
	s.quotas = make(map[names.Customer]float64, len(quotas))
	for _, q := range quotas {
		s.quotas[q.Customer] = q.Rate
	}
}

// Admit reports whether a request of so many tokens is within the customer's
// quota, and takes them; if not, when to come back.
func (s *Service) Admit(customer names.Customer, tokens int) (ok bool, retryAfter time.Duration) {
	s.mu.Lock()
	ok, retryAfter = s.local.Admit(customer, tokens, s.options.Now())
	s.mu.Unlock()
	if ok {
		s.counts.admitted.Inc(1)
	} else {
		s.counts.refused.Inc(1)
	}
	return ok, retryAfter
}

// Refund gives back tokens that an admitted request did not use.
func (s *Service) Refund(customer names.Customer, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.Refund(customer, tokens)
}

// Fraction returns this daemon's part of the customer's demand in the fleet, by
// which a full daemon weighs the customer's share.
func (s *Service) Fraction(customer names.Customer) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.local.Fraction(customer, s.options.Now())
}

// Run reports each ReportPeriod until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.Round(ctx)
		}
	}
}

// Round sends the reports that are due and waits for their answers, at most
// reportTimeout.
func (s *Service) Round(ctx context.Context) {
	start := s.options.Now()
	s.mu.Lock()
	s.refresh()
	batches := s.due(start)
	s.mu.Unlock()
	if s.options.Meter != nil {
		s.options.Meter.Time(corebudget.Quota, start)
	}
	var sending sync.WaitGroup
	for _, b := range batches {
		sending.Go(func() { s.send(ctx, start, b) })
	}
	sending.Wait()
}

// refresh follows the membership. It is called with the lock held.
func (s *Service) refresh() {
	live := s.options.Members.Live()
	s.local.SetMembers(len(live) + len(s.options.Members.Unreachable()))
	if len(live) == len(s.members) && (len(live) == 0 || &live[0] == &s.members[0]) {
		return
	}
	s.members = live
	s.routes = quota.NewRoutes(live)
}

// parts returns the equal parts of a quota that belong to this data centre, of
// the whole, and to one daemon, of its home's capacity.
func (s *Service) parts() (site, daemon float64) {
	known := len(s.members) + len(s.options.Members.Unreachable())
	if known == 0 {
		return 1, 1
	}
	dc := s.options.Members.Self().DataCentre
	near := 0
	for i := range s.members {
		if s.members[i].DataCentre == dc {
			near++
		}
	}
	if s.routes.Levels() == 1 || near == 0 {
		return 1, 1 / float64(max(1, len(s.members)))
	}
	return float64(near) / float64(known), 1 / float64(near)
}

package quota

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"carobspoke.example/core/names"
	corebudget "carobspoke.example/core/process/budget"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/quota"
	"carobspoke.example/serving/peerpb"
)

// Format is the version of the reports. Others are refused.
const Format = 1

// Levels of homes.
const (
	siteLevel = 0
	topLevel  = 1
)

// batch is one report.
type batch struct {
	home    membership.Member
	level   uint32
	demands []quota.Demand
}

// due returns the reports to send now: a bounded number for the daemon's own
// callers, and those of the data centre's home that it is.
func (s *Service) due(now time.Time) []batch {
	self := s.options.Members.Self()
	own := group(s.local.Due(now), siteLevel, quota.MessagesPerSecond, func(c names.Customer) (membership.Member, bool) {
		return s.routes.Site(c, self.DataCentre)
	})
	if s.routes.Levels() == 1 {
		return own
	}
	var sums []quota.Demand
	for _, d := range s.site.Demands(now) {
		if s.changed(d, now) {
			s.sent[d.Customer] = sent{renew: now.Add(s.options.Config.Lease / 2), rate: d.Rate}
			sums = append(sums, d)
		}
	}
	s.forget(now)
	return append(own, group(sums, topLevel, len(sums), s.routes.Top)...)
}

// changed reports whether a data centre's demand must be reported now.
func (s *Service) changed(d quota.Demand, now time.Time) bool {
	last, ok := s.sent[d.Customer]
	if !ok || !now.Before(last.renew) {
		return true
	}
	return d.Rate > last.rate*(1+s.options.Config.Change)
}

// forget drops customers that the data centre's home no longer has.
func (s *Service) forget(now time.Time) {
	s.site.Sweep(now)
	s.top.Sweep(now)
	for customer := range s.sent {
		if !s.site.Has(customer) {
			delete(s.sent, customer)
		}
	}
}

// group puts demands for the same home into one batch. The demands beyond limit
// batches wait for the next round.
func group(demands []quota.Demand, level uint32, limit int, home func(names.Customer) (membership.Member, bool)) []batch {
	var batches []batch
	index := make(map[names.Host]int)
	for _, d := range demands {
		h, ok := home(d.Customer)
		if !ok {
			continue
		}
		i, known := index[h.Host]
		if !known {
			if len(batches) >= limit {
				continue
			}
			i = len(batches)
			index[h.Host] = i
			batches = append(batches, batch{home: h, level: level})
		}
		batches[i].demands = append(batches[i].demands, d)
	}
	return batches
}

// send reports a batch and takes in the answer. at is when the round began.
func (s *Service) send(ctx context.Context, at time.Time, b batch) {
	grants, err := s.ask(ctx, b)
	s.counts.reports.Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.counts.unanswered.Inc(1)
		s.options.Logger.Debug("quota report not answered", zap.String("home", string(b.home.Host)), zap.Error(err))
		s.unanswered(at, b)
		return
	}
	if b.level == siteLevel {
		s.local.Granted(at, grants)
		return
	}
	for _, g := range grants {
		s.site.SetCapacity(at, quota.Quota{Customer: g.Customer, Rate: g.Rate})
		s.sent[g.Customer] = sent{renew: at.Add(g.Lease / 2), rate: s.sent[g.Customer].rate}
	}
}

// unanswered falls back to equal parts.
func (s *Service) unanswered(at time.Time, b batch) {
	if b.level == siteLevel {
		s.local.Unanswered(b.demands)
		return
	}
	part, _ := s.parts()
	for _, d := range b.demands {
		rate := s.options.Config.Leased * part * s.quotas[d.Customer]
		s.site.SetCapacity(at, quota.Quota{Customer: d.Customer, Rate: rate})
	}
}

// ask reports to a home, which may be this daemon itself.
func (s *Service) ask(ctx context.Context, b batch) ([]quota.Grant, error) {
	self := s.options.Members.Self()
	report := &peerpb.QuotaReport{
		Format:      Format,
		From:        string(self.Host),
		Level:       b.level,
		DataCentre:  string(self.DataCentre),
		Incarnation: uint64(b.home.Incarnation),
	}
	for _, d := range b.demands {
		report.Demands = append(report.Demands, &peerpb.QuotaDemand{Customer: string(d.Customer), TokensPerSecond: d.Rate})
	}
	if b.home.Host == self.Host {
		answer, err := s.Report(ctx, report)
		return unpackGrants(answer), err
	}
	client, err := s.options.Peers.Quotas(b.home.Host)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	s.meter(report)
	answer, err := client.Report(ctx, report)
	if err != nil {
		return nil, err
	}
	s.meter(answer)
	return unpackGrants(answer), nil
}

// framingBytes is taken for the headers of TCP, TLS and HTTP/2.
const framingBytes = 130

func (s *Service) meter(m proto.Message) {
	if s.options.Meter != nil {
		s.options.Meter.Add(corebudget.Quota, 1, uint64(proto.Size(m)+framingBytes))
	}
}

func unpackGrants(answer *peerpb.QuotaGrants) []quota.Grant {
	grants := make([]quota.Grant, 0, len(answer.GetGrants()))
	for _, g := range answer.GetGrants() {
		grants = append(grants, quota.Grant{
			Customer: names.Customer(g.GetCustomer()),
			Rate:     g.GetTokensPerSecond(),
			Lease:    time.Duration(g.GetLeaseMs()) * time.Millisecond,
			Fraction: g.GetFraction(),
		})
	}
	return grants
}

// Report implements the Quotas service: this daemon is the home.
func (s *Service) Report(_ context.Context, report *peerpb.QuotaReport) (*peerpb.QuotaGrants, error) {
	self := s.options.Members.Self()
	if report.GetFormat() != Format || report.GetLevel() > topLevel {
		return nil, status.Error(codes.InvalidArgument, "unknown format or level")
	}
	if report.GetIncarnation() != 0 && report.GetIncarnation() != uint64(self.Incarnation) {
		return nil, status.Error(codes.FailedPrecondition, "meant for another incarnation")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	demands := s.mine(report, self)
	if len(demands) == 0 && len(report.GetDemands()) > 0 {
		s.counts.notHome.Inc(1)
		return nil, status.Error(codes.FailedPrecondition, "not the home of these customers")
	}
	answer := &peerpb.QuotaGrants{}
	for _, g := range s.divide(report, demands) {
		answer.Grants = append(answer.Grants, &peerpb.QuotaGrant{
			Customer:        string(g.Customer),
			TokensPerSecond: g.Rate,
			LeaseMs:         g.Lease.Milliseconds(),
			Fraction:        g.Fraction,
		})
	}
	return answer, nil
}

// mine returns the demands for customers whose home this daemon takes itself
// to be.
func (s *Service) mine(report *peerpb.QuotaReport, self membership.Member) []quota.Demand {
	var demands []quota.Demand
	for _, d := range report.GetDemands() {
		customer := names.Customer(d.GetCustomer())
		home, ok := s.routes.Top(customer)
		if report.GetLevel() == siteLevel {
			home, ok = s.routes.Site(customer, self.DataCentre)
		}
		if ok && home.Host == self.Host {
			demands = append(demands, quota.Demand{Customer: customer, Rate: d.GetTokensPerSecond()})
		}
	}
	slices.SortFunc(demands, func(a, b quota.Demand) int { return cmp.Compare(a.Customer, b.Customer) })
	return demands
}

// divide lets the home of the level that is asked divide.
func (s *Service) divide(report *peerpb.QuotaReport, demands []quota.Demand) []quota.Grant {
	now := s.options.Now()
	site, daemon := s.parts()
	if report.GetLevel() == siteLevel && s.routes.Levels() > 1 {
		for _, d := range demands {
			if !s.site.Has(d.Customer) {
				rate := s.options.Config.Leased * site * s.quotas[d.Customer]
				s.site.SetCapacity(now, quota.Quota{Customer: d.Customer, Rate: rate})
			}
		}
		return s.site.Report(now, report.GetFrom(), daemon, demands)
	}
	for _, d := range demands {
		rate := quota.Capacity(s.options.Config, s.quotas[d.Customer], len(s.members), len(s.options.Members.Unreachable()))
		s.top.SetCapacity(now, quota.Quota{Customer: d.Customer, Rate: rate})
	}
	if report.GetLevel() == siteLevel {
		return s.top.Report(now, report.GetFrom(), daemon, demands)
	}
	return s.top.Report(now, report.GetDataCentre(), s.placePart(names.DataCentre(report.GetDataCentre())), demands)
}

// placePart is a data centre's equal part of a capacity.
func (s *Service) placePart(dc names.DataCentre) float64 {
	near := 0
	for i := range s.members {
		if s.members[i].DataCentre == dc {
			near++
		}
	}
	return float64(near) / float64(max(1, len(s.members)))
}

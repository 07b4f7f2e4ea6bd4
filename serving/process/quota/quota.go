// Package quota enforces the customers' token quotas with core/process/quota. It
// requests tokens from the customer's home by gRPC when this daemon's local bucket
// has too few.
//
// One lock guards the local buckets and another the home's. They are never held
// together, and neither is held during a gRPC call.
package quota

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/quota"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/version"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
)

// AskTimeout bounds a request for tokens to a home.
const AskTimeout = 250 * time.Millisecond

// Names of counters.
const (
	CounterAsked       = "quota.asked"
	CounterGranted     = "quota.granted"
	CounterDenied      = "quota.denied"
	CounterUnreachable = "quota.home_unreachable"
	CounterServed      = "quota.served_as_home"
)

// Config holds what a Quota needs.
type Config struct {
	Self     names.Host
	Versions *version.Holder
	// Home returns the home of a customer.
	Home func(customer names.Customer) (names.Host, bool)
	// FleetSize returns the numbers of live and unreachable daemons.
	FleetSize func() core.Fleet
	// Conn returns the gRPC connection to a peer.
	Conn     func(host names.Host) (*grpc.ClientConn, error)
	Registry metrics.Registry
}

// Quota enforces the customers' quotas, and grants tokens to other daemons for the
// customers whose home is this daemon. It is safe for concurrent use.
type Quota struct {
	peerpb.UnimplementedQuotasServer
	config Config

	localMu sync.Mutex
	local   *core.Local

	homeMu sync.Mutex
	home   *core.Home
}

// New returns a Quota without any buckets.
func New(config Config) *Quota {
	return &Quota{config: config, local: core.NewLocal(), home: core.NewHome()}
}

// Admit takes tokens from a customer's quota. If there are too few, it returns a
// *verdict.Error with NotRun and the time after which to retry. A customer without
// a quota is always admitted.
func (q *Quota) Admit(ctx context.Context, customer names.Customer, tokens int) error {
	limit := q.limit(customer)
	if limit <= 0 {
		return nil
	}
	fleet := q.config.FleetSize()
	q.localMu.Lock()
	decision := q.local.Admit(customer, limit, float64(tokens), fleet, time.Now())
	q.localMu.Unlock()
	if decision.Outcome == core.AskHome {
		decision = q.admitViaHome(ctx, customer, limit, float64(tokens), decision.Tokens, fleet)
	}
	if decision.Outcome == core.Admitted {
		return nil
	}
	q.count(CounterDenied)
	return verdict.New(verdict.NotRun, verdict.QuotaExceeded, "the customer's quota is used up").WithRetryAfter(decision.RetryAfter)
}

// limit returns a customer's quota in tokens per second, or zero if the customer
// has none.
func (q *Quota) limit(customer names.Customer) float64 {
	view := q.config.Versions.Current()
	if view == nil {
		return 0
	}
	entry, ok := view.Index.Customer(customer)
	if !ok {
		return 0
	}
	return entry.TokensPerSecond
}

// admitViaHome requests the tokens that the local bucket lacks from the customer's
// home, and decides by its grant. If the home cannot be reached, it decides
// locally.
func (q *Quota) admitViaHome(ctx context.Context, c names.Customer, limit, request, missing float64, fleet core.Fleet) core.Decision {
	q.count(CounterAsked)
	grant, ok := q.requestGrant(ctx, c, limit, missing, fleet)
	q.localMu.Lock()
	defer q.localMu.Unlock()
	if !ok {
		q.count(CounterUnreachable)
		return q.local.DecideWithoutHome(c, limit, request, fleet, time.Now())
	}
	return q.local.ApplyGrant(c, limit, request, grant, fleet, time.Now())
}

// requestGrant requests missing tokens from the customer's home, which may be this
// daemon. It returns false if the home is unknown or cannot be reached.
func (q *Quota) requestGrant(ctx context.Context, c names.Customer, limit, missing float64, fleet core.Fleet) (core.Grant, bool) {
	host, ok := q.config.Home(c)
	if !ok {
		return core.Grant{}, false
	}
	if host == q.config.Self {
		return q.grantAsHome(q.config.Self, c, limit, missing, fleet), true
	}
	conn, err := q.config.Conn(host)
	if err != nil {
		return core.Grant{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	reply, err := peerpb.NewQuotasClient(conn).Ask(ctx, &peerpb.QuotaRequest{Customer: string(c), Tokens: missing, From: string(q.config.Self)})
	if err != nil {
		return core.Grant{}, false
	}
	return core.Grant{
		Tokens:     reply.GetTokens(),
		RetryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond,
		Lease:      time.Duration(reply.GetLeaseMs()) * time.Millisecond,
	}, true
}

// grantAsHome grants tokens to a daemon, as the customer's home.
func (q *Quota) grantAsHome(from names.Host, c names.Customer, limit, tokens float64, fleet core.Fleet) core.Grant {
	q.homeMu.Lock()
	defer q.homeMu.Unlock()
	return q.home.Grant(from, c, limit, tokens, fleet, time.Now())
}

// Ask implements peerpb.QuotasServer. It grants tokens as the customer's home.
func (q *Quota) Ask(_ context.Context, m *peerpb.QuotaRequest) (*peerpb.QuotaReply, error) {
	q.count(CounterServed)
	customer := names.Customer(m.GetCustomer())
	limit := q.limit(customer)
	if limit <= 0 || m.GetTokens() < 0 {
		return &peerpb.QuotaReply{RetryAfterMs: core.DenialTTL.Milliseconds()}, nil
	}
	grant := q.grantAsHome(names.Host(m.GetFrom()), customer, limit, m.GetTokens(), q.config.FleetSize())
	if grant.Tokens > 0 {
		q.count(CounterGranted)
	}
	return &peerpb.QuotaReply{
		Tokens: grant.Tokens, RetryAfterMs: grant.RetryAfter.Milliseconds(), LeaseMs: grant.Lease.Milliseconds(),
	}, nil
}

// Usages returns the usage rates of the customers at this daemon, sorted by
// customer.
func (q *Quota) Usages() []core.Usage {
	q.localMu.Lock()
	defer q.localMu.Unlock()
	usages := q.local.Usages(time.Now())
	slices.SortFunc(usages, func(a, b core.Usage) int { return strings.Compare(string(a.Customer), string(b.Customer)) })
	return usages
}

func (q *Quota) count(name string) {
	metrics.GetOrRegisterCounter(name, q.config.Registry).Inc(1)
}

package quota

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// claim is what a child asked for and holds.
type claim struct {
	demand  float64
	rate    float64
	expires time.Time
}

// account is a customer's quota at its home.
type account struct {
	capacity float64
	// since is when the home first heard of the customer.
	since  time.Time
	claims map[string]*claim
	// leased is the sum of the rates of claims.
	leased float64
	// demand is the sum of demands, level and short their max-min, as of
	// computed.
	demand   float64
	level    float64
	short    bool
	computed time.Time
}

// Home divides quotas among children: daemons, or the homes of data centres.
type Home struct {
	config   Config
	accounts map[names.Customer]*account
	counters HomeCounters
}

// HomeCounters count what a Home did.
type HomeCounters struct {
	// Reports counts reports and Grants the grants given.
	Reports uint64
	Grants  uint64
	// Cautious counts grants of equal parts by a home that is new.
	Cautious uint64
	// DroppedUnknown counts demands for customers without a capacity, and
	// DroppedFull those beyond a bound.
	DroppedUnknown uint64
	DroppedFull    uint64
}

// NewHome returns a home that knows nothing yet.
func NewHome(config Config) *Home {
	return &Home{config: config, accounts: make(map[names.Customer]*account)}
}

// Capacity returns what the customer's own home may lease: the leased part of
// the quota, less the parts of members that can't be reached.
func Capacity(config Config, rate float64, live, unreachable int) float64 {
	if live == 0 {
		return 0
	}
	return config.Leased * rate * float64(live) / float64(live+unreachable)
}

// SetCapacity says how much of a customer's quota may be leased, in tokens a
// second. Leases given before are not taken back.
func (h *Home) SetCapacity(now time.Time, q Quota) {
	a, ok := h.accounts[q.Customer]
	if !ok {
		if len(h.accounts) >= MaxCustomers {
			h.counters.DroppedFull++
			return
		}
		a = &account{since: now, claims: make(map[string]*claim)}
		h.accounts[q.Customer] = a
	}
	if a.capacity != q.Rate {
		a.capacity = q.Rate
		a.computed = time.Time{}
	}
}

// Report takes a child's demands and returns its grants. part is the child's
// equal part of a capacity, between 0 and 1.
func (h *Home) Report(now time.Time, child string, part float64, demands []Demand) []Grant {
	h.counters.Reports++
	grants := make([]Grant, 0, len(demands))
	for _, d := range demands {
		a, ok := h.accounts[d.Customer]
		if !ok {
			h.counters.DroppedUnknown++
			continue
		}
		if g, ok := h.grant(now, a, child, part, d); ok {
			grants = append(grants, g)
		}
	}
	return grants
}

func (h *Home) grant(now time.Time, a *account, child string, part float64, d Demand) (Grant, bool) {
	c, ok := a.claims[child]
	if !ok {
		if len(a.claims) >= MaxChildren {
			h.counters.DroppedFull++
			return Grant{}, false
		}
		c = &claim{}
		a.claims[child] = c
		a.computed = time.Time{}
	}
	if d.Rate > c.demand*(1+h.config.Change) || d.Rate < c.demand*(1-h.config.Change) {
		a.computed = time.Time{}
	}
	c.demand = max(0, d.Rate)
	c.expires = now.Add(h.config.Lease)
	a.compute(now, h.config.Lease/4)
	free := max(0, a.capacity-(a.leased-c.rate))
	rate := min(free, a.target(c, h.config.Headroom))
	if now.Sub(a.since) < h.config.Lease {
		rate = min(free, part*a.capacity)
		h.counters.Cautious++
	}
	lease := h.config.Lease
	if rate >= c.demand && a.demand <= h.config.Calm*a.capacity {
		lease = h.config.LongLease
	}
	c.expires = now.Add(lease)
	a.leased += rate - c.rate
	c.rate = rate
	h.counters.Grants++
	return Grant{Customer: d.Customer, Rate: rate, Lease: lease, Fraction: c.demand / max(a.demand, c.demand, 1e-9)}, true
}

// target is a claim's max-min part, with headroom as far as there is enough.
func (a *account) target(c *claim, headroom float64) float64 {
	if a.short {
		return min(c.demand, a.level)
	}
	return c.demand * min(headroom, a.capacity/max(a.demand, 1e-9))
}

// compute drops expired claims and finds the level anew, unless that was done
// within maxAge.
func (a *account) compute(now time.Time, maxAge time.Duration) {
	if !a.computed.IsZero() && now.Sub(a.computed) < maxAge {
		return
	}
	a.computed = now
	a.leased, a.demand = 0, 0
	claims := make([]Claim, 0, len(a.claims))
	for _, child := range sortedKeys(a.claims) {
		c := a.claims[child]
		if !c.expires.IsZero() && !now.Before(c.expires) {
			delete(a.claims, child)
			continue
		}
		a.leased += c.rate
		a.demand += c.demand
		claims = append(claims, Claim{Weight: 1, Demand: c.demand})
	}
	a.level, a.short = Level(a.capacity, claims)
}

// sortedKeys gives sums of floating-point numbers one order.
func sortedKeys(claims map[string]*claim) []string {
	keys := make([]string, 0, len(claims))
	for k := range claims {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return keys
}

// Demands returns what the children together want, by customer: what a home of
// a data centre reports to the customer's home.
func (h *Home) Demands(now time.Time) []Demand {
	demands := make([]Demand, 0, len(h.accounts))
	for customer, a := range h.accounts {
		a.compute(now, 0)
		if a.demand > 0 {
			demands = append(demands, Demand{Customer: customer, Rate: a.demand})
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Customer, b.Customer) })
	return demands
}

// Sweep forgets customers whose leases have all expired. Such a home is as good
// as new for them, but owes nobody anything.
func (h *Home) Sweep(now time.Time) {
	for customer, a := range h.accounts {
		a.compute(now, 0)
		if len(a.claims) == 0 && now.Sub(a.since) >= h.config.Lease {
			delete(h.accounts, customer)
		}
	}
}

// Leased returns the sum of the unexpired leases of a customer.
func (h *Home) Leased(now time.Time, customer names.Customer) float64 {
	a, ok := h.accounts[customer]
	if !ok {
		return 0
	}
	a.compute(now, 0)
	return a.leased
}

// Has reports whether the home knows a customer.
func (h *Home) Has(customer names.Customer) bool {
	_, ok := h.accounts[customer]
	return ok
}

// Accounts returns how many customers the home knows.
func (h *Home) Accounts() int { return len(h.accounts) }

// Counters returns the counters since the start.
func (h *Home) Counters() HomeCounters { return h.counters }

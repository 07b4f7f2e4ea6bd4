package slopes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/quota"
)

const (
	// messageBytes is taken for a report or its answer without its items:
	// TCP, TLS and HTTP/2 framing. itemBytes is taken for a demand or grant.
	messageBytes = 130
	itemBytes    = 24
	// requestsEach and requestTokens are the load of each daemon at the full
	// size's peak, per second and per request.
	requestsEach  = 60
	requestTokens = 380
	quotaRun      = 60
	// zipfPower and zipfShift are the law of customers' loads, and quotaMargin
	// is each customer's quota as a multiple of its mean load.
	zipfPower   = 1.2
	zipfShift   = 8
	quotaMargin = 1.5
	hot         = names.Customer("hot")
)

// quotaFleet runs the quotas of a fleet in virtual time, a second at a time.
type quotaFleet struct {
	config  quota.Config
	members []membership.Member
	routes  *quota.Routes
	locals  []*quota.Local
	// sites and tops are each daemon's homes of the two levels.
	sites, tops []*quota.Home
	index       map[names.Host]int
	// renew is when a data centre's home reports a customer again.
	renew    map[string]time.Time
	quotas   map[names.Customer]float64
	now      time.Time
	messages []uint64
	bytes    []uint64
}

func newQuotaFleet(n, customers int) *quotaFleet {
	f := &quotaFleet{
		config:   quota.ConfigFor(n),
		members:  members(n),
		index:    make(map[names.Host]int),
		renew:    make(map[string]time.Time),
		quotas:   make(map[names.Customer]float64),
		now:      time.Unix(1_700_000_000, 0),
		messages: make([]uint64, n),
		bytes:    make([]uint64, n),
	}
	f.routes = quota.NewRoutes(f.members)
	list := make([]quota.Quota, 0, customers+1)
	list = append(list, quota.Quota{Customer: hot, Rate: 1000 * float64(n)})
	weights, sum := zipfWeights(customers)
	for i, w := range weights {
		rate := quotaMargin * w / sum * float64(n*requestsEach*requestTokens)
		list = append(list, quota.Quota{Customer: names.Customer(fmt.Sprint("c", i)), Rate: rate})
	}
	for _, q := range list {
		f.quotas[q.Customer] = q.Rate
	}
	for i := range f.members {
		l := quota.NewLocal(f.config)
		l.SetMembers(n)
		l.SetQuotas(f.now, list)
		f.locals = append(f.locals, l)
		f.sites = append(f.sites, quota.NewHome(f.config))
		f.tops = append(f.tops, quota.NewHome(f.config))
		f.index[f.members[i].Host] = i
	}
	return f
}

// zipfWeights returns the relative loads of customers and their sum.
func zipfWeights(customers int) (weights []float64, sum float64) {
	for i := range customers {
		w := math.Pow(zipfShift+float64(i), -zipfPower)
		weights = append(weights, w)
		sum += w
	}
	return weights, sum
}

// second lets a second pass after offer has been called for each daemon.
func (f *quotaFleet) second(offer func(i int)) {
	for i := range f.locals {
		offer(i)
		f.report(i)
	}
	if f.routes.Levels() > 1 {
		for i := range f.sites {
			f.reportSite(i)
		}
	}
	f.now = f.now.Add(time.Second)
}

// report sends a daemon's demands, most urgent first, in a bounded number of
// messages.
func (f *quotaFleet) report(i int) {
	batches := make(map[int][]quota.Demand)
	var order []int
	for _, d := range f.locals[i].Due(f.now) {
		home, _ := f.routes.Site(d.Customer, f.members[i].DataCentre)
		h := f.index[home.Host]
		if _, ok := batches[h]; !ok {
			if len(order) >= quota.MessagesPerSecond {
				continue
			}
			order = append(order, h)
		}
		batches[h] = append(batches[h], d)
	}
	for _, h := range order {
		grants := f.ask(i, h, batches[h])
		f.locals[i].Granted(f.now, grants)
		f.count(i, h, len(batches[h]), len(grants))
	}
}

func (f *quotaFleet) ask(i, h int, demands []quota.Demand) []quota.Grant {
	home, child := f.tops[h], string(f.members[i].Host)
	part := 1 / float64(len(f.members))
	if f.routes.Levels() > 1 {
		home = f.sites[h]
		part = dataCentres / float64(len(f.members))
		for _, d := range demands {
			f.ensure(home, d.Customer, f.config.Leased*f.quotas[d.Customer]/dataCentres)
		}
		return home.Report(f.now, child, part, demands)
	}
	f.capacities(home, demands)
	return home.Report(f.now, child, part, demands)
}

// ensure gives a new home of a data centre its equal part to begin with.
func (f *quotaFleet) ensure(home *quota.Home, c names.Customer, rate float64) {
	if !home.Has(c) {
		home.SetCapacity(f.now, quota.Quota{Customer: c, Rate: rate})
	}
}

func (f *quotaFleet) capacities(home *quota.Home, demands []quota.Demand) {
	for _, d := range demands {
		rate := quota.Capacity(f.config, f.quotas[d.Customer], len(f.members), 0)
		home.SetCapacity(f.now, quota.Quota{Customer: d.Customer, Rate: rate})
	}
}

// reportSite sends the sums of a data centre's home upwards, each at the age of
// renewal.
func (f *quotaFleet) reportSite(i int) {
	batches := make(map[int][]quota.Demand)
	for _, d := range f.sites[i].Demands(f.now) {
		key := fmt.Sprint(i, "/", d.Customer)
		if f.now.Before(f.renew[key]) {
			continue
		}
		home, _ := f.routes.Top(d.Customer)
		h := f.index[home.Host]
		batches[h] = append(batches[h], d)
	}
	for h := range f.members {
		demands := batches[h]
		if len(demands) == 0 {
			continue
		}
		f.capacities(f.tops[h], demands)
		grants := f.tops[h].Report(f.now, string(f.members[i].DataCentre), 1.0/dataCentres, demands)
		for _, g := range grants {
			f.sites[i].SetCapacity(f.now, quota.Quota{Customer: g.Customer, Rate: g.Rate})
			f.renew[fmt.Sprint(i, "/", g.Customer)] = f.now.Add(g.Lease / 2)
		}
		f.count(i, h, len(demands), len(grants))
	}
}

// count counts a report and its answer at both ends.
func (f *quotaFleet) count(i, h, demands, grants int) {
	if i == h {
		return
	}
	bytes := uint64(2*messageBytes + itemBytes*(demands+grants))
	for _, at := range []int{i, h} {
		f.messages[at] += 2
		f.bytes[at] += bytes
	}
}

func quotaTables(p *printer, o Options) {
	p.line("### Quotas")
	p.line("")
	p.line("Each daemon admits %d requests a second of %d tokens, customers by a Zipf law, with quotas of 1.5 times their mean load. A message is taken for %d bytes and an item for %d. Sent and received together. CPU contains the making of the load.",
		requestsEach, requestTokens, messageBytes, itemBytes)
	p.line("")
	p.header("daemons", "customers", "levels", "mean B/s", "largest B/s", "mean msg/s", "largest msg/s", "CPU/s of one", "heap of one", "customers known to one home, mean", "hot customer moves to one data centre: 85% of quota after", "admitted of its quota, most in 10 s")
	bytes := make([]float64, 0, len(o.Sizes))
	cpu := make([]float64, 0, len(o.Sizes))
	for i, n := range o.Sizes {
		before := heap()
		f := newQuotaFleet(n, o.Customers[i])
		used := f.steady(o.Customers[i])
		state := (heap() - before) / float64(n)
		mean := average(f.bytes) / quotaRun
		bytes = append(bytes, mean)
		cpu = append(cpu, used.Seconds())
		accounts := 0
		for j := range f.sites {
			accounts += f.sites[j].Accounts() + f.tops[j].Accounts()
		}
		took, most := newQuotaFleet(n, 0).shift()
		p.row(
			fmt.Sprint(n), fmt.Sprint(o.Customers[i]), fmt.Sprint(f.routes.Levels()),
			number(mean), number(float64(slices.Max(f.bytes))/quotaRun),
			number(average(f.messages)/quotaRun), number(float64(slices.Max(f.messages))/quotaRun),
			used.String(), kilobytes(state), number(float64(accounts)/float64(n)),
			took, fmt.Sprintf("%.2f", most),
		)
	}
	p.line("")
	p.line("Fit over daemons: B/s %s; CPU, fraction of a core, %s.", Line(floats(o.Sizes), bytes), Line(floats(o.Sizes), cpu))
	p.line("")
}

// steady runs the load of the peak and returns the processor time of one daemon
// in a second.
func (f *quotaFleet) steady(customers int) time.Duration {
	random := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(random, zipfPower, zipfShift, uint64(customers-1))
	start := processor()
	for range quotaRun {
		f.second(func(i int) {
			for range requestsEach {
				c := names.Customer(fmt.Sprint("c", zipf.Uint64()))
				f.locals[i].Admit(c, requestTokens, f.now)
			}
		})
	}
	return (processor() - start) / time.Duration(quotaRun*len(f.locals))
}

// shift lets one customer ask for twice its quota everywhere, then in one data
// centre only. It returns how long until that one admits 85% of the quota, and
// the most admitted in ten seconds after the start-up, as a share of the quota.
func (f *quotaFleet) shift() (string, float64) {
	const startUp, moved, window = 30, 90, 10
	limit := f.quotas[hot]
	admitted := make([]float64, 0, moved+60)
	took := "not within 60 s"
	for s := range moved + 60 {
		users := len(f.members)
		if s >= moved {
			users = (users + dataCentres - 1) / dataCentres
		}
		sum := 0.0
		f.second(func(i int) {
			if s < moved || f.members[i].DataCentre == "dc0" {
				sum += f.offer(i, int(2*limit)/users)
			}
		})
		admitted = append(admitted, sum)
		if s >= moved && took[0] == 'n' && sum >= 0.85*limit {
			took = fmt.Sprintf("%d s", s-moved)
		}
	}
	most := 0.0
	for s := startUp; s+window <= len(admitted); s++ {
		sum := 0.0
		for _, a := range admitted[s : s+window] {
			sum += a
		}
		most = max(most, sum/window/limit)
	}
	return took, most
}

// offer lets a daemon's callers ask for tokens over a second, in 20 requests.
func (f *quotaFleet) offer(i, tokens int) float64 {
	sum := 0.0
	for n := range 20 {
		at := f.now.Add(time.Duration(n) * 50 * time.Millisecond)
		if ok, _ := f.locals[i].Admit(hot, tokens/20, at); ok {
			sum += float64(tokens / 20)
		}
	}
	return sum
}

func average(values []uint64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += float64(v)
	}
	return sum / float64(len(values))
}

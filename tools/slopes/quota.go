package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/quota"
	"carobspoke.example/core/process/subset"
)

const (
	// homeMessageBytes is the assumed size of a request to a home or of its
	// response: TCP, TLS and HTTP/2 framing, and the message.
	homeMessageBytes = 200
	// requestsPerSecond and requestTokens are the load of each daemon at the
	// peak of a full-size fleet: requests per second, and tokens per request.
	requestsPerSecond = 60
	requestTokens     = 380
	// quotaWarmupSeconds is how long the load runs before the measurement, so
	// that buckets settle, and quotaRunSeconds is how long the measurement
	// runs.
	quotaWarmupSeconds = 30
	quotaRunSeconds    = 60
)

// quotaFleet simulates the quotas of a fleet in virtual time.
type quotaFleet struct {
	fleet    quota.Fleet
	assigner *subset.Assigner
	index    map[names.Host]int
	homes    []*quota.Home
	locals   []*quota.Local
	// messages counts the requests to homes and their responses, sent and
	// received, by daemon.
	messages []uint64
	now      time.Time
}

func newQuotaFleet(n int) *quotaFleet {
	f := &quotaFleet{
		fleet:    quota.Fleet{Live: n},
		assigner: subset.New(members(n)),
		index:    make(map[names.Host]int),
		messages: make([]uint64, n),
		now:      time.Unix(1_700_000_000, 0),
	}
	for i, member := range f.assigner.Members() {
		f.index[member.Host] = i
		f.homes = append(f.homes, quota.NewHome())
		f.locals = append(f.locals, quota.NewLocal())
	}
	return f
}

// send sends one request of a customer to daemon i and returns the number of
// tokens admitted.
func (f *quotaFleet) send(i int, c names.Customer, rate, tokens float64) float64 {
	d := f.locals[i].Admit(c, rate, tokens, f.fleet, f.now)
	if d.Outcome == quota.AskHome {
		home, _ := f.assigner.Home("quota/" + string(c))
		h := f.index[home.Host]
		if h != i {
			f.messages[i] += 2
			f.messages[h] += 2
		}
		grant := f.homes[h].Grant(f.assigner.Members()[i].Host, c, rate, d.Tokens, f.fleet, f.now)
		d = f.locals[i].ApplyGrant(c, rate, tokens, grant, f.fleet, f.now)
	}
	if d.Outcome == quota.Admitted {
		return tokens
	}
	return 0
}

// quotaUsage describes how much of their quotas customers use.
type quotaUsage struct {
	name string
	// busyShare is the share of customers that use the fraction busyUse of
	// their quotas; the others use the fraction otherUse.
	busyShare, busyUse, otherUse float64
}

func quotaUsages() []quotaUsage {
	return []quotaUsage{
		{name: "20%", otherUse: 0.2},
		{name: "20%, one in ten 90%", busyShare: 0.1, busyUse: 0.9, otherUse: 0.2},
		{name: "90%", otherUse: 0.9},
		{name: "200%", otherUse: 2},
	}
}

// utilisation returns the fraction of its quota that a customer uses.
func (u quotaUsage) utilisation(customer, customers int) float64 {
	if float64(customer) < u.busyShare*float64(customers) {
		return u.busyUse
	}
	return u.otherUse
}

// runPeakLoad runs the peak load for the given number of seconds, with equal load
// for each customer, and returns the share of tokens admitted.
func (f *quotaFleet) runPeakLoad(customers, seconds int, usage quotaUsage) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	fleetRate := requestsPerSecond * len(f.locals)
	load := float64(fleetRate*requestTokens) / float64(customers)
	sent, admitted := 0.0, 0.0
	for range seconds * fleetRate {
		customer := random.IntN(customers)
		c := names.Customer(fmt.Sprint("c", customer))
		rate := load / usage.utilisation(customer, customers)
		admitted += f.send(random.IntN(len(f.locals)), c, rate, requestTokens)
		sent += requestTokens
		f.now = f.now.Add(time.Second / time.Duration(fleetRate))
	}
	return admitted / sent
}

func quotaTables(p *printer, o Options) {
	p.line("### Quotas")
	p.line("")
	p.line("Each daemon is sent %d requests a second of %d tokens, by equal customers at random daemons. A question to a home or its answer is taken for %d bytes. Sent and received together, mean of the daemons.",
		requestsPerSecond, requestTokens, homeMessageBytes)
	p.line("")
	p.header("daemons", "customers", "quota in use", "messages/s", "B/s", "CPU/s of one", "admitted of what was sent")
	for _, usage := range quotaUsages() {
		quotaRows(p, o, usage)
	}
	p.line("")
	p.line("One customer alone, at one daemon of the fleet, at ten times its quota for %d s:", quotaRunSeconds)
	p.line("")
	p.header("daemons", "admitted of its quota")
	for _, n := range o.Sizes {
		p.row(fmt.Sprint(n), fmt.Sprintf("%.2f", newQuotaFleet(n).floodOneDaemon()))
	}
	p.line("")
}

func quotaRows(p *printer, o Options, usage quotaUsage) {
	bytes := make([]float64, 0, len(o.Sizes))
	for i, n := range o.Sizes {
		f := newQuotaFleet(n)
		f.runPeakLoad(o.Customers[i], quotaWarmupSeconds, usage)
		clear(f.messages)
		start := processorTime()
		admitted := f.runPeakLoad(o.Customers[i], quotaRunSeconds, usage)
		used := (processorTime() - start) / time.Duration(quotaRunSeconds*n)
		messages := average(f.messages) / quotaRunSeconds
		bytes = append(bytes, messages*homeMessageBytes)
		p.row(
			fmt.Sprint(n), fmt.Sprint(o.Customers[i]), usage.name,
			formatNumber(messages), formatNumber(messages*homeMessageBytes), used.String(), fmt.Sprintf("%.3f", admitted),
		)
	}
	p.row("fit", "", usage.name, "", FitLine(floats(o.Sizes), bytes).String(), "", "")
}

// floodOneDaemon sends one customer's requests to one daemon at ten times the
// customer's quota, and returns the tokens admitted as a fraction of the quota.
func (f *quotaFleet) floodOneDaemon() float64 {
	const rate, perSecond = 10_000.0, 100
	admitted := 0.0
	for range quotaRunSeconds * perSecond {
		admitted += f.send(0, "hot", rate, 10*rate/perSecond)
		f.now = f.now.Add(time.Second / perSecond)
	}
	return admitted / (rate * quotaRunSeconds)
}

func average(values []uint64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += float64(v)
	}
	return sum / float64(len(values))
}

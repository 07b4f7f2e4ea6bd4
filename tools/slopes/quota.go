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
	// askBytes is taken for a question to a home or its answer: TCP, TLS and
	// HTTP/2 framing, and the message.
	askBytes = 200
	// requestsEach and requestTokens are the load of each daemon at the full
	// size's peak, per second and per request.
	requestsEach  = 60
	requestTokens = 380
	// quotaWarm is how long buckets are left to settle, and quotaRun how long
	// is measured, in seconds.
	quotaWarm = 30
	quotaRun  = 60
)

// quotaFleet runs the quotas of a fleet in virtual time.
type quotaFleet struct {
	fleet    quota.Fleet
	assigner *subset.Assigner
	index    map[names.Host]int
	homes    []*quota.Home
	locals   []*quota.Local
	// messages counts questions and answers sent and received, by daemon.
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

// send makes one request and returns the tokens admitted.
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

// quotaUse says how much of their quotas customers use.
type quotaUse struct {
	name string
	// busy is the share of customers that use high of their quotas; the
	// others use low.
	busy, high, low float64
}

func quotaUses() []quotaUse {
	return []quotaUse{
		{name: "20%", low: 0.2},
		{name: "20%, one in ten 90%", busy: 0.1, high: 0.9, low: 0.2},
		{name: "90%", low: 0.9},
		{name: "200%", low: 2},
	}
}

// of returns the use of a customer.
func (u quotaUse) of(customer, customers int) float64 {
	if float64(customer) < u.busy*float64(customers) {
		return u.high
	}
	return u.low
}

// peak runs the load of the peak, of customers with equal load, for so many
// seconds, and returns the share of tokens admitted.
func (f *quotaFleet) peak(customers, seconds int, use quotaUse) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	each := requestsEach * len(f.locals)
	load := float64(each*requestTokens) / float64(customers)
	sent, admitted := 0.0, 0.0
	for range seconds * each {
		number := random.IntN(customers)
		c := names.Customer(fmt.Sprint("c", number))
		rate := load / use.of(number, customers)
		admitted += f.send(random.IntN(len(f.locals)), c, rate, requestTokens)
		sent += requestTokens
		f.now = f.now.Add(time.Second / time.Duration(each))
	}
	return admitted / sent
}

func quotaTables(p *printer, o Options) {
	p.line("### Quotas")
	p.line("")
	p.line("Each daemon is sent %d requests a second of %d tokens, by equal customers at random daemons. A question to a home or its answer is taken for %d bytes. Sent and received together, mean of the daemons.",
		requestsEach, requestTokens, askBytes)
	p.line("")
	p.header("daemons", "customers", "quota in use", "messages/s", "B/s", "CPU/s of one", "admitted of what was sent")
	for _, use := range quotaUses() {
		quotaRows(p, o, use)
	}
	p.line("")
	p.line("One customer alone, at one daemon of the fleet, at ten times its quota for %d s:", quotaRun)
	p.line("")
	p.header("daemons", "admitted of its quota")
	for _, n := range o.Sizes {
		p.row(fmt.Sprint(n), fmt.Sprintf("%.2f", newQuotaFleet(n).alone()))
	}
	p.line("")
}

func quotaRows(p *printer, o Options, use quotaUse) {
	bytes := make([]float64, 0, len(o.Sizes))
	for i, n := range o.Sizes {
		f := newQuotaFleet(n)
		f.peak(o.Customers[i], quotaWarm, use)
		clear(f.messages)
		start := processor()
		admitted := f.peak(o.Customers[i], quotaRun, use)
		used := (processor() - start) / time.Duration(quotaRun*n)
		messages := average(f.messages) / quotaRun
		bytes = append(bytes, messages*askBytes)
		p.row(
			fmt.Sprint(n), fmt.Sprint(o.Customers[i]), use.name,
			number(messages), number(messages*askBytes), used.String(), fmt.Sprintf("%.3f", admitted),
		)
	}
	p.row("fit", "", use.name, "", Line(floats(o.Sizes), bytes).String(), "", "")
}

// alone floods one daemon with one customer's requests.
func (f *quotaFleet) alone() float64 {
	const rate, perSecond = 10_000.0, 100
	admitted := 0.0
	for range quotaRun * perSecond {
		admitted += f.send(0, "hot", rate, 10*rate/perSecond)
		f.now = f.now.Add(time.Second / perSecond)
	}
	return admitted / (rate * quotaRun)
}

func average(values []uint64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += float64(v)
	}
	return sum / float64(len(values))
}

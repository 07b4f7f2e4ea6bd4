package slopes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carobspoke.example/core/names"
	corebudget "carobspoke.example/core/process/budget"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/serving/process/budget"
	"carobspoke.example/serving/process/membership"
)

// loopbackPatience bounds the wait for a fleet with sockets to form.
const loopbackPatience = time.Minute

// loopbackCosts are those of one daemon with a socket.
type loopbackCosts struct {
	processor float64
	metered   float64
	bytes     float64
	formed    time.Duration
}

func loopbackTables(p *printer, o Options) {
	p.line("### Membership with sockets on loopback")
	p.line("")
	p.line("Real time, %s each: encoding, sealing and system calls included. CPU is that of the process, divided among its daemons.", o.LoopbackTime)
	p.line("")
	p.header("daemons", "formed after", "CPU, fraction of a core", "of it metered", "B/s, sent and received")
	var x, y []float64
	for _, n := range o.Loopback {
		c, err := measureLoopback(n, o.LoopbackTime)
		if err != nil {
			p.err = err
			return
		}
		p.row(fmt.Sprint(n), seconds(c.formed), fmt.Sprintf("%.5f", c.processor), fmt.Sprintf("%.5f", c.metered), number(c.bytes))
		x = append(x, float64(n))
		y = append(y, c.processor)
	}
	p.line("")
	p.line("Fit of CPU, fraction of a core, over daemons: %s.", Line(x, y))
	p.line("")
}

// measureLoopback runs n daemons' memberships in this process.
func measureLoopback(n int, d time.Duration) (c loopbackCosts, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	key := membership.NewKey()
	meter := budget.New(time.Now)
	services := make([]*membership.Service, 0, n)
	hosts := make([]names.Host, 0, n)
	for i := range n {
		s, h, err := listen(i, key, meter)
		if err != nil {
			return c, err
		}
		services = append(services, s)
		hosts = append(hosts, h)
		running.Go(func() { _ = s.Run(ctx) })
	}
	start := time.Now()
	for _, s := range services {
		s.SetSeeds(hosts)
	}
	for !formed(services) {
		if time.Since(start) > loopbackPatience {
			return c, errors.Errorf("slopes: %d daemons did not form a fleet", n)
		}
		time.Sleep(core.DefaultConfig().AckTimeout)
	}
	c.formed = time.Since(start)
	time.Sleep(2 * time.Second)
	before, cpu := meter.Total(corebudget.Membership), processor()
	began := time.Now()
	time.Sleep(d)
	used, after := processor()-cpu, meter.Total(corebudget.Membership)
	share := time.Since(began).Seconds() * float64(n)
	c.processor = used.Seconds() / share
	c.metered = (after.Processor - before.Processor).Seconds() / share
	c.bytes = float64(after.Bytes-before.Bytes) / share
	return c, nil
}

func listen(i int, key []byte, meter *budget.Meter) (*membership.Service, names.Host, error) {
	socket, err := membership.ListenUDP("127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	sealer, err := membership.NewSealer(key)
	if err != nil {
		return nil, "", err
	}
	s, err := membership.New(membership.Options{
		Config:  core.DefaultConfig(),
		Self:    core.Member{Host: socket.Host(), DataCentre: names.DataCentre(fmt.Sprint("dc", i%dataCentres)), Incarnation: names.Incarnation(time.Now().UnixNano())},
		Network: socket,
		Sealer:  sealer,
		Meter:   meter,
	})
	return s, socket.Host(), err
}

func formed(services []*membership.Service) bool {
	for _, s := range services {
		if len(s.Live()) != len(services) || !s.Awake() {
			return false
		}
	}
	return true
}

package slopes

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/serving/process/membership"
)

// loopbackPatience bounds the wait for a fleet with sockets to form.
const loopbackPatience = time.Minute

// fleetKeyBytes is the size of a fleet key.
const fleetKeyBytes = 32

// loopbackSettle is how long a formed fleet is left alone.
const loopbackSettle = 2 * time.Second

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
	hosts, err := freeHosts(n)
	if err != nil {
		return c, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	key := make([]byte, fleetKeyBytes)
	work := &work{}
	fleet := make([]*membership.Membership, 0, n)
	for i := range n {
		m, err := listen(hosts[i], i, key, work)
		if err != nil {
			return c, err
		}
		fleet = append(fleet, m)
		running.Go(func() { m.Run(ctx) })
	}
	start := time.Now()
	for _, m := range fleet {
		m.SetSeeds(hosts)
	}
	for !formed(fleet) {
		if time.Since(start) > loopbackPatience {
			return c, errors.Errorf("slopes: %d daemons did not form a fleet", n)
		}
		time.Sleep(core.DefaultConfig().AckTimeout)
	}
	c.formed = time.Since(start)
	time.Sleep(loopbackSettle)
	bytes, spent, cpu := work.bytes.Load(), work.spent.Load(), processor()
	began := time.Now()
	time.Sleep(d)
	used := processor() - cpu
	share := time.Since(began).Seconds() * float64(n)
	c.processor = used.Seconds() / share
	c.metered = time.Duration(work.spent.Load()-spent).Seconds() / share
	c.bytes = float64(work.bytes.Load()-bytes) / share
	return c, nil
}

// work is what all daemons meter together.
type work struct {
	bytes, spent atomic.Int64
}

// freeHosts returns addresses of loopback that are free now.
func freeHosts(n int) ([]names.Host, error) {
	hosts := make([]names.Host, 0, n)
	for range n {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			return nil, errors.Wrap(err, "slopes")
		}
		defer func() { _ = conn.Close() }() // it only held the port
		hosts = append(hosts, names.Host(conn.LocalAddr().String()))
	}
	return hosts, nil
}

func listen(h names.Host, i int, key []byte, w *work) (*membership.Membership, error) {
	socket, err := membership.ListenUDP(h)
	if err != nil {
		return nil, err
	}
	sealer, err := membership.NewSealer([][]byte{key})
	if err != nil {
		return nil, err
	}
	return membership.New(membership.Config{
		Self: core.Member{
			Host:        h,
			DataCentre:  names.DataCentre(fmt.Sprint("dc", i%dataCentres)),
			Incarnation: names.Incarnation(time.Now().UnixNano()),
		},
		Machine:         core.DefaultConfig(),
		Network:         socket,
		Sealer:          sealer,
		Deliver:         func(core.Deliver) {},
		Log:             zap.NewNop(),
		Registry:        metrics.NewRegistry(),
		ObserveBytes:    func(bytes int) { w.bytes.Add(int64(bytes)) },
		ObserveStepTime: func(d time.Duration) { w.spent.Add(int64(d)) },
	}), nil
}

func formed(fleet []*membership.Membership) bool {
	for _, m := range fleet {
		if len(m.Live()) != len(fleet) || !m.ViewTrusted() {
			return false
		}
	}
	return true
}

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

// loopbackFormTimeout bounds the wait for a fleet with sockets to form.
const loopbackFormTimeout = time.Minute

// fleetKeyBytes is the size of a fleet key.
const fleetKeyBytes = 32

// loopbackSettle is the delay between the forming of a fleet and the
// measurement.
const loopbackSettle = 2 * time.Second

// loopbackCosts are the costs of one daemon with a socket: the fraction of a core
// that it uses, the share of time metered in membership steps, bytes per second
// sent and received, and the time until its fleet had formed.
type loopbackCosts struct {
	cpuShare  float64
	stepShare float64
	bytes     float64
	formTime  time.Duration
}

func loopbackTables(p *printer, o Options) {
	p.line("### Membership with sockets on loopback")
	p.line("")
	p.line("Real time, %s each: encoding, sealing and system calls included. CPU is that of the process, divided among its daemons.", o.LoopbackTime)
	p.line("")
	p.header("daemons", "formed after", "CPU, fraction of a core", "of it metered", "B/s, sent and received")
	var x, y []float64
	for _, n := range o.LoopbackSizes {
		c, err := measureLoopback(n, o.LoopbackTime)
		if err != nil {
			p.err = err
			return
		}
		p.row(fmt.Sprint(n), formatSeconds(c.formTime), fmt.Sprintf("%.5f", c.cpuShare), fmt.Sprintf("%.5f", c.stepShare), formatNumber(c.bytes))
		x = append(x, float64(n))
		y = append(y, c.cpuShare)
	}
	p.line("")
	p.line("Fit of CPU, fraction of a core, over daemons: %s.", FitLine(x, y))
	p.line("")
}

// measureLoopback runs the memberships of n daemons in this process and measures
// their mean costs over the given time.
func measureLoopback(n int, duration time.Duration) (c loopbackCosts, err error) {
	hosts, err := freeHosts(n)
	if err != nil {
		return c, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	key := make([]byte, fleetKeyBytes)
	meter := &workMeter{}
	fleet := make([]*membership.Membership, 0, n)
	for i := range n {
		m, err := newMembership(hosts[i], i, key, meter)
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
	for !allFormed(fleet) {
		if time.Since(start) > loopbackFormTimeout {
			return c, errors.Errorf("slopes: %d daemons did not form a fleet", n)
		}
		time.Sleep(core.DefaultConfig().AckTimeout)
	}
	c.formTime = time.Since(start)
	time.Sleep(loopbackSettle)
	bytes, stepTime, cpu := meter.bytes.Load(), meter.stepTime.Load(), processorTime()
	began := time.Now()
	time.Sleep(duration)
	used := processorTime() - cpu
	daemonSeconds := time.Since(began).Seconds() * float64(n)
	c.cpuShare = used.Seconds() / daemonSeconds
	c.stepShare = time.Duration(meter.stepTime.Load()-stepTime).Seconds() / daemonSeconds
	c.bytes = float64(meter.bytes.Load()-bytes) / daemonSeconds
	return c, nil
}

// workMeter sums the bytes and the step time, in nanoseconds, of all daemons.
type workMeter struct {
	bytes, stepTime atomic.Int64
}

// freeHosts returns loopback addresses that are currently free.
func freeHosts(n int) ([]names.Host, error) {
	hosts := make([]names.Host, 0, n)
	for range n {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			return nil, errors.Wrap(err, "slopes")
		}
		defer func() { _ = conn.Close() }() // the socket only reserved the port
		hosts = append(hosts, names.Host(conn.LocalAddr().String()))
	}
	return hosts, nil
}

func newMembership(h names.Host, i int, key []byte, meter *workMeter) (*membership.Membership, error) {
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
		ObserveBytes:    func(bytes int) { meter.bytes.Add(int64(bytes)) },
		ObserveStepTime: func(d time.Duration) { meter.stepTime.Add(int64(d)) },
	}), nil
}

func allFormed(fleet []*membership.Membership) bool {
	for _, m := range fleet {
		if len(m.Live()) != len(fleet) || !m.ViewTrusted() {
			return false
		}
	}
	return true
}

package edge

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/serving/process/board"
	"carobspoke.example/serving/process/published"
	"github.com/cespare/xxhash/v2"
)

// watchersEach is how many daemons of a data centre watch what is published:
// one may be cut off without the others noticing late.
const watchersEach = 2

// sink takes in what peers tell: their dispatches and their beats.
type sink struct {
	board.Peer
	*published.Follower
}

// watches reports whether this daemon is among the watchers of its data
// centre. A daemon that does not know its peers yet, or stops, watches for
// itself.
func (d *Daemon) watches() bool {
	list := d.watchers()
	at := slices.IndexFunc(list, func(m core.Member) bool { return m.Host == d.self })
	return at >= 0 || len(list) == 0 || d.stopping()
}

// watchers returns the first live members of the data centre in an order that
// all daemons compute alike.
func (d *Daemon) watchers() []core.Member {
	list := d.neighbours()
	slices.SortFunc(list, func(a, b core.Member) int {
		return cmp.Or(cmp.Compare(rank(a.Host), rank(b.Host)), cmp.Compare(a.Host, b.Host))
	})
	return list[:min(len(list), watchersEach)]
}

// recordHosts returns the peers to read records from: the watchers of the data
// centre, or any.
func (d *Daemon) recordHosts() []names.Host {
	var hosts []names.Host
	for _, m := range d.watchers() {
		if m.Host != d.self {
			hosts = append(hosts, m.Host)
		}
	}
	if len(hosts) > 0 && d.follower.Revision() > 0 && !d.watches() {
		return hosts
	}
	return d.peerHosts()
}

func rank(h names.Host) uint64 { return xxhash.Sum64String(string(h)) }

// neighbours returns the live members of this daemon's data centre.
func (d *Daemon) neighbours() []core.Member {
	var list []core.Member
	for _, m := range d.members.Live() {
		if m.DataCentre == d.Settings.DataCentre {
			list = append(list, m)
		}
	}
	return list
}

// beat tells the daemons of the data centre what this one knows, while it is
// one of the watchers.
func (d *Daemon) beat(ctx context.Context) {
	ticker := time.NewTicker(published.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !d.watches() || d.follower.Revision() == 0 {
			continue
		}
		var to []netip.AddrPort
		for _, m := range d.neighbours() {
			if address, err := netip.ParseAddrPort(string(m.Host)); err == nil && m.Host != d.self {
				to = append(to, netip.AddrPortFrom(address.Addr(), d.Settings.SharePort))
			}
		}
		d.sharing.Beat(to, d.follower.Revision(), d.follower.Age(), d.follower.Settled())
	}
}

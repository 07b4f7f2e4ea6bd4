package edge

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/serving/process/published"
	"carobspoke.example/serving/process/targetstate"
	"github.com/cespare/xxhash/v2"
)

// watchersPerDataCentre is the number of daemons of a data centre that watch the
// store. With two, the other daemons still learn of changes in time if one is cut
// off.
const watchersPerDataCentre = 2

// exchangeSink receives the dispatch events and heartbeats of peers.
type exchangeSink struct {
	targetstate.PeerSink
	*published.Follower
}

// mustWatch reports whether this daemon must watch the store: as one of the
// watchers of its data centre, while it knows no member of the data centre yet,
// or while it is stopping.
func (d *Daemon) mustWatch() bool {
	list := d.watchers()
	at := slices.IndexFunc(list, func(m core.Member) bool { return m.Host == d.self })
	return at >= 0 || len(list) == 0 || d.stopping()
}

// watchers returns the watchers of the data centre: its first live members in the
// order of watcherRank, which is the same at all daemons.
func (d *Daemon) watchers() []core.Member {
	list := d.localMembers()
	slices.SortFunc(list, func(a, b core.Member) int {
		return cmp.Or(cmp.Compare(watcherRank(a.Host), watcherRank(b.Host)), cmp.Compare(a.Host, b.Host))
	})
	return list[:min(len(list), watchersPerDataCentre)]
}

// recordHosts returns the peers to read records from. A daemon that has a revision
// and does not watch the store reads from the watchers of its data centre; any
// other daemon reads from any peer.
func (d *Daemon) recordHosts() []names.Host {
	var hosts []names.Host
	for _, m := range d.watchers() {
		if m.Host != d.self {
			hosts = append(hosts, m.Host)
		}
	}
	if len(hosts) > 0 && d.follower.Revision() > 0 && !d.mustWatch() {
		return hosts
	}
	return d.peerHosts()
}

// watcherRank returns the position of a host in the order that selects watchers.
func watcherRank(h names.Host) uint64 { return xxhash.Sum64String(string(h)) }

// localMembers returns the live members of this daemon's data centre.
func (d *Daemon) localMembers() []core.Member {
	var list []core.Member
	for _, m := range d.members.Live() {
		if m.DataCentre == d.Settings.DataCentre {
			list = append(list, m)
		}
	}
	return list
}

// sendHeartbeats sends heartbeats to the daemons of the data centre while this
// daemon watches the store. A heartbeat holds the revision and age of its records.
func (d *Daemon) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(published.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !d.mustWatch() || d.follower.Revision() == 0 {
			continue
		}
		var to []netip.AddrPort
		for _, m := range d.localMembers() {
			if address, err := netip.ParseAddrPort(string(m.Host)); err == nil && m.Host != d.self {
				to = append(to, netip.AddrPortFrom(address.Addr(), d.Settings.SharePort))
			}
		}
		d.exchange.SendHeartbeat(to, d.follower.Revision(), d.follower.Age(), d.follower.Settled())
	}
}

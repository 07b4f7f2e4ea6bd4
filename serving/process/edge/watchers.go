package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/watching"
	"carobspoke.example/serving/process/published"
	"carobspoke.example/serving/process/suspects"
	"carobspoke.example/serving/process/targetstate"
	"github.com/cespare/xxhash/v2"
)

const (
	// storeWatchers is the number of daemons of a region that watch the store.
	// With three, the others still learn of changes in time if two of them are lost
	// together.
	storeWatchers = 3
	// relaysPerDataCentre is the number of daemons of a data centre that pass on
	// what the watchers know.
	relaysPerDataCentre = 2
	// minHeartbeatPause is the least time between two heartbeats.
	minHeartbeatPause = 50 * time.Millisecond
)

// exchangeSink receives the questions, dispatch events, ends of targets and heartbeats of
// peers.
type exchangeSink struct {
	targetstate.PeerSink
	*published.Follower
	*suspects.Guard
}

// situation returns this daemon's part in watching the store.
func (d *Daemon) situation() watching.Situation {
	s := watching.Situation{Watcher: d.mustWatch(), Leaving: d.stopping(), Age: time.Since(d.started), Peers: len(d.localMembers())}
	if d.isRelay() {
		s.Peers = len(d.relays(d.regionMembers()))
	}
	return s
}

// mustWatch reports whether this daemon must watch the store: as one of the watchers of
// its region. A daemon that has just started knows too few members to tell, so that then
// only the seeds watch.
func (d *Daemon) mustWatch() bool {
	if time.Since(d.started) < watching.StartTime {
		return slices.Contains(d.seeds, d.self)
	}
	return containsHost(d.firstMembers(d.regionMembers(), storeWatchers), d.self)
}

// isRelay reports whether this daemon passes on to its data centre what the watchers
// know.
func (d *Daemon) isRelay() bool {
	return containsHost(d.firstMembers(d.localMembers(), relaysPerDataCentre), d.self)
}

// relays returns the relays of all data centres among some members.
func (d *Daemon) relays(members []core.Member) []core.Member {
	byDataCentre := make(map[names.DataCentre][]core.Member)
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	var list []core.Member
	for _, local := range byDataCentre {
		list = append(list, d.firstMembers(local, relaysPerDataCentre)...)
	}
	return list
}

// firstMembers returns the first n members in the order of watcherRank, which is the
// same at all daemons. Members that have just started come last.
func (d *Daemon) firstMembers(members []core.Member, n int) []core.Member {
	list := slices.Clone(members)
	now := time.Now()
	young := func(m *core.Member) int {
		if now.Sub(time.Unix(0, int64(m.Incarnation))) < watching.StartTime {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b core.Member) int {
		return cmp.Or(cmp.Compare(young(&a), young(&b)), cmp.Compare(watcherRank(a.Host), watcherRank(b.Host)), cmp.Compare(a.Host, b.Host))
	})
	return list[:min(len(list), n)]
}

func containsHost(members []core.Member, h names.Host) bool {
	return slices.ContainsFunc(members, func(m core.Member) bool { return m.Host == h })
}

// recordHosts returns the peers to read records from. A daemon that has records reads
// from the relays of its data centre, and a relay from the watchers of the region; a
// daemon without records, or one that watches the store, reads from any peer.
func (d *Daemon) recordHosts() []names.Host {
	if d.follower.Position().IsZero() || d.mustWatch() {
		return d.peerHosts()
	}
	sources := d.firstMembers(d.localMembers(), relaysPerDataCentre)
	if containsHost(sources, d.self) {
		sources = d.firstMembers(d.regionMembers(), storeWatchers)
	}
	if hosts := d.others(sources); len(hosts) > 0 {
		return hosts
	}
	return d.peerHosts()
}

// others returns the hosts of the members other than this daemon.
func (d *Daemon) others(members []core.Member) []names.Host {
	var hosts []names.Host
	for _, m := range members {
		if m.Host != d.self && !slices.Contains(hosts, m.Host) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// watcherRank returns the position of a host in the order that selects watchers.
func watcherRank(h names.Host) uint64 { return xxhash.Sum64String(string(h)) }

// localMembers returns the live members of this daemon's data centre.
func (d *Daemon) localMembers() []core.Member {
	return d.liveMembers(func(m *core.Member) bool { return m.DataCentre == d.Settings.DataCentre })
}

// regionMembers returns the live members of this daemon's region.
func (d *Daemon) regionMembers() []core.Member {
	region := d.Settings.Regions[d.Settings.DataCentre]
	return d.liveMembers(func(m *core.Member) bool { return d.Settings.Regions[m.DataCentre] == region })
}

func (d *Daemon) liveMembers(in func(*core.Member) bool) []core.Member {
	var list []core.Member
	live := d.members.Live()
	for i := range live {
		if in(&live[i]) {
			list = append(list, live[i])
		}
	}
	return list
}

// heartbeatReceivers returns the daemons that depend on the heartbeats of this one: the
// relays of the region for a watcher of the store, the daemons of the data centre for a
// relay, and both for a daemon that watches the store in place of the watchers.
func (d *Daemon) heartbeatReceivers() []names.Host {
	var to []core.Member
	volunteering := d.follower.Volunteering()
	if volunteering || d.mustWatch() {
		to = append(to, d.relays(d.regionMembers())...)
	}
	if volunteering || d.isRelay() {
		to = append(to, d.localMembers()...)
	}
	return d.others(to)
}

// wakeHeartbeats makes sendHeartbeats send one soon.
func (d *Daemon) wakeHeartbeats() {
	select {
	case d.heartbeatDue <- struct{}{}:
	default:
	}
}

// observeClock relates the clock of a peer to that of this daemon, for its heartbeats.
func (d *Daemon) observeClock(of names.Host, incarnation names.Incarnation, asked, read time.Duration) {
	d.exchange.ObserveClock(inflight.Key{Host: of, Incarnation: incarnation}, asked, read)
}

// sendHeartbeats sends heartbeats to the daemons that depend on this one. A heartbeat
// holds the position and age of its records.
func (d *Daemon) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(published.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.heartbeatDue:
		}
		if d.follower.Position().IsZero() {
			continue
		}
		if to := d.heartbeatReceivers(); len(to) > 0 {
			d.exchange.SendHeartbeat(to, d.follower.Heartbeat())
			ticker.Reset(published.HeartbeatInterval)
			time.Sleep(minHeartbeatPause)
		}
	}
}

package edge

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	"carobspoke.example/core/process/homes"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/suspects"
	"go.uber.org/zap"
)

// Gossip keys of kind gossip.Version. Each era has a key of its own, since a digest with
// a lower sequence does not replace one with a higher sequence.
const (
	// positionKey is the key of the published position, followed by its era unless
	// that is zero. The sequence is the revision.
	positionKey = "published"
	eraMark     = ":"
	// configKey is the key of the version of the configuration.
	configKey = "config"
)

// positionChanged gossips the position that this daemon has reached and the version of
// the configuration in force, tells the daemons that depend on this one, and closes the idle
// connections to evacuated data centres.
func (d *Daemon) positionChanged(p replicas.Position) {
	d.closeEvacuated()
	d.wakeHeartbeats()
	key := positionKey
	if p.Era > 0 {
		key += eraMark + strconv.FormatUint(p.Era, 10)
	}
	d.members.Publish(core.Digest{Kind: gossip.Version, Key: key, Sequence: p.Revision})
	if view := d.follower.View(); view != nil {
		d.members.Publish(core.Digest{Kind: gossip.Version, Key: configKey, Sequence: uint64(view.Table.Version)})
	}
}

// handleVersion handles a gossiped position or configuration version. Its sender may not
// have read it yet.
func (d *Daemon) handleVersion(digest *core.Digest) {
	if digest.Key == configKey {
		d.follower.ObserveConfigVersion(names.Version(digest.Sequence), "")
		return
	}
	p := replicas.Position{Revision: digest.Sequence}
	if era, ok := strings.CutPrefix(digest.Key, positionKey+eraMark); ok {
		var err error
		if p.Era, err = strconv.ParseUint(era, 10, 64); err != nil {
			d.Log.Warn("a gossiped position cannot be read", zap.String("key", digest.Key))
			return
		}
	} else if digest.Key != positionKey {
		return // of a later version of the daemon
	}
	d.follower.ObservePeerPosition(p, "")
}

// gossipSuspects gossips an announcement about a suspect part.
func (d *Daemon) gossipSuspects(m suspects.Message) {
	d.members.Publish(core.Digest{Kind: gossip.Crash, Key: m.Key, Sequence: m.Sequence, Payload: m.Payload})
}

// accuse sends the suspects of the end of a target to the homes of its service, which
// collect those of all daemons. It reports whether this daemon is one of them.
func (d *Daemon) accuse(service names.Service, a *suspects.Accusation) bool {
	collectors := d.homesOf(homes.Group{Service: service, Groups: 1}).Listeners
	others := slices.DeleteFunc(slices.Clone(collectors), func(h names.Host) bool { return h == d.self })
	d.exchange.RecordEnd(others, a)
	return len(others) < len(collectors)
}

// handleDigest handles a digest received by gossip.
func (d *Daemon) handleDigest(a core.Deliver) {
	switch a.Digest.Kind {
	case gossip.Version:
		d.handleVersion(&a.Digest)
	case gossip.Crash:
		m := suspects.Message{Key: a.Digest.Key, Sequence: a.Digest.Sequence, Payload: a.Digest.Payload}
		if err := d.suspects.Receive(&m); err != nil {
			d.Log.Warn("a crash digest cannot be read", zap.String("from", string(a.From)), zap.String("error", err.Error()))
		}
	}
}

// memberChanged drops the dispatches of dead incarnations of a member, and has the refusals
// in force announced to one that has started.
func (d *Daemon) memberChanged(m core.Member) {
	switch m.State {
	case core.Dead, core.Left:
		d.board.RemoveIncarnations(m.Host, m.Incarnation+1)
	default:
		d.board.RemoveIncarnations(m.Host, m.Incarnation)
	}
	d.suspects.PeerChanged()
}

// peerCount returns the number of live peers.
func (d *Daemon) peerCount() int {
	count := 0
	for _, m := range d.members.Live() {
		if m.Host != d.self {
			count++
		}
	}
	return count
}

// homesOf returns the homes of a group of targets.
func (d *Daemon) homesOf(g homes.Group) homes.Homes {
	if time.Since(d.started) < homes.JoinTime {
		return homes.SelectSeeds(g, d.seeds, d.members.Live(), time.Now())
	}
	return homes.Select(g, d.members.Live(), time.Now())
}

// peerHosts returns the live peers, or the seeds while no live peer is known.
func (d *Daemon) peerHosts() []names.Host {
	var hosts []names.Host
	for _, m := range d.members.Live() {
		if m.Host != d.self {
			hosts = append(hosts, m.Host)
		}
	}
	if len(hosts) > 0 {
		return hosts
	}
	for _, seed := range d.Settings.Seeds {
		if host := names.Host(seed.String()); host != d.self {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// fleetShare returns the share of the targets' limits that this daemon may let through as a
// home.
func (d *Daemon) fleetShare() float64 { return d.fleet.Share(len(d.members.Live()), time.Now()) }

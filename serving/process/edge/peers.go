package edge

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/process/gossip"
	core "carobspoke.example/core/process/membership"
	"go.uber.org/zap"
)

// gossipRevision gossips the revision that this daemon has reached.
func (d *Daemon) gossipRevision(revision uint64) {
	d.members.Publish(core.Digest{Kind: gossip.Version, Key: revisionKey, Sequence: revision})
}

// revisionKey is the gossip key of the published revision.
const revisionKey = "published"

// crashPayloadBytes is the length in bytes of a gossiped crash entry: one byte for
// the status, four for the seconds until it expires.
const crashPayloadBytes = 5

// gossipCrash gossips the crash status of a request.
func (d *Daemon) gossipCrash(e crash.Entry) {
	payload := binary.BigEndian.AppendUint32([]byte{byte(e.Status)}, uint32(e.Remaining.Seconds()))
	d.members.Publish(core.Digest{
		Kind: gossip.Crash, Key: string(e.Digest[:]), Sequence: uint64(time.Now().UnixMilli())<<2 | uint64(e.Status), Payload: payload,
	})
}

// handleDigest handles a digest received by gossip.
func (d *Daemon) handleDigest(a core.Deliver) {
	switch a.Digest.Kind {
	case gossip.Version:
		d.follower.ObservePeerRevision(a.Digest.Sequence, "") // the sender may not have read this revision yet
	case gossip.Crash:
		var e crash.Entry
		if len(a.Digest.Payload) != crashPayloadBytes || copy(e.Digest[:], a.Digest.Key) != len(e.Digest) {
			d.Log.Warn("a crash digest cannot be read", zap.String("from", string(a.From)))
			return
		}
		e.Status = crash.Status(a.Digest.Payload[0])
		e.Remaining = time.Duration(binary.BigEndian.Uint32(a.Digest.Payload[1:])) * time.Second
		d.board.MergeCrash(e)
	}
}

// memberChanged drops the dispatches of dead incarnations of a member.
func (d *Daemon) memberChanged(m core.Member) {
	switch m.State {
	case core.Dead, core.Left:
		d.board.RemoveIncarnations(m.Host, m.Incarnation+1)
	default:
		d.board.RemoveIncarnations(m.Host, m.Incarnation)
	}
}

// peerList is the list of live members, and the addresses at which the peers among
// them receive dispatch events.
type peerList struct {
	members   []core.Member
	addresses []netip.AddrPort
}

// peerAddresses returns the addresses at which live peers receive dispatch events.
// The list is cached until the live members change.
func (d *Daemon) peerAddresses() []netip.AddrPort {
	live := d.members.Live()
	if list := d.cachedPeers.Load(); list != nil && slices.Equal(list.members, live) {
		return list.addresses
	}
	list := &peerList{members: live}
	for _, m := range live {
		if address, err := netip.ParseAddrPort(string(m.Host)); err == nil && m.Host != d.self {
			list.addresses = append(list.addresses, netip.AddrPortFrom(address.Addr(), d.Settings.SharePort))
		}
	}
	d.cachedPeers.Store(list)
	return list.addresses
}

// knowsPeerWork reports whether this daemon has peers and has run long enough to
// have received most of their dispatches.
func (d *Daemon) knowsPeerWork() bool {
	return time.Since(d.started) > peerWorkDelay && len(d.peerAddresses()) > 0
}

// peerWorkDelay is how long after its start a daemon knows too few of its peers'
// dispatches: it joins within one second, and dispatches begun before that are
// unknown until they end, after two seconds for a short answer.
const peerWorkDelay = 3 * time.Second

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

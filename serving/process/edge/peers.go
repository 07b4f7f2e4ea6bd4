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

func (d *Daemon) advanced(revision uint64) {
	d.members.Publish(core.Digest{Kind: gossip.Version, Key: revisionKey, Sequence: revision})
}

// revisionKey is the key of the gossiped revision of what is published.
const revisionKey = "published"

// crashPayload is the length of a gossiped standing: the standing and how many
// seconds it lasts.
const crashPayload = 5

func (d *Daemon) tellCrash(e crash.Entry) {
	payload := binary.BigEndian.AppendUint32([]byte{byte(e.Status)}, uint32(e.Remaining.Seconds()))
	d.members.Publish(core.Digest{
		Kind: gossip.Crash, Key: string(e.Digest[:]), Sequence: uint64(time.Now().UnixMilli())<<2 | uint64(e.Status), Payload: payload,
	})
}

func (d *Daemon) delivered(a core.Deliver) {
	switch a.Digest.Kind {
	case gossip.Version:
		d.follower.ObservePeerRevision(a.Digest.Sequence, "") // who passes it on may not have read it yet
	case gossip.Crash:
		var e crash.Entry
		if len(a.Digest.Payload) != crashPayload || copy(e.Digest[:], a.Digest.Key) != len(e.Digest) {
			d.Log.Warn("a crash digest cannot be read", zap.String("from", string(a.From)))
			return
		}
		e.Status = crash.Status(a.Digest.Payload[0])
		e.Remaining = time.Duration(binary.BigEndian.Uint32(a.Digest.Payload[1:])) * time.Second
		d.board.LearnCrash(e)
	}
}

// memberChanged drops the work of dead incarnations.
func (d *Daemon) memberChanged(m core.Member) {
	switch m.State {
	case core.Dead, core.Left:
		d.board.Gone(m.Host, m.Incarnation+1)
	default:
		d.board.Gone(m.Host, m.Incarnation)
	}
}

// peerList is the live members and where they listen for dispatches.
type peerList struct {
	members   []core.Member
	addresses []netip.AddrPort
}

// peerAddresses returns where the live peers listen. The list is built anew
// when the members have changed.
func (d *Daemon) peerAddresses() []netip.AddrPort {
	live := d.members.Live()
	if list := d.peers.Load(); list != nil && slices.Equal(list.members, live) {
		return list.addresses
	}
	list := &peerList{members: live}
	for _, m := range live {
		if address, err := netip.ParseAddrPort(string(m.Host)); err == nil && m.Host != d.self {
			list.addresses = append(list.addresses, netip.AddrPortFrom(address.Addr(), d.Settings.SharePort))
		}
	}
	d.peers.Store(list)
	return list.addresses
}

// settled reports whether the peers have had the time to tell this daemon what
// they send.
func (d *Daemon) settled() bool {
	return time.Since(d.started) > settleWork && len(d.peerAddresses()) > 0
}

// settleWork is how long after its start a daemon knows too little of the work
// of others: it joins within a second, and a short answer takes two.
const settleWork = 3 * time.Second

// peerHosts returns the peers that may be asked: the live ones, or the seeds
// until any is known.
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

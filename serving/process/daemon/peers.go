package daemon

import (
	"carobspoke.example/core/names"
	"carobspoke.example/core/process/distribution"
	"carobspoke.example/core/process/gossip"
	"carobspoke.example/core/process/membership"
	"google.golang.org/grpc"
)

// manifestPeers gives the manifest distributor access to the other daemons. It
// implements distribution.Peers of serving/process/distribution.
type manifestPeers struct {
	d *Daemon
}

// Live implements distribution.Peers.
func (p manifestPeers) Live() []distribution.Member {
	members := p.d.members.Live()
	list := make([]distribution.Member, 0, len(members))
	for i := range members {
		if members[i].Host != p.d.Host() {
			list = append(list, distribution.Member{
				Host: members[i].Host, DataCentre: members[i].DataCentre, Version: members[i].Version,
			})
		}
	}
	return list
}

// ListedHosts implements distribution.Peers.
func (p manifestPeers) ListedHosts() int { return p.d.hosts.Count() }

// Dial implements distribution.Peers.
func (p manifestPeers) Dial(host names.Host) (*grpc.ClientConn, error) {
	return p.d.pool.Conn(host)
}

// Announce implements distribution.Peers.
func (p manifestPeers) Announce(held distribution.VersionID) {
	p.d.members.Publish(membership.Digest{
		Kind: gossip.Version, Key: versionKey, Sequence: uint64(held.Version), Payload: []byte(held.Digest),
	})
}

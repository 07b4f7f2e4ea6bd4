package daemon

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/budget"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/process/distribution"
	"carobspoke.example/core/process/gossip"
	core "carobspoke.example/core/process/membership"
	quotas "carobspoke.example/core/process/quota"
	"carobspoke.example/serving/process/fleet"
	"carobspoke.example/serving/process/membership"
	"carobspoke.example/serving/process/quota"
)

// versionKey is the key of the gossiped digest of the version in force.
const versionKey = "manifest"

func (d *Daemon) buildMembership() error {
	sealer, err := membership.NewSealer(d.settings.Peer.DecodedFleetKeys())
	if err != nil {
		return err
	}
	network, err := d.network(d.Host())
	if err != nil {
		return err
	}
	machine := core.DefaultConfig()
	machine.AloneAfter = d.settings.Peer.AloneAfter.Duration
	d.members = membership.New(membership.Config{
		Self:            core.Member{Host: d.Host(), DataCentre: d.settings.DataCentre, Incarnation: d.incarnation},
		Machine:         machine,
		Network:         network,
		Sealer:          sealer,
		Deliver:         d.handleDigest,
		MemberChanged:   d.memberChanged,
		Log:             d.log,
		Registry:        d.counters.Registry(),
		ObserveBytes:    func(bytes int) { d.meter.CountMessage(budget.Membership, bytes) },
		ObserveStepTime: func(elapsed time.Duration) { d.meter.AddCPUTime(budget.Membership, elapsed) },
	})
	d.fleet = fleet.New(d.Host(), d.members, d.versions, d.applyView)
	return nil
}

func (d *Daemon) buildQuota() {
	d.quota = quota.New(quota.Config{
		Self:     d.Host(),
		Versions: d.versions,
		Home:     d.quotaHome,
		FleetSize: func() quotas.Fleet {
			return quotas.Fleet{Live: len(d.members.Live()), Unreachable: len(d.members.Unreachable())}
		},
		Conn:     d.pool.Conn,
		Registry: d.counters.Registry(),
	})
}

// quotaHome returns the home of a customer's quota, or false if there are no
// members.
func (d *Daemon) quotaHome(customer names.Customer) (names.Host, bool) {
	home, ok := d.fleet.View().Assigner.Home("quota/" + string(customer))
	return home.Host, ok
}

// readHosts passes the hosts of the platform's list and of the settings to the
// membership as seeds.
func (d *Daemon) readHosts(ctx context.Context) {
	d.hosts.refresh(ctx, d.platform)
	seeds := slices.Clone(d.settings.Peer.Seeds)
	for _, entry := range d.hosts.Entries() {
		seeds = append(seeds, entry.Host)
	}
	d.members.SetSeeds(seeds)
}

// leftPeerGrace is how long the connection to a daemon that has left stays
// open, since its last answers may still be in transit.
const leftPeerGrace = 30 * time.Second

// memberChanged closes the connection to a dead daemon at once, so that requests
// waiting for it are run elsewhere. It closes the connection to a daemon that
// has left after leftPeerGrace, unless the daemon has come back.
func (d *Daemon) memberChanged(member core.Member) {
	switch member.State {
	case core.Dead:
		d.pool.Remove(member.Host)
	case core.Left:
		time.AfterFunc(leftPeerGrace, func() {
			if d.fleet.IncarnationOf(member.Host) == 0 {
				d.pool.Remove(member.Host)
			}
		})
	default:
	}
}

// handleDigest handles a digest that another daemon gossiped: the version that
// it has in force or the crash status of a prompt.
func (d *Daemon) handleDigest(a core.Deliver) {
	switch a.Digest.Kind {
	case gossip.Version:
		held := distribution.VersionID{Version: names.Version(a.Digest.Sequence), Digest: names.Digest(a.Digest.Payload)}
		d.distributor.HandleAnnouncement(a.From, held)
	case gossip.Crash:
		if entry, ok := decodeCrash(a.Digest); ok {
			d.dispatcher.Crashes.Merge([]crash.Entry{entry})
		}
	}
}

// publishCrash gossips the crash status of a prompt to the other daemons.
func (d *Daemon) publishCrash(entry crash.Entry) {
	d.members.Publish(core.Digest{
		Kind: gossip.Crash, Key: string(entry.Digest[:]), Sequence: crashSequence(entry, time.Now()), Payload: encodeCrash(entry),
	})
}

// crashSequence returns the sequence number of a crash digest. It grows with
// time in seconds, and within a second with the status, so that a new digest
// replaces the one of an earlier crash of the same prompt. Receivers never lower
// a status.
func crashSequence(entry crash.Entry, now time.Time) uint64 {
	const statusBits = 2
	return uint64(now.Unix())<<statusBits | uint64(entry.Status)
}

// crashPayloadBytes is the length of a crash digest's payload: one byte of
// status and four bytes of remaining time in seconds, big-endian.
const crashPayloadBytes = 5

func encodeCrash(e crash.Entry) []byte {
	payload := []byte{byte(e.Status)}
	return binary.BigEndian.AppendUint32(payload, uint32(e.Remaining.Seconds()))
}

func decodeCrash(digest core.Digest) (crash.Entry, bool) {
	var entry crash.Entry
	if len(digest.Payload) != crashPayloadBytes || copy(entry.Digest[:], digest.Key) != len(entry.Digest) {
		return entry, false
	}
	entry.Status = crash.Status(digest.Payload[0])
	entry.Remaining = time.Duration(binary.BigEndian.Uint32(digest.Payload[1:])) * time.Second
	return entry, true
}

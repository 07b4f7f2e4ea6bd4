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
		Deliver:         d.delivered,
		MemberChanged:   d.memberChanged,
		Log:             d.log,
		Registry:        d.counters.Registry(),
		ObserveBytes:    func(bytes int) { d.meter.Spent(budget.Membership, bytes) },
		ObserveStepTime: func(took time.Duration) { d.meter.Worked(budget.Membership, took) },
	})
	d.fleet = fleet.New(d.Host(), d.members, d.versions, d.changed)
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

// quotaHome returns the home of a customer's pool.
func (d *Daemon) quotaHome(customer names.Customer) (names.Host, bool) {
	home, ok := d.fleet.View().Assigner.Home("quota/" + string(customer))
	return home.Host, ok
}

// readHosts tells the membership which hosts the platform and the settings
// name.
func (d *Daemon) readHosts(ctx context.Context) {
	d.hosts.read(ctx, d.platform)
	seeds := slices.Clone(d.settings.Peer.Seeds)
	for _, entry := range d.hosts.Entries() {
		seeds = append(seeds, entry.Host)
	}
	d.members.SetSeeds(seeds)
}

// forgetAfter is how long the connection to a daemon that has left is kept: the
// ends of its last answers may still be on their way.
const forgetAfter = 30 * time.Second

// memberChanged closes the connection to a daemon that is dead, so that
// requests which wait for it are taken up elsewhere, or has left.
func (d *Daemon) memberChanged(member core.Member) {
	switch member.State {
	case core.Dead:
		d.pool.Remove(member.Host)
	case core.Left:
		time.AfterFunc(forgetAfter, func() {
			if d.fleet.IncarnationOf(member.Host) == 0 {
				d.pool.Remove(member.Host)
			}
		})
	default:
	}
}

// delivered takes in what another daemon told.
func (d *Daemon) delivered(a core.Deliver) {
	switch a.Digest.Kind {
	case gossip.Version:
		held := distribution.VersionID{Version: names.Version(a.Digest.Sequence), Digest: names.Digest(a.Digest.Payload)}
		d.distributor.Told(a.From, held)
	case gossip.Crash:
		if entry, ok := decodeCrash(a.Digest); ok {
			d.dispatcher.Crashes.Learn([]crash.Entry{entry})
		}
	}
}

// tellCrash passes a prompt's standing on to the other daemons.
func (d *Daemon) tellCrash(entry crash.Entry) {
	d.members.Publish(core.Digest{
		Kind: gossip.Crash, Key: string(entry.Digest[:]), Sequence: crashSequence(entry, time.Now()), Payload: encodeCrash(entry),
	})
}

// crashSequence grows with time, and within a second with the standing, so
// that news replaces what was told of an earlier crash of the same prompt.
// Receivers never lower a standing.
func crashSequence(entry crash.Entry, now time.Time) uint64 {
	const standingBits = 2
	return uint64(now.Unix())<<standingBits | uint64(entry.Status)
}

// crashPayloadBytes is the length of a crash digest's payload: the standing
// and how many seconds it lasts.
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

package membership

import (
	"net/netip"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Format is the version of the datagram format that this release sends. Datagrams
// of any other version are dropped.
const Format = 1

// Maximum lengths of the lists in a received datagram.
const (
	maxUpdates = 256
	maxDigests = 256
)

func encode(d *core.Datagram) ([]byte, error) {
	message := &peerpb.Datagram{
		Format:   Format,
		Purpose:  uint32(d.Purpose),
		From:     toUpdate(&core.Update{Member: d.From}),
		To:       uint64(d.To),
		Sequence: d.Sequence,
		About:    encodeHost(d.PingHost),
		Table:    d.TableHash,
		Counted:  uint32(d.ActiveMembers),
		Known:    d.KnownFilter,
		More:     d.More,
	}
	for i := range d.Updates {
		message.Updates = append(message.Updates, toUpdate(&d.Updates[i]))
	}
	for i := range d.Digests {
		message.Digests = append(message.Digests, toDigest(&d.Digests[i]))
	}
	packet, err := proto.Marshal(message)
	return packet, errors.Wrap(err, "datagram: marshal")
}

func decode(packet []byte) (core.Datagram, error) {
	var message peerpb.Datagram
	if err := proto.Unmarshal(packet, &message); err != nil {
		return core.Datagram{}, errors.Wrap(err, "datagram: unmarshal")
	}
	if message.GetFormat() != Format || message.GetPurpose() >= uint32(core.Purposes) || message.GetFrom() == nil {
		return core.Datagram{}, errors.New("datagram: unknown format or purpose, or no sender")
	}
	if len(message.GetUpdates()) > maxUpdates || len(message.GetDigests()) > maxDigests {
		return core.Datagram{}, errors.New("datagram: too many updates or digests")
	}
	return fromMessage(&message)
}

func fromMessage(message *peerpb.Datagram) (core.Datagram, error) {
	from, err := fromUpdate(message.GetFrom())
	if err != nil {
		return core.Datagram{}, err
	}
	pingHost, err := decodeHost(message.GetAbout())
	if err != nil {
		return core.Datagram{}, err
	}
	d := core.Datagram{
		Purpose:       core.Purpose(message.GetPurpose()),
		From:          from.Member,
		To:            names.Incarnation(message.GetTo()),
		Sequence:      message.GetSequence(),
		PingHost:      pingHost,
		TableHash:     message.GetTable(),
		ActiveMembers: int(message.GetCounted()),
		KnownFilter:   message.GetKnown(),
		More:          message.GetMore(),
	}
	return d, addLists(&d, message)
}

// addLists decodes the updates and digests of a message into d.
func addLists(d *core.Datagram, message *peerpb.Datagram) error {
	for _, m := range message.GetUpdates() {
		update, err := fromUpdate(m)
		if err != nil {
			return err
		}
		d.Updates = append(d.Updates, update)
	}
	for _, m := range message.GetDigests() {
		if m.GetKind() >= uint32(gossip.Kinds) || len(m.GetPayload()) > core.MaxPayloadBytes {
			return errors.New("datagram: digest of an unknown kind or too large")
		}
		d.Digests = append(d.Digests, core.Digest{
			Kind: gossip.Kind(m.GetKind()), Key: string(m.GetKey()), Sequence: m.GetSequence(), Payload: m.GetPayload(),
		})
	}
	return nil
}

func toUpdate(u *core.Update) *peerpb.MemberUpdate {
	return &peerpb.MemberUpdate{
		Host:        encodeHost(u.Host),
		DataCentre:  string(u.DataCentre),
		Incarnation: uint64(u.Incarnation),
		Refutation:  u.Refutation,
		State:       uint32(u.State),
		Draining:    u.Draining,
		Version:     uint64(u.Version),
		DeadForMs:   uint64(u.DeadFor.Milliseconds()),
	}
}

func fromUpdate(m *peerpb.MemberUpdate) (core.Update, error) {
	host, err := decodeHost(m.GetHost())
	if err != nil {
		return core.Update{}, err
	}
	if host == "" || m.GetState() > uint32(core.Left) {
		return core.Update{}, errors.New("datagram: member without a host or with an unknown state")
	}
	return core.Update{
		Member: core.Member{
			Host:        host,
			DataCentre:  names.DataCentre(m.GetDataCentre()),
			Incarnation: names.Incarnation(m.GetIncarnation()),
			Refutation:  m.GetRefutation(),
			State:       core.State(m.GetState()),
			Draining:    m.GetDraining(),
			Version:     names.Version(m.GetVersion()),
		},
		DeadFor: time.Duration(m.GetDeadForMs()) * time.Millisecond,
	}, nil
}

func toDigest(d *core.Digest) *peerpb.GossipDigest {
	return &peerpb.GossipDigest{Kind: uint32(d.Kind), Key: []byte(d.Key), Sequence: d.Sequence, Payload: d.Payload}
}

// encodeHost returns the binary form of a host's IP address and port, or nil if
// the host is not an IP address and port.
func encodeHost(h names.Host) []byte {
	address, err := netip.ParseAddrPort(string(h))
	if err != nil {
		return nil
	}
	encoded, _ := address.MarshalBinary() // MarshalBinary never returns an error
	return encoded
}

// decodeHost returns the host of encodeHost's result. It returns an empty host for
// no bytes.
func decodeHost(encoded []byte) (names.Host, error) {
	if len(encoded) == 0 {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(encoded); err != nil {
		return "", errors.Wrap(err, "datagram: decode host")
	}
	return names.Host(address.String()), nil
}

package membership

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/serving/peerpb"
)

// Format is the version of the datagrams' encoding. Others are refused.
const Format = 1

// ErrGarbled is a datagram that was opened but makes no sense.
var ErrGarbled = errors.New("membership: garbled datagram")

func encode(d *membership.Datagram) ([]byte, error) {
	about, err := packHost(d.About)
	if err != nil {
		return nil, err
	}
	from, err := packMember(&membership.Update{Member: d.From})
	if err != nil {
		return nil, err
	}
	message := &peerpb.GossipDatagram{
		Format:   Format,
		Purpose:  uint32(d.Purpose),
		From:     from,
		To:       uint64(d.To),
		Sequence: d.Sequence,
		About:    about,
		Table:    d.Table,
		Counted:  uint32(max(0, d.Counted)),
		Known:    d.Known,
		More:     d.More,
	}
	for i := range d.Updates {
		entry, err := packMember(&d.Updates[i])
		if err != nil {
			return nil, err
		}
		message.Updates = append(message.Updates, entry)
	}
	for i := range d.Digests {
		message.Digests = append(message.Digests, packDigest(&d.Digests[i]))
	}
	bytes, err := proto.Marshal(message)
	return bytes, errors.WithStack(err)
}

func decode(bytes []byte) (*membership.Datagram, error) {
	var message peerpb.GossipDatagram
	if err := proto.Unmarshal(bytes, &message); err != nil {
		return nil, errors.Wrap(ErrGarbled, err.Error())
	}
	if message.GetFormat() != Format || message.GetPurpose() >= uint32(membership.Purposes) || message.GetFrom() == nil {
		return nil, ErrGarbled
	}
	from, err := unpackMember(message.GetFrom())
	if err != nil {
		return nil, err
	}
	about, err := unpackHost(message.GetAbout())
	if err != nil {
		return nil, err
	}
	d := &membership.Datagram{
		Purpose:  membership.Purpose(message.GetPurpose()),
		From:     from.Member,
		To:       names.Incarnation(message.GetTo()),
		Sequence: message.GetSequence(),
		About:    about,
		Table:    message.GetTable(),
		Counted:  int(message.GetCounted()),
		Known:    message.GetKnown(),
		More:     message.GetMore(),
	}
	return d, unpackLists(&message, d)
}

func unpackLists(message *peerpb.GossipDatagram, d *membership.Datagram) error {
	for _, entry := range message.GetUpdates() {
		u, err := unpackMember(entry)
		if err != nil {
			return err
		}
		d.Updates = append(d.Updates, u)
	}
	for _, digest := range message.GetDigests() {
		if digest.GetKind() >= uint32(gossip.Kinds) {
			return ErrGarbled
		}
		d.Digests = append(d.Digests, membership.Digest{
			Kind:     gossip.Kind(digest.GetKind()),
			Key:      digest.GetKey(),
			Sequence: digest.GetSequence(),
			Payload:  digest.GetPayload(),
		})
	}
	return nil
}

func packDigest(d *membership.Digest) *peerpb.GossipDigest {
	return &peerpb.GossipDigest{Kind: uint32(d.Kind), Key: d.Key, Sequence: d.Sequence, Payload: d.Payload}
}

func packMember(u *membership.Update) (*peerpb.MemberEntry, error) {
	host, err := packHost(u.Host)
	if err != nil {
		return nil, err
	}
	return &peerpb.MemberEntry{
		Host:        host,
		DataCentre:  string(u.DataCentre),
		Incarnation: uint64(u.Incarnation),
		Refutation:  u.Refutation,
		State:       uint32(u.State),
		Draining:    u.Draining,
		Version:     uint64(u.Version),
		DeadSeconds: uint32(max(0, u.DeadFor/time.Second)),
	}, nil
}

func unpackMember(entry *peerpb.MemberEntry) (membership.Update, error) {
	host, err := unpackHost(entry.GetHost())
	if err != nil {
		return membership.Update{}, err
	}
	if host == "" || entry.GetState() > uint32(membership.Left) {
		return membership.Update{}, ErrGarbled
	}
	return membership.Update{
		Member: membership.Member{
			Host:        host,
			DataCentre:  names.DataCentre(entry.GetDataCentre()),
			Incarnation: names.Incarnation(entry.GetIncarnation()),
			Refutation:  entry.GetRefutation(),
			State:       membership.State(entry.GetState()),
			Draining:    entry.GetDraining(),
			Version:     names.Version(entry.GetVersion()),
		},
		DeadFor: time.Duration(entry.GetDeadSeconds()) * time.Second,
	}, nil
}

// packHost returns the shortest form of a host's address.
func packHost(h names.Host) ([]byte, error) {
	if h == "" {
		return nil, nil
	}
	address, err := netip.ParseAddrPort(string(h))
	if err != nil {
		return nil, errors.Wrap(err, "host address")
	}
	packed, err := address.MarshalBinary()
	return packed, errors.WithStack(err)
}

func unpackHost(packed []byte) (names.Host, error) {
	if len(packed) == 0 {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(packed); err != nil || !address.IsValid() {
		return "", ErrGarbled
	}
	return names.Host(address.String()), nil
}

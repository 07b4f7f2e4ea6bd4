package distribution

import (
	"context"
	"io"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/distribution"
	"carobspoke.example/core/version/pages"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// messageFormat is the format version of the messages between daemons.
const messageFormat = 1

// queryPeer asks a peer which version it has in force.
func (d *Distributor) queryPeer(ctx context.Context, host names.Host) {
	queryCtx, cancel := context.WithTimeout(ctx, QueryTimeout)
	defer cancel()
	client, err := d.client(host)
	if err != nil {
		return
	}
	reply, err := client.Held(queryCtx, &peerpb.HeldRequest{Format: messageFormat})
	if err != nil {
		return
	}
	held := core.VersionID{Version: names.Version(reply.GetVersion()), Digest: names.Digest(reply.GetDigest())}
	d.post(ctx, core.PeerVersion{From: host, VersionID: held})
}

func (d *Distributor) client(host names.Host) (peerpb.ManifestsClient, error) {
	conn, err := d.config.Peers.Dial(host)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", host)
	}
	return peerpb.NewManifestsClient(conn), nil
}

// fetchPeer fetches the root and the missing pages of a version from a peer.
func (d *Distributor) fetchPeer(ctx context.Context, a core.FetchPeer) {
	fetchCtx, cancel := context.WithTimeout(ctx, FetchTimeout)
	defer cancel()
	d.post(ctx, d.fetchFromPeer(fetchCtx, a))
}

func (d *Distributor) fetchFromPeer(ctx context.Context, a core.FetchPeer) core.Event {
	client, err := d.client(a.Host)
	if err != nil {
		return core.FetchFailed{VersionID: a.VersionID, Failure: core.Unreachable}
	}
	root, err := d.fetchRoot(ctx, client, a.VersionID)
	if err == nil {
		err = d.fetchPages(ctx, client, root)
	}
	if err != nil {
		d.config.Logger.Info("fetch from a peer failed", zap.String("peer", string(a.Host)),
			zap.Uint64("version", uint64(a.VersionID.Version)), zap.Error(err))
		return core.FetchFailed{VersionID: a.VersionID, Failure: peerFailure(err)}
	}
	return d.assemble(root)
}

// errNotYet means that a peer does not have a version yet, or not all its pages.
var errNotYet = errors.New("the peer does not have the version yet")

func peerFailure(err error) core.Failure {
	switch {
	case errors.Is(err, errNotYet):
		return core.NotYet
	case errors.Is(err, pages.ErrInvalidManifest):
		return core.BadContent
	case errors.Is(err, pages.ErrUntrusted):
		return core.BadSource
	default:
		return core.Unreachable
	}
}

// fetchRoot fetches the root of a version from a peer, verifies it, and stores it
// and the pages that came with it as deltas.
func (d *Distributor) fetchRoot(ctx context.Context, client peerpb.ManifestsClient, h core.VersionID) (*pages.Root, error) {
	d.mutex.Lock()
	newest := d.store.Current()
	d.mutex.Unlock()
	request := &peerpb.RootRequest{Format: messageFormat, Digest: string(h.Digest)}
	if newest != nil {
		request.Have = string(newest.Digest)
	}
	reply, err := client.Root(ctx, request)
	if err != nil {
		return nil, errors.Wrap(err, "root")
	}
	if reply.GetNotYet() {
		return nil, errNotYet
	}
	signed, err := signedRoot(reply, newest)
	if err != nil {
		return nil, err
	}
	d.counts.bytesIn.Inc(replyBytes(reply))
	root, err := pages.ParseRoot(signed, d.config.Keys)
	if err != nil {
		return nil, err
	}
	if versionIDOf(root) != h {
		return nil, errors.Wrap(pages.ErrUntrusted, "the peer sent another version")
	}
	d.storeRoot(root, deltasFromMessages(reply.GetPages()))
	return root, nil
}

// signedRoot returns the signed root of a reply, which may be a delta from the
// newest root of this daemon.
func signedRoot(reply *peerpb.RootReply, newest *pages.Root) ([]byte, error) {
	if reply.GetDelta() == nil {
		return reply.GetSigned(), nil
	}
	if newest == nil {
		return nil, errors.Wrap(pages.ErrUntrusted, "the peer sent a delta, but this daemon has no root to apply it to")
	}
	return deltaFromMessage(reply.GetDelta()).Apply(newest.Signed)
}

// fetchPages fetches the pages that are still missing and stores them. It
// returns errNotYet if the peer did not send all of them.
func (d *Distributor) fetchPages(ctx context.Context, client peerpb.ManifestsClient, root *pages.Root) error {
	d.mutex.Lock()
	missing := root.Missing(d.store.HasPage)
	d.mutex.Unlock()
	if len(missing) == 0 {
		return nil
	}
	request := &peerpb.PagesRequest{Format: messageFormat}
	wanted := map[names.Digest]pages.Ref{}
	for _, ref := range missing {
		request.Digests = append(request.Digests, string(ref.Digest))
		wanted[ref.Digest] = ref
	}
	stream, err := client.Pages(ctx, request)
	if err != nil {
		return errors.Wrap(err, "pages")
	}
	for {
		reply, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrap(err, "pages")
		}
		ref, asked := wanted[names.Digest(reply.GetDigest())]
		if !asked || !d.addPage(ref, reply.GetData()) {
			return errors.Wrapf(pages.ErrUntrusted, "the peer sent page %q, which was not requested or has another digest", reply.GetDigest())
		}
	}
	return d.checkComplete(root)
}

// checkComplete returns errNotYet if pages of a root are missing.
func (d *Distributor) checkComplete(root *pages.Root) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(root.Missing(d.store.HasPage)) > 0 {
		return errNotYet
	}
	return nil
}

func deltaFromMessage(d *peerpb.TextDelta) pages.Delta {
	delta := pages.Delta{From: names.Digest(d.GetFrom()), To: names.Digest(d.GetTo())}
	for _, op := range d.GetOps() {
		delta.Ops = append(delta.Ops, pages.Op{Offset: int(op.GetOffset()), Length: int(op.GetLength()), Insert: op.GetInsert()})
	}
	return delta
}

func deltasFromMessages(list []*peerpb.TextDelta) []pages.Delta {
	deltas := make([]pages.Delta, 0, len(list))
	for _, d := range list {
		deltas = append(deltas, deltaFromMessage(d))
	}
	return deltas
}

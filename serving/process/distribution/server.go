package distribution

import (
	"context"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/pages"
	"carobspoke.example/serving/peerpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// Limits of what this daemon serves to peers.
const (
	// maxPageStreams bounds the streams of pages to peers at a time; further
	// calls are refused with ResourceExhausted and may be retried.
	maxPageStreams = 8
	// maxCachedReplies bounds the cache of replies with deltas.
	maxCachedReplies = 8
)

// Register adds the Manifests service to a gRPC server.
func (d *Distributor) Register(registrar grpc.ServiceRegistrar) {
	peerpb.RegisterManifestsServer(registrar, &server{d: d, slots: make(chan struct{}, maxPageStreams)})
}

// server implements the Manifests service for peers.
type server struct {
	peerpb.UnimplementedManifestsServer
	d     *Distributor
	slots chan struct{}
}

// Held implements Manifests.
func (s *server) Held(context.Context, *peerpb.HeldRequest) (*peerpb.HeldReply, error) {
	held := s.d.Status().InForce
	return &peerpb.HeldReply{Version: uint64(held.Version), Digest: string(held.Digest)}, nil
}

// Root implements Manifests.
func (s *server) Root(_ context.Context, request *peerpb.RootRequest) (*peerpb.RootReply, error) {
	reply := s.d.rootReply(names.Digest(request.GetDigest()), names.Digest(request.GetHave()))
	s.d.counts.bytesOut.Inc(replyBytes(reply))
	return reply, nil
}

// Pages implements Manifests.
func (s *server) Pages(request *peerpb.PagesRequest, stream grpc.ServerStreamingServer[peerpb.PageReply]) error {
	if len(request.GetDigests()) > pages.MaxPages {
		return status.Error(codes.InvalidArgument, "too many pages asked for")
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return status.Error(codes.ResourceExhausted, "too many peers are being served")
	}
	for _, digest := range request.GetDigests() {
		data, held := s.d.page(names.Digest(digest))
		if !held {
			continue
		}
		s.d.counts.bytesOut.Inc(int64(len(data)))
		if err := stream.Send(&peerpb.PageReply{Digest: digest, Data: data}); err != nil {
			return err
		}
	}
	return nil
}

// replyCache caches replies with deltas by the digests of the wanted root and of
// the root that the peer has, since many peers request the same few.
type replyCache struct {
	replies map[[2]names.Digest]*peerpb.RootReply
}

func (c *replyCache) put(key [2]names.Digest, reply *peerpb.RootReply) {
	if c.replies == nil || len(c.replies) >= maxCachedReplies {
		c.replies = map[[2]names.Digest]*peerpb.RootReply{}
	}
	c.replies[key] = reply
}

// rootReply returns the reply with a root that is or was in force, as a delta if
// the root that the peer has is stored, or else the whole signed root. The reply
// is NotYet if the wanted root is not stored.
func (d *Distributor) rootReply(want, have names.Digest) *peerpb.RootReply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	key := [2]names.Digest{want, have}
	if reply, known := d.replies.replies[key]; known {
		return reply
	}
	root, held := d.store.CommittedRoot(want)
	if !held {
		return &peerpb.RootReply{NotYet: true}
	}
	old, known := d.store.CommittedRoot(have)
	reply := &peerpb.RootReply{Signed: root.Signed}
	if known {
		reply = d.deltaReply(old, root)
	}
	d.replies.put(key, reply)
	return reply
}

func (d *Distributor) deltaReply(old, root *pages.Root) *peerpb.RootReply {
	delta := pages.NewDelta(pages.DigestOf(old.Signed), old.Signed, pages.DigestOf(root.Signed), root.Signed)
	reply := &peerpb.RootReply{Delta: deltaMessage(delta)}
	for _, delta := range d.store.Deltas(old, root) {
		reply.Pages = append(reply.Pages, deltaMessage(delta))
	}
	return reply
}

func deltaMessage(d pages.Delta) *peerpb.TextDelta {
	message := &peerpb.TextDelta{From: string(d.From), To: string(d.To)}
	for _, op := range d.Ops {
		message.Ops = append(message.Ops, &peerpb.DeltaOp{Offset: int64(op.Offset), Length: int64(op.Length), Insert: op.Insert})
	}
	return message
}

func replyBytes(reply *peerpb.RootReply) int64 { return int64(proto.Size(reply)) }

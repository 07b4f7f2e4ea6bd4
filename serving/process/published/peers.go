package published

import (
	"context"
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
)

// peerTimeout bounds a read from a peer, whose connection is new: peers that
// have just died are still listed.
const peerTimeout = 600 * time.Millisecond

// Server gives peers the records of a follower.
type Server struct {
	peerpb.UnimplementedPublicationsServer
	Records func(after uint64) Batch
}

// Read implements peerpb.PublicationsServer.
func (s *Server) Read(_ context.Context, r *peerpb.PublishedRequest) (*peerpb.PublishedReply, error) {
	batch := s.Records(r.GetAfter())
	reply := &peerpb.PublishedReply{Revision: batch.Revision, Whole: batch.Whole}
	for i := range batch.Records {
		record := &batch.Records[i]
		reply.Records = append(reply.Records, &peerpb.PublishedRecord{
			Key: record.Key, Value: record.Value, Revision: record.Revision, Deleted: record.Deleted,
		})
	}
	return reply, nil
}

// Client reads from peers.
type Client struct {
	// Hosts returns the peers that may be asked.
	Hosts func() []names.Host
	Pool  *peers.Pool
}

// Read implements Peers.
func (c *Client) Read(ctx context.Context, from names.Host, after uint64) (Batch, error) {
	if from == "" {
		hosts := c.Hosts()
		if len(hosts) == 0 {
			return Batch{}, errors.New("published: no peer is known")
		}
		from = hosts[rand.IntN(len(hosts))]
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := c.Pool.Conn(from)
	if err != nil {
		return Batch{}, err
	}
	reply, err := peerpb.NewPublicationsClient(conn).Read(ctx, &peerpb.PublishedRequest{After: after})
	if err != nil {
		c.Pool.Forget(from)
		return Batch{}, errors.Wrapf(err, "peer %s", from)
	}
	batch := Batch{Revision: reply.GetRevision(), Whole: reply.GetWhole()}
	for _, r := range reply.GetRecords() {
		batch.Records = append(batch.Records, Record{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Deleted: r.GetDeleted()})
	}
	return batch, nil
}

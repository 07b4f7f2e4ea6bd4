package published

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
)

// peerTimeout bounds a read from a peer, whose connection is new: peers that
// have just died are still listed.
const peerTimeout = 900 * time.Millisecond

// Compression of large values: a configuration of many routes shrinks to a
// tenth, and a watcher gives it to all daemons of its data centre.
const (
	// packFrom is the size from which a value is compressed, in bytes.
	packFrom = 4 << 10
	// maxUnpacked bounds a value, in bytes; the source's own bound is 1 MB.
	maxUnpacked = 8 << 20
	// keptPacked is how many compressed values are kept.
	keptPacked = 4
)

// Server gives peers the records of a follower.
type Server struct {
	peerpb.UnimplementedPublicationsServer
	Records func(after uint64) Batch

	mu     sync.Mutex
	packed map[string]packedValue
}

type packedValue struct {
	revision uint64
	bytes    []byte
}

// Read implements peerpb.PublicationsServer.
func (s *Server) Read(_ context.Context, r *peerpb.PublishedRequest) (*peerpb.PublishedReply, error) {
	batch := s.Records(r.GetAfter())
	reply := &peerpb.PublishedReply{Revision: batch.Revision, Whole: batch.Whole, Settled: batch.Settled}
	for i := range batch.Records {
		record, err := s.pack(&batch.Records[i])
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, record)
	}
	return reply, nil
}

func (s *Server) pack(r *Record) (*peerpb.PublishedRecord, error) {
	out := &peerpb.PublishedRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted}
	if len(r.Value) < packFrom {
		return out, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, ok := s.packed[r.Key]
	if !ok || kept.revision != r.Revision {
		bytes, err := compress(r.Value)
		if err != nil {
			return nil, err
		}
		kept = packedValue{revision: r.Revision, bytes: bytes}
		if s.packed == nil || len(s.packed) >= keptPacked {
			s.packed = make(map[string]packedValue)
		}
		s.packed[r.Key] = kept
	}
	out.Value, out.Packed = kept.bytes, true
	return out, nil
}

func compress(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "published")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "published")
	}
	err = writer.Close()
	return buffer.Bytes(), errors.Wrap(err, "published")
}

func uncompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "published")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxUnpacked))
	return value, errors.Wrap(err, "published")
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
		c.Pool.Remove(from)
		return Batch{}, errors.Wrapf(err, "peer %s", from)
	}
	batch := Batch{Revision: reply.GetRevision(), Whole: reply.GetWhole(), Settled: reply.GetSettled()}
	for _, r := range reply.GetRecords() {
		if r.GetPacked() {
			if r.Value, err = uncompress(r.GetValue()); err != nil {
				return Batch{}, err
			}
		}
		batch.Records = append(batch.Records, Record{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Deleted: r.GetDeleted()})
	}
	return batch, nil
}

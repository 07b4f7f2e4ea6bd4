package published

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/boottime"
	"github.com/pkg/errors"
)

// peerReadTimeout bounds a read from a peer, which may include setting up the
// connection. It is short since a peer that has just failed may still be listed.
const peerReadTimeout = 900 * time.Millisecond

// Compression of large values. A configuration of many routes shrinks to a tenth,
// and a watcher sends it to all daemons of its data centre.
const (
	// compressMinBytes is the smallest size of a value that is compressed, in
	// bytes.
	compressMinBytes = 4 << 10
	// maxValueBytes bounds a decompressed value, in bytes. The source
	// limits values to 1 MB.
	maxValueBytes = 8 << 20
	// maxCompressedValues bounds the compressed values that are cached.
	maxCompressedValues = 4
)

// Server serves the records of a follower to peers.
type Server struct {
	peerpb.UnimplementedPublicationsServer
	// Records returns the records after a position, as Follower.Records does.
	Records func(after replicas.Position) Batch
	// Incarnation is that of this daemon. Readers relate its clock to theirs.
	Incarnation names.Incarnation

	mu         sync.Mutex
	compressed map[string]compressedValue
}

type compressedValue struct {
	revision uint64
	bytes    []byte
}

// Read implements peerpb.PublicationsServer.
func (s *Server) Read(_ context.Context, r *peerpb.PublishedRequest) (*peerpb.PublishedReply, error) {
	clock := boottime.Now() // the sooner after the request has arrived, the more exact
	batch := s.Records(replicas.Position{Era: r.GetEra(), Revision: r.GetAfter()})
	reply := &peerpb.PublishedReply{
		Era: batch.Position.Era, Revision: batch.Position.Revision, Whole: batch.Complete, Settled: batch.Settled,
		Incarnation: uint64(s.Incarnation),
	}
	if clock > 0 {
		reply.ClockMs = uint64(clock.Milliseconds()) + 1 // rounded up
	}
	if !batch.ConfirmedAt.IsZero() {
		age := uint32(min(time.Since(batch.ConfirmedAt).Milliseconds()+1, math.MaxUint32)) // rounded up
		reply.ConfirmedMs = &age
	}
	for key, left := range batch.Suspended {
		reply.Suspended = append(reply.Suspended, &peerpb.SuspendedTarget{Key: key, LeftMs: uint32(left.Milliseconds())})
	}
	for i := range batch.Records {
		record, err := s.encodeRecord(&batch.Records[i])
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, record)
	}
	return reply, nil
}

// encodeRecord encodes a record for a peer. Large values are compressed, once a
// revision: the result is cached.
func (s *Server) encodeRecord(r *Record) (*peerpb.PublishedRecord, error) {
	out := &peerpb.PublishedRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted}
	if len(r.Value) < compressMinBytes {
		return out, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cached, ok := s.compressed[r.Key]
	if !ok || cached.revision != r.Revision {
		bytes, err := compress(r.Value)
		if err != nil {
			return nil, err
		}
		cached = compressedValue{revision: r.Revision, bytes: bytes}
		if s.compressed == nil || len(s.compressed) >= maxCompressedValues {
			s.compressed = make(map[string]compressedValue)
		}
		s.compressed[r.Key] = cached
	}
	out.Value, out.Packed = cached.bytes, true
	return out, nil
}

func compress(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "published: compress value")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "published: compress value")
	}
	err = writer.Close()
	return buffer.Bytes(), errors.Wrap(err, "published: compress value")
}

func decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "published: decompress value")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxValueBytes+1))
	if err == nil && len(value) > maxValueBytes {
		return nil, errors.Errorf("published: the value exceeds %d bytes", maxValueBytes)
	}
	return value, errors.Wrap(err, "published: decompress value")
}

// Client reads records from peers.
type Client struct {
	// Hosts returns the peers that may be read from.
	Hosts func() []names.Host
	Pool  *peers.Pool
	// ObserveClock receives that a peer read its clock after this daemon had asked it, each
	// by its own clock since its boot. It may be nil.
	ObserveClock func(of names.Host, incarnation names.Incarnation, asked, read time.Duration)
}

// Read implements Peers. An empty host stands for one of Hosts, chosen at random.
func (c *Client) Read(ctx context.Context, from names.Host, after replicas.Position) (Batch, error) {
	if from == "" {
		hosts := c.Hosts()
		if len(hosts) == 0 {
			return Batch{}, errors.New("published: no peer to read from")
		}
		from = hosts[rand.IntN(len(hosts))]
	}
	ctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	conn, err := c.Pool.Conn(from)
	if err != nil {
		return Batch{}, err
	}
	asked, sent := boottime.Now(), time.Now()
	reply, err := peerpb.NewPublicationsClient(conn).Read(ctx, &peerpb.PublishedRequest{After: after.Revision, Era: after.Era})
	if err != nil {
		c.Pool.Remove(from)
		return Batch{}, errors.Wrapf(err, "published: read from peer %s", from)
	}
	if clock := reply.GetClockMs(); clock > 0 && c.ObserveClock != nil {
		c.ObserveClock(from, names.Incarnation(reply.GetIncarnation()), asked, time.Duration(clock)*time.Millisecond)
	}
	batch := Batch{
		Position: replicas.Position{Era: reply.GetEra(), Revision: reply.GetRevision()}, Complete: reply.GetWhole(), Settled: reply.GetSettled(),
		Peer: from,
	}
	if reply.ConfirmedMs != nil {
		batch.ConfirmedAt = sent.Add(-time.Duration(reply.GetConfirmedMs()) * time.Millisecond)
	}
	for _, s := range reply.GetSuspended() {
		if batch.Suspended == nil {
			batch.Suspended = make(map[string]time.Duration)
		}
		batch.Suspended[s.GetKey()] = time.Duration(s.GetLeftMs()) * time.Millisecond
	}
	for _, r := range reply.GetRecords() {
		if r.GetPacked() {
			if r.Value, err = decompress(r.GetValue()); err != nil {
				return Batch{}, err
			}
		}
		batch.Records = append(batch.Records, Record{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Deleted: r.GetDeleted()})
	}
	return batch, nil
}

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
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
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

	mu sync.Mutex
	// compressed holds compressed values by the first byte of the value, which is never
	// modified. Revisions do not tell the values of a key apart: a record may have none.
	compressed map[*byte][]byte
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

// encodeRecord encodes a record for a peer. Large values are compressed once: the
// result is cached.
func (s *Server) encodeRecord(r *Record) (*peerpb.PublishedRecord, error) {
	out := &peerpb.PublishedRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted}
	if len(r.Value) < compressMinBytes {
		return out, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	packed, ok := s.compressed[&r.Value[0]]
	if !ok {
		var err error
		if packed, err = compress(r.Value); err != nil {
			return nil, err
		}
		if s.compressed == nil || len(s.compressed) >= maxCompressedValues {
			s.compressed = make(map[*byte][]byte)
		}
		s.compressed[&r.Value[0]] = packed
	}
	out.Value, out.Packed = packed, true
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

	mu sync.Mutex
	// late counts the reads from a peer that were late since its last answer.
	late map[names.Host]int
}

// maxLateReads is the number of consecutive late reads after which a connection counts as broken. A
// single one may be due to a slow peer, and other calls share the connection.
const maxLateReads = 2

// recordResult closes the connection to a peer if the result of a read shows that it is broken.
func (c *Client) recordResult(of names.Host, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.late, of)
		return
	}
	if status.Code(err) == codes.DeadlineExceeded && c.late[of]+1 < maxLateReads {
		if c.late == nil {
			c.late = make(map[names.Host]int)
		}
		c.late[of]++
		return
	}
	delete(c.late, of)
	c.Pool.Remove(of)
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
	c.recordResult(from, err)
	if err != nil {
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

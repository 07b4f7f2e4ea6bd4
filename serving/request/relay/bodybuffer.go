package relay

import (
	"io"
	"sync"
)

const (
	// firstBodyBytes is the size of the first buffer for a body. It is doubled up to
	// chunkBytes as the body arrives, so that a stated length alone takes no memory.
	firstBodyBytes = 8 << 10
	// chunkBytes is the size of the further buffers of a body. They are used again: bodies
	// that do not complete would otherwise leave the garbage collector as much as they
	// have sent.
	chunkBytes = 64 << 10
	// maxFreeChunks bounds the buffers that are kept for use, 4 MB.
	maxFreeChunks = 64
	// probeBytes is read before a full buffer grows, in case the body has ended.
	probeBytes = 512
	// progressBytes is how much arrives before the account is told that the body makes
	// progress.
	progressBytes = 4 << 10
)

// chunks are buffers of chunkBytes for use. They are safe for concurrent use.
type chunks struct {
	mu   sync.Mutex
	list [][]byte
}

// get returns an empty buffer.
func (c *chunks) get() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.list) - 1
	if last < 0 {
		return make([]byte, 0, chunkBytes)
	}
	chunk := c.list[last]
	c.list[last] = nil
	c.list = c.list[:last]
	return chunk[:0]
}

// put takes a buffer back. Nothing may use it any more.
func (c *chunks) put(chunk []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cap(chunk) == chunkBytes && len(c.list) < maxFreeChunks {
		c.list = append(c.list, chunk)
	}
}

// bodyBuffer holds a body while it arrives.
type bodyBuffer struct {
	account account
	from    io.Reader
	// most is the size beyond which the first buffer does not grow.
	most int64
	free *chunks
	// parts are the buffers. All are full but the last.
	parts [][]byte
	// size is the sum of their bytes, held that of their capacities.
	size, held int64
	// received is what has arrived since the account was last told.
	received int
}

// read reads until an error, which is io.EOF at the end of the body.
func (b *bodyBuffer) read() error {
	for {
		last := len(b.parts) - 1
		if last < 0 || len(b.parts[last]) == cap(b.parts[last]) {
			if err := b.makeRoom(); err != nil {
				return err
			}
			continue
		}
		part := b.parts[last]
		n, err := b.from.Read(part[len(part):cap(part)])
		b.add(part[len(part) : len(part)+n])
		switch {
		case err != nil:
			return err //nolint:wrapcheck // the caller asks what kind of error it is
		case b.received >= progressBytes:
			if !b.account.GrowBody(0, b.received) {
				return errNoRoom
			}
			b.received = 0
		}
	}
}

// add appends bytes to the last buffer, which has room for them.
func (b *bodyBuffer) add(p []byte) {
	last := len(b.parts) - 1
	b.parts[last] = append(b.parts[last], p...)
	b.size += int64(len(p))
	b.received += len(p)
}

// makeRoom makes room for more, unless the body has ended.
func (b *bodyBuffer) makeRoom() error {
	var probe [probeBytes]byte
	n := 0
	for n == 0 && b.size > 0 {
		var err error
		if n, err = b.from.Read(probe[:]); err != nil && n == 0 {
			return err //nolint:wrapcheck // as in read
		}
	}
	size := int64(chunkBytes)
	replace := len(b.parts) == 1 && cap(b.parts[0]) < chunkBytes
	if replace || len(b.parts) == 0 {
		size = min(max(2*b.held, firstBodyBytes), chunkBytes, max(b.most, b.size+int64(n), probeBytes))
	}
	if !b.account.GrowBody(size, b.received) {
		return errNoRoom
	}
	b.held, b.received = b.held+size, 0
	grown := b.free.get
	if size < chunkBytes {
		grown = func() []byte { return make([]byte, 0, size) }
	}
	if replace {
		b.account.ShrinkBody(int64(cap(b.parts[0])))
		b.held -= int64(cap(b.parts[0]))
		b.parts[0] = append(grown(), b.parts[0]...)
	} else {
		b.parts = append(b.parts, grown())
	}
	b.add(probe[:n])
	return nil
}

// join returns the body in one piece. Its parts and the copy are accounted for while they are
// copied. The buffer must be released.
func (b *bodyBuffer) join() ([]byte, error) {
	if len(b.parts) == 1 {
		body := b.parts[0]
		b.parts, b.held = nil, 0 // the request keeps it
		return body, nil
	}
	if !b.account.GrowBody(b.size, b.received) {
		return nil, errNoRoom
	}
	body := make([]byte, 0, b.size)
	for _, part := range b.parts {
		body = append(body, part...)
	}
	return body, nil
}

// release gives up the parts.
func (b *bodyBuffer) release() {
	for _, part := range b.parts {
		b.free.put(part)
	}
	if b.held > 0 {
		b.account.ShrinkBody(b.held)
	}
	b.parts, b.held = nil, 0
}

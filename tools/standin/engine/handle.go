package engine

import (
	"time"

	"carobspoke.example/core/target"
	"github.com/pkg/errors"
)

// handle is a set of pinned blocks. If it is freed while streams use it, its
// blocks are released when the last of these streams ends.
type handle struct {
	info  target.Handle
	users int
	freed bool
	// reserved is set if the handle is reserved memory without contents.
	reserved bool
}

var (
	errNoSuchStream = errors.New("no such stream")
	errHandleExists = errors.New("the handle exists")
	errOutOfMemory  = errors.New("memory exhausted")
)

// pinLocked pins the blocks of a prefilled prompt under the handle that its
// submit names, and finishes the stream.
func (e *Server) pinLocked(s *stream) {
	info := target.Handle{ID: s.submit.PinHandle, Scope: s.submit.Scope, Blocks: s.ownBlocks, Tokens: s.localTokens}
	e.handles[info.ID] = &handle{info: info}
	s.ownBlocks = 0
	e.finishLocked(s)
}

// reserveHandle reserves memory under a handle. It is idempotent: a request for a
// reservation that exists in the same scope succeeds without effect.
func (e *Server) reserveHandle(r target.Reservation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, taken := e.handles[r.Handle]; taken {
		if held.reserved && held.info.Scope == r.Scope {
			return nil
		}
		return errHandleExists
	}
	blocks := e.config.blocksFor(r.Tokens)
	if !e.memory.reserveBlocks(blocks) {
		return errOutOfMemory
	}
	e.handles[r.Handle] = &handle{info: target.Handle{ID: r.Handle, Scope: r.Scope, Blocks: blocks}, reserved: true}
	return nil
}

// reservationLocked returns the reservation that a stream names, and whether it
// exists in the stream's scope and is large enough for the stream.
func (e *Server) reservationLocked(s *stream) (*handle, bool) {
	held, ok := e.handles[s.submit.Reservation]
	if !ok || !held.reserved || held.info.Scope != s.submit.Scope {
		return nil, false
	}
	return held, e.config.blocksFor(s.localTokens+s.endOffset) <= held.info.Blocks
}

// exportStream pins a copy of a running stream's blocks under a handle. The stream
// continues with the original blocks.
func (e *Server) exportStream(id target.StreamID, as target.HandleID) (target.Handle, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || !s.active() {
		return target.Handle{}, errNoSuchStream
	}
	if _, taken := e.handles[as]; taken {
		return target.Handle{}, errHandleExists
	}
	info, ok := e.reserveExportLocked(s, as)
	if !ok {
		return target.Handle{}, errOutOfMemory
	}
	e.handles[as] = &handle{info: info}
	return info, nil
}

// reserveExportLocked reserves blocks for the tokens that the stream has
// prefilled and decoded so far.
func (e *Server) reserveExportLocked(s *stream, as target.HandleID) (target.Handle, bool) {
	tokens := s.localTokens - max(0, s.toPrefill-s.submit.StartOffset-s.prefilled) + s.nextOffset
	info := target.Handle{ID: as, Scope: s.submit.Scope, Tokens: tokens, Blocks: e.config.blocksFor(tokens)}
	return info, e.memory.reserveBlocks(info.Blocks)
}

// freeHandle unpins a handle. Its blocks are released once no stream uses them.
func (e *Server) freeHandle(id target.HandleID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.handles[id]
	if !ok {
		return
	}
	delete(e.handles, id)
	held.freed = true
	if held.users == 0 {
		e.memory.releaseBlocks(held.info.Blocks)
	}
}

func (e *Server) releaseHandleLocked(held *handle) {
	held.users--
	if held.freed && held.users == 0 {
		e.memory.releaseBlocks(held.info.Blocks)
	}
}

// pinnedLocked returns the number of blocks of all handles.
func (e *Server) pinnedLocked() int {
	blocks := 0
	for _, held := range e.handles {
		blocks += held.info.Blocks
	}
	return blocks
}

func (e *Server) findHandle(id target.HandleID) (target.Handle, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.handles[id]
	if !ok {
		return target.Handle{}, false
	}
	return held.info, true
}

// importHandle copies a handle from another engine: it reserves the memory, waits
// for the duration of the copy and pins the blocks. It continues after its caller
// has disconnected. It fails if the source is gone at the end of the copy.
func (e *Server) importHandle(from target.Part, as target.HandleID) (target.Handle, error) {
	source, err := e.fetchPart(from)
	if err != nil {
		return target.Handle{}, err
	}
	info := target.Handle{ID: as, Scope: source.Scope, Tokens: source.Tokens, Blocks: e.config.blocksFor(source.Tokens)}
	memory, err := e.reserveImport(info)
	if err != nil {
		return target.Handle{}, err
	}
	seconds := float64(source.Tokens) / e.config.ImportRate
	time.Sleep(e.config.toRealTime(time.Duration(seconds * float64(time.Second))))
	_, gone := e.fetchPart(from)
	return info, e.finishImport(info, memory, gone)
}

func (e *Server) reserveImport(info target.Handle) (*memory, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, taken := e.handles[info.ID]; taken {
		return nil, errHandleExists
	}
	if !e.memory.reserveBlocks(info.Blocks) {
		return nil, errOutOfMemory
	}
	return e.memory, nil
}

// finishImport pins the copied blocks, or releases them if the source is gone. It
// fails if a restart or new weights cleared the memory during the copy.
func (e *Server) finishImport(info target.Handle, reserved *memory, gone error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reserved != e.memory {
		return errors.New("memory was cleared during the copy")
	}
	if gone != nil {
		e.memory.releaseBlocks(info.Blocks)
		return gone
	}
	e.handles[info.ID] = &handle{info: info}
	return nil
}

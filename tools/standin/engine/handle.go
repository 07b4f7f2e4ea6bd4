package engine

import (
	"time"

	"carobspoke.example/core/target"
	"github.com/pkg/errors"
)

// handle is a set of pinned blocks. Blocks of a handle that was freed while
// streams use it are released when the last of them ends.
type handle struct {
	info  target.Handle
	users int
	freed bool
	// reserved marks memory that was set aside and holds nothing yet.
	reserved bool
}

var (
	errNoStream = errors.New("no such stream")
	errTaken    = errors.New("the handle exists")
	errFull     = errors.New("memory exhausted")
)

// holdLocked pins a prefilled prompt under its handle and ends the stream.
func (e *Server) holdLocked(s *stream) {
	info := target.Handle{ID: s.submit.PinHandle, Scope: s.submit.Scope, Blocks: s.own, Tokens: s.prompt}
	e.handles[info.ID] = &handle{info: info}
	s.own = 0
	e.finishLocked(s)
}

// reserve sets memory aside under a handle. Asking again for the same is a
// repeat of one question.
func (e *Server) reserve(r target.Reservation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, taken := e.handles[r.Handle]; taken {
		if held.reserved && held.info.Scope == r.Scope {
			return nil
		}
		return errTaken
	}
	blocks := e.config.blocksFor(r.Tokens)
	if !e.memory.reserve(blocks) {
		return errFull
	}
	e.handles[r.Handle] = &handle{info: target.Handle{ID: r.Handle, Scope: r.Scope, Blocks: blocks}, reserved: true}
	return nil
}

// reservationLocked returns the reservation that a stream names, if it has
// room for the stream.
func (e *Server) reservationLocked(s *stream) (*handle, bool) {
	held, ok := e.handles[s.submit.Reservation]
	if !ok || !held.reserved || held.info.Scope != s.submit.Scope {
		return nil, false
	}
	return held, e.config.blocksFor(s.prompt+s.end) <= held.info.Blocks
}

// export pins a copy of a running stream's blocks under a handle. The stream
// goes on with its own.
func (e *Server) export(id target.StreamID, as target.HandleID) (target.Handle, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || !s.active() {
		return target.Handle{}, errNoStream
	}
	if _, taken := e.handles[as]; taken {
		return target.Handle{}, errTaken
	}
	info, ok := e.copyForExportLocked(s, as)
	if !ok {
		return target.Handle{}, errFull
	}
	e.handles[as] = &handle{info: info}
	return info, nil
}

// copyForExportLocked reserves blocks for the tokens that the stream has so
// far.
func (e *Server) copyForExportLocked(s *stream, as target.HandleID) (target.Handle, bool) {
	tokens := s.prompt - max(0, s.toPrefill-s.submit.StartOffset-s.prefilled) + s.next
	info := target.Handle{ID: as, Scope: s.submit.Scope, Tokens: tokens, Blocks: e.config.blocksFor(tokens)}
	return info, e.memory.reserve(info.Blocks)
}

// free releases a handle.
func (e *Server) free(id target.HandleID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.handles[id]
	if !ok {
		return
	}
	delete(e.handles, id)
	held.freed = true
	if held.users == 0 {
		e.memory.release(held.info.Blocks)
	}
}

func (e *Server) leaveHandleLocked(held *handle) {
	held.users--
	if held.freed && held.users == 0 {
		e.memory.release(held.info.Blocks)
	}
}

// pinnedLocked counts the blocks of all handles.
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

// importHandle copies a handle from another engine. It reserves the memory
// first, copies for as long as the copy takes, whether or not its caller still
// listens, and pins the blocks.
func (e *Server) importHandle(from target.Part, as target.HandleID) (target.Handle, error) {
	source, err := e.readPart(from)
	if err != nil {
		return target.Handle{}, err
	}
	info := target.Handle{ID: as, Scope: source.Scope, Tokens: source.Tokens, Blocks: e.config.blocksFor(source.Tokens)}
	memory, err := e.reserveImport(info)
	if err != nil {
		return target.Handle{}, err
	}
	seconds := float64(source.Tokens) / e.config.CopyRate
	time.Sleep(e.config.scaled(time.Duration(seconds * float64(time.Second))))
	_, gone := e.readPart(from)
	return info, e.endImport(info, memory, gone)
}

func (e *Server) reserveImport(info target.Handle) (*memory, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, taken := e.handles[info.ID]; taken {
		return nil, errTaken
	}
	if !e.memory.reserve(info.Blocks) {
		return nil, errFull
	}
	return e.memory, nil
}

func (e *Server) endImport(info target.Handle, reserved *memory, gone error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reserved != e.memory {
		return errors.New("emptied during the copy")
	}
	if gone != nil {
		e.memory.release(info.Blocks)
		return gone
	}
	e.handles[info.ID] = &handle{info: info}
	return nil
}

package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"carobspoke.example/core/target"
	"github.com/pkg/errors"
)

// partRequestTimeout is the timeout of a request for a part at another engine.
const partRequestTimeout = time.Second

// fetchPart returns the description of a handle that another engine holds.
func (e *Server) fetchPart(part target.Part) (target.Handle, error) {
	var info target.Handle
	ctx, cancel := context.WithTimeout(context.Background(), partRequestTimeout)
	defer cancel()
	address := "http://" + part.Address + "/v1/parts/" + url.PathEscape(string(part.Handle))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return info, errors.WithStack(err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return info, errors.Wrap(err, "part")
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is not used
	if response.StatusCode != http.StatusOK {
		return info, errors.Errorf("part: status %d", response.StatusCode)
	}
	return info, errors.Wrap(json.NewDecoder(response.Body).Decode(&info), "part")
}

// watchParts lets a stream start once all its parts are found, and fails the
// stream when one is gone. It returns when the stream ends.
func (e *Server) watchParts(s *stream) {
	for {
		err := e.checkParts(s)
		if !e.handlePartsCheck(s, err) {
			return
		}
		time.Sleep(e.config.PartCheckInterval)
	}
}

// checkParts returns an error if an engine does not hold one of the stream's
// parts, or holds it in another scope.
func (e *Server) checkParts(s *stream) error {
	for _, part := range s.submit.Parts {
		info, err := e.fetchPart(part)
		if err != nil {
			return err
		}
		if info.Scope != s.submit.Scope {
			return errors.New("part belongs to another scope")
		}
	}
	return nil
}

// handlePartsCheck applies the result of a check of a stream's parts. It reports
// whether the stream still needs its parts.
func (e *Server) handlePartsCheck(s *stream, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.failLocked(s, FailurePartGone)
	}
	if s.ended() {
		return false
	}
	if !s.partsFound {
		s.partsFound = true
		e.wakeBatch()
	}
	return true
}

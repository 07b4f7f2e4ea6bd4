package targetapi

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"carobspoke.example/core/verdict"
)

// writeTrace records whether any byte of a request may have been written to a
// socket. Getting a connection counts as the first write, since the transport
// reports no later event before it writes.
type writeTrace struct {
	gotConnection atomic.Bool
}

func (t *writeTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.gotConnection.Store(true) },
	})
}

// verdict returns the verdict of a request that failed without an answer.
func (t *writeTrace) verdict() verdict.Verdict {
	if t.gotConnection.Load() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

package targetapi

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"carobspoke.example/core/verdict"
)

// writeTrace learns whether a request can have reached a socket. Getting a
// connection counts as the first write: the transport tells of no later
// moment before it writes.
type writeTrace struct {
	gotConnection atomic.Bool
}

func (t *writeTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.gotConnection.Store(true) },
	})
}

func (t *writeTrace) verdict() verdict.Verdict {
	if t.gotConnection.Load() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/request/ticket"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/targetapi"
	genadmin "carobspoke.example/serving/gen/admin"
	"carobspoke.example/serving/gen/completions"
	adminserver "carobspoke.example/serving/gen/http/admin/server"
	completionsserver "carobspoke.example/serving/gen/http/completions/server"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/admin"
	"carobspoke.example/serving/request/directory"
	"carobspoke.example/serving/request/dispatch"
	"carobspoke.example/serving/request/failure"
	"carobspoke.example/serving/request/forward"
	"carobspoke.example/serving/request/gateway"
	"carobspoke.example/serving/request/retries"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	goahttp "goa.design/goa/v3/http"
)

// build makes the parts that live as long as the process.
func (d *Daemon) build() error {
	ring, err := ticket.NewRing(d.settings.Peer.Keys()...)
	if err != nil {
		return errors.Wrap(err, "key peer.fleet_keys")
	}
	d.buildPeers()
	d.buildDispatcher(ring)
	d.buildPeerServer()
	d.buildCallerServer()
	d.buildAdminServer()
	return nil
}

func (d *Daemon) buildPeers() {
	if d.peerTLS == nil {
		d.pool = peers.NewPool(nil)
		d.peerServer = peers.NewServer(nil)
		return
	}
	d.pool = peers.NewPool(d.peerTLS.MutualClientConfig())
	d.peerServer = peers.NewServer(d.peerTLS.MutualServerConfig())
}

func (d *Daemon) buildDispatcher(ring *ticket.Ring) {
	chosen := choice.DefaultSettings()
	chosen.Region = d.regionOf
	controller := admission.New(admission.DefaultSettings(), load.New(), choice.New(chosen), admission.NoCache{}, newRandom())
	d.admitter = dispatch.NewAdmitter(controller)
	transport := targetapi.NewTransport()
	d.dispatcher = &dispatch.Dispatcher{
		Versions:  d.versions,
		Admitter:  d.admitter,
		Engines:   engines{transport: transport},
		Quota:     freeQuota{},
		Relays:    allKept{},
		Forward:   &forward.Client{Peers: d.pool},
		Retries:   retries.New(retry.Default(), time.Now, newRandom(), d.countRetry),
		Crashes:   dispatch.NewCrashes(nil),
		Tickets:   ring,
		Abandoned: dispatch.NewAbandoned(func() { d.counters.Add("abandon_queue_full", 1) }),
		NewStream: d.newStream,
		Ready:     d.ready,
	}
}

func (d *Daemon) buildPeerServer() {
	peerpb.RegisterForwardingServer(d.peerServer, &forward.Server{
		Runner:     d.dispatcher,
		DataCentre: d.settings.DataCentre,
	})
}

func (d *Daemon) buildCallerServer() {
	mux := goahttp.NewMuxer()
	service := gateway.New(gateway.Config{
		Directory:      &directory.Directory{Versions: d.versions},
		Runner:         d.dispatcher,
		DataCentre:     d.settings.DataCentre,
		DefaultTimeout: d.settings.Caller.DefaultTimeout.Duration,
		RequestID:      newRequestID,
		Ended:          d.ended,
		Log:            d.log,
	})
	endpoints := completions.NewEndpoints(service)
	completionsserver.New(endpoints, mux, gateway.Decoder, gateway.Encoder, d.writeFailed, failure.Formatter).Mount(mux)
	caller := d.settings.Caller
	limited := gateway.Limit(d.counted(mux), caller.MaxBodyBytes, caller.BodyTimeout.Duration)
	d.callerServer = gateway.NewServer(limited)
}

func (d *Daemon) buildAdminServer() {
	mux := goahttp.NewMuxer()
	service := &admin.Service{Sources: admin.Sources{
		KeyDigests: d.settings.Admin.KeyDigests,
		Versions:   d.versions,
		Status:     d.status,
		Explain:    d.explain,
		Metrics:    d.counters.All,
		Ready:      d.ready,
	}}
	endpoints := genadmin.NewEndpoints(service)
	adminserver.New(endpoints, mux, gateway.Decoder, gateway.Encoder, d.writeFailed, failure.Formatter).Mount(mux)
	d.adminServer = gateway.NewServer(gateway.Limit(mux, maxAdminBody, adminBodyTimeout))
}

// Limits of the administration interface.
const (
	maxAdminBody     = 4 << 20
	adminBodyTimeout = 10 * time.Second
)

// loops returns what runs in the background until the daemon is closed.
func (d *Daemon) loops() []func(context.Context) {
	return []func(context.Context){
		d.dispatcher.Abandoned.Run,
		func(ctx context.Context) { every(ctx, manifestPoll, d.readManifest) },
		func(ctx context.Context) { every(ctx, reportPoll, d.readReports) },
	}
}

func (d *Daemon) writeFailed(_ context.Context, _ http.ResponseWriter, err error) {
	d.log.Debug("answer not written", zap.Error(err))
}

func (d *Daemon) countRetry(outcome retry.Outcome, reason verdict.Reason) {
	if outcome == retry.Retried {
		d.counters.Retried(reason)
		return
	}
	d.counters.Add("not_retried."+string(outcome), 1)
}

func (d *Daemon) regionOf(dc names.DataCentre) names.Region {
	if view := d.versions.Current(); view != nil {
		return view.Index.RegionOf(dc)
	}
	return ""
}

// engines makes clients of targets, which share their connections.
type engines struct {
	transport http.RoundTripper
}

// Engine implements dispatch.Engines.
func (e engines) Engine(address string) targetapi.Engine {
	return targetapi.NewClient(address, e.transport)
}

// requestIDBytes is the length of a request's number, in random bytes.
const requestIDBytes = 9

func newRequestID() string {
	var raw [requestIDBytes]byte
	_, _ = crand.Read(raw[:]) // it never fails
	return hex.EncodeToString(raw[:])
}

func newRandom() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // it never fails
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

func (d *Daemon) newStream(deadline time.Time) (target.StreamID, error) {
	text := fmt.Sprintf("%s~%x~%x~%s", d.Host(), uint64(d.incarnation), deadline.UnixMilli(), newRequestID())
	return target.StreamID(text), nil
}

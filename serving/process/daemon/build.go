package daemon

import (
	"context"
	"crypto/ed25519"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/distribution"
	corekeeping "carobspoke.example/core/process/keeping"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/subset"
	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/request/ticket"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/targetapi"
	genadmin "carobspoke.example/serving/gen/admin"
	gencalls "carobspoke.example/serving/gen/calls"
	"carobspoke.example/serving/gen/completions"
	adminserver "carobspoke.example/serving/gen/http/admin/server"
	callsserver "carobspoke.example/serving/gen/http/calls/server"
	completionsserver "carobspoke.example/serving/gen/http/completions/server"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/admin"
	"carobspoke.example/serving/process/budget"
	"carobspoke.example/serving/process/counters"
	"carobspoke.example/serving/process/distribution"
	"carobspoke.example/serving/request/answer"
	"carobspoke.example/serving/request/calls"
	"carobspoke.example/serving/request/directory"
	"carobspoke.example/serving/request/dispatch"
	"carobspoke.example/serving/request/failure"
	"carobspoke.example/serving/request/forward"
	"carobspoke.example/serving/request/gateway"
	"carobspoke.example/serving/request/replica"
	"carobspoke.example/serving/request/retries"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	goahttp "goa.design/goa/v3/http"
)

// build creates the components that live as long as the process.
func (d *Daemon) build() error {
	ring, err := ticket.NewKeyring(d.settings.Peer.DecodedFleetKeys()...)
	if err != nil {
		return errors.Wrap(err, "key peer.fleet_keys")
	}
	d.buildPeers()
	if err := d.buildMembership(); err != nil {
		return err
	}
	if err := d.buildDistribution(); err != nil {
		return err
	}
	d.buildQuota()
	d.keeperAdapter = newKeeperAdapter(d)
	d.buildDispatcher(ring)
	d.buildKeeper()
	d.buildCalls(ring)
	d.buildPeerServer()
	d.buildCallerServer()
	d.buildAdminServer()
	return nil
}

func (d *Daemon) buildPeers() {
	meter := budget.RPCMeter{Meter: d.meter}
	if d.peerTLS == nil {
		d.pool = peers.NewPool(nil, meter, d.dial)
		d.peerServer = peers.NewServer(nil, meter)
		return
	}
	d.pool = peers.NewPool(d.peerTLS.MutualClientConfig(), meter, d.dial)
	d.peerServer = peers.NewServer(d.peerTLS.MutualServerConfig(), meter)
}

func (d *Daemon) buildDistribution() error {
	key, err := hex.DecodeString(d.settings.Manifest.PublicKey)
	if err != nil {
		return errors.Wrap(err, "key manifest.public_key")
	}
	d.distributor, err = distribution.New(distribution.Config{
		Self:     core.Member{Host: d.Host(), DataCentre: d.settings.DataCentre},
		Platform: d.platform,
		Peers:    manifestPeers{d: d},
		FetchReport: func(ctx context.Context, address string) (target.Report, error) {
			return targetapi.NewClient(address, d.pollTransport).Report(ctx)
		},
		Keys:     []ed25519.PublicKey{key},
		Holder:   d.versions,
		Logger:   d.log,
		Registry: d.counters.Registry(),
	})
	return err
}

func (d *Daemon) buildCalls(ring *ticket.Keyring) {
	customers := &directory.Directory{Versions: d.versions}
	d.calls = calls.New(calls.Deps{
		Self:    calls.Self{Host: d.Host(), Incarnation: d.incarnation, Started: time.Now()},
		Limits:  calls.DefaultLimits(),
		Clock:   time.Now,
		Random:  crand.Reader,
		Keyring: func() *ticket.Keyring { return ring },
		Authenticate: func(authorization string) (names.Customer, error) {
			customer, err := customers.Authenticate(authorization)
			return customer.Name, err
		},
		Directory: customers,
		Picker: &replica.Picker{
			Versions: d.versions, DataCentre: d.settings.DataCentre, Departing: isDeparting,
			Client: func(address string) targetapi.Service { return targetapi.NewClient(address, d.requestTransport) },
		},
		Peers: &calls.GRPCPeers{
			Conn:              d.pool.Conn,
			NewestIncarnation: d.fleet.IncarnationOf,
		},
		Retries:      d.retries,
		ChooseHome:   homeOf,
		Ready:        d.ready,
		CountFailure: d.countReason,
		NewRequestID: newRequestID,
	})
}

// homeOf returns the home of an idempotency key among hosts, by rendezvous
// hashing.
func homeOf(key names.Digest, hosts []names.Host) names.Host {
	members := make([]membership.Member, 0, len(hosts))
	for _, host := range hosts {
		members = append(members, membership.Member{Host: host})
	}
	home, _ := subset.Home(string(key), members)
	return home.Host
}

func (d *Daemon) countReason(reason verdict.Reason) {
	d.counters.Add(counters.RefusedPrefix+string(reason), 1)
}

func (d *Daemon) buildDispatcher(ring *ticket.Keyring) {
	choiceSettings := choice.DefaultSettings()
	choiceSettings.Region = d.regionOf
	controller := admission.New(admission.DefaultSettings(), load.New(), choice.New(choiceSettings), d.keeperAdapter, newRandom())
	d.admitter = dispatch.NewAdmitter(controller)
	d.retries = retries.New(retry.Default(), time.Now, newRandom(), d.countRetry)
	d.dispatcher = &dispatch.Dispatcher{
		Host:         d.Host(),
		Incarnation:  d.incarnation,
		Versions:     d.versions,
		Admitter:     d.admitter,
		Engines:      engines{transport: d.requestTransport},
		Isolator:     answer.NewIsolator(d.newHandle),
		Quota:        d.quota,
		Relays:       d.fleet,
		Forward:      &forward.Client{Peers: d.pool},
		Retries:      d.retries,
		Crashes:      answer.NewCrashTable(time.Now, d.publishCrash),
		Tickets:      ring,
		AbandonQueue: dispatch.NewAbandonQueue(func() { d.counters.Add("abandon_queue_full", 1) }),
		SpanLimits:   dispatch.SpanLimits{MaxEngines: admission.DefaultMaxSpanEngines},
		Ready:        d.ready,
	}
}

func (d *Daemon) buildPeerServer() {
	d.distributor.Register(d.peerServer)
	peerpb.RegisterQuotasServer(d.peerServer, d.quota)
	peerpb.RegisterForwardingServer(d.peerServer, &forward.Server{
		Runner:     forwardRunner{d: d},
		CallRunner: forwardRunner{d: d},
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
		OnEnd:          d.countOutcome,
		Log:            d.log,
	})
	endpoints := completions.NewEndpoints(service)
	completionsserver.New(endpoints, mux, gateway.Decoder, gateway.Encoder, d.logWriteError, d.formatError).Mount(mux)
	callEndpoints := gencalls.NewEndpoints(d.calls)
	callsserver.New(callEndpoints, mux, gateway.Decoder, gateway.Encoder, d.logWriteError, d.formatError).Mount(mux)
	gateway.HandleNotFound(mux)
	caller := d.settings.Caller
	authenticated := gateway.RequireAPIKey(mux, &directory.Directory{Versions: d.versions}, d.counters.RecordError)
	limited := gateway.LimitBody(d.countInFlight(authenticated), caller.MaxBodyBytes, caller.BodyTimeout.Duration)
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
	adminserver.New(endpoints, mux, gateway.Decoder, gateway.Encoder, d.logWriteError, d.formatError).Mount(mux)
	gateway.HandleNotFound(mux)
	d.adminServer = gateway.NewServer(gateway.LimitBody(mux, maxAdminBodyBytes, adminBodyTimeout))
}

// Limits of the administration interface.
const (
	maxAdminBodyBytes = 4 << 20
	adminBodyTimeout  = 10 * time.Second
)

// loops returns the functions that run in the background until Close.
func (d *Daemon) loops() []func(context.Context) {
	return []func(context.Context){
		d.dispatcher.AbandonQueue.Run,
		d.dispatcher.RunDrains,
		d.members.Run,
		d.calls.Run,
		d.fleet.Run,
		func(ctx context.Context) { _ = d.distributor.Run(ctx) }, // it returns only the error of ctx
		func(ctx context.Context) {
			every(ctx, hostsPollInterval, d.readHosts)
		},
		d.keeper.Run,
	}
}

// formatError converts an error to its response body. It also counts requests
// that could not be decoded, since these do not reach a service method that
// would count them.
func (d *Daemon) formatError(ctx context.Context, err error) goahttp.Statuser {
	if refusal, ok := failure.AsDecodeError(err); ok {
		d.counters.RecordError(refusal)
	}
	return failure.Formatter(ctx, err)
}

func (d *Daemon) logWriteError(_ context.Context, _ http.ResponseWriter, err error) {
	d.log.Debug("response could not be written", zap.Error(err))
}

func (d *Daemon) countRetry(outcome retry.Outcome, reason verdict.Reason) {
	if outcome == retry.Retried {
		d.counters.RecordRetry(reason)
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

// engines creates clients of engines, which share the connections of one
// transport.
type engines struct {
	transport http.RoundTripper
}

// Engine implements dispatch.Engines.
func (e engines) Engine(address string) targetapi.Engine {
	return targetapi.NewClient(address, e.transport)
}

// requestIDBytes is the number of random bytes in a request ID.
const requestIDBytes = 9

func newRequestID() string {
	var raw [requestIDBytes]byte
	_, _ = crand.Read(raw[:]) // it never returns an error
	return hex.EncodeToString(raw[:])
}

func newRandom() *rand.Rand {
	var seed [16]byte
	_, _ = crand.Read(seed[:]) // it never returns an error
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// newHandle returns the ID of a new handle of this incarnation.
func (d *Daemon) newHandle(scope string, deadline time.Time) target.HandleID {
	return corekeeping.NewHandleID(scope, d.Host(), d.incarnation, deadline, rand.Uint64())
}

package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"chestnutmux.example/chestnutmux/internal/acceptor"
	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/budgeter"
	"chestnutmux.example/chestnutmux/internal/claimer"
	"chestnutmux.example/chestnutmux/internal/coordinator"
	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/evacuator"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/internal/meter"
	"chestnutmux.example/chestnutmux/internal/protector"
	"chestnutmux.example/chestnutmux/internal/publisher"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/recoverer"
	"chestnutmux.example/chestnutmux/internal/router"
	"chestnutmux.example/chestnutmux/internal/server"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/internal/spooler"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// resignTimeout limits the time that the host takes at shutdown to resign as the leader.
	resignTimeout = 2 * time.Second
	// readinessPropagation is the time after which load balancers and callers have noticed that the host is no longer ready.
	readinessPropagation = 500 * time.Millisecond
)

// Daemon runs an entry host. It implements server.Backend.
type Daemon struct {
	settings  settings.Settings
	logger    hclog.Logger
	recorder  *recorder.Recorder
	asserter  *asserter.Asserter
	protector *protector.Protector

	config      atomic.Pointer[activeConfig]
	evacuator   *evacuator.Evacuator
	publisher   *publisher.Publisher
	coordinator *coordinator.Coordinator
	acceptor    *acceptor.Acceptor
	hosts       *hostclient.Client
	router      *router.Router
	claimLog    *claimer.ClaimLog
	claimer     *claimer.Claimer

	ledger    *budgeter.Ledger
	hostCount atomic.Int64 // entry hosts of all failure domains in the host list

	draining       atomic.Bool
	activeCalls    atomic.Int64 // service requests in progress, including those that wait for their claim
	drainOnce      sync.Once
	drainRequested chan struct{} // closed by Drain, which starts the shutdown
}

// Run runs an entry host until ctx ends or Drain is called, then shuts it down gracefully.
func Run(ctx context.Context, s settings.Settings, logger hclog.Logger) error {
	d := newDaemon(s, logger)
	listener, err := d.protector.Listen("tcp", s.ListenAddr, 0)
	if err != nil {
		return errors.Wrap(err, "daemon: cannot listen; check the setting listen")
	}
	return d.serve(ctx, listener)
}

func newDaemon(s settings.Settings, logger hclog.Logger) *Daemon {
	d := &Daemon{
		settings: s, logger: logger, recorder: recorder.New(), drainRequested: make(chan struct{}), asserter: &asserter.Asserter{Logger: logger},
	}
	d.protector = protector.New(protector.Config{Limits: limitsOf(s), Settings: clientBounds(s), Logger: logger})
	d.config.Store(&activeConfig{})
	d.evacuator = &evacuator.Evacuator{Bound: settings.Duration(s.EvacuationBoundMS)}
	trafficMeter := meter.New(d.recorder.ControlBytes, d.recorder.ControlMessages)
	logHTTP := logclient.NewHTTPClient(trafficMeter.Dialer(meter.PeerKindLog))
	newStream := func(name string) journaler.Log { return logclient.NewStream(s.LogURL, name, s.HostID, logHTTP) }
	d.hosts = hostclient.NewClient(strings.TrimPrefix(s.HostListURL, "http://"), s.HostID, trafficMeter.Dialer(meter.PeerKindHostList))
	d.publisher = &publisher.Publisher{Log: newStream(logclient.StreamConfig), Logger: logger, OnUpdate: d.applyConfig, OnConfirm: d.confirmEvacuations}
	jobStream := newStream(logclient.StreamJobs)
	dispatcherMetrics, acceptorMetrics, spoolerMetrics := dispatcher.NewMetrics(), acceptor.NewMetrics(), spooler.NewMetrics()
	d.coordinator = coordinator.New(coordinator.Config{
		Host: s.HostID, Log: jobStream, Workers: workerclient.NewClient(s.HostID, trafficMeter.Dialer(meter.PeerKindWorker)),
		Registry:     &workerRegistry{hosts: d.hosts, pollInterval: settings.Duration(s.HostListPollIntervalMS)},
		Entitlements: d.entitlements, Evacuator: d.evacuator, ReadMemory: meter.ReadMemory, Logger: logger, Metrics: dispatcherMetrics, Asserter: d.asserter, Recoverer: &recoverer.Recoverer{Logger: logger},
		LearnRunTimes: s.RunTimeEstimates == settings.SwitchOn,
		LeaseDuration: settings.Duration(s.LeaseDurationMS), JobRetention: settings.Duration(s.JobRetentionMS),
	})
	d.ledger = &budgeter.Ledger{
		Jobs: d.coordinator.Replica(), Memory: s.MemoryMB, Budget: model.Bytes(s.JobMemoryMB) << 20, HostCount: func() int { return int(d.hostCount.Load()) },
		Logger: logger,
	}
	d.acceptor = &acceptor.Acceptor{
		Ledger: d.ledger, Jobs: d.coordinator.Replica(), Follower: d.coordinator, Appender: &journaler.BatchAppender{Log: jobStream}, Logger: logger, Metrics: acceptorMetrics,
		Spooler: &spooler.Spooler{
			Log: jobStream, View: func() spooler.LogView { return spooler.LogView{DownSince: d.coordinator.LogDownSince()} }, Logger: logger,
			Metrics: spoolerMetrics,
		},
	}
	d.router = router.New(router.Options{Domain: s.FailureDomain, Region: s.Region, Hooks: d.routerHooks()})
	d.claimLog = &claimer.ClaimLog{
		Log: newStream(logclient.StreamClaims), Logger: logger, RequestLifetime: settings.Duration(s.ClaimWindowMS) + claimer.DefaultClockSkew,
	}
	d.claimer = claimer.New(claimer.Options{
		Host: s.HostID, Appender: d.claimLog, Index: d.claimLog, Results: noRemoteResults{}, ClaimWindow: settings.Duration(s.ClaimWindowMS),
		OnViolation: d.asserter.RecordViolation,
	})
	d.registerMetrics(d.protector.Vars(), dispatcherMetrics.Vars(), acceptorMetrics.Vars(), spoolerMetrics.Vars())
	return d
}

// noRemoteResults returns an error for each result of another entry host, because entry hosts that this package runs have no
// connections to each other. (Those of package platform have, see package peerlog.) Callers have to retry on the host that
// claimed the request.
type noRemoteResults struct{}

// FetchResult implements claimer.ResultFetcher.
func (noRemoteResults) FetchResult(_ context.Context, host model.HostID, _ model.WorkspaceID, _ model.RequestID) (claimer.Result, error) {
	return claimer.Result{}, errors.Newf("only entry host %s knows the answer; repeat the request there", host)
}

// serve runs all background loops and the HTTP server, and returns after the shutdown.
func (d *Daemon) serve(ctx context.Context, listener net.Listener) error {
	// The loops continue after ctx has ended, so that requests in progress can finish.
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	group, loopCtx := errgroup.WithContext(loopCtx)
	for _, runLoop := range []func(context.Context){
		func(ctx context.Context) { _ = d.router.Run(ctx) },
		d.publisher.Run, d.coordinator.Run, d.claimLog.Run, d.followHosts, d.protector.Run,
	} {
		group.Go(func() error { runLoop(loopCtx); return nil })
	}
	callerServer := &server.Server{Backend: d, Logger: d.logger, MetricsHandler: d.recorder, Bodies: &d.protector.Bodies, MemoryBytes: limitsOf(d.settings).MemoryBytes}
	httpServer := callerServer.HTTPServer()
	d.recorder.RegisterGauge("lists-refused", func() any { return callerServer.ListsRefused() })
	httpServer.Handler = closeConnectionsWhen(&d.draining, httpServer.Handler)
	group.Go(func() error {
		if err := httpServer.Serve(server.WrapListener(listener)); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "daemon: HTTP listener")
		}
		return nil
	})
	d.logger.Info("entry host starting", "listen", listener.Addr().String(), "failure-domain", d.settings.FailureDomain)
	select {
	case <-ctx.Done():
	case <-d.drainRequested:
	case <-loopCtx.Done():
	}
	d.shutDown(httpServer)
	stopLoops()
	err := group.Wait()
	d.logger.Info("entry host stopped")
	return err
}

// shutDown resigns as the leader, waits for the requests in progress and stops the HTTP server. Requests that are still in
// progress after the drain timeout of the settings are cut off.
func (d *Daemon) shutDown(httpServer *http.Server) {
	d.logger.Info("entry host draining", "leading", d.coordinator.IsLeader())
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), settings.Duration(d.settings.DrainTimeoutMS))
	defer cancel()
	resignCtx, cancelResign := context.WithTimeout(ctx, resignTimeout)
	d.coordinator.Resign(resignCtx)
	cancelResign()
	time.Sleep(readinessPropagation)
	d.awaitCalls(ctx)
	time.Sleep(readinessPropagation) // a caller that sends another request now gets an error instead of a closed connection
	drainErr := d.router.Drain(ctx)
	d.asserter.Assert(drainErr == nil, asserter.CutOffAtShutdown, "host", string(d.settings.HostID))
	if err := httpServer.Shutdown(ctx); err != nil {
		d.logger.Warn("shutdown cut off requests in progress", "error", err)
	}
}

// awaitCalls waits until all accepted service requests have ended or ctx ends. Draining the router is not enough, because the
// router does not know the requests that still wait for their claim and would refuse them afterwards.
func (d *Daemon) awaitCalls(ctx context.Context) {
	for d.activeCalls.Load() > 0 && ctx.Err() == nil {
		time.Sleep(readinessPropagation / 50) // 10 ms
	}
}

// Drain starts the graceful shutdown and returns without waiting for it.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

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
	"chestnutmux.example/chestnutmux/internal/claimer"
	"chestnutmux.example/chestnutmux/internal/coordinator"
	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/internal/meter"
	"chestnutmux.example/chestnutmux/internal/publisher"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/router"
	"chestnutmux.example/chestnutmux/internal/server"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// resignTimeout bounds the time that a leader takes to give up its term.
	resignTimeout = 2 * time.Second
	// settle is how long balancers and callers may take to see that the host is not ready.
	settle = 500 * time.Millisecond
)

// Daemon is one entry host.
type Daemon struct {
	settings settings.Settings
	logger   hclog.Logger
	recorder *recorder.Recorder
	asserter *asserter.Asserter

	view        atomic.Pointer[configView]
	publisher   *publisher.Publisher
	coordinator *coordinator.Coordinator
	acceptor    *acceptor.Acceptor
	hosts       *hostclient.Client
	router      *router.Router
	claims      *claimer.ClaimLog
	claimer     *claimer.Claimer

	draining atomic.Bool
	calls    atomic.Int64 // service requests in progress, also those that wait for their claim
	stopOnce sync.Once
	stop     chan struct{} // closed when the graceful shutdown starts
}

// Run serves until ctx ends or a drain is requested, then shuts down gracefully.
func Run(ctx context.Context, s settings.Settings, logger hclog.Logger) error {
	l, err := net.Listen("tcp", s.ListenAddr)
	if err != nil {
		return errors.Wrap(err, "daemon: cannot listen; check the setting listen")
	}
	return newDaemon(s, logger).serve(ctx, l)
}

func newDaemon(s settings.Settings, logger hclog.Logger) *Daemon {
	d := &Daemon{
		settings: s, logger: logger, recorder: recorder.New(), stop: make(chan struct{}), asserter: &asserter.Asserter{Logger: logger},
	}
	d.view.Store(&configView{})
	m := meter.New(d.recorder.ControlBytes, d.recorder.ControlMessages)
	logHTTP := logclient.NewHTTPClient(m.Dialer(meter.PeerKindLog))
	stream := func(name string) journaler.Log { return logclient.NewStream(s.LogURL, name, s.HostID, logHTTP) }
	d.hosts = hostclient.NewClient(strings.TrimPrefix(s.HostListURL, "http://"), s.HostID, m.Dialer(meter.PeerKindHostList))
	d.publisher = &publisher.Publisher{Log: stream(logclient.StreamConfig), Logger: logger, OnUpdate: d.configChanged}
	jobs := stream(logclient.StreamJobs)
	leader, callers := dispatcher.NewMetrics(), acceptor.NewMetrics()
	d.coordinator = coordinator.New(coordinator.Config{
		Host: s.HostID, Log: jobs, Workers: workerclient.NewClient(s.HostID, m.Dialer(meter.PeerKindWorker)),
		Registry: &registry{hosts: d.hosts, every: settings.Duration(s.HostListPollInterval)}, Limits: d.limits, Logger: logger, Metrics: leader, Asserter: d.asserter,
		Lease: settings.Duration(s.TaskLease), StopTimeout: settings.Duration(s.StopTimeout), JobRetention: settings.Duration(s.JobRetention),
	})
	d.acceptor = &acceptor.Acceptor{
		Jobs: d.coordinator.Replica(), Log: d.coordinator, Submitter: &journaler.BatchAppender{Log: jobs}, Logger: logger, Metrics: callers,
	}
	d.router = router.New(router.Options{Domain: s.FailureDomain, Region: s.Region, Hooks: d.routerHooks()})
	d.claims = &claimer.ClaimLog{
		Log: stream(logclient.StreamClaims), Logger: logger, Retention: settings.Duration(s.ClaimWindow) + claimer.DefaultClockSkew,
	}
	d.claimer = claimer.New(claimer.Options{
		Host: s.HostID, Appender: d.claims, Index: d.claims, Results: noAnswers{}, Window: settings.Duration(s.ClaimWindow),
		OnViolation: d.asserter.RecordViolation,
	})
	d.gauges(leader, callers)
	return d
}

// noAnswers leaves the answer to a request that another host has claimed to that host: the hosts of a deployment talk
// through the log only.
type noAnswers struct{}

// FetchResult implements claimer.AnswerSource.
func (noAnswers) FetchResult(_ context.Context, host model.HostID, _ model.WorkspaceID, _ model.RequestID) (claimer.Result, error) {
	return claimer.Result{}, errors.Newf("only entry host %s knows the answer; repeat the request there", host)
}

// serve starts all tasks and waits for the end.
func (d *Daemon) serve(ctx context.Context, l net.Listener) error {
	// The tasks outlive ctx, so that requests in progress finish.
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	group, tasks := errgroup.WithContext(tasks)
	for _, run := range []func(context.Context){
		func(ctx context.Context) { _ = d.router.Run(ctx) },
		d.publisher.Run, d.coordinator.Run, d.claims.Run, d.followHosts,
	} {
		group.Go(func() error { run(tasks); return nil })
	}
	web := (&server.Server{Backend: d, Logger: d.logger, MetricsHandler: d.recorder}).HTTPServer()
	web.Handler = closeWhen(&d.draining, web.Handler)
	group.Go(func() error {
		if err := web.Serve(server.WrapListener(l)); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "daemon: HTTP listener")
		}
		return nil
	})
	d.logger.Info("entry host started", "listen", l.Addr().String(), "failure-domain", d.settings.FailureDomain)
	select {
	case <-ctx.Done():
	case <-d.stop:
	case <-tasks.Done():
	}
	d.shutDown(web)
	stopTasks()
	err := group.Wait()
	d.logger.Info("entry host stopped")
	return err
}

// shutDown hands the lead over and finishes requests in progress.
func (d *Daemon) shutDown(web *http.Server) {
	d.logger.Info("draining", "leading", d.coordinator.IsLeader())
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), settings.Duration(d.settings.DrainTimeout))
	defer cancel()
	short, stop := context.WithTimeout(ctx, resignTimeout)
	d.coordinator.Resign(short)
	stop()
	time.Sleep(settle)
	d.finishCalls(ctx)
	time.Sleep(settle) // the next requests of these callers are refused, not cut off with the listener
	drained := d.router.Drain(ctx)
	d.asserter.Assert(drained == nil, asserter.CutOffAtShutdown, "host", string(d.settings.HostID))
	if err := web.Shutdown(ctx); err != nil {
		d.logger.Warn("calls were still in progress at the end", "error", err)
	}
}

// finishCalls waits until the requests that were accepted have ended; the router does not know of those that wait for
// their claim, and would refuse them once it drains.
func (d *Daemon) finishCalls(ctx context.Context) {
	for d.calls.Load() > 0 && ctx.Err() == nil {
		time.Sleep(settle / 50)
	}
}

// Drain starts the graceful shutdown.
func (d *Daemon) Drain() { d.stopOnce.Do(func() { close(d.stop) }) }

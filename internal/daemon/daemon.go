package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"chestnutmux.example/chestnutmux/internal/appender"
	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/claimer"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/internal/meter"
	"chestnutmux.example/chestnutmux/internal/monitor"
	"chestnutmux.example/chestnutmux/internal/peerclient"
	"chestnutmux.example/chestnutmux/internal/planner"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/router"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/internal/server"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Daemon is one entry host.
type Daemon struct {
	settings settings.Settings
	logger   hclog.Logger
	recorder *recorder.Recorder
	meter    *meter.Meter
	asserter *asserter.Asserter

	config  *configTask
	jobs    *jobsTask
	claims  *claimsTask
	hosts   *hostclient.Client
	workers *workerclient.Client
	peers   *peerclient.Client
	monitor *monitor.Driver
	driver  *reserver.Driver
	planner *planner.Planner
	router  *router.Router
	claimer *claimer.Claimer

	startedAt time.Time
	draining  atomic.Bool
	calls     atomic.Int64 // service requests in progress, also those that wait for their claim
	stopOnce  sync.Once
	stop      chan struct{} // closed when the graceful shutdown starts
	tasks     context.Context
}

// Run serves until ctx ends or a drain is requested, then shuts down gracefully.
func Run(ctx context.Context, s settings.Settings, logger hclog.Logger) error {
	d := newDaemon(s, logger)
	httpListener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "daemon: cannot listen; check the setting listen")
	}
	peerListener, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		_ = httpListener.Close()
		return errors.Wrap(err, "daemon: cannot listen; check the setting peer-listen")
	}
	return d.serve(ctx, httpListener, d.meter.Listener(meter.KindPeer, peerListener))
}

func newDaemon(s settings.Settings, logger hclog.Logger) *Daemon {
	d := &Daemon{
		settings: s, logger: logger, recorder: recorder.New(), startedAt: time.Now(), stop: make(chan struct{}),
		asserter: &asserter.Asserter{Logger: logger},
	}
	d.meter = meter.New(d.recorder.Bytes, d.recorder.Messages)
	log := logclient.New(s.LogURL, s.HostID, logclient.NewHTTP(d.meter.Dialer(meter.KindLog)))
	d.hosts = hostclient.NewClient(strings.TrimPrefix(s.HostListURL, "http://"), s.HostID, d.meter.Dialer(meter.KindHostList))
	d.workers = workerclient.NewClient(s.HostID, d.meter.Dialer(meter.KindWorker))
	d.peers = peerclient.NewClient(d.peerOptions())
	d.config = newConfigTask(log, d.newAppender(log, logclient.StreamConfig), d.asserter, logger, d.configChanged)
	d.jobs = newJobsTask(s.HostID, s.FailureDomain, log, d.newAppender(log, logclient.StreamJobs))
	d.claims = newClaimsTask(log, d.newAppender(log, logclient.StreamClaims))
	d.monitor = monitor.NewDriver(monitor.Config{Self: s.HostID, Domain: s.FailureDomain}, d.peers, d.beat)
	d.driver = reserver.NewDriver(reserver.New(reserver.Config{
		Host: s.HostID, Domain: s.FailureDomain,
		Poll:       settings.Duration(s.Poll),
		TaskLease:  settings.Duration(s.TaskLease),
		ReserveTTL: settings.Duration(s.ReserveTTL),
		Checkpoint: settings.Duration(s.CheckpointBound),
	}), d.workers)
	d.planner = planner.New(planner.Config{
		Host: s.HostID, Domain: s.FailureDomain, Pass: settings.Duration(s.Pass),
		Options: scheduler.Options{
			CheckpointBound: settings.Duration(s.CheckpointBound),
			// It takes two polls until a worker that does not answer counts as down.
			ClaimMargin: 2*settings.Duration(s.Poll) + scheduler.DefaultClaimMargin,
		},
		Driver: d.driver, Journal: d.jobs, Recorder: d.recorder, Asserter: d.asserter, Logger: logger,
	})
	d.jobs.planner = d.planner
	d.router = router.New(router.Options{Domain: s.FailureDomain, Region: s.Region, Hooks: d.routerHooks()})
	d.claimer = claimer.New(claimer.Options{
		Host: s.HostID, Appender: d.claims, Fold: d.claims,
		Answers: peerAnswers{client: d.peers, monitor: d.monitor},
		Window:  settings.Duration(s.ClaimWindow), Violated: d.asserter.Violated,
	})
	d.gauges()
	return d
}

func (d *Daemon) peerOptions() peerclient.Options {
	return peerclient.Options{Host: d.settings.HostID, Secret: d.settings.PeerSecret}
}

// countingLog counts the appends of each stream.
type countingLog struct {
	*logclient.Client
	recorder *recorder.Recorder
}

// Append counts and passes on an append.
func (c countingLog) Append(ctx context.Context, s logclient.Stream, id string, data json.RawMessage) (model.Offset, error) {
	c.recorder.Appends.Add(string(s), 1)
	return c.Client.Append(ctx, s, id, data)
}

func (d *Daemon) newAppender(log *logclient.Client, s logclient.Stream) *appender.Appender {
	return appender.New(appender.Config{Log: countingLog{log, d.recorder}, Stream: s, Host: d.settings.HostID})
}

// configChanged runs on the follower's goroutine of the config stream.
func (d *Daemon) configChanged(v *configView) {
	d.router.SetConfig(&v.set)
	d.jobs.configChanged(d.tasks, v)
	d.planner.Post(planner.ConfigChanged{Set: &v.set})
}

// serve starts all tasks and waits for the end.
func (d *Daemon) serve(ctx context.Context, httpListener, peerListener net.Listener) error {
	// The tasks outlive ctx, so that requests in progress finish.
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	d.tasks = tasks
	group, tasks := errgroup.WithContext(tasks)
	for _, run := range []func(context.Context){
		func(ctx context.Context) { _ = d.router.Run(ctx) },
		d.config.appender.Run, d.jobs.appender.Run, d.claims.appender.Run,
		d.jobs.follower.Run, d.config.follower.Run, d.claims.follower.Run,
		d.driver.Run, d.planner.Run, d.monitor.Run,
		d.followHosts, d.followMembers, d.followPeers, d.followUsed, d.keepSnapshots, d.rehomeLost,
	} {
		group.Go(func() error { run(tasks); return nil })
	}
	group.Go(func() error { return peerclient.NewServer(d, d.peerOptions()).Serve(tasks, peerListener) })
	web := (&server.Server{Backend: d, Logger: d.logger, Metrics: d.recorder}).HTTP()
	web.Handler = closeWhen(&d.draining, web.Handler)
	group.Go(func() error {
		if err := web.Serve(server.Listen(httpListener)); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "daemon: HTTP listener")
		}
		return nil
	})
	d.logger.Info("entry host started", "listen", httpListener.Addr().String(), "peer-listen", peerListener.Addr().String(),
		"failure-domain", string(d.settings.FailureDomain))
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

const (
	// handOver is how long the planner's role is kept after peers were told of the shutdown.
	handOver = 2 * time.Second
	// settle is how long balancers and callers may take to see that the host is not ready.
	settle = 500 * time.Millisecond
)

// shutDown finishes requests in progress and hands the planner's role over.
func (d *Daemon) shutDown(web *http.Server) {
	d.logger.Info("draining")
	d.draining.Store(true)
	d.monitor.SetDraining(true)
	d.planner.Post(planner.Chosen{})
	ctx, cancel := context.WithTimeout(context.Background(), settings.Duration(d.settings.DrainBound))
	defer cancel()
	time.Sleep(settle)
	d.finishCalls(ctx)
	time.Sleep(settle) // the next requests of these callers are refused, not cut off with the listener
	drained := d.router.Drain(ctx)
	d.asserter.Check(drained == nil, asserter.CutOffAtShutdown, "host", string(d.settings.HostID))
	_ = web.Shutdown(ctx)
	d.handOverPlanner(ctx)
	for _, a := range []*appender.Appender{d.jobs.appender, d.claims.appender, d.config.appender} {
		short, stop := context.WithTimeout(ctx, handOver)
		_ = a.Drain(short)
		stop()
	}
}

// finishCalls waits until the requests that were accepted have ended; the router does not know of those that wait for
// their claim, and would refuse them once it drains.
func (d *Daemon) finishCalls(ctx context.Context) {
	for d.calls.Load() > 0 && ctx.Err() == nil {
		time.Sleep(settle / 50)
	}
}

// handOverPlanner waits until another host has taken the term, so that no lease lapses meanwhile.
func (d *Daemon) handOverPlanner(ctx context.Context) {
	until := time.Now().Add(handOver)
	for time.Now().Before(until) && ctx.Err() == nil {
		if d.driver.Status().Role != reserver.RolePlanner {
			return
		}
		time.Sleep(settle / 10)
	}
}

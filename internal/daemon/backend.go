package daemon

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/google/uuid"

	"chestnutmux.example/chestnutmux/internal/claimer"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/router"
	"chestnutmux.example/chestnutmux/internal/server"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// defaultMaxBody bounds the body of a request to a service that names no bound.
const defaultMaxBody model.Bytes = 1 << 20

// Authenticate finds the owner of a bearer token.
func (d *Daemon) Authenticate(token string) (server.Identity, bool) {
	return d.config.view.Load().authenticate(token, d.settings.OperatorToken)
}

// Ready returns what the host waits for, or nil.
func (d *Daemon) Ready() error {
	switch {
	case d.draining.Load():
		return drainingError()
	case d.config.view.Load().version == 0:
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindNotReady, Message: "no configuration is in force",
			Remedy: "publish one, or wait until the log or a peer supplies it", RetryAfterMS: retryNotReady,
		}
	case !d.jobs.settled.Load():
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindNotReady, Message: "the jobs are still being read from the log",
			Remedy: "use another entry host or try again", RetryAfterMS: retryNotReady,
		}
	}
	return nil
}

func drainingError() error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.KindDraining, Message: "the host is shutting down",
		Remedy: "use another entry host",
	}
}

// Submit accepts a job.
func (d *Daemon) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	if err := d.Ready(); err != nil {
		return model.Job{}, err
	}
	if spec.ID == "" {
		spec.ID = model.JobID(uuid.Must(uuid.NewV7()).String())
	}
	if err := checkJobID(spec.ID); err != nil {
		return model.Job{}, err
	}
	if spec.Shape.Span == "" {
		spec.Shape.Span = model.SpanDomain
	}
	return d.jobs.submit(ctx, spec)
}

// maxJobID bounds the ids of jobs, a workspace of 63 characters and a caller's id of 128; they are kept in memory
// and in the log.
const maxJobID = 192

// checkJobID refuses ids that would make gang ids, "<job>/<attempt>", ambiguous.
func checkJobID(id model.JobID) error {
	if len(id) > maxJobID || slices.ContainsFunc([]byte(id), func(c byte) bool { return c <= ' ' || c == '/' || c >= 0x7f }) {
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindInvalid, Message: "the job id is not usable",
			Remedy: "use up to 128 printable ASCII characters without space and slash, such as a UUID",
		}
	}
	return nil
}

// Job returns a job once it has ended, or as it is at the deadline.
func (d *Daemon) Job(ctx context.Context, ws model.WorkspaceID, id model.JobID, deadline time.Time) (model.Job, error) {
	return d.jobs.get(ctx, ws, id, deadline)
}

// Jobs lists the jobs of a workspace.
func (d *Daemon) Jobs(ctx context.Context, ws model.WorkspaceID) ([]model.Job, error) {
	return d.jobs.list(ctx, ws)
}

// Cancel asks for the end of a job.
func (d *Daemon) Cancel(ctx context.Context, ws model.WorkspaceID, id model.JobID) error {
	return d.jobs.cancel(ctx, ws, id)
}

// Explain tells why a job waits; only the planner of its home knows all of it.
func (d *Daemon) Explain(ctx context.Context, ws model.WorkspaceID, id model.JobID) (model.Explanation, error) {
	job, err := d.jobs.lookup(ctx, ws, id, nil)
	if err != nil {
		return model.Explanation{}, err
	}
	x := model.Explanation{Job: id, State: job.State, Home: job.Home}
	if job.State.Final() {
		x.Reason = "the job has ended: " + string(job.State)
		if job.Error != "" {
			x.Reason += ": " + job.Error
		}
		return x, nil
	}
	x.Planner, _ = d.monitor.Planner(job.Home)
	r, err := d.askPlanner(ctx, x.Planner, id)
	switch {
	case err != nil:
		x.Reason = "the planner of the home failure domain gave no answer: " + err.Error()
		x.Remedy = "ask an entry host of failure domain " + string(job.Home) + ", or again when it is reachable"
	case !r.Planned:
		x.Reason = "entry host " + string(x.Planner) + " does not plan the failure domain yet"
		x.Remedy = "ask again in a few seconds"
	default:
		x.Reason, x.Remedy, x.Position = r.Reason, r.Remedy, r.Position
	}
	return x, nil
}

// Call runs a service request.
func (d *Daemon) Call(ctx context.Context, r server.Request) (client.Answer, error) {
	if err := d.Ready(); err != nil {
		return client.Answer{}, repeated(r, err)
	}
	d.calls.Add(1)
	defer d.calls.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	req := router.Request{
		ID: r.RequestID, Service: r.Service, Workspace: r.Workspace, Caller: r.Caller, Class: r.Class,
		Idempotent: r.Idempotent, Body: r.Body, Deadline: r.Deadline,
	}
	if r.Idempotent {
		a, err := d.router.Do(ctx, req)
		return client.Answer{Body: a.Body, Runner: a.Runner}, repeated(r, err)
	}
	res := d.claimer.Do(ctx, claimer.Request{
		Workspace: r.Workspace, ID: r.RequestID, Digest: digest(r), Repeat: r.Repeat,
	}, func(ctx context.Context) claimer.Result {
		return d.send(ctx, req)
	})
	if res.Error != nil {
		return client.Answer{}, res.Error
	}
	return client.Answer{Body: res.Body, Runner: res.Runner}, nil
}

// repeated makes a not-run unknown when an earlier call with the id may have run on another host.
//
// The claimer does this for the requests that reach it, since it knows when not-run is certain.
func repeated(r server.Request, err error) error {
	if err == nil || !r.Repeat {
		return err
	}
	e := *asError(err)
	if e.Outcome == model.OutcomeNotRun {
		e.Outcome = model.OutcomeUnknown
	}
	return &e
}

// send sends a claimed request.
func (d *Daemon) send(ctx context.Context, req router.Request) claimer.Result {
	a, err := d.router.Do(ctx, req)
	if err == nil {
		return claimer.Result{Body: a.Body, ContentType: a.ContentType, Runner: a.Runner}
	}
	return claimer.Result{Error: asError(err)}
}

// digest tells repeats of a request from other requests with the same id.
func digest(r server.Request) string {
	h := sha256.New()
	for _, part := range []string{string(r.Caller), string(r.Service), string(r.Class)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// MaxBody bounds the body of a request to the service.
func (d *Daemon) MaxBody(id model.ServiceID) model.Bytes {
	return cmp.Or(d.config.view.Load().set.Services[id].MaxBody, defaultMaxBody)
}

// Config returns the configuration in force.
func (d *Daemon) Config(context.Context) (model.ConfigReply, error) {
	v := d.config.view.Load()
	return model.ConfigReply{Version: v.version, Set: v.set}, nil
}

// Publish changes the configuration.
func (d *Daemon) Publish(ctx context.Context, p model.Publish) (model.Version, error) {
	if d.draining.Load() {
		return 0, drainingError()
	}
	return d.config.publish(ctx, p)
}

// Status describes the host.
func (d *Daemon) Status(ctx context.Context) (model.Status, error) {
	s := model.Status{
		Host: d.settings.HostID, FailureDomain: d.settings.FailureDomain, Region: d.settings.Region,
		Ready: true, Draining: d.draining.Load(), ConfigVersion: d.config.view.Load().version,
		LogDownSince: d.jobs.follower.Status().UnreachableSince, Violations: d.asserter.Counts(),
	}
	if err := d.Ready(); err != nil {
		s.Ready, s.NotReady = false, err.Error()
	}
	s.Planner, _ = d.monitor.Planner(s.FailureDomain)
	for _, m := range d.monitor.View().Members {
		s.Peers = append(s.Peers, model.PeerStatus{
			Host: m.Host.ID, FailureDomain: m.Host.Domain, Live: m.Live, ConfigVersion: m.Beat.Version,
		})
	}
	st, err := d.planner.State(ctx)
	if err != nil {
		return s, notReady(err)
	}
	s.Term, s.Role = st.Term, roleOf(st.Role)
	s.Fragmentation = st.Stats.Fragmentation
	s.Workers, s.Runners = workerStatus(st), d.router.Runners()
	s.Workspaces, err = d.workspaces(ctx)
	return s, err
}

func roleOf(r reserver.Role) model.Role {
	switch r {
	case reserver.RolePlanner:
		return model.RolePlanner
	case reserver.RoleTakingOver:
		return model.RoleTakingOver
	}
	return model.RoleStandby
}

func (d *Daemon) workspaces(ctx context.Context) ([]model.WorkspaceStatus, error) {
	set := d.config.view.Load().set
	sums := make(map[model.WorkspaceID]model.WorkspaceStatus, len(set.Workspaces))
	for id, ws := range set.Workspaces {
		sums[id] = model.WorkspaceStatus{Workspace: id, Quota: ws.Quota}
	}
	err := d.jobs.follower.Do(ctx, func() {
		for _, j := range d.jobs.fold.Live() {
			s := sums[j.Spec.Workspace]
			s.Workspace = j.Spec.Workspace
			if j.State == model.JobRunning {
				s.Running++
				s.InUse += j.Spec.Shape.Total()
			} else {
				s.Queued++
			}
			sums[j.Spec.Workspace] = s
		}
	})
	if err != nil {
		return nil, notReady(err)
	}
	out := make([]model.WorkspaceStatus, 0, len(sums))
	for _, s := range sums {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b model.WorkspaceStatus) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out, nil
}

// Drain starts the graceful shutdown.
func (d *Daemon) Drain() { d.stopOnce.Do(func() { close(d.stop) }) }

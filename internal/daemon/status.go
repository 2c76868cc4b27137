package daemon

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/router"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// notReadyRetryAfterMS is the Retry-After hint for callers while the host is not ready.
const notReadyRetryAfterMS model.Millis = 1000

// CheckReady returns nil if the host accepts requests, else an error that says why it does not.
func (d *Daemon) CheckReady() error {
	switch {
	case d.draining.Load():
		return drainingError()
	case d.config.Load().version == 0:
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindNotReady, Message: "no configuration is in force",
			Remedy: "publish one, or wait until the log supplies it", RetryAfterMS: notReadyRetryAfterMS,
		}
	case !d.coordinator.Loaded():
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindNotReady, Message: "the jobs are still being read from the log",
			Remedy: "use another entry host or try again", RetryAfterMS: notReadyRetryAfterMS,
		}
	}
	return nil
}

func drainingError() error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindDraining, Message: "the host is shutting down",
		Remedy: "use another entry host",
	}
}

// Status returns the status of the host.
func (d *Daemon) Status(ctx context.Context) (model.HostStatus, error) {
	term, _ := d.coordinator.Replica().Term()
	s := model.HostStatus{
		Host: d.settings.HostID, FailureDomain: d.settings.FailureDomain, Region: d.settings.Region,
		Ready: true, Draining: d.draining.Load(), ConfigVersion: d.config.Load().version, Role: model.RoleFollower,
		Fence: term.Fence, LogReachable: d.coordinator.LogReachable(), InvariantViolations: d.asserter.ViolationCounts(),
	}
	if !term.Resigned {
		s.Leader = term.Host
	}
	if d.coordinator.IsLeader() {
		s.Role = model.RoleLeader
	}
	if err := d.CheckReady(); err != nil {
		s.Ready, s.NotReadyReason = false, err.Error()
	}
	for _, h := range d.hosts.Cached().Hosts {
		if h.Role == hostclient.RoleEntry {
			s.Peers = append(s.Peers, model.PeerStatus{Host: h.ID, FailureDomain: h.Domain, Live: h.State == hostclient.StateLive})
		}
	}
	s.EvacuatedDomains = d.evacuator.Domains()
	s.Workers = d.coordinator.WorkerStatuses(ctx)
	s.RunTimes = d.coordinator.RunTimeStatuses(ctx)
	s.Runners = d.router.Runners()
	s.Workspaces = d.workspaceStatuses()
	return s, nil
}

// workspaceStatuses returns the job counts and the accelerators in use of each workspace, sorted by name.
func (d *Daemon) workspaceStatuses() []model.WorkspaceStatus {
	set := d.config.Load().set
	byWorkspace := make(map[model.WorkspaceID]model.WorkspaceStatus, len(set.Workspaces))
	for id, ws := range set.Workspaces {
		byWorkspace[id] = model.WorkspaceStatus{Workspace: id, Quota: ws.Quota}
	}
	for _, j := range d.coordinator.Replica().Jobs() {
		s := byWorkspace[j.Submission.Workspace]
		s.Workspace = j.Submission.Workspace
		switch j.State() {
		case model.JobQueued:
			s.Queued++
		case model.JobRunning:
			s.Running++
			s.InUse += j.AcceleratorsInUse()
		}
		byWorkspace[j.Submission.Workspace] = s
	}
	out := make([]model.WorkspaceStatus, 0, len(byWorkspace))
	for _, s := range byWorkspace {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b model.WorkspaceStatus) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}

// registerMetrics exports the metrics of the daemon and its components through the recorder.
func (d *Daemon) registerMetrics(components ...map[string]expvar.Var) {
	d.recorder.RegisterGauge("invariant-violations", func() any { return d.asserter.ViolationCounts() })
	d.recorder.RegisterGauge("config-version", func() any { return d.config.Load().version })
	d.recorder.RegisterGauge("leader-memory", func() any { return d.coordinator.LeaderMemory() })
	d.recorder.RegisterGauge("job-memory", func() any { return d.ledger.Status() })
	d.recorder.RegisterGauge("router", func() any { return d.router.Load() })
	for _, vars := range components {
		for name, v := range vars {
			d.recorder.Register(name, v)
		}
	}
}

// routerHooks returns the hooks through which the router records its metrics and its violations of invariants.
func (d *Daemon) routerHooks() router.Hooks {
	r := d.recorder
	return router.Hooks{
		OnQueueWait: func(ws model.WorkspaceID, class model.ClassID, t time.Duration) {
			r.RequestWaitTime.Record(recorder.SeriesKey(ws, class), t)
		},
		OnServiceTime: func(ws model.WorkspaceID, class model.ClassID, t time.Duration) {
			r.RequestServiceTime.Record(recorder.SeriesKey(ws, class), t)
		},
		OnOutcome: func(ws model.WorkspaceID, class model.ClassID, outcome model.Outcome, _ model.ErrorKind) {
			r.Outcomes.Add(recorder.SeriesKey(ws, class)+"/"+string(outcome), 1)
		},
		OnShed: func(ws model.WorkspaceID, class model.ClassID, kind model.ErrorKind) {
			r.ShedRequests.Add(recorder.SeriesKey(ws, class)+"/"+string(kind), 1)
		},
		OnRetry: func(ws model.WorkspaceID, class model.ClassID) {
			r.Retries.Add(recorder.SeriesKey(ws, class), 1)
		},
		OnLinkBytes: func(ws model.WorkspaceID, class model.ClassID, n model.Bytes) {
			r.ControlBytes.Add("link/"+recorder.SeriesKey(ws, class), int64(n))
		},
		OnWrongResponse: func(_, detail string) {
			d.asserter.RecordViolation(asserter.WrongResponse, "detail", detail)
		},
		OnViolation: d.asserter.RecordViolation,
	}
}

// asModelError returns the *model.Error in err. Any other error is converted to one with the outcome unknown.
func asModelError(err error) *model.Error {
	var e *model.Error
	if errors.As(err, &e) {
		return e
	}
	return &model.Error{
		Outcome: model.OutcomeUnknown, Kind: model.ErrorKindUpstream, Message: err.Error(),
		Remedy: "repeat with the same request id to fetch the answer",
	}
}

package daemon

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/peerclient"
	"chestnutmux.example/chestnutmux/internal/planner"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Heartbeat answers the heartbeat of a peer.
func (d *Daemon) Heartbeat(_ context.Context, b peerclient.Heartbeat) (peerclient.Heartbeat, error) {
	d.noteTerm(b)
	return d.monitor.Heard(b), nil
}

// noteTerm passes on the term of a peer in the same failure domain, so that a takeover exceeds it.
func (d *Daemon) noteTerm(b peerclient.Heartbeat) {
	if b.Domain == d.settings.FailureDomain && b.Term.Number > 0 {
		d.planner.Post(planner.TermSeen{Term: b.Term})
	}
}

// beat is the state of this host for heartbeats.
func (d *Daemon) beat() peerclient.Heartbeat {
	st := d.driver.Status()
	load := d.router.Load()
	return peerclient.Heartbeat{
		Host:     d.settings.HostID,
		Domain:   d.settings.FailureDomain,
		Version:  d.config.view.Load().version,
		Term:     st.Highest,
		Planner:  st.Role == reserver.RolePlanner,
		Load:     load.Queued + load.InFlight,
		Draining: d.draining.Load(),
	}
}

// ConfigSince returns the state of the config fold when its version is newer.
func (d *Daemon) ConfigSince(ctx context.Context, p peerclient.ConfigSinceParams) (peerclient.ConfigSinceResult, error) {
	var s reducer.ConfigSnapshot
	if err := d.config.follower.Do(ctx, func() { s = d.config.fold.Snapshot() }); err != nil {
		return peerclient.ConfigSinceResult{}, err
	}
	if s.Version <= p.Version {
		return peerclient.ConfigSinceResult{Version: s.Version}, nil
	}
	data, err := json.Marshal(s)
	return peerclient.ConfigSinceResult{Version: s.Version, Data: data}, err
}

// JobsSince returns the state of the jobs fold when it has newer records.
func (d *Daemon) JobsSince(ctx context.Context, p peerclient.JobsSinceParams) (peerclient.JobsSinceResult, error) {
	data, next, err := d.jobs.snapshot(ctx)
	if err != nil || next <= p.Offset {
		return peerclient.JobsSinceResult{Next: next}, err
	}
	return peerclient.JobsSinceResult{Next: next, Data: data}, nil
}

// Answer returns the result of a request that this host has claimed.
func (d *Daemon) Answer(ctx context.Context, p peerclient.AnswerParams) (peerclient.AnswerResult, error) {
	res, ok := d.claimer.Answer(ctx, p.Workspace, p.Request)
	if !ok {
		return peerclient.AnswerResult{Outcome: model.OutcomeUnknown}, nil
	}
	out := peerclient.AnswerResult{
		Outcome: model.OutcomeAnswered, Digest: res.Digest, Runner: res.Runner,
		ContentType: res.ContentType, Body: res.Body, Error: res.Error,
	}
	if res.Error != nil {
		out.Outcome = res.Error.Outcome
	}
	return out, nil
}

// ExplainJob answers from this host's own planner; it asks no further host, so that a call takes one hop at most.
func (d *Daemon) ExplainJob(ctx context.Context, p peerclient.ExplainParams) (peerclient.ExplainResult, error) {
	e, planned, err := d.planner.Explain(ctx, p.Job)
	if err != nil || !planned {
		return peerclient.ExplainResult{}, err
	}
	return peerclient.ExplainResult{Planned: true, Position: e.Ahead + 1, Reason: e.Message, Remedy: e.Remedy}, nil
}

// askPlanner asks this host or a peer; only the planner of the job's home knows why it waits.
func (d *Daemon) askPlanner(ctx context.Context, host model.HostID, job model.JobID) (peerclient.ExplainResult, error) {
	p := peerclient.ExplainParams{Job: job}
	if host == d.settings.HostID {
		return d.ExplainJob(ctx, p)
	}
	for _, m := range d.monitor.View().Members {
		if m.Host.ID == host {
			return d.peers.ExplainJob(ctx, m.Host.PeerAddr, p)
		}
	}
	return peerclient.ExplainResult{}, errors.New("no live entry host of it is known")
}

// catchUp fetches configuration and jobs from peers when the log cannot supply them.
func (d *Daemon) catchUp(ctx context.Context) {
	for _, m := range d.monitor.View().Members {
		if m.Host.ID == d.settings.HostID || !m.Live {
			continue
		}
		if err := d.catchUpFrom(ctx, m.Host.PeerAddr, m.Beat.Version); err != nil {
			d.logger.Debug("peer gave no state", "peer", string(m.Host.ID), "error", err.Error())
		}
	}
}

func (d *Daemon) catchUpFrom(ctx context.Context, addr string, version model.Version) error {
	status := d.config.follower.Status()
	behind := version > d.config.view.Load().version && !status.UnreachableSince.IsZero()
	if behind || status.NeedsPeer {
		if err := d.fetchConfig(ctx, addr); err != nil {
			return err
		}
	}
	if s := d.jobs.follower.Status(); s.NeedsPeer || !s.UnreachableSince.IsZero() {
		return d.fetchJobs(ctx, addr)
	}
	return nil
}

func (d *Daemon) fetchConfig(ctx context.Context, addr string) error {
	r, err := d.peers.ConfigSince(ctx, addr, peerclient.ConfigSinceParams{Version: d.config.view.Load().version})
	if err != nil || r.Data == nil {
		return err
	}
	var s reducer.ConfigSnapshot
	if err := json.Unmarshal(r.Data, &s); err != nil {
		return errors.Wrap(err, "daemon: configuration of a peer")
	}
	return d.config.restore(ctx, s)
}

func (d *Daemon) fetchJobs(ctx context.Context, addr string) error {
	status := d.jobs.follower.Status()
	r, err := d.peers.JobsSince(ctx, addr, peerclient.JobsSinceParams{Offset: status.Next})
	if err != nil || r.Data == nil {
		return err
	}
	var s reducer.JobsSnapshot
	if err := json.Unmarshal(r.Data, &s); err != nil {
		return errors.Wrap(err, "daemon: jobs of a peer")
	}
	return d.jobs.follower.Do(ctx, func() { d.jobs.fold.Restore(s) })
}

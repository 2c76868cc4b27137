package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/appender"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// snapshotRecords bounds the records that a host reads at its start.
	snapshotRecords = 10_000
	// snapshotParts divides the retention: a snapshot is repeated several times before it expires.
	snapshotParts = 4
	// upkeepEvery is the time between checks; both duties are far from urgent.
	upkeepEvery = 2 * time.Second
)

// leads reports whether this host does the duties that only one host of the deployment should do.
//
// Two hosts that both think so only write a record twice.
func (d *Daemon) leads() bool {
	set := d.config.view.Load().set
	domains := make([]model.DomainID, 0, len(set.FailureDomains))
	for id, fd := range set.FailureDomains {
		if fd.State != model.DomainLost {
			domains = append(domains, id)
		}
	}
	slices.Sort(domains)
	for _, id := range domains {
		if host, ok := d.monitor.Planner(id); ok {
			return host == d.settings.HostID
		}
	}
	return false
}

// every runs f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}

// keepSnapshots re-publishes configuration and jobs before their records expire.
func (d *Daemon) keepSnapshots(ctx context.Context) {
	every(ctx, upkeepEvery, func(ctx context.Context) {
		if !d.leads() {
			return
		}
		d.snapshotConfig(ctx)
		d.snapshotJobs(ctx)
	})
}

// due reports whether a new snapshot is needed.
func (d *Daemon) due(records int, at time.Time) bool {
	if records == 0 {
		return false
	}
	if at.IsZero() {
		at = d.startedAt
	}
	age := settings.Duration(d.settings.Retention) / snapshotParts
	return records >= snapshotRecords || time.Since(at) >= age
}

func (d *Daemon) snapshotConfig(ctx context.Context) {
	var entry json.RawMessage
	err := d.config.follower.Do(ctx, func() {
		if d.config.fold.Complete() && d.config.fold.Version() > 0 && d.due(d.config.fold.SinceSnapshot()) {
			s := d.config.fold.Snapshot()
			entry = d.encode(reducer.Encode(reducer.ConfigEntry{Snapshot: &s}))
		}
	})
	if err == nil && entry != nil {
		d.appendSnapshot(ctx, d.config.appender, entry)
	}
}

func (d *Daemon) snapshotJobs(ctx context.Context) {
	var entry json.RawMessage
	err := d.jobs.follower.Do(ctx, func() {
		if d.jobs.fold.Complete() && d.due(d.jobs.fold.SinceSnapshot()) {
			s := d.jobs.fold.Snapshot()
			entry = d.encode(reducer.Encode(reducer.JobEntry{Snapshot: &s}))
		}
	})
	if err == nil && entry != nil {
		d.appendSnapshot(ctx, d.jobs.appender, entry)
	}
}

func (d *Daemon) encode(entry json.RawMessage, err error) json.RawMessage {
	if err != nil {
		d.logger.Error("snapshot cannot be encoded", "error", err.Error())
		return nil
	}
	return entry
}

func (d *Daemon) appendSnapshot(ctx context.Context, a *appender.Appender, entry json.RawMessage) {
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	if _, err := a.Append(ctx, entry); err != nil {
		d.logger.Warn("snapshot was not appended", "error", err.Error(), "bytes", len(entry))
		return
	}
	d.logger.Info("snapshot appended", "bytes", len(entry))
}

// rehomeBatch bounds the jobs moved at once, so that the appender's queue has room for other entries.
const rehomeBatch = 500

// rehomeLost gives the jobs of lost failure domains a new home.
func (d *Daemon) rehomeLost(ctx context.Context) {
	every(ctx, upkeepEvery, func(ctx context.Context) {
		if d.leads() {
			d.rehome(ctx)
		}
	})
}

func (d *Daemon) rehome(ctx context.Context) {
	set := d.config.view.Load().set
	var moves []reducer.Rehomed
	err := d.jobs.follower.Do(ctx, func() {
		for _, j := range d.jobs.fold.Live() {
			if set.FailureDomains[j.Home].State != model.DomainLost || len(moves) >= rehomeBatch {
				continue
			}
			to, ok := d.jobs.admitter.Home(j.Spec)
			if !ok {
				continue // no active domain holds the shape; an operator must bring one back
			}
			moves = append(moves, reducer.Rehomed{Job: j.Spec.ID, From: j.Home, To: to})
		}
	})
	if err != nil {
		return
	}
	for _, m := range moves {
		d.logger.Warn("job moves out of a lost failure domain", "job", string(m.Job), "from", string(m.From), "to", string(m.To))
		short, cancel := context.WithTimeout(ctx, appendWait)
		_, err := d.jobs.append(short, reducer.JobEntry{Rehomed: &m})
		cancel()
		if err != nil {
			return // tried again at the next interval
		}
	}
}

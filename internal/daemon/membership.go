package daemon

import (
	"context"
	"time"

	"chestnutmux.example/chestnutmux/internal/monitor"
	"chestnutmux.example/chestnutmux/internal/planner"
	"chestnutmux.example/chestnutmux/internal/settings"
)

// catchUpEvery is the time between tries to get state from peers; with a version in each heartbeat a configuration
// reaches a host without the log within about a second.
const catchUpEvery = 500 * time.Millisecond

// followHosts reads the host list and passes it on.
func (d *Daemon) followHosts(ctx context.Context) {
	ticker := time.NewTicker(settings.Duration(d.settings.HostListPoll))
	defer ticker.Stop()
	for {
		snap := d.hosts.Read(ctx)
		if snap.Err != nil {
			d.logger.Warn("host list is unreachable", "error", snap.Err.Error())
		}
		if snap.Err == nil {
			if !snap.Unchanged {
				d.monitor.SetHosts(snap.Hosts)
				d.router.SetRunners(snap.Hosts)
			}
			d.planner.Post(planner.HostsListed{Hosts: snap.Hosts, ReadAt: snap.ReadAt})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// followMembers passes the choice of the planner and the shares of slots on.
func (d *Daemon) followMembers(ctx context.Context) {
	var last planner.Chosen
	lastRank, lastCount := -1, -1
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-d.monitor.Views():
			d.noteTerms(v)
			chosen := planner.Chosen{Self: v.Planner == d.settings.HostID}
			if !chosen.Self {
				chosen.Other = v.Planner
			}
			if chosen != last {
				last = chosen
				d.planner.Post(chosen)
			}
			rank, count := d.monitor.Rank(d.settings.FailureDomain)
			if count > 0 && (rank != lastRank || count != lastCount) {
				lastRank, lastCount = rank, count
				d.router.SetShare(rank, count)
			}
		}
	}
}

func (d *Daemon) noteTerms(v monitor.View) {
	for _, m := range v.Members {
		if m.Host.ID != d.settings.HostID {
			d.noteTerm(m.Beat)
		}
	}
}

// followPeers gets state from peers while the log is unreachable.
func (d *Daemon) followPeers(ctx context.Context) {
	ticker := time.NewTicker(catchUpEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.catchUp(ctx)
		}
	}
}

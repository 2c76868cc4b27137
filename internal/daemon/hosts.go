package daemon

import (
	"context"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// workerRegistry polls the host list for workers and implements coordinator.Registry.
type workerRegistry struct {
	hosts        *hostclient.Client
	pollInterval time.Duration
}

// Follow implements coordinator.Registry. It does not call update while the host list cannot be read. The list does not tell the
// incarnations of workers, so nothing waits for a refresh.
func (r *workerRegistry) Follow(ctx context.Context, _ <-chan struct{}, update func([]model.Worker)) {
	for ctx.Err() == nil {
		if list := r.hosts.Read(ctx); !list.ReadAt.IsZero() && list.Err == nil {
			update(workersFromHosts(list.Hosts))
		}
		sleep(ctx, r.pollInterval)
	}
}

func workersFromHosts(hosts []hostclient.Host) []model.Worker {
	var out []model.Worker
	for _, h := range hosts {
		if h.Role != hostclient.RoleWorker {
			continue
		}
		w := model.Worker{
			ID: h.ID, Address: h.Addr, FailureDomain: h.Domain, Rack: qualifiedRackID(h), Capacity: h.Capacity, State: model.WorkerReady,
		}
		if h.State == hostclient.StateLeaving {
			w.State = model.WorkerDraining
		}
		out = append(out, w)
	}
	return out
}

// qualifiedRackID returns the rack id prefixed with the failure domain, which makes it unique in the deployment.
func qualifiedRackID(h hostclient.Host) model.RackID {
	return model.RackID(string(h.Domain) + "/" + string(h.Rack))
}

// followHosts polls the host list and passes the runners to the router, and the index of this host, from which the router
// computes this host's share of their slots. If a poll fails, it passes the last list that was read.
func (d *Daemon) followHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if list := d.hosts.Read(ctx); !list.ReadAt.IsZero() {
			d.router.SetRunners(list.Hosts)
			hostIndex, hostCount := d.entryHostIndex(list.Hosts)
			d.router.SetHostIndex(hostIndex, hostCount)
			d.hostCount.Store(countEntryHosts(list.Hosts))
		}
		sleep(ctx, settings.Duration(d.settings.HostListPollIntervalMS))
	}
}

// countEntryHosts returns the number of live entry hosts of all failure domains.
func countEntryHosts(hosts []hostclient.Host) int64 {
	n := int64(0)
	for _, h := range hosts {
		if h.Role == hostclient.RoleEntry && h.State == hostclient.StateLive {
			n++
		}
	}
	return n
}

// entryHostIndex returns the index of this host among the live entry hosts of its failure domain, sorted by id, and the number
// of these hosts.
func (d *Daemon) entryHostIndex(hosts []hostclient.Host) (hostIndex, hostCount int) {
	ids := []model.HostID{d.settings.HostID}
	for _, h := range hosts {
		if h.Role == hostclient.RoleEntry && h.Domain == d.settings.FailureDomain && h.State == hostclient.StateLive && h.ID != d.settings.HostID {
			ids = append(ids, h.ID)
		}
	}
	slices.Sort(ids)
	return slices.Index(ids, d.settings.HostID), len(ids)
}

// sleep waits for the duration d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

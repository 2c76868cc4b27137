package daemon

import (
	"context"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// registry follows the workers of the host list; it implements coordinator.Registry.
type registry struct {
	hosts *hostclient.Client
	every time.Duration
}

// Follow implements coordinator.Registry; it hands out the first list only once one has been read.
func (r *registry) Follow(ctx context.Context, update func([]model.Worker)) {
	for ctx.Err() == nil {
		if s := r.hosts.Read(ctx); !s.ReadAt.IsZero() && s.Err == nil {
			update(workersOf(s.Hosts))
		}
		sleep(ctx, r.every)
	}
}

func workersOf(hosts []hostclient.Host) []model.Worker {
	var out []model.Worker
	for _, h := range hosts {
		if h.Role != hostclient.RoleWorker {
			continue
		}
		w := model.Worker{
			ID: h.ID, Address: h.Addr, FailureDomain: h.Domain, Rack: rackOf(h), Capacity: h.Capacity, State: model.WorkerReady,
		}
		if h.State == hostclient.StateLeaving {
			w.State = model.WorkerDraining
		}
		out = append(out, w)
	}
	return out
}

// rackOf returns a name of the rack that is unique in the deployment.
func rackOf(h hostclient.Host) model.RackID {
	return model.RackID(string(h.Domain) + "/" + string(h.Rack))
}

// followHosts hands the runners and this host's share of them to the router.
func (d *Daemon) followHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if s := d.hosts.Read(ctx); !s.ReadAt.IsZero() {
			d.router.SetRunners(s.Hosts)
			rank, hosts := d.share(s.Hosts)
			d.router.SetRank(rank, hosts)
		}
		sleep(ctx, settings.Duration(d.settings.HostListPollInterval))
	}
}

// share returns this host's rank among the live entry hosts of its failure domain, and their number.
func (d *Daemon) share(hosts []hostclient.Host) (rank, n int) {
	ids := []model.HostID{d.settings.HostID}
	for _, h := range hosts {
		if h.Role == hostclient.RoleEntry && h.Domain == d.settings.FailureDomain && h.State == hostclient.StateLive && h.ID != d.settings.HostID {
			ids = append(ids, h.ID)
		}
	}
	slices.Sort(ids)
	return slices.Index(ids, d.settings.HostID), len(ids)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

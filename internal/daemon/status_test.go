package daemon

import (
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/planner"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against workers shown without their load, and quarantined ones shown as live.
func TestWorkerStatus(t *testing.T) {
	host := func(id model.HostID) hostclient.Host {
		return hostclient.Host{ID: id, Rack: "r", State: hostclient.StateLive}
	}
	got := workerStatus(planner.State{
		Workers: []hostclient.Host{host("a"), host("b")},
		Usages: []allocator.Usage{
			{ID: "a", Health: allocator.Usable, Accelerators: 8, InUse: 3},
			{ID: "b", Health: allocator.Quarantined, Accelerators: 8},
			{ID: "down", Health: allocator.Gone, Accelerators: 8},
		},
	})
	is.New(t).Equal(got, []model.WorkerStatus{
		{Worker: "a", Rack: "r", Health: "live", Accelerators: 8, InUse: 3},
		{Worker: "b", Rack: "r", Health: "quarantined", Accelerators: 8},
	})
}

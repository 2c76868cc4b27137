package daemon

import (
	"context"
	"maps"
	"time"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/planner"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// followUsed tells the planner what workspaces use in other failure domains, a few times a second at most.
func (d *Daemon) followUsed(ctx context.Context) {
	ticker := time.NewTicker(admitter.UsedInterval)
	defer ticker.Stop()
	var told map[model.WorkspaceID]model.Accelerators
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// It fails only when ctx ends.
		_ = d.jobs.follower.Do(ctx, func() {
			if !d.jobs.admitter.Changed() {
				return
			}
			if used := d.jobs.admitter.UsedElsewhere(); !maps.Equal(used, told) {
				told = used
				d.planner.Post(planner.UsedElsewhere{Used: used})
			}
		})
	}
}

package dispatcher

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a burst of a large workspace ahead of the work of small ones, and against shares that outweigh rank, use or a guarantee.
func TestOrderByShares(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	var logs bytes.Buffer
	d.Logger = hclog.New(&hclog.LoggerOptions{Output: &logs})
	now := time.Now()
	busy := d.fill("busy", 1, model.Resources{Accelerators: 8}, 0, 6, now)
	busy.job.submission.Workspace = "large"
	for i := range 3 {
		d.addUnit(fmt.Sprint("large-", i), 1, time.Duration(9-i)*time.Second, now).job.submission.Workspace = "large"
	}
	d.addUnit("urgent-large", 0, 0, now).job.submission.Workspace = "large"
	d.addUnit("small", 1, time.Second, now).job.submission.Workspace = "small"
	d.addUnit("late-small", 1, 25*time.Second, now).job.submission.Workspace = "small"
	for range 150 {
		is.Equal(d.order(now), "urgent-large small large-0 large-1 large-2 late-small")
		now = now.Add(20 * time.Millisecond)
	}
	is.Equal(d.Metrics.Workspaces.String(), `{"beyond-share": 1, "waiting": 2}`)
	is.Equal(strings.Count(logs.String(), "workspace waits beyond its share: workspace=large use-percent-of-share=150"), 1)
	d.entitlements.Guaranteed = map[model.WorkspaceID]model.Accelerators{"large": 64, "small": 64}
	for _, id := range []model.JobID{"small", "late-small"} {
		d.jobs[id].submission.Queue.Priority = 0
	}
	is.Equal(d.order(now), "late-small small urgent-large large-0 large-1 large-2") // guaranteed work keeps the order of acceptance
}

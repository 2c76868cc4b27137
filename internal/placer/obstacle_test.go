package placer

import (
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a log line that gives the wrong reason why work waits.
func TestCountObstacles(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(2, 4)
	for _, n := range nodes[:7] {
		n.Labels = []string{"a"}
	}
	nodes[0].Unschedulable = true
	nodes[1].Suspicion = 1
	nodes[2].Free = accelerators(1)
	nodes[3].Service = "other"
	r := &Request{Count: 1, Need: accelerators(2), Label: "a", ExcludeSuspected: true, Excluded: map[model.HostID]bool{nodes[4].ID: true}}
	is.Equal(CountObstacles(nodes, r), map[Obstacle]int{
		obstacleUnschedulable: 1, obstacleSuspected: 1, obstacleFull: 1, obstacleExcluded: 1, noObstacle: 2,
	})
}

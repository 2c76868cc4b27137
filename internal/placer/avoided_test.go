package placer

import (
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a task that starts again where it has failed although another worker has room, or that waits although only that one has.
func TestAvoidedNodesAreTheLastChoice(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(2, 2)
	avoided := map[model.HostID]bool{nodes[0].ID: true}
	r := &Request{Count: 3, Need: accelerators(8), Avoided: avoided}
	for _, n := range Place(nodes, r) {
		is.True(n != nodes[0])
	}
	r.Count = 4
	is.Equal(len(Place(nodes, r)), 4)
	gang := &Request{Count: 2, Need: accelerators(8), Gang: true, OneRack: true, Avoided: avoided}
	is.Equal(Place(nodes, gang)[0].Rack, model.RackID("r1"))
	addUnit(1, nodes[0], 5, 8, 1)
	addUnit(2, nodes[1], 5, 8, 1)
	var planner PreemptionPlanner
	places, _ := planner.Plan(nodes[:2], &Request{Count: 1, Need: accelerators(8), Avoided: avoided})
	is.Equal(places, []*Node{nodes[1]})
}

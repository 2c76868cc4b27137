package placer

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against urgent tasks on cold workers beside warm ones, and against cold workers that are filled at once.
func TestColdNodesAreFilledSlowlyAndLast(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(2, 2)
	for _, n := range nodes[:2] {
		n.Cold = true
	}
	for _, n := range Place(nodes, &Request{Count: 2, Need: accelerators(8), PreferWarm: true}) {
		is.True(!n.Cold)
	}
	for _, n := range Place(nodes, &Request{Count: 2, Need: accelerators(8), PreferWarm: true, Gang: true, OneRack: true}) {
		is.True(!n.Cold)
	}
	is.Equal(len(Place(nodes, &Request{Count: 4, Need: accelerators(8), PreferWarm: true})), 4)
	nodes[0].ColdLimited, nodes[0].ColdSlots = true, 1
	nodes[1].ColdLimited = true
	r := &Request{Count: 32, Need: accelerators(1)}
	is.Equal(len(Place(nodes, r)), 17)
	is.Equal(CountObstacles(nodes, r), map[Obstacle]int{"free": 3, "cold": 1})
	is.Equal(len(Place(nodes, &Request{Count: 32, Need: accelerators(1), IgnoreColdLimit: true})), 32)
	places, _ := (&PreemptionPlanner{}).Plan(nodes, r)
	is.Equal(len(places), 17)
	is.True(FitsRack(nodes, &Request{Count: 16, Need: accelerators(1), Gang: true, OneRack: true})) // the limit passes
}

package placer

import (
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a preference for fast or slow nodes that changes the placement on equally fast ones, that breaks up empty nodes for small differences, or that has no effect where nodes are equally full.
func TestSpeedWeighsAgainstFit(t *testing.T) {
	for _, c := range []struct {
		speed    SpeedPreference
		slowness [4]float64 // of the nodes of one rack; 7 of 8 accelerators of the second are in use
		want     model.HostID
	}{
		{SpeedFast, [4]float64{1, 1, 1, 1}, "r0-1"},
		{SpeedSlow, [4]float64{1, 1, 1, 1}, "r0-1"},
		{SpeedFast, [4]float64{1, 1.03, 1, 1}, "r0-1"},
		{SpeedSlow, [4]float64{1, 0.97, 1, 1}, "r0-1"},
		{SpeedFast, [4]float64{1, 1.14, 0.8, 0.9}, "r0-2"},
		{SpeedSlow, [4]float64{1, 0.9, 0.9, 1.4}, "r0-3"},
		{SpeedSlow, [4]float64{1, 0.8, 1, 1.6}, "r0-0"}, // a node as slow as this makes short work late
		{SpeedAny, [4]float64{1, 1.1, 0.8, 1}, "r0-1"},
	} {
		nodes := newFleet(1, 4)
		addUnit(1, nodes[1], 5, 7, 1)
		for i, n := range nodes {
			n.Slowness = c.slowness[i]
		}
		is := is.New(t)
		is.Equal(Place(nodes, &Request{Count: 1, Need: accelerators(1), Speed: c.speed})[0].ID, c.want)
		var p PreemptionPlanner
		places, _ := p.Plan(nodes, &Request{Count: 1, Need: accelerators(1), Speed: c.speed})
		is.Equal(places[0].ID, c.want)
	}
}

// Guards against a gang whose fast members wait for a slow one, and against one in a rack with a slow node beside a rack without.
func TestGangUsesNodesOfLikeSpeed(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(2, 4)
	for i, slowness := range []float64{0.9, 1.3, 1.3, 1.3, 1, 1, 1, 1} {
		nodes[i].Slowness = slowness
	}
	for _, speed := range []SpeedPreference{SpeedFast, SpeedAny, SpeedSlow} {
		for _, n := range Place(nodes, &Request{Count: 3, Need: accelerators(8), Gang: true, Speed: speed}) {
			is.Equal(n.Slowness, map[SpeedPreference]float64{SpeedFast: 1, SpeedAny: 1, SpeedSlow: 1.3}[speed])
		}
		want := model.RackID("r1")
		if speed == SpeedSlow {
			want = "r0"
		}
		is.Equal(Place(nodes, &Request{Count: 3, Need: accelerators(8), Gang: true, OneRack: true, Speed: speed})[0].Rack, want)
	}
}

// Guards against work that leaves fast nodes to nobody, and against many short tasks that make all others long.
func TestSpeedPreference(t *testing.T) {
	is := is.New(t)
	var u UsualWork
	for range minUsualStarts {
		is.Equal(u.Preference(false, 1), SpeedAny)
		u.Observe(1, u.Preference(false, 1))
	}
	is.Equal(u.Preference(false, 1), SpeedAny)
	is.Equal(u.Preference(true, 1), SpeedFast)
	is.Equal(u.Preference(false, 2), SpeedFast)
	for range minUsualStarts {
		u.Observe(10, SpeedAny)
	}
	is.Equal(u.Preference(false, 1), SpeedAny)
	u.Observe(100, SpeedFast)
	is.Equal(u.Preference(false, 1), SpeedSlow)
	is.Equal(u.Preference(false, 0), SpeedAny) // nothing is known of it
	u.Observe(1e6, SpeedFast)
	is.Equal(u.Preference(false, 50), SpeedFast) // one task of days makes no others short
}

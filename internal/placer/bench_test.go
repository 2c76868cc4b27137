package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// newPartlyFreeFleet returns racks of 20 nodes of which random parts are free.
func newPartlyFreeFleet(workers int) []*Node {
	rng := rand.New(rand.NewPCG(1, 1))
	var nodes []*Node
	for i := range workers {
		nodes = append(nodes, &Node{
			ID: model.HostID(fmt.Sprint("w", i)), Rack: model.RackID(fmt.Sprint("r", i/20)), Slowness: 1 + rng.Float64(),
			Capacity: model.Resources{Cores: 128_000, MemoryMB: 524_288, Accelerators: 8},
			Free: model.Resources{
				Cores: model.MilliCores(rng.IntN(128_000)), MemoryMB: model.Megabytes(rng.IntN(524_288)), Accelerators: model.Accelerators(rng.IntN(9)),
			},
		})
	}
	return nodes
}

// BenchmarkPlace measures the placement of a gang on a fleet of which parts are free, within one rack and on all.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{350, 1000, 8800} {
		for _, speed := range []SpeedPreference{SpeedUnknown, SpeedFast} {
			for _, oneRack := range []bool{false, true} {
				b.Run(fmt.Sprint("workers=", n, "/speed=", speed, "/one-rack=", oneRack), func(b *testing.B) {
					nodes := newPartlyFreeFleet(n)
					r := &Request{Count: 5, Need: model.Resources{Cores: 15_000, MemoryMB: 32_768, Accelerators: 2}, Gang: true, OneRack: oneRack, Speed: speed}
					for b.Loop() {
						Place(nodes, r)
					}
				})
			}
		}
	}
}

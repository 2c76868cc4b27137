package placer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// fleet returns racks of workers with 8 accelerators and 32 cores each.
func fleet(racks, workers int) []*Node {
	var out []*Node
	for r := range racks {
		for w := range workers {
			capacity := model.Resources{Cores: 32000, MemoryMB: 131072, Accelerators: 8}
			out = append(out, &Node{
				ID: model.HostID(fmt.Sprintf("r%d-%d", r, w)), Rack: model.RackID(fmt.Sprint("r", r)), Capacity: capacity, Free: capacity,
			})
		}
	}
	return out
}

func need(accelerators int) model.Resources {
	return model.Resources{Accelerators: model.Accelerators(accelerators)}
}

// run puts a block of single tasks on a node.
func run(id int, n *Node, rank Rank, accelerators int, cost float64) *Block {
	b := &Block{ID: id, Rank: rank, Cost: cost}
	n.Add(b, need(accelerators))
	n.Free = n.Free.Sub(need(accelerators))
	return b
}

// Guards against a gang that must share a rack and is spread, or that takes the last whole rack while a used one fits.
func TestGangSharesARack(t *testing.T) {
	is := is.New(t)
	nodes := fleet(3, 4)
	run(1, nodes[0], 5, 8, 1) // the first rack has three whole workers left
	places := Place(nodes, &Request{Count: 3, Need: need(8), Gang: true, OneRack: true})
	is.Equal(len(places), 3)
	for _, n := range places {
		is.Equal(n.Rack, model.RackID("r0"))
	}
	is.Equal(len(Place(nodes, &Request{Count: 5, Need: need(8), Gang: true, OneRack: true})), 0)
	is.Equal(len(Place(nodes, &Request{Count: 5, Need: need(8), Gang: true})), 5)
}

// Guards against small tasks that break whole workers open while others have room.
func TestSmallTasksFillUsedWorkers(t *testing.T) {
	is := is.New(t)
	nodes := fleet(1, 4)
	run(1, nodes[2], 5, 5, 1)
	for _, n := range Place(nodes, &Request{Count: 3, Need: need(1)}) {
		is.Equal(n.ID, nodes[2].ID)
	}
}

// Guards against work on workers of another service, without the label, beyond the bound per worker or in doubt.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	nodes := fleet(1, 4)
	nodes[0].Service = "other"
	nodes[1].Labels = []string{"fast"}
	nodes[2].Doubt = 1
	places := Place(nodes, &Request{Count: 8, Need: need(1), MaxPerWorker: 2, Present: map[model.HostID]int{nodes[3].ID: 1}, Careful: true})
	got := map[model.HostID]int{}
	for _, n := range places {
		got[n.ID]++
	}
	is.Equal(got, map[model.HostID]int{nodes[1].ID: 2, nodes[3].ID: 1})
	is.Equal(len(Place(nodes, &Request{Count: 1, Need: need(1), Label: "fast", Avoid: map[model.HostID]bool{nodes[1].ID: true}})), 0)
	is.Equal(len(Place(nodes, &Request{Count: 1, Need: need(1), Proven: true})), 0)
	failed := time.Now()
	nodes[3].DoneAt = failed.Add(time.Second)
	last := Place(nodes, &Request{Count: 1, Need: need(1), DoneSince: failed})
	is.Equal(last, []*Node{nodes[3]})
}

// Guards against victims that need not give way: dearer ones, more urgent ones, or more of them than needed.
func TestReclaimTakesTheCheapest(t *testing.T) {
	is := is.New(t)
	nodes := fleet(1, 2)
	dear := run(1, nodes[0], 5, 8, 100)
	run(2, nodes[1], 5, 4, 3)
	cheap := run(3, nodes[1], 5, 4, 2)
	places, victims := (&Reclaimer{}).Reclaim(nodes, &Request{Count: 1, Need: need(4), Rank: 1})
	is.Equal(places, []*Node{nodes[1]})
	is.Equal(victims, []*Block{cheap})
	_, victims = (&Reclaimer{}).Reclaim(nodes, &Request{Count: 2, Need: need(8), Rank: 1, Gang: true})
	is.Equal(len(victims), 3)
	places, _ = (&Reclaimer{}).Reclaim(nodes, &Request{Count: 2, Need: need(8), Rank: 5, Gang: true})
	is.Equal(places, nil) // nothing of the same rank gives way
	places, victims = (&Reclaimer{}).Reclaim(nodes, &Request{Count: 1, Need: need(8), Rank: 1})
	is.Equal(victims == nil || victims[0] != dear, true)
	is.Equal(len(places), 1)
}

// Guards against room that is kept where work has just begun: it empties last.
func TestDrainTakesWhatEndsSoonest(t *testing.T) {
	is := is.New(t)
	nodes := fleet(1, 2)
	young, old := run(1, nodes[0], 5, 8, 1), run(2, nodes[1], 5, 8, 9)
	young.Left, old.Left = 9, 1
	places, _ := (&Reclaimer{}).Reclaim(nodes, &Request{Count: 1, Need: need(8), Rank: 1, Drain: true})
	is.Equal(places, []*Node{nodes[1]})
}

// Guards against a gang of which one member is stopped for nothing: stopping a member frees all its workers.
func TestReclaimCountsWholeGangs(t *testing.T) {
	is := is.New(t)
	nodes := fleet(1, 3)
	gang := &Block{ID: 1, Rank: 3, Cost: 20}
	for _, n := range nodes[:2] {
		n.Add(gang, need(8))
		n.Free = n.Free.Sub(need(8))
	}
	run(2, nodes[2], 5, 8, 30)
	_, victims := (&Reclaimer{}).Reclaim(nodes, &Request{Count: 2, Need: need(8), Rank: 0, Gang: true})
	is.Equal(victims, []*Block{gang})
}

// Guards against placements beyond the room of a worker, partial gangs and victims that leave too little room.
func TestPlacementFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(rapid.IntRange(1, 3).Draw(t, "racks"), rapid.IntRange(1, 4).Draw(t, "workers"))
		for i := range rapid.IntRange(0, 20).Draw(t, "runs") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			size := rapid.IntRange(1, 8).Draw(t, "size")
			if int(n.Free.Accelerators) >= size {
				run(i, n, Rank(rapid.IntRange(0, 5).Draw(t, "rank")), size, rapid.Float64Range(0, 10).Draw(t, "cost"))
			}
		}
		r := &Request{
			Count: rapid.IntRange(1, 12).Draw(t, "count"), Need: need(rapid.IntRange(1, 8).Draw(t, "need")),
			Rank: Rank(rapid.IntRange(0, 5).Draw(t, "of rank")), Gang: rapid.Bool().Draw(t, "gang"), OneRack: rapid.Bool().Draw(t, "one rack"),
		}
		free := map[*Node]model.Resources{}
		for _, n := range nodes {
			free[n] = n.Free
		}
		check(t, r, Place(nodes, r), free, true)
		places, victims := (&Reclaimer{}).Reclaim(nodes, r)
		for _, b := range victims {
			if b.Rank <= r.Rank {
				t.Fatalf("a block of rank %d gives way to rank %d", b.Rank, r.Rank)
			}
			for _, m := range b.Members {
				free[m.Node] = free[m.Node].Add(m.Need)
			}
		}
		check(t, r, places, free, false)
	})
}

func check(t *rapid.T, r *Request, places []*Node, free map[*Node]model.Resources, rack bool) {
	if r.Gang && len(places) != 0 && len(places) != r.Count || len(places) > r.Count {
		t.Fatalf("%d places for %d tasks", len(places), r.Count)
	}
	left := map[*Node]model.Resources{}
	for _, n := range places {
		if _, ok := left[n]; !ok {
			left[n] = free[n]
		}
		if !left[n].CanFit(r.Need) {
			t.Fatalf("worker %s has no room for all its tasks", n.ID)
		}
		left[n] = left[n].Sub(r.Need)
		if r.Gang && r.OneRack && rack && n.Rack != places[0].Rack {
			t.Fatal("the gang is spread over racks")
		}
	}
}

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

// Property tests use a fixed seed by default, so that failures are reproducible. The flag rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// newFleet returns the nodes of a number of racks, with a number of workers per rack. Each has 8 accelerators and 32 cores.
func newFleet(racks, workers int) []*Node {
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

// accelerators returns a need of n accelerators.
func accelerators(n int) model.Resources {
	return model.Resources{Accelerators: model.Accelerators(n)}
}

// addUnit adds a preemption unit of one task, which uses size accelerators, to a node.
func addUnit(id int, n *Node, rank Rank, size int, cost float64) *PreemptionUnit {
	u := &PreemptionUnit{ID: id, Rank: rank, Cost: cost}
	n.AddMember(u, accelerators(size))
	n.Free = n.Free.Sub(accelerators(size))
	return u
}

// Guards against a one-rack gang that is spread over racks, or that takes an empty rack although it fits in a partly used one.
func TestGangUsesOneRack(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(3, 4)
	addUnit(1, nodes[0], 5, 8, 1) // three empty nodes are left in the first rack
	places := Place(nodes, &Request{Count: 3, Need: accelerators(8), Gang: true, OneRack: true})
	is.Equal(len(places), 3)
	for _, n := range places {
		is.Equal(n.Rack, model.RackID("r0"))
	}
	is.Equal(len(Place(nodes, &Request{Count: 5, Need: accelerators(8), Gang: true, OneRack: true})), 0)
	is.Equal(len(Place(nodes, &Request{Count: 5, Need: accelerators(8), Gang: true})), 5)
}

// Guards against fragmentation by small tasks that use empty workers while partly used ones have room.
func TestSmallTasksPackPartlyUsedWorkers(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(1, 4)
	addUnit(1, nodes[2], 5, 5, 1)
	for _, n := range Place(nodes, &Request{Count: 3, Need: accelerators(1)}) {
		is.Equal(n.ID, nodes[2].ID)
	}
}

// Guards against tasks on workers of another service, without the label, beyond the limit per worker or under suspicion.
func TestPlaceHonorsNodeConstraints(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(1, 4)
	nodes[0].Service = "other"
	nodes[1].Labels = []string{"fast"}
	nodes[2].Suspicion = 1
	places := Place(nodes, &Request{
		Count: 8, Need: accelerators(1), MaxPerWorker: 2, RunningPerWorker: map[model.HostID]int{nodes[3].ID: 1}, ExcludeSuspected: true,
	})
	got := map[model.HostID]int{}
	for _, n := range places {
		got[n.ID]++
	}
	is.Equal(got, map[model.HostID]int{nodes[1].ID: 2, nodes[3].ID: 1})
	is.Equal(len(Place(nodes, &Request{Count: 1, Need: accelerators(1), Label: "fast", Excluded: map[model.HostID]bool{nodes[1].ID: true}})), 0)
	is.Equal(len(Place(nodes, &Request{Count: 1, Need: accelerators(1), RequireKnownHealthy: true})), 0)
	failed := time.Now()
	nodes[3].LastSuccessAt = failed.Add(time.Second)
	last := Place(nodes, &Request{Count: 1, Need: accelerators(1), SuccessAfter: failed})
	is.Equal(last, []*Node{nodes[3]})
}

// Guards against unnecessary preemption, with victims that are more costly, more urgent or more numerous than needed.
func TestPlanPreemptsCheapestUnits(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(1, 2)
	expensive := addUnit(1, nodes[0], 5, 8, 100)
	addUnit(2, nodes[1], 5, 4, 3)
	cheap := addUnit(3, nodes[1], 5, 4, 2)
	places, victims := (&PreemptionPlanner{}).Plan(nodes, &Request{Count: 1, Need: accelerators(4), Rank: 1})
	is.Equal(places, []*Node{nodes[1]})
	is.Equal(victims, []*PreemptionUnit{cheap})
	_, victims = (&PreemptionPlanner{}).Plan(nodes, &Request{Count: 2, Need: accelerators(8), Rank: 1, Gang: true})
	is.Equal(len(victims), 3)
	places, _ = (&PreemptionPlanner{}).Plan(nodes, &Request{Count: 2, Need: accelerators(8), Rank: 5, Gang: true})
	is.Equal(places, nil) // work of the same rank is not preempted
	places, victims = (&PreemptionPlanner{}).Plan(nodes, &Request{Count: 1, Need: accelerators(8), Rank: 1})
	is.Equal(victims == nil || victims[0] != expensive, true)
	is.Equal(len(places), 1)
}

// Guards against work that waits for the nodes whose runs have just started, because those become free last.
func TestMinimizeWaitChoosesEarliestEnd(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(1, 2)
	lateEnd, earlyEnd := addUnit(1, nodes[0], 5, 8, 1), addUnit(2, nodes[1], 5, 8, 9)
	lateEnd.RemainingSeconds, earlyEnd.RemainingSeconds = 9, 1
	places, _ := (&PreemptionPlanner{}).Plan(nodes, &Request{Count: 1, Need: accelerators(8), Rank: 1, MinimizeWait: true})
	is.Equal(places, []*Node{nodes[1]})
}

// Guards against a plan that counts the resources of only one member of a preempted gang. Stopping the gang frees those of all its
// members.
func TestPlanFreesAllMembersOfGang(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(1, 3)
	gang := &PreemptionUnit{ID: 1, Rank: 3, Cost: 20}
	for _, n := range nodes[:2] {
		n.AddMember(gang, accelerators(8))
		n.Free = n.Free.Sub(accelerators(8))
	}
	addUnit(2, nodes[2], 5, 8, 30)
	_, victims := (&PreemptionPlanner{}).Plan(nodes, &Request{Count: 2, Need: accelerators(8), Rank: 0, Gang: true})
	is.Equal(victims, []*PreemptionUnit{gang})
}

// Guards against placements beyond the capacity of a worker, partial gangs and victims that free too few resources.
func TestPlacementsFitCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := newFleet(rapid.IntRange(1, 3).Draw(t, "racks"), rapid.IntRange(1, 4).Draw(t, "workers"))
		for i := range rapid.IntRange(0, 20).Draw(t, "runs") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			size := rapid.IntRange(1, 8).Draw(t, "size")
			if int(n.Free.Accelerators) >= size {
				addUnit(i, n, Rank(rapid.IntRange(0, 5).Draw(t, "rank")), size, rapid.Float64Range(0, 10).Draw(t, "cost"))
			}
		}
		r := &Request{
			Count: rapid.IntRange(1, 12).Draw(t, "count"), Need: accelerators(rapid.IntRange(1, 8).Draw(t, "need")),
			Rank: Rank(rapid.IntRange(0, 5).Draw(t, "request rank")), Gang: rapid.Bool().Draw(t, "gang"), OneRack: rapid.Bool().Draw(t, "one rack"),
		}
		free := map[*Node]model.Resources{}
		for _, n := range nodes {
			free[n] = n.Free
		}
		checkPlacement(t, r, Place(nodes, r), free, true)
		places, victims := (&PreemptionPlanner{}).Plan(nodes, r)
		for _, u := range victims {
			if u.Rank <= r.Rank {
				t.Fatalf("a unit of rank %d is preempted for rank %d", u.Rank, r.Rank)
			}
			for _, m := range u.Members {
				free[m.Node] = free[m.Node].Add(m.Need)
			}
		}
		checkPlacement(t, r, places, free, false)
	})
}

// checkPlacement fails the test if the places break the rules for gangs or exceed the free resources.
func checkPlacement(t *rapid.T, r *Request, places []*Node, free map[*Node]model.Resources, requireOneRack bool) {
	if r.Gang && len(places) != 0 && len(places) != r.Count || len(places) > r.Count {
		t.Fatalf("%d places for %d tasks", len(places), r.Count)
	}
	remaining := map[*Node]model.Resources{}
	for _, n := range places {
		if _, ok := remaining[n]; !ok {
			remaining[n] = free[n]
		}
		if !remaining[n].CanFit(r.Need) {
			t.Fatalf("node %s does not have the resources for all its tasks", n.ID)
		}
		remaining[n] = remaining[n].Sub(r.Need)
		if r.Gang && r.OneRack && requireOneRack && n.Rack != places[0].Rack {
			t.Fatal("gang is spread over racks")
		}
	}
}

// Guards against a plan that stops many small tasks where the stop of one large one costs less, and against one that stops protected work.
func TestPlanPrefersOneStopToMany(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(1, 1)
	for i := range 4 {
		addUnit(i, nodes[0], 5, 1, 3)
	}
	large := addUnit(9, nodes[0], 3, 4, 8)
	r := &Request{Count: 1, Need: accelerators(4), Rank: 1}
	_, victims := (&PreemptionPlanner{}).Plan(nodes, r)
	is.Equal(victims, []*PreemptionUnit{large})
	large.Protected, r.SparesProtected = true, true
	_, victims = (&PreemptionPlanner{}).Plan(nodes, r)
	is.Equal(len(victims), 4)
}

// Guards against an estimate of free room that counts less urgent work only, although more urgent work ends sooner.
func TestMinimizeWaitCountsWorkOfAllRanks(t *testing.T) {
	is := is.New(t)
	nodes := newFleet(1, 1)
	late, early := addUnit(1, nodes[0], 5, 4, 1), addUnit(2, nodes[0], 0, 4, 1)
	late.RemainingSeconds, early.RemainingSeconds = 9, 1
	_, ending := (&PreemptionPlanner{}).Plan(nodes, &Request{Count: 1, Need: accelerators(4), Rank: 3, MinimizeWait: true})
	is.Equal(ending, []*PreemptionUnit{early})
}

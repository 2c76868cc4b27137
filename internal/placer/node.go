package placer

import (
	"iter"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Rank is the position of work in the scheduling order. Work of a lower rank is more urgent, comes first, and may preempt work of
// a higher rank.
type Rank int

// Node is a worker with its free resources and the preemptible work on it.
type Node struct {
	ID            model.HostID
	Service       model.ServiceID
	Domain        model.DomainID // for the caller; the placer does not use it
	Rack          model.RackID
	Labels        []string
	Capacity      model.Resources
	Free          model.Resources // resources available for the request, as computed by the caller
	Unused        model.Resources // resources that no run uses, even if they are reserved or held
	Unschedulable bool            // the worker accepts no new tasks
	Quarantined   bool            // the worker is unschedulable only because tasks have failed on it
	Occupied      bool            // the worker has runs
	Suspicion     int             // number that grows with each sign of a fault; 0 means no suspicion
	KnownHealthy  bool            // the worker has recently completed a task or made progress, without a failure since
	LastSuccessAt time.Time       // time at which a task last succeeded on the worker; zero means never
	Slowness      float64         // run time as a multiple of that on other workers, see SpeedPreference; 0 means unknown
	Cold          bool            // the worker is slow for a while, because its process or its failure domain is back
	ColdLimited   bool            // only ColdSlots tasks may be started on the worker now
	ColdSlots     int
	Preemptible   []Allocation // running work on the node that may be preempted

	ServiceIndex int // number of schedulable nodes of the service that precede this one

	candidateIndex int // index of the node's candidate in PreemptionPlanner.candidates
}

// usualAllocations is the number of allocations for which a node gets storage with its first one.
const usualAllocations = 8

// Allocation holds the resources that a preemption unit uses on a node.
type Allocation struct {
	*PreemptionUnit
	Resources model.Resources
}

// AddMember adds a task that runs on the node to the preemption unit, and its resources to the node's preemptible work.
func (n *Node) AddMember(u *PreemptionUnit, need model.Resources) {
	if u.Members == nil {
		u.Members = u.first[:0]
	}
	u.Members = append(u.Members, Member{Node: n, Need: need})
	if i := slices.IndexFunc(n.Preemptible, func(p Allocation) bool { return p.PreemptionUnit == u }); i >= 0 {
		n.Preemptible[i].Resources = n.Preemptible[i].Resources.Add(need)
		return
	}
	if n.Preemptible == nil {
		n.Preemptible = make([]Allocation, 0, usualAllocations)
	}
	n.Preemptible = append(n.Preemptible, Allocation{PreemptionUnit: u, Resources: need})
}

// PreemptionUnit is running work that can only be stopped as a whole, either a single task or all members of a gang.
type PreemptionUnit struct {
	ID               int // chosen by the caller
	Rank             Rank
	Cost             float64 // what the stop of the unit costs, in any measure that can be added up
	Protected        bool    // the unit is spared by requests with SparesProtected
	RemainingSeconds float64 // estimated seconds until the unit ends on its own
	Members          []Member

	first [1]Member // storage of Members for a single task
}

// Member is one task of a preemption unit.
type Member struct {
	Node *Node
	Need model.Resources
}

// Request describes a number of equal tasks to place.
type Request struct {
	Count               int             // number of tasks
	Need                model.Resources // resources of each task
	Service             model.ServiceID
	Rank                Rank
	MinimizeWait        bool                  // compare nodes by the time until their work ends instead of by the cost of preemption
	SparesProtected     bool                  // preempt no protected units
	Gang                bool                  // place all tasks or none
	OneRack             bool                  // place all tasks in the same rack
	Label               string                // required label of the nodes; empty means none
	NearRack            model.RackID          // preferred rack; empty means none
	MaxPerWorker        int                   // maximum number of tasks of the step per node; 0 means no limit
	RunningPerWorker    map[model.HostID]int  // number of running tasks of the step on each worker; counts towards MaxPerWorker
	Excluded            map[model.HostID]bool // workers that must not be used, such as those on which a task of the step has just failed
	Avoided             map[model.HostID]bool // workers that are used only if no other has room, such as those on which a task of the step has failed
	WithheldNodes       int                   // nodes with a ServiceIndex below this are withheld for more urgent work
	Isolated            bool                  // use only nodes without runs, each for one task
	UseQuarantined      bool                  // use quarantined nodes, too, if no other has room
	PreferWarm          bool                  // use cold nodes only if no other has room
	IgnoreColdLimit     bool                  // start as many tasks on a cold node as have room
	ExcludeSuspected    bool                  // use only nodes without suspicion
	RequireKnownHealthy bool                  // use only nodes that are known to be healthy
	SuccessAfter        time.Time             // use only nodes with a success after this time; zero means no such restriction
	Speed               SpeedPreference       // how the speed of the nodes counts
}

// admits reports whether the node may run tasks of the request, regardless of its free resources.
func (r *Request) admits(n *Node) bool { return r.obstacle(n) == noObstacle }

// taskLimit returns how many more tasks of the request the node may run, regardless of its free resources.
func (r *Request) taskLimit(n *Node) int {
	limit := r.Count
	if r.Isolated {
		limit = min(limit, 1)
	}
	if r.MaxPerWorker == 0 {
		return limit
	}
	return min(limit, max(0, r.MaxPerWorker-r.RunningPerWorker[n.ID]))
}

// startLimit returns how many more tasks of the request may be started on the node now, regardless of its free resources.
func (r *Request) startLimit(n *Node) int {
	if n.ColdLimited && !r.IgnoreColdLimit {
		return min(r.taskLimit(n), max(0, n.ColdSlots))
	}
	return r.taskLimit(n)
}

// coldness returns 1 for a cold node if the request prefers warm ones, and 0 for any other.
func (r *Request) coldness(n *Node) int {
	if n.Cold && r.PreferWarm {
		return 1
	}
	return 0
}

// UnusedSlots returns how many tasks of the request, whatever its Count, fit into the unused resources of the node.
func (r *Request) UnusedSlots(n *Node) int {
	slots := n.Unused.TasksThatFit(r.Need)
	if r.MaxPerWorker > 0 {
		slots = min(slots, max(0, r.MaxPerWorker-r.RunningPerWorker[n.ID]))
	}
	return slots
}

// leftover returns the resources that remain free after one more task, as a weighted sum of fractions of the capacity.
// Accelerators have twice the weight of cores and memory.
func leftover(n *Node, free, need model.Resources) float64 {
	remaining := free.Sub(need)
	return fraction(int64(remaining.Accelerators), int64(n.Capacity.Accelerators))*2 +
		fraction(int64(remaining.Cores), int64(n.Capacity.Cores)) +
		fraction(int64(remaining.MemoryMB), int64(n.Capacity.MemoryMB))
}

// DominantShare returns the largest fraction of the capacity that the need takes of any resource.
func DominantShare(need, capacity model.Resources) float64 {
	return max(fraction(int64(need.Cores), int64(capacity.Cores)), fraction(int64(need.MemoryMB), int64(capacity.MemoryMB)),
		fraction(int64(need.Accelerators), int64(capacity.Accelerators)))
}

func fraction(part, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// nodesByRack yields the nodes of one rack after the other. The nodes of a rack must be adjacent in the slice.
func nodesByRack(nodes []*Node) iter.Seq[[]*Node] {
	return func(yield func([]*Node) bool) {
		for i := 0; i < len(nodes); {
			j := i + 1
			for j < len(nodes) && nodes[j].Rack == nodes[i].Rack {
				j++
			}
			if !yield(nodes[i:j]) {
				return
			}
			i = j
		}
	}
}

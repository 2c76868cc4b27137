package placer

import (
	"iter"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Rank is the scheduling order of work. Work of a lower rank may preempt work of a higher one.
type Rank int

// Node is a worker with its free resources and the preemptible work on it.
type Node struct {
	ID            model.HostID
	Service       model.ServiceID
	Domain        model.DomainID
	Rack          model.RackID
	Labels        []string
	Capacity      model.Resources
	Free          model.Resources // resources not taken by runs, start requests in flight or reservations
	Unschedulable bool            // accepts no new tasks
	Suspicion     int             // grows with signs that the worker is faulty; 0 means none
	KnownHealthy  bool            // has recently succeeded or made progress, without a failure since
	LastSuccessAt time.Time       // time of the last success
	Slowness      float64         // observed run time relative to the fastest workers; 0 means unknown
	Preemptible   []Allocation    // running work on the node that may be preempted

	ServiceIndex int // number of schedulable nodes of the service before this one

	candidateIndex int // index of the node's candidate in the current search
}

// Allocation is the share of a node that a preemption unit takes.
type Allocation struct {
	*PreemptionUnit
	Resources model.Resources
}

// AddMember adds a member of the preemption unit that runs on the node.
func (n *Node) AddMember(u *PreemptionUnit, need model.Resources) {
	u.Members = append(u.Members, Member{Node: n, Need: need})
	if i := slices.IndexFunc(n.Preemptible, func(p Allocation) bool { return p.PreemptionUnit == u }); i >= 0 {
		n.Preemptible[i].Resources = n.Preemptible[i].Resources.Add(need)
		return
	}
	n.Preemptible = append(n.Preemptible, Allocation{PreemptionUnit: u, Resources: need})
}

// PreemptionUnit is running work that can only be stopped as a whole: a task, or all members of a gang.
type PreemptionUnit struct {
	ID               int // chosen by the caller
	Rank             Rank
	Cost             float64 // accelerator-seconds lost by stopping it, weighted by urgency
	RemainingSeconds float64 // estimated seconds until it ends on its own
	Members          []Member
}

// Member is one task of a preemption unit.
type Member struct {
	Node *Node
	Need model.Resources
}

// Request describes equal tasks to be placed.
type Request struct {
	Count               int             // number of tasks
	Need                model.Resources // resources of each task
	Service             model.ServiceID
	Rank                Rank
	MinimizeWait        bool                  // choose the nodes whose work ends soonest instead of the least costly to preempt
	Gang                bool                  // place all tasks or none
	OneRack             bool                  // place all tasks in the same rack
	Label               string                // required label of the nodes; empty means none
	NearRack            model.RackID          // preferred rack; empty means none
	MaxPerWorker        int                   // maximum number of tasks of the step per node; 0 means no limit
	RunningPerWorker    map[model.HostID]int  // tasks of the step already running on each worker; count towards MaxPerWorker
	Excluded            map[model.HostID]bool // workers that must not be used, for example because a task of the step has failed there
	HeadroomNodes       int                   // nodes with a lower ServiceIndex are reserved for more urgent work
	ExcludeSuspected    bool                  // do not use nodes under suspicion
	RequireKnownHealthy bool                  // use only nodes that are known to be healthy
	SuccessAfter        time.Time             // use only nodes with a success after this time; zero means no such restriction
}

// tasksThatFit returns how many tasks fit into the free resources.
func tasksThatFit(free, need model.Resources) int {
	n := int64(1 << 30)
	if need.Cores > 0 {
		n = min(n, int64(free.Cores/need.Cores))
	}
	if need.MemoryMB > 0 {
		n = min(n, int64(free.MemoryMB/need.MemoryMB))
	}
	if need.Accelerators > 0 {
		n = min(n, int64(free.Accelerators/need.Accelerators))
	}
	return int(max(n, 0))
}

// admits reports whether the node may run tasks of the request, regardless of its free resources.
func (r *Request) admits(n *Node) bool {
	if n.ServiceIndex < r.HeadroomNodes || n.Unschedulable || n.Service != r.Service || r.Excluded[n.ID] ||
		r.ExcludeSuspected && n.Suspicion > 0 || r.RequireKnownHealthy && !n.KnownHealthy ||
		!r.SuccessAfter.IsZero() && !n.LastSuccessAt.After(r.SuccessAfter) {
		return false
	}
	return r.Label == "" || slices.Contains(n.Labels, r.Label)
}

// taskLimit returns how many more tasks of the request the node may run, regardless of its free resources.
func (r *Request) taskLimit(n *Node) int {
	if r.MaxPerWorker == 0 {
		return r.Count
	}
	return min(r.Count, max(0, r.MaxPerWorker-r.RunningPerWorker[n.ID]))
}

// leftover returns the resources that stay free after one more task, as a weighted sum of fractions of the capacity.
func leftover(n *Node, free, need model.Resources) float64 {
	remaining := free.Sub(need)
	return fraction(int64(remaining.Accelerators), int64(n.Capacity.Accelerators))*2 +
		fraction(int64(remaining.Cores), int64(n.Capacity.Cores)) +
		fraction(int64(remaining.MemoryMB), int64(n.Capacity.MemoryMB))
}

// DominantShare returns the largest fraction of any resource of the capacity that the need takes.
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

// nodesByRack yields the nodes of each rack. The nodes of a rack must be adjacent.
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

package placer

import (
	"iter"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Rank orders work; a lower rank may take the room of a higher one.
type Rank int

// Node is a worker with its room and what runs there.
type Node struct {
	ID       model.HostID
	Service  model.ServiceID
	Domain   model.DomainID
	Rack     model.RackID
	Labels   []string
	Capacity model.Resources
	Free     model.Resources // not taken by runs, orders in flight or claims
	Closed   bool            // takes no new tasks
	Doubt    int             // grows with signs that the worker is faulty
	Proven   bool            // has lately done its work
	DoneAt   time.Time       // of the last success
	Slowness float64         // observed run time relative to other workers; 0 means not known
	Runs     []Part          // what may give way here

	Index int // among the nodes of its service that take tasks, in their order

	offer int // index of the node's offer in the search that goes on
}

// Part is what a block takes of a node.
type Part struct {
	*Block
	Room model.Resources
}

// Add notes a member of a block that runs on the node.
func (n *Node) Add(b *Block, need model.Resources) {
	b.Members = append(b.Members, Member{Node: n, Need: need})
	if i := slices.IndexFunc(n.Runs, func(p Part) bool { return p.Block == b }); i >= 0 {
		n.Runs[i].Room = n.Runs[i].Room.Add(need)
		return
	}
	n.Runs = append(n.Runs, Part{Block: b, Room: need})
}

// Block is work that can only be stopped as a whole: a task, or all members of a gang.
type Block struct {
	ID      int // chosen by the caller
	Rank    Rank
	Cost    float64 // accelerator-seconds lost by stopping it
	Left    float64 // seconds until it ends by itself
	Members []Member
}

// Member is the part of a block on one node.
type Member struct {
	Node *Node
	Need model.Resources
}

// Request asks for places for equal tasks.
type Request struct {
	Count        int
	Need         model.Resources // of each task
	Service      model.ServiceID
	Rank         Rank
	Drain        bool // nothing is stopped: the room whose blocks end soonest is wanted
	Gang         bool
	OneRack      bool
	Label        string
	NearRack     model.RackID
	MaxPerWorker int                   // 0 means no bound
	Present      map[model.HostID]int  // tasks of the step already on a worker, for MaxPerWorker
	Avoid        map[model.HostID]bool // workers where a task of the step has failed
	From         int                   // nodes with a lower index are kept for more urgent work
	Careful      bool                  // keep off doubtful workers altogether
	Proven       bool                  // use only workers that have lately done their work
	DoneSince    time.Time             // use only workers with a success after it; zero means no such bound
}

// fit returns how many tasks the room holds.
func fit(room, need model.Resources) int {
	n := int64(1 << 30)
	if need.Cores > 0 {
		n = min(n, int64(room.Cores/need.Cores))
	}
	if need.MemoryMB > 0 {
		n = min(n, int64(room.MemoryMB/need.MemoryMB))
	}
	if need.Accelerators > 0 {
		n = min(n, int64(room.Accelerators/need.Accelerators))
	}
	return int(max(n, 0))
}

// admits reports whether the node may run tasks of the request at all.
func (r *Request) admits(n *Node) bool {
	if n.Index < r.From || n.Closed || n.Service != r.Service || r.Avoid[n.ID] || r.Careful && n.Doubt > 0 || r.Proven && !n.Proven ||
		!r.DoneSince.IsZero() && !n.DoneAt.After(r.DoneSince) {
		return false
	}
	return r.Label == "" || slices.Contains(n.Labels, r.Label)
}

// bound returns how many more tasks of the step the node may run.
func (r *Request) bound(n *Node) int {
	if r.MaxPerWorker == 0 {
		return r.Count
	}
	return min(r.Count, max(0, r.MaxPerWorker-r.Present[n.ID]))
}

// leftover measures the room that one more task leaves, as a sum of shares of the capacity.
func leftover(n *Node, free, need model.Resources) float64 {
	rest := free.Sub(need)
	return share(int64(rest.Accelerators), int64(n.Capacity.Accelerators))*2 +
		share(int64(rest.Cores), int64(n.Capacity.Cores)) +
		share(int64(rest.MemoryMB), int64(n.Capacity.MemoryMB))
}

// Footprint returns the part of a worker that a need fills, by the resource of which it takes most.
func Footprint(need, capacity model.Resources) float64 {
	return max(share(int64(need.Cores), int64(capacity.Cores)), share(int64(need.MemoryMB), int64(capacity.MemoryMB)),
		share(int64(need.Accelerators), int64(capacity.Accelerators)))
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// racks yields the nodes of each rack, which follow each other.
func racks(nodes []*Node) iter.Seq[[]*Node] {
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

package placer

import (
	"cmp"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Reclaim returns a node for each task and the blocks that must stop first.
//
// Only blocks of a higher rank give way, and the ones that cost least. It returns nil when even they are not enough.
func Reclaim(nodes []*Node, r *Request) (places []*Node, victims []*Block) {
	if !r.OneRack || r.Count == 1 {
		s := newSearch(nodes, r)
		return s.run()
	}
	best := 0.0
	for _, rack := range racks(nodes) {
		s := newSearch(rack, r)
		p, v := s.run()
		if p == nil {
			continue
		}
		if c := s.cost + 0.01*rackScore(rack, p, r); places == nil || c < best {
			places, victims, best = p, v, c
		}
	}
	return places, victims
}

// search frees room step by step: each step adds one task at the node where that costs least.
type search struct {
	r       *Request
	offers  []offer
	at      map[*Node]int // index of a node's offer
	stopped map[*Block]bool
	victims []*Block
	cost    float64
}

// offer is what one more task on a node costs.
type offer struct {
	node    *Node
	free    model.Resources
	left    int // tasks that the node may still take
	known   bool
	ok      bool
	cost    float64
	victims []*Block
}

func newSearch(nodes []*Node, r *Request) *search {
	s := &search{r: r, at: make(map[*Node]int, len(nodes)), stopped: map[*Block]bool{}}
	for _, n := range nodes {
		if !r.admits(n) || !n.Capacity.Fits(r.Need) {
			continue
		}
		s.at[n] = len(s.offers)
		s.offers = append(s.offers, offer{node: n, free: n.Free, left: r.bound(n)})
		if !slices.IsSortedFunc(n.Runs, cheapestFirst) {
			slices.SortStableFunc(n.Runs, cheapestFirst)
		}
	}
	return s
}

// cheapestFirst orders blocks by how soon they give way.
func cheapestFirst(a, b *Block) int {
	return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Cost, b.Cost))
}

func (s *search) run() ([]*Node, []*Block) {
	places := make([]*Node, 0, s.r.Count)
	for len(places) < s.r.Count {
		o := s.cheapest()
		if o == nil {
			if s.r.Gang || len(places) == 0 {
				return nil, nil
			}
			break
		}
		s.cost += o.cost
		for _, b := range o.victims {
			s.stop(b)
		}
		o.free = o.free.Sub(s.r.Need)
		o.left--
		o.known = false
		places = append(places, o.node)
	}
	return places, s.victims
}

// cheapest returns the offer of the node where one more task costs least, or nil.
func (s *search) cheapest() *offer {
	var best *offer
	for i := range s.offers {
		o := &s.offers[i]
		if o.left == 0 {
			continue
		}
		if !o.known {
			s.price(o)
		}
		if o.ok && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	return best
}

// price computes an offer; it holds until the room of its node changes.
func (s *search) price(o *offer) {
	o.known = true
	o.victims, o.ok = s.makeRoom(o)
	o.cost = 20*float64(o.node.Doubt) + float64(slow(o.node))
	for _, b := range o.victims {
		o.cost += b.Cost
	}
	if len(o.victims) == 0 {
		o.cost += 0.1 * leftover(o.node, o.free, s.r.Need)
	}
}

// makeRoom returns the blocks whose end lets one more task fit.
func (s *search) makeRoom(o *offer) ([]*Block, bool) {
	n, free := o.node, o.free
	if free.Fits(s.r.Need) {
		return nil, true
	}
	var victims []*Block
	for _, b := range n.Runs {
		if b.Rank <= s.r.Rank {
			break
		}
		if s.stopped[b] || s.r.MaxCost > 0 && b.Cost > s.r.MaxCost*float64(b.accelerators()) {
			continue
		}
		victims = append(victims, b)
		free = free.Add(b.on(n))
		if free.Fits(s.r.Need) {
			return prune(n, victims, free, s.r.Need), true
		}
	}
	return nil, false
}

// prune drops victims whose room turned out not to be needed.
func prune(n *Node, victims []*Block, free, need model.Resources) []*Block {
	out := victims[:0]
	for _, b := range victims {
		if rest := free.Sub(b.on(n)); rest.Fits(need) {
			free = rest
			continue
		}
		out = append(out, b)
	}
	return out
}

// accelerators returns the size of the block, at least 1.
func (b *Block) accelerators() int {
	n := 0
	for _, m := range b.Members {
		n += int(m.Need.Accelerators)
	}
	return max(n, 1)
}

// on returns the room of the block on a node.
func (b *Block) on(n *Node) model.Resources {
	var sum model.Resources
	for _, m := range b.Members {
		if m.Node == n {
			sum = sum.Add(m.Need)
		}
	}
	return sum
}

func (s *search) stop(b *Block) {
	s.stopped[b] = true
	s.victims = append(s.victims, b)
	for _, m := range b.Members {
		if i, ok := s.at[m.Node]; ok {
			s.offers[i].free = s.offers[i].free.Add(m.Need)
			s.offers[i].known = false
		}
	}
}

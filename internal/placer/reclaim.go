package placer

import (
	"cmp"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Reclaimer finds room for work by stopping less urgent work, step by step: each step adds one task at the node where that
// costs least. Its zero value is ready; it keeps its memory for the next call.
type Reclaimer struct {
	r       *Request
	offers  []offer
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

// Reclaim returns a node for each task and the blocks that must stop first; the nodes of a rack follow each other.
//
// Only blocks of a higher rank give way, and the ones that cost least. It returns nil when even they are not enough.
func (s *Reclaimer) Reclaim(nodes []*Node, r *Request) (places []*Node, victims []*Block) {
	if !r.OneRack || r.Count == 1 {
		return s.search(nodes, r)
	}
	best := 0.0
	for rack := range racks(nodes) {
		p, v := s.search(rack, r)
		if p == nil {
			continue
		}
		if c := s.cost + 0.01*rackScore(rack, p, r); places == nil || c < best {
			places, victims, best = p, v, c
		}
	}
	return places, victims
}

// search looks for room on all of the nodes.
func (s *Reclaimer) search(nodes []*Node, r *Request) ([]*Node, []*Block) {
	if r.Gang && !r.reclaimable(nodes) {
		return nil, nil
	}
	s.begin(nodes, r)
	return s.run()
}

// reclaimable reports whether the nodes would hold the request if all that may give way were stopped.
func (r *Request) reclaimable(nodes []*Node) bool {
	n := 0
	for _, node := range nodes {
		if !r.admits(node) {
			continue
		}
		free := node.Free
		for _, p := range node.Runs {
			if p.Rank > r.Rank {
				free = free.Add(p.Room)
			}
		}
		if n += min(fit(free, r.Need), r.bound(node)); n >= r.Count {
			return true
		}
	}
	return false
}

func (s *Reclaimer) begin(nodes []*Node, r *Request) {
	if s.stopped == nil {
		s.stopped = map[*Block]bool{}
	}
	clear(s.stopped)
	s.r, s.offers, s.victims, s.cost = r, s.offers[:0], nil, 0
	for _, n := range nodes {
		if !r.admits(n) || !n.Capacity.CanFit(r.Need) {
			continue
		}
		n.offer = len(s.offers)
		s.offers = append(s.offers, offer{node: n, free: n.Free, left: r.bound(n)})
		if !slices.IsSortedFunc(n.Runs, cheapestFirst) {
			slices.SortStableFunc(n.Runs, cheapestFirst)
		}
	}
}

// cheapestFirst orders blocks by how soon they give way.
func cheapestFirst(a, b Part) int {
	return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Cost, b.Cost))
}

func (s *Reclaimer) run() ([]*Node, []*Block) {
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
func (s *Reclaimer) cheapest() *offer {
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
func (s *Reclaimer) price(o *offer) {
	o.known = true
	o.victims, o.ok = s.makeRoom(o)
	o.cost = 20*float64(o.node.Doubt) + float64(slow(o.node))
	for _, b := range o.victims {
		if s.r.Drain {
			o.cost = max(o.cost, b.Left)
		} else {
			o.cost += b.Cost
		}
	}
	if len(o.victims) == 0 {
		o.cost += 0.1 * leftover(o.node, o.free, s.r.Need)
	}
}

// makeRoom returns the blocks whose end lets one more task fit.
func (s *Reclaimer) makeRoom(o *offer) ([]*Block, bool) {
	n, free := o.node, o.free
	if free.CanFit(s.r.Need) {
		return nil, true
	}
	var victims []Part
	for _, b := range n.Runs {
		if b.Rank <= s.r.Rank {
			break // the others are more urgent still
		}
		if s.stopped[b.Block] {
			continue
		}
		victims = append(victims, b)
		free = free.Add(b.Room)
		if free.CanFit(s.r.Need) {
			return prune(victims, free, s.r.Need), true
		}
	}
	return nil, false
}

// prune drops victims whose room turned out not to be needed.
func prune(victims []Part, free, need model.Resources) []*Block {
	var out []*Block
	for _, b := range victims {
		if rest := free.Sub(b.Room); rest.CanFit(need) {
			free = rest
			continue
		}
		out = append(out, b.Block)
	}
	return out
}

// stop counts the room of a block as free.
func (s *Reclaimer) stop(b *Block) {
	s.stopped[b] = true
	s.victims = append(s.victims, b)
	for _, m := range b.Members {
		if i := m.Node.offer; i < len(s.offers) && s.offers[i].node == m.Node {
			s.offers[i].free = s.offers[i].free.Add(m.Need)
			s.offers[i].known = false
		}
	}
}

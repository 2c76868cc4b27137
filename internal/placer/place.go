package placer

import (
	"cmp"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Place returns a node for each task that fits into the free resources.
//
// It places all tasks or none if the request is for a gang or for one rack. Of other tasks, it places as many as fit. The nodes of
// a rack must be adjacent.
func Place(nodes []*Node, r *Request) []*Node {
	if r.OneRack && r.Count > 1 {
		return placeInRack(nodes, r)
	}
	return placeBestFit(eligibleNodes(nodes, r), r)
}

// eligibleNodes returns the nodes that can take at least one task of the request.
func eligibleNodes(nodes []*Node, r *Request) []*Node {
	out := make([]*Node, 0, len(nodes))
	for _, n := range nodes {
		if r.admits(n) && n.Free.CanFit(r.Need) && r.startLimit(n) > 0 {
			out = append(out, n)
		}
	}
	return out
}

// placeInRack places all tasks in the rack with the lowest score among the racks in which they all fit. It returns nil if there is
// none.
func placeInRack(nodes []*Node, r *Request) []*Node {
	var best []*Node
	bestScore := 0.0
	for rack := range nodesByRack(eligibleNodes(nodes, r)) {
		places := placeBestFit(rack, r)
		if len(places) < r.Count {
			continue
		}
		score := rackScore(rack, places, r)
		if best == nil || score < bestScore {
			best, bestScore = places, score
		}
	}
	return best
}

// rackScore returns a score for the places in a rack; lower is better. It prefers racks that the tasks fill most completely, and
// nodes that are fast and free of suspicion.
func rackScore(rack, places []*Node, r *Request) float64 {
	taskSlots := 0
	for _, n := range rack {
		taskSlots += n.Free.TasksThatFit(r.Need)
	}
	score := float64(taskSlots - r.Count)
	maxSlowness := 0.0
	for _, n := range places {
		score += 100*float64(n.Suspicion+r.avoidance(n)) + 50*float64(r.coldness(n))
		maxSlowness = max(maxSlowness, n.Slowness)
	}
	return score + r.rackSpeedScore(maxSlowness)
}

// rankedNode is a node with the keys by which placeBestFit sorts; lower is better.
type rankedNode struct {
	node  *Node
	class nodeClass
	score float64 // leftover and speed
}

// nodeClass orders nodes by what counts before the fit, the most important property in the highest bits.
type nodeClass int64

// suspicionBits and slownessBits are the numbers of bits of a nodeClass for these properties. Larger values are cut off.
const (
	suspicionBits = 8
	slownessBits  = 16
)

// classOf returns the class of a node. Nodes that the request avoids come last. Of the others, those with less suspicion come first,
// then the warm ones if the request prefers these, and those in the preferred rack.
func (r *Request) classOf(n *Node) nodeClass {
	c := nodeClass(r.avoidance(n))<<suspicionBits + nodeClass(min(n.Suspicion, 1<<suspicionBits-1))
	return c<<2 + nodeClass(r.coldness(n))<<1 + nodeClass(1-rackAffinity(n, r))
}

// withSlowness returns the class of a node in which nodes that are clearly slow come last.
func (r *Request) withSlowness(c nodeClass, n *Node) nodeClass {
	return c<<slownessBits + nodeClass(min(r.slownessClass(n), 1<<slownessBits-1))
}

// placeBestFit places tasks on the nodes that fit best by their class, leftover and speed.
func placeBestFit(nodes []*Node, r *Request) []*Node {
	ranked := make([]rankedNode, len(nodes))
	for i, n := range nodes {
		ranked[i] = rankedNode{node: n, class: r.withSlowness(r.classOf(n), n), score: leftover(n, n.Free, r.Need) + r.speedScore(n)}
	}
	places := fill(ranked, r)
	if r.Gang && r.Speed != SpeedUnknown {
		return alignGang(nodes, places, r)
	}
	return places
}

// fill places tasks on one node after the other until it is full, in the order of their classes and, within a class, of their scores. It
// returns nil if a gang does not fit.
func fill(ranked []rankedNode, r *Request) []*Node {
	slices.SortStableFunc(ranked, func(a, b rankedNode) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.score, b.score))
	})
	places := make([]*Node, 0, r.Count)
	for _, c := range ranked {
		n := c.node
		for k := min(n.Free.TasksThatFit(r.Need), r.startLimit(n), r.Count-len(places)); k > 0; k-- {
			places = append(places, n)
		}
	}
	if r.Gang && len(places) < r.Count {
		return nil
	}
	return places
}

// avoidance returns 2 for a quarantined node, 1 for another one that the request avoids, and 0 for the rest.
func (r *Request) avoidance(n *Node) int {
	if n.Quarantined {
		return 2
	}
	if r.Avoided[n.ID] {
		return 1
	}
	return 0
}

// rackAffinity returns 1 for a node in the preferred rack of the request, and 0 for any other.
func rackAffinity(n *Node, r *Request) int {
	if r.NearRack != "" && n.Rack == r.NearRack {
		return 1
	}
	return 0
}

// Feasible reports whether the request would fit on the schedulable nodes if they were empty. A gang must fit as a whole; of other
// tasks, at least one must fit. The nodes of a rack must be adjacent.
func Feasible(nodes []*Node, r *Request) bool {
	groups := [][]*Node{nodes}
	if r.OneRack && r.Gang {
		groups = slices.Collect(nodesByRack(nodes))
	}
	for _, g := range groups {
		n := 0
		for _, node := range g {
			if !node.Unschedulable && r.IsFor(node) {
				n += min(node.Capacity.TasksThatFit(r.Need), r.taskLimit(node))
			}
		}
		if n >= r.Count || !r.Gang && n > 0 {
			return true
		}
	}
	return false
}

// FitsRack reports whether the whole gang would fit in one of the racks if that rack were empty. It includes unschedulable nodes.
// The nodes of a rack must be adjacent.
func FitsRack(nodes []*Node, r *Request) bool {
	for rack := range nodesByRack(nodes) {
		n := 0
		for _, node := range rack {
			if r.IsFor(node) {
				n += min(node.Capacity.TasksThatFit(r.Need), r.taskLimit(node))
			}
		}
		if n >= r.Count {
			return true
		}
	}
	return false
}

// TakeResources subtracts the resources of one task from the free resources of a node.
func TakeResources(n *Node, need model.Resources) { n.Free = n.Free.Sub(need) }

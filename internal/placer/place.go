package placer

import (
	"cmp"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// slowTolerance is the slowness up to which a worker counts as well as any other.
const slowTolerance = 1.15

// Place returns a node for each task from free room only.
//
// A gang gets all places or none; of other tasks it places as many as fit. The nodes of a rack follow each other.
func Place(nodes []*Node, r *Request) []*Node {
	if r.OneRack && r.Count > 1 {
		return placeInRack(nodes, r)
	}
	return placeOn(usable(nodes, r), r)
}

func usable(nodes []*Node, r *Request) []*Node {
	out := make([]*Node, 0, len(nodes))
	for _, n := range nodes {
		if r.admits(n) && n.Free.CanFit(r.Need) && r.bound(n) > 0 {
			out = append(out, n)
		}
	}
	return out
}

// placeInRack chooses the rack with the least room to spare that holds the whole gang.
func placeInRack(nodes []*Node, r *Request) []*Node {
	var best []*Node
	bestScore := 0.0
	for rack := range racks(usable(nodes, r)) {
		places := placeOn(rack, r)
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

// rackScore is lower for racks that are fuller, faster and free of doubt.
func rackScore(rack, places []*Node, r *Request) float64 {
	room := 0
	for _, n := range rack {
		room += fit(n.Free, r.Need)
	}
	score := float64(room - r.Count)
	worst := 0.0
	for _, n := range places {
		score += 100 * float64(n.Doubt)
		worst = max(worst, n.Slowness)
	}
	if worst > slowTolerance {
		score += 50 * worst
	}
	return score
}

// placeOn fills the nodes that fit best first.
func placeOn(nodes []*Node, r *Request) []*Node {
	order := slices.Clone(nodes)
	slices.SortStableFunc(order, func(a, b *Node) int {
		return cmp.Or(
			cmp.Compare(a.Doubt, b.Doubt),
			cmp.Compare(near(b, r), near(a, r)),
			cmp.Compare(slow(a), slow(b)),
			cmp.Compare(leftover(a, a.Free, r.Need), leftover(b, b.Free, r.Need)),
		)
	})
	places := make([]*Node, 0, r.Count)
	for _, n := range order {
		for k := min(fit(n.Free, r.Need), r.bound(n), r.Count-len(places)); k > 0; k-- {
			places = append(places, n)
		}
	}
	if r.Gang && len(places) < r.Count {
		return nil
	}
	return places
}

func near(n *Node, r *Request) int {
	if r.NearRack != "" && n.Rack == r.NearRack {
		return 1
	}
	return 0
}

// slow puts slow workers into coarse classes, so that small differences don't spread the work.
func slow(n *Node) int {
	if n.Slowness <= slowTolerance {
		return 0
	}
	return int(n.Slowness * 2)
}

// Feasible reports whether the nodes could hold the request if they were empty; the nodes of a rack follow each other.
func Feasible(nodes []*Node, r *Request) bool {
	groups := [][]*Node{nodes}
	if r.OneRack && r.Gang {
		groups = slices.Collect(racks(nodes))
	}
	for _, g := range groups {
		n := 0
		for _, node := range g {
			if !node.Closed && node.Service == r.Service && (r.Label == "" || slices.Contains(node.Labels, r.Label)) {
				n += min(fit(node.Capacity, r.Need), r.bound(node))
			}
		}
		if n >= r.Count || !r.Gang && n > 0 {
			return true
		}
	}
	return false
}

// FitsRack reports whether some rack could hold the whole gang if it were empty, workers that are closed at present
// included.
func FitsRack(nodes []*Node, r *Request) bool {
	for rack := range racks(nodes) {
		n := 0
		for _, node := range rack {
			if node.Service == r.Service && (r.Label == "" || slices.Contains(node.Labels, r.Label)) {
				n += min(fit(node.Capacity, r.Need), r.bound(node))
			}
		}
		if n >= r.Count {
			return true
		}
	}
	return false
}

// Reserve takes the room of one task from a node.
func Reserve(n *Node, need model.Resources) { n.Free = n.Free.Sub(need) }

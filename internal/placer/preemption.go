package placer

import (
	"cmp"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// PreemptionPlanner finds places for tasks by preempting less urgent work. It uses a greedy algorithm, which places one task after
// the other on the node where that costs least. The zero value is ready to use. Its buffers are reused by the next call.
type PreemptionPlanner struct {
	request    *Request
	candidates []candidate
	preempted  map[*PreemptionUnit]bool // units in victims
	victims    []*PreemptionUnit        // units preempted by the plan so far
	cost       float64                  // total cost of the plan so far
}

// candidate is a node that may run tasks of the request, with the cost of placing one more task on it.
type candidate struct {
	node      *Node
	free      model.Resources // free resources, including those of preempted units
	tasksLeft int             // number of further tasks that the node may run, regardless of its free resources
	priced    bool            // feasible, cost and victims are up to date
	feasible  bool            // one more task fits, possibly after a preemption
	cost      float64
	victims   []*PreemptionUnit
}

// Plan returns nodes for the tasks, and the victims that must be stopped first. The nodes of a rack must be adjacent.
//
// Plan preempts only units of a higher rank than the request, on each node the least urgent ones first and, of equally urgent ones,
// the cheapest first, or a single one where that costs less. A request with MinimizeWait stops nothing, so it counts on units of all
// ranks, those that end first before others. It places all tasks of a gang or none; of other tasks, it places as many as fit. It returns nil if it can
// place none.
func (p *PreemptionPlanner) Plan(nodes []*Node, r *Request) (places []*Node, victims []*PreemptionUnit) {
	if !r.OneRack || r.Count == 1 {
		return p.search(nodes, r)
	}
	best := 0.0
	for rack := range nodesByRack(nodes) {
		rackPlaces, rackVictims := p.search(rack, r)
		if rackPlaces == nil {
			continue
		}
		if cost := p.cost + 0.01*rackScore(rack, rackPlaces, r); places == nil || cost < best {
			places, victims, best = rackPlaces, rackVictims, cost
		}
	}
	return places, victims
}

// search plans the request for the given nodes, regardless of their racks.
func (p *PreemptionPlanner) search(nodes []*Node, r *Request) ([]*Node, []*PreemptionUnit) {
	if r.Gang && !r.fitsAfterPreemption(nodes) {
		return nil, nil
	}
	p.reset(nodes, r)
	return p.assign()
}

// fitsAfterPreemption reports whether all tasks of the request would fit on the nodes if all work that it may preempt were stopped.
func (r *Request) fitsAfterPreemption(nodes []*Node) bool {
	n := 0
	for _, node := range nodes {
		if !r.admits(node) {
			continue
		}
		free := node.Free
		for _, a := range node.Preemptible {
			if r.mayFree(a) {
				free = free.Add(a.Resources)
			}
		}
		if n += min(free.TasksThatFit(r.Need), r.startLimit(node)); n >= r.Count {
			return true
		}
	}
	return false
}

// reset starts a new plan with one candidate for each node that may run tasks of the request. It sorts the preemptible work of these
// nodes by compareVictims.
func (p *PreemptionPlanner) reset(nodes []*Node, r *Request) {
	if p.preempted == nil {
		p.preempted = map[*PreemptionUnit]bool{}
	}
	clear(p.preempted)
	p.request, p.candidates, p.victims, p.cost = r, p.candidates[:0], nil, 0
	for _, n := range nodes {
		if !r.admits(n) || !n.Capacity.CanFit(r.Need) {
			continue
		}
		n.candidateIndex = len(p.candidates)
		p.candidates = append(p.candidates, candidate{node: n, free: n.Free, tasksLeft: r.startLimit(n)})
		compare := compareVictims
		if r.MinimizeWait {
			compare = compareEnds
		}
		if !slices.IsSortedFunc(n.Preemptible, compare) {
			slices.SortStableFunc(n.Preemptible, compare)
		}
	}
}

// compareVictims compares allocations by the order in which they are preempted, the least urgent first, and then the cheapest.
func compareVictims(a, b Allocation) int {
	return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Cost, b.Cost))
}

// compareEnds compares allocations by the order in which they end on their own.
func compareEnds(a, b Allocation) int { return cmp.Compare(a.RemainingSeconds, b.RemainingSeconds) }

// mayFree reports whether the request may count on the resources of running work: it may preempt it, or it waits until it ends.
func (r *Request) mayFree(a Allocation) bool {
	return r.MinimizeWait || a.Rank > r.Rank && !(r.SparesProtected && a.Protected)
}

// assign places the tasks one by one, each on the candidate that is the cheapest at that point.
func (p *PreemptionPlanner) assign() ([]*Node, []*PreemptionUnit) {
	places := make([]*Node, 0, p.request.Count)
	for len(places) < p.request.Count {
		c := p.cheapestCandidate()
		if c == nil {
			if p.request.Gang || len(places) == 0 {
				return nil, nil
			}
			break
		}
		p.cost += c.cost
		for _, u := range c.victims {
			p.addVictim(u)
		}
		c.free = c.free.Sub(p.request.Need)
		c.tasksLeft--
		c.priced = false
		places = append(places, c.node)
	}
	return places, p.victims
}

// cheapestCandidate returns the candidate on which one more task costs least, or nil if one more task fits on none.
func (p *PreemptionPlanner) cheapestCandidate() *candidate {
	var best *candidate
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.tasksLeft == 0 {
			continue
		}
		if !c.priced {
			p.computeCost(c)
		}
		if c.feasible && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// computeCost computes the feasibility, cost and victims of a candidate, which are valid until its free resources change.
func (p *PreemptionPlanner) computeCost(c *candidate) {
	c.priced = true
	c.victims, c.feasible = p.findVictims(c)
	c.cost = 20*float64(c.node.Suspicion+p.request.avoidance(c.node)) + float64(p.request.slownessClass(c.node)) + 0.1*p.request.speedScore(c.node)
	for _, u := range c.victims {
		if p.request.MinimizeWait {
			c.cost = max(c.cost, u.RemainingSeconds)
		} else {
			c.cost += u.Cost
		}
	}
	if len(c.victims) == 0 {
		c.cost += 0.1 * leftover(c.node, c.free, p.request.Need)
	}
}

// findVictims returns the units to stop so that one more task fits on the candidate, and whether that is possible.
func (p *PreemptionPlanner) findVictims(c *candidate) ([]*PreemptionUnit, bool) {
	n, free := c.node, c.free
	if free.CanFit(p.request.Need) {
		return nil, true
	}
	var victims []Allocation
	for _, a := range n.Preemptible {
		if !p.mayStop(a) {
			continue
		}
		victims = append(victims, a)
		if free = free.Add(a.Resources); free.CanFit(p.request.Need) {
			return p.cheaperVictims(c, dropUnneededVictims(victims, free, p.request.Need)), true
		}
	}
	return nil, false
}

// mayStop reports whether the plan may stop the unit of an allocation in addition to its victims.
func (p *PreemptionPlanner) mayStop(a Allocation) bool {
	return p.request.mayFree(a) && !p.preempted[a.PreemptionUnit]
}

// cheaperVictims returns the cheapest single unit whose stop makes room for one more task on the candidate, if that costs less than to stop
// several victims.
func (p *PreemptionPlanner) cheaperVictims(c *candidate, victims []*PreemptionUnit) []*PreemptionUnit {
	if len(victims) < 2 || p.request.MinimizeWait {
		return victims
	}
	least, out := totalCost(victims), victims
	for _, a := range c.node.Preemptible {
		if a.Cost < least && p.mayStop(a) && c.free.Add(a.Resources).CanFit(p.request.Need) {
			least, out = a.Cost, []*PreemptionUnit{a.PreemptionUnit}
		}
	}
	return out
}

func totalCost(units []*PreemptionUnit) float64 {
	sum := 0.0
	for _, u := range units {
		sum += u.Cost
	}
	return sum
}

// dropUnneededVictims returns the units of those victims that must be stopped so that the need fits, and drops the last ones first. The
// free resources include those of all victims.
func dropUnneededVictims(victims []Allocation, free, need model.Resources) []*PreemptionUnit {
	var out []*PreemptionUnit
	for _, a := range slices.Backward(victims) {
		if remaining := free.Sub(a.Resources); remaining.CanFit(need) {
			free = remaining
			continue
		}
		out = append(out, a.PreemptionUnit)
	}
	return out
}

// addVictim adds a unit to the victims, and the resources of its members to the free resources of their candidates.
func (p *PreemptionPlanner) addVictim(u *PreemptionUnit) {
	p.preempted[u] = true
	p.victims = append(p.victims, u)
	for _, m := range u.Members {
		if i := m.Node.candidateIndex; i < len(p.candidates) && p.candidates[i].node == m.Node {
			p.candidates[i].free = p.candidates[i].free.Add(m.Need)
			p.candidates[i].priced = false
		}
	}
}

package placer

import "math"

// SpeedPreference says how a request weighs the speed of nodes.
type SpeedPreference string

// The preferences. Without one, Slowness is the pace of runs within a step: nodes that are clearly slow come after others. With one, it is
// what was learned of the nodes across steps.
const (
	SpeedUnknown SpeedPreference = ""
	SpeedAny     SpeedPreference = "any"  // nodes that are clearly slow come after others
	SpeedFast    SpeedPreference = "fast" // urgent and long work
	SpeedSlow    SpeedPreference = "slow" // short and less urgent work, which leaves fast nodes to others
)

const (
	// slowTolerance is the slowness up to which a worker counts as fast.
	slowTolerance = 1.15
	// maxShortSlowness is the slowness up to which short work takes slow nodes before others. The shortest targets of callers are 1.5 times the
	// run time.
	maxShortSlowness = 1.5
	// speedWeight is the weight of an octave of slowness beside the leftover, which is 4 for a node that stays empty. A node that is 10% faster
	// counts as much as a quarter of an empty node.
	speedWeight = 8
	// rackSpeedWeight is the weight of an octave of slowness beside the number of tasks that a rack has room for.
	rackSpeedWeight = 100
)

// slownessClass groups slow nodes into coarse classes, so that small differences do not spread the work over more nodes.
func (r *Request) slownessClass(n *Node) int {
	tolerance := slowTolerance
	if r.Speed == SpeedSlow {
		tolerance = maxShortSlowness
	}
	if n.Slowness <= tolerance {
		return 0
	}
	return int(n.Slowness * 2)
}

// speedScore returns a score for the speed of a node within its class, to be added to the leftover; lower is better.
func (r *Request) speedScore(n *Node) float64 {
	return r.speedSign() * speedWeight * octaves(n.Slowness)
}

// rackSpeedScore returns a score for a rack by the slowness of the slowest node in use; lower is better.
func (r *Request) rackSpeedScore(slowest float64) float64 {
	score := r.speedSign() * rackSpeedWeight * octaves(slowest)
	if r.Speed != SpeedFast && slowest > slowTolerance && (r.Speed != SpeedSlow || slowest > maxShortSlowness) {
		score += 50 * slowest
	}
	return score
}

// speedSign returns 1 if the request prefers fast nodes, -1 if it prefers slow ones, and 0 otherwise.
func (r *Request) speedSign() float64 {
	switch r.Speed {
	case SpeedFast:
		return 1
	case SpeedSlow:
		return -1
	}
	return 0
}

// octaves returns the binary logarithm of a slowness, and 0 for an unknown one.
func octaves(slowness float64) float64 {
	if slowness <= 0 || slowness == 1 {
		return 0
	}
	return math.Log2(slowness)
}

// alignGang moves the members of a gang to nodes that are about as slow as the slowest of the places. The gang runs at the pace of that one,
// so that faster nodes would be wasted.
func alignGang(nodes, places []*Node, r *Request) []*Node {
	fastest, slowest := slownessRange(places)
	if fastest == slowest {
		return places
	}
	within := make([]rankedNode, 0, len(nodes))
	for _, n := range nodes {
		if n.Slowness <= slowest {
			score := leftover(n, n.Free, r.Need) + speedWeight*(octaves(slowest)-octaves(n.Slowness))
			within = append(within, rankedNode{node: n, class: r.classOf(n), score: score})
		}
	}
	return fill(within, r)
}

// slownessRange returns the smallest and the largest slowness of the nodes.
func slownessRange(nodes []*Node) (fastest, slowest float64) {
	fastest = math.Inf(1)
	for _, n := range nodes {
		fastest, slowest = min(fastest, n.Slowness), max(slowest, n.Slowness)
	}
	return fastest, slowest
}

const (
	// usualWorkMemory is the number of starts after which former ones count for about a third, about a minute of a large deployment.
	usualWorkMemory = 10_000
	// minUsualStarts is the number of starts from which lengths are compared.
	minUsualStarts = 100
	// longFactor is the run time from which a task is long, as a multiple of the usual one. Learned run times vary by a tenth.
	longFactor = 1.25
	// maxObserved is the run time up to which a single task counts, as a multiple of the usual one. An estimate of days, which may be that of one
	// caller, would make the work of all others short.
	maxObserved = 10.0
	// minFastShare is the least share of the work that prefers fast nodes for which short work leaves these free.
	minFastShare = 0.05
)

// UsualWork describes the work of a service that has started lately. The zero value knows of none.
type UsualWork struct {
	starts  int
	seconds float64 // sum of the expected run times
	squares float64 // sum of their squares
	fast    float64 // part of seconds that preferred fast nodes
}

// Observe counts a task that starts, by its expected run time and the preference that it had.
func (u *UsualWork) Observe(seconds float64, preference SpeedPreference) {
	const keep = 1 - 1.0/usualWorkMemory
	if u.starts >= minUsualStarts && u.seconds > 0 {
		seconds = min(seconds, maxObserved*u.squares/u.seconds)
	}
	u.starts++
	u.seconds = u.seconds*keep + seconds
	u.squares = u.squares*keep + seconds*seconds
	u.fast *= keep
	if preference == SpeedFast {
		u.fast += seconds
	}
}

// Preference returns the preference of tasks with an expected run time. A run time is compared with the mean of the work by its time on
// the workers, so that many short tasks do not make all others long.
func (u *UsualWork) Preference(urgent bool, seconds float64) SpeedPreference {
	if urgent {
		return SpeedFast
	}
	if u == nil || u.starts < minUsualStarts || u.seconds <= 0 || seconds <= 0 {
		return SpeedAny
	}
	switch usual := u.squares / u.seconds; {
	case seconds >= longFactor*usual:
		return SpeedFast
	case seconds <= usual && u.fast >= minFastShare*u.seconds:
		return SpeedSlow
	}
	return SpeedAny
}

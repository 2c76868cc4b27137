package placer

import "slices"

// Obstacle is the reason why a node cannot take a task of a request.
type Obstacle string

const (
	noObstacle            Obstacle = "free"
	obstacleOtherWorkers  Obstacle = "other-workers" // another service, or without the label
	obstacleUnschedulable Obstacle = "unschedulable"
	obstacleExcluded      Obstacle = "excluded"
	obstacleSuspected     Obstacle = "suspected"
	obstacleNotHealthy    Obstacle = "not-known-healthy"
	obstacleOccupied      Obstacle = "occupied"
	obstacleWithheld      Obstacle = "withheld"
	obstacleFull          Obstacle = "full"
	obstacleCold          Obstacle = "cold" // enough tasks were started on it for now
)

// IsFor reports whether the node belongs to the service of the request and has its label.
func (r *Request) IsFor(n *Node) bool {
	return n.Service == r.Service && (r.Label == "" || slices.Contains(n.Labels, r.Label))
}

// obstacle returns why the node may not run tasks of the request, regardless of its free resources. If there are several reasons,
// it returns the first of these cases.
func (r *Request) obstacle(n *Node) Obstacle {
	switch {
	case !r.IsFor(n):
		return obstacleOtherWorkers
	case n.Unschedulable && !(r.UseQuarantined && n.Quarantined):
		return obstacleUnschedulable
	case r.Excluded[n.ID]:
		return obstacleExcluded
	case r.ExcludeSuspected && n.Suspicion > 0:
		return obstacleSuspected
	case r.RequireKnownHealthy && !n.KnownHealthy, !r.SuccessAfter.IsZero() && !n.LastSuccessAt.After(r.SuccessAfter):
		return obstacleNotHealthy
	case r.Isolated && n.Occupied:
		return obstacleOccupied
	case n.ServiceIndex < r.WithheldNodes:
		return obstacleWithheld
	}
	return noObstacle
}

// CountObstacles returns the number of nodes of the request's service and label by the reason why they can take no task of the
// request. A node that could take a task counts as "free".
func CountObstacles(nodes []*Node, r *Request) map[Obstacle]int {
	out := map[Obstacle]int{}
	for _, n := range nodes {
		o := r.obstacle(n)
		if o == noObstacle && r.taskLimit(n) > 0 && r.startLimit(n) == 0 {
			o = obstacleCold
		}
		if o == noObstacle && (!n.Free.CanFit(r.Need) || r.taskLimit(n) == 0) {
			o = obstacleFull
		}
		if o != obstacleOtherWorkers {
			out[o]++
		}
	}
	return out
}

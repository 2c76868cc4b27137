package queuer

import "chestnutmux.example/chestnutmux/pkg/model"

// shareBurst is the number of items that a workspace of weight 1 may be served beyond its share before other workspaces take
// precedence; it grows with the weight. It is about the slots of two runners, so that a short burst of urgent requests goes
// first.
const shareBurst = 16

// workspaceShares counts the items served to each workspace, over all urgency levels, and compares them with its weighted
// share. With strict urgency order, a flood of urgent requests of one workspace would leave the others only the reserved
// shares, so urgency takes precedence only for workspaces within their share.
type workspaceShares struct {
	weights     map[model.WorkspaceID]int
	totalWeight float64                       // sum of the weights of the workspaces with waiting items
	fairServed  float64                       // items that an always waiting workspace of weight 1 gets if all are served evenly
	served      map[model.WorkspaceID]float64 // items served per unit of weight; bounded by the number of workspaces
}

func (s *workspaceShares) weight(ws model.WorkspaceID) float64 { return float64(max(s.weights[ws], 1)) }

// activate adds a workspace that has got its first waiting item. The workspace gets no credit for the time without items.
func (s *workspaceShares) activate(ws model.WorkspaceID) {
	s.totalWeight += s.weight(ws)
	s.served[ws] = max(s.served[ws], s.fairServed)
}

// deactivate removes a workspace without waiting items. The excess of a workspace over its share is remembered.
func (s *workspaceShares) deactivate(ws model.WorkspaceID) {
	s.totalWeight -= s.weight(ws)
	if s.served[ws] <= s.fairServed {
		delete(s.served, ws)
	}
}

func (s *workspaceShares) recordServed(ws model.WorkspaceID) {
	s.served[ws] += 1 / s.weight(ws)
	s.fairServed += 1 / s.totalWeight
}

func (s *workspaceShares) exceedsShare(ws model.WorkspaceID) bool {
	return s.served[ws] > s.fairServed+shareBurst
}

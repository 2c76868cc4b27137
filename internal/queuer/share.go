package queuer

import "chestnutmux.example/chestnutmux/pkg/model"

// shareBurst is the number of items that a workspace of weight 1 may be served beyond its share. It lets a burst of urgent
// requests go first, for about as many as two runners have slots.
const shareBurst = 16

// workspaceShares tracks the service of each workspace over all urgencies. With strict urgency order, a flood of urgent
// requests of one workspace would leave the others only the reserved shares, so urgency takes precedence only for
// workspaces within their weighted share.
type workspaceShares struct {
	weights     map[model.WorkspaceID]int
	totalWeight float64                       // sum of the weights of the workspaces with waiting items
	fairService float64                       // items that a waiting workspace of weight 1 would have got if all were served evenly
	served      map[model.WorkspaceID]float64 // items served per unit of weight; bounded by the number of workspaces
}

func (s *workspaceShares) weight(ws model.WorkspaceID) float64 { return float64(max(s.weights[ws], 1)) }

// activate adds a workspace that has got its first waiting item. It earns no credit for the time without items.
func (s *workspaceShares) activate(ws model.WorkspaceID) {
	s.totalWeight += s.weight(ws)
	s.served[ws] = max(s.served[ws], s.fairService)
}

// deactivate removes a workspace without waiting items. A workspace over its share keeps its excess.
func (s *workspaceShares) deactivate(ws model.WorkspaceID) {
	s.totalWeight -= s.weight(ws)
	if s.served[ws] <= s.fairService {
		delete(s.served, ws)
	}
}

func (s *workspaceShares) recordServed(ws model.WorkspaceID) {
	s.served[ws] += 1 / s.weight(ws)
	s.fairService += 1 / s.totalWeight
}

func (s *workspaceShares) exceedsShare(ws model.WorkspaceID) bool {
	return s.served[ws] > s.fairService+shareBurst
}

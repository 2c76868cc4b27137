package sequencer

import "chestnutmux.example/chestnutmux/pkg/model"

// Claim is waiting work of a workspace.
type Claim struct {
	Workspace model.WorkspaceID
	Need      float64 // share of the capacity that the work takes, by the resource of which it takes the most
}

// Shares holds what workspaces use of the capacity, and what they are entitled to.
type Shares struct {
	Used       map[model.WorkspaceID]float64 // share of the capacity in use, by the resource of which the workspace uses the most
	Guaranteed map[model.WorkspaceID]float64 // guaranteed share of the capacity
	Equal      float64                       // share of each workspace if all that have work got the same
}

// NewShares returns shares without use for a number of workspaces that have work.
func NewShares(workspaces int) *Shares {
	return &Shares{
		Used: map[model.WorkspaceID]float64{}, Guaranteed: map[model.WorkspaceID]float64{}, Equal: 1 / float64(max(workspaces, 1)),
	}
}

// Load returns the use of a workspace as a multiple of what it is entitled to: its guarantee or an equal share, whichever is more.
func (s *Shares) Load(ws model.WorkspaceID) float64 {
	return s.Used[ws] / max(min(s.Guaranteed[ws], 1), s.Equal)
}

// Interleave returns the order of equally urgent and useful claims, which are listed by due time or arrival, as indexes. Next is the first claim of the
// workspace with the lowest load, of several the one that is listed first. Claims add to the use of their workspaces, so that the next ones
// count with them.
//
// By arrival alone, the work of small workspaces would wait behind the whole burst of a large one.
func (s *Shares) Interleave(claims []Claim) []int {
	waiting := map[model.WorkspaceID][]int{}
	var workspaces []model.WorkspaceID // by their first claim, so that the result does not depend on the order of a map
	for i, c := range claims {
		if len(waiting[c.Workspace]) == 0 {
			workspaces = append(workspaces, c.Workspace)
		}
		waiting[c.Workspace] = append(waiting[c.Workspace], i)
	}
	out := make([]int, 0, len(claims))
	for len(out) < len(claims) {
		next := model.WorkspaceID("")
		found := false
		for _, ws := range workspaces {
			if len(waiting[ws]) == 0 {
				continue
			}
			if load, least := s.Load(ws), s.Load(next); !found || load < least || load == least && waiting[ws][0] < waiting[next][0] {
				next, found = ws, true
			}
		}
		i := waiting[next][0]
		waiting[next] = waiting[next][1:]
		s.Used[next] += claims[i].Need
		out = append(out, i)
	}
	return out
}

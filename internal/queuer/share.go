package queuer

import "chestnutmux.example/chestnutmux/pkg/model"

// shareBurst is how many items a workspace of weight 1 may be served ahead of its share. It lets a burst of
// urgent requests go first, for about the slots of two runners.
const shareBurst = 16

// shares follows what each workspace was served across all urgencies. Urgency alone would let a flood of
// urgent requests of one workspace take all but the reserved shares from the others; so a workspace goes
// before others for its urgency only while it is within its weighted share.
type shares struct {
	weights map[model.WorkspaceID]int
	total   float64                       // weights of the workspaces that wait
	fair    float64                       // items served to a waiting workspace of weight 1, were all served evenly
	served  map[model.WorkspaceID]float64 // the same as it was; entries are bounded by the number of workspaces
}

func (s *shares) weight(ws model.WorkspaceID) float64 { return float64(max(s.weights[ws], 1)) }

// join starts a workspace that had nothing waiting; what it did not use meanwhile is not saved up.
func (s *shares) join(ws model.WorkspaceID) {
	s.total += s.weight(ws)
	s.served[ws] = max(s.served[ws], s.fair)
}

func (s *shares) leave(ws model.WorkspaceID) {
	s.total -= s.weight(ws)
	if s.served[ws] <= s.fair {
		delete(s.served, ws)
	}
}

func (s *shares) serve(ws model.WorkspaceID) {
	s.served[ws] += 1 / s.weight(ws)
	s.fair += 1 / s.total
}

func (s *shares) over(ws model.WorkspaceID) bool { return s.served[ws] > s.fair+shareBurst }

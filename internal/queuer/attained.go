package queuer

import (
	"math"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// serviceHalfLife is the number of served items after which earlier service counts half. At the 500 items per second
	// of a busy entry host that is 10 s: long enough to tell a caller with 20 times the demand of the others from them,
	// short enough to forget a burst.
	serviceHalfLife = 5000
	// rescaleThreshold is the item value above which all counters are scaled down, to stay within the range of a float64.
	rescaleThreshold = 1e100
	// negligibleService is the service, in items, below which a caller without waiting items is dropped.
	negligibleService = 0.01
	// toleratedDeviations is the distance from the mean, in standard deviations, within which a caller's demand is not
	// treated as excess; one of many similar callers hardly ever exceeds it.
	toleratedDeviations = 3
)

// itemValueGrowth is the ratio of the value of an item to that of the item served before it. Growing the value of new items
// decays the earlier ones without updating every caller.
var itemValueGrowth = math.Exp2(1.0 / serviceHalfLife)

// attainedService tracks the exponentially decayed service of each caller, over all urgencies.
type attainedService struct {
	itemValue          float64 // value of an item served now
	callers            map[callerKey]*callerService
	workspaces         map[model.WorkspaceID]*workspaceService
	servedSinceCleanup int // items served since the last cleanUp
}

// workspaceService sums the counters of all tracked callers of a workspace.
// attained is the decayed service, in the unit of attainedService.itemValue.
type workspaceService struct {
	attained     float64
	waitingItems float64
	callerCount  int
}

// callerService is the decayed service and the demand of one caller.
// attained is the decayed service, in the unit of attainedService.itemValue.
type callerService struct {
	workspace    *workspaceService
	attained     float64
	waitingItems float64
	flowCount    int // flows of this caller, at most one per urgency level
}

// addWaiting adjusts the number of waiting items by n, which may be negative.
func (s *callerService) addWaiting(n float64) {
	s.waitingItems += n
	s.workspace.waitingItems += n
}

// acquire returns the counters of a caller for a new flow; release must follow when the flow ends.
func (a *attainedService) acquire(key callerKey) *callerService {
	if a.callers == nil {
		a.callers, a.workspaces, a.itemValue = map[callerKey]*callerService{}, map[model.WorkspaceID]*workspaceService{}, 1
	}
	s := a.callers[key]
	if s == nil {
		w := a.workspaces[key.workspace]
		if w == nil {
			w = &workspaceService{}
			a.workspaces[key.workspace] = w
		}
		s = &callerService{workspace: w}
		w.callerCount++
		a.callers[key] = s
	}
	s.flowCount++
	return s
}

// exceedsShare reports whether a caller has received at least its share, the mean of its workspace, and demands more
// than the mean by more than random variation explains.
//
// The number of items of similar callers varies by about the square root of its mean. Without the first condition, a
// caller with a large demand would get less than its share beside many callers that use theirs in full.
func (a *attainedService) exceedsShare(s *callerService) bool {
	callerCount := float64(s.workspace.callerCount)
	attained, share := s.attained/a.itemValue, s.workspace.attained/a.itemValue/callerCount
	demand, mean := attained+s.waitingItems, share+s.workspace.waitingItems/callerCount
	return attained >= share && demand > mean+toleratedDeviations*math.Sqrt(mean)+1
}

func (a *attainedService) release(s *callerService) { s.flowCount-- }

// recordServed counts one served item. All counters have the same scale, so the order of callers stays valid.
func (a *attainedService) recordServed(s *callerService) {
	s.attained += a.itemValue
	s.workspace.attained += a.itemValue
	a.itemValue *= itemValueGrowth
	if a.servedSinceCleanup++; a.servedSinceCleanup >= serviceHalfLife {
		a.servedSinceCleanup = 0
		a.cleanUp()
	}
}

func (a *attainedService) cleanUp() {
	scale := 1.0
	if a.itemValue > rescaleThreshold {
		scale = 1 / a.itemValue
	}
	for key, s := range a.callers {
		if s.flowCount == 0 && s.attained < negligibleService*a.itemValue {
			delete(a.callers, key)
			s.workspace.attained -= s.attained
			if s.workspace.callerCount--; s.workspace.callerCount == 0 {
				delete(a.workspaces, key.workspace)
			}
			continue
		}
		s.attained *= scale
	}
	for _, w := range a.workspaces {
		w.attained *= scale
	}
	a.itemValue *= scale
}

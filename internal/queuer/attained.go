package queuer

import (
	"math"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// usageHalfLife is the number of served items after which earlier usage counts half. At the 500 items per second of
	// a busy entry host, that is 10 s: long enough to distinguish a caller with 20 times the demand of the others, short
	// enough to forget a burst.
	usageHalfLife = 5000
	// rescaleThreshold is the item value above which all counters are scaled down, to stay within the range of a float64.
	rescaleThreshold = 1e100
	// negligibleUsage is the usage, in items, below which a caller without waiting items is dropped.
	negligibleUsage = 0.01
	// toleratedDeviations is the number of standard deviations by which a caller's demand may exceed the mean before the
	// caller counts as over its share. Random variation among similar callers hardly ever exceeds it.
	toleratedDeviations = 3
)

// itemValueGrowth is the ratio of the value of an item to that of the item served before it. Counting each item at a higher
// value than the one before decays the earlier usage without updating every caller.
var itemValueGrowth = math.Exp2(1.0 / usageHalfLife)

// attainedUsage tracks the exponentially decayed number of items served to each caller, over all urgency levels.
// It is the "attained service" of least-attained-service scheduling.
type attainedUsage struct {
	itemValue          float64 // value at which the next served item is counted
	callers            map[callerKey]*callerUsage
	workspaces         map[model.WorkspaceID]*workspaceUsage
	servedSinceCleanup int // items served since the last cleanUp
}

// workspaceUsage sums the counters of all tracked callers of a workspace.
type workspaceUsage struct {
	attained     float64 // sum of callerUsage.attained
	waitingItems float64
	callerCount  int
}

// callerUsage is the decayed usage and the number of waiting items of one caller.
type callerUsage struct {
	workspace    *workspaceUsage
	attained     float64 // sum of the values of all served items; divided by attainedUsage.itemValue it is a number of items
	waitingItems float64
	flowCount    int // number of flows of this caller, at most one per urgency level
}

// addWaiting adds n, which may be negative, to the number of waiting items.
func (u *callerUsage) addWaiting(n float64) {
	u.waitingItems += n
	u.workspace.waitingItems += n
}

// acquire returns the counters of a caller for a new flow; release must follow when the flow ends.
func (a *attainedUsage) acquire(key callerKey) *callerUsage {
	if a.callers == nil {
		a.callers, a.workspaces, a.itemValue = map[callerKey]*callerUsage{}, map[model.WorkspaceID]*workspaceUsage{}, 1
	}
	u := a.callers[key]
	if u == nil {
		w := a.workspaces[key.workspace]
		if w == nil {
			w = &workspaceUsage{}
			a.workspaces[key.workspace] = w
		}
		u = &callerUsage{workspace: w}
		w.callerCount++
		a.callers[key] = u
	}
	u.flowCount++
	return u
}

// exceedsShare reports whether a caller has attained at least its share, which is the mean of its workspace, and its demand
// exceeds the mean demand by more than random variation explains. Demand is the attained usage plus the waiting items.
//
// The number of items of similar callers varies by about the square root of its mean. Without the condition on the attained
// usage, a caller with a large demand would get less than its share beside many callers that use theirs in full.
func (a *attainedUsage) exceedsShare(u *callerUsage) bool {
	callerCount := float64(u.workspace.callerCount)
	attained, share := u.attained/a.itemValue, u.workspace.attained/a.itemValue/callerCount
	demand, mean := attained+u.waitingItems, share+u.workspace.waitingItems/callerCount
	return attained >= share && demand > mean+toleratedDeviations*math.Sqrt(mean)+1
}

// release ends a use of the counters that acquire returned.
func (a *attainedUsage) release(u *callerUsage) { u.flowCount-- }

// recordServed counts one served item of a caller. The counters of the other callers don't change, so their heap order stays
// valid.
func (a *attainedUsage) recordServed(u *callerUsage) {
	u.attained += a.itemValue
	u.workspace.attained += a.itemValue
	a.itemValue *= itemValueGrowth
	if a.servedSinceCleanup++; a.servedSinceCleanup >= usageHalfLife {
		a.servedSinceCleanup = 0
		a.cleanUp()
	}
}

// cleanUp drops callers with negligible usage and no flow, and scales the counters down if they have grown too large.
func (a *attainedUsage) cleanUp() {
	scale := 1.0
	if a.itemValue > rescaleThreshold {
		scale = 1 / a.itemValue
	}
	for key, u := range a.callers {
		if u.flowCount == 0 && u.attained < negligibleUsage*a.itemValue {
			delete(a.callers, key)
			u.workspace.attained -= u.attained
			if u.workspace.callerCount--; u.workspace.callerCount == 0 {
				delete(a.workspaces, key.workspace)
			}
			continue
		}
		u.attained *= scale
	}
	for _, w := range a.workspaces {
		w.attained *= scale
	}
	a.itemValue *= scale
}

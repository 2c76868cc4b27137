package queuer

import (
	"math"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// attainedHalfLife is the number of items served after which earlier service counts half. At the 500 items a
	// second of a busy entry host that is 10 s: long enough to tell a caller that asks for twenty times as much from
	// the others, short enough to forget a burst.
	attainedHalfLife = 5000
	// rescaleAt keeps the growing unit of service within the range of a float64.
	rescaleAt = 1e100
	// forgotten is the service, in items, below which a caller without waiting items is no longer kept.
	forgotten = 0.01
	// deviations beyond the mean are hardly ever reached by one of many alike callers.
	deviations = 3
)

// growth is how much more an item counts than the one served before it; this makes earlier ones decay without
// touching the other callers.
var growth = math.Exp2(1.0 / attainedHalfLife)

// attainment follows the decayed service that each caller attained at all urgencies.
type attainment struct {
	unit   float64 // what an item served now counts
	served map[callerKey]*meter
	groups map[model.WorkspaceID]*group
	since  int // items served since forgotten callers were dropped
}

// group sums up the callers of one workspace that were served lately or wait.
type group struct {
	value   float64
	waiting float64 // items
	callers int
}

// meter is the service of one caller, in units of the time when it was served.
type meter struct {
	group   *group
	value   float64
	waiting float64 // items
	flows   int     // that use it
}

// wait counts items that begin or cease to wait.
func (m *meter) wait(n float64) {
	m.waiting += n
	m.group.waiting += n
}

// join returns the meter of a caller that has a flow with items.
func (a *attainment) join(key callerKey) *meter {
	if a.served == nil {
		a.served, a.groups, a.unit = map[callerKey]*meter{}, map[model.WorkspaceID]*group{}, 1
	}
	m := a.served[key]
	if m == nil {
		g := a.groups[key.workspace]
		if g == nil {
			g = &group{}
			a.groups[key.workspace] = g
		}
		m = &meter{group: g}
		g.callers++
		a.served[key] = m
	}
	m.flows++
	return m
}

// over reports whether a caller has attained its share, the mean of its workspace, and asks for more than the mean
// by more than chance explains.
//
// The number of items of alike callers varies with about the square root of its mean. Without the first condition a
// caller that asks for much would get less than its share beside many that use theirs in full.
func (a *attainment) over(m *meter) bool {
	callers := float64(m.group.callers)
	attained, share := m.value/a.unit, m.group.value/a.unit/callers
	asked, mean := attained+m.waiting, share+m.group.waiting/callers
	return attained >= share && asked > mean+deviations*math.Sqrt(mean)+1
}

func (a *attainment) leave(m *meter) { m.flows-- }

// serve counts one item. All meters are scaled alike, so the order of callers stays as it is.
func (a *attainment) serve(m *meter) {
	m.value += a.unit
	m.group.value += a.unit
	a.unit *= growth
	if a.since++; a.since >= attainedHalfLife {
		a.since = 0
		a.forget()
	}
}

func (a *attainment) forget() {
	scale := 1.0
	if a.unit > rescaleAt {
		scale = 1 / a.unit
	}
	for key, m := range a.served {
		if m.flows == 0 && m.value < forgotten*a.unit {
			delete(a.served, key)
			m.group.value -= m.value
			if m.group.callers--; m.group.callers == 0 {
				delete(a.groups, key.workspace)
			}
			continue
		}
		m.value *= scale
	}
	for _, g := range a.groups {
		g.value *= scale
	}
	a.unit *= scale
}

package preemptor

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// windowSlots and slotLength make up the window of the budgets.
	windowSlots = 10
	slotLength  = 3 * time.Second
	// maxAccountShare is the share of the capacity of a service in the window that may be thrown away for one account.
	maxAccountShare = 0.02
)

// Window adds up the work thrown away in the last windowSlots slots. The zero value is empty.
type Window struct {
	slots  [windowSlots]CoreSeconds
	newest int64 // number of the newest slot since 1970
}

// Add adds work thrown away now.
func (w *Window) Add(lost CoreSeconds, now time.Time) {
	w.advance(now)
	w.slots[w.newest%windowSlots] += lost
}

// Sum returns the work thrown away in the window.
func (w *Window) Sum(now time.Time) CoreSeconds {
	w.advance(now)
	sum := CoreSeconds(0)
	for _, lost := range w.slots {
		sum += lost
	}
	return sum
}

// advance clears the slots that have left the window.
func (w *Window) advance(now time.Time) {
	n := now.UnixNano() / int64(slotLength)
	for i := max(w.newest+1, n-windowSlots+1); i <= n; i++ {
		w.slots[i%windowSlots] = 0
	}
	w.newest = max(w.newest, n)
}

// Account is whose work a budget bounds. Less urgent jobs of a workspace don't use up what is left for its urgent ones.
type Account struct {
	Workspace model.WorkspaceID
	Priority  model.Priority
}

// Budget bounds the work that is thrown away for the steps of each account. The zero value is ready to use.
type Budget struct {
	spent map[Account]*Window
}

// Spend charges work to an account, and forgets the accounts for which none was thrown away in the window.
func (b *Budget) Spend(a Account, lost CoreSeconds, now time.Time) {
	if b.spent == nil {
		b.spent = map[Account]*Window{}
	}
	for id, w := range b.spent {
		if w.Sum(now) == 0 {
			delete(b.spent, id)
		}
	}
	if b.spent[a] == nil {
		b.spent[a] = &Window{}
	}
	b.spent[a].Add(lost, now)
}

// Left returns how much more work may be thrown away for an account, given the capacity of the service.
func (b *Budget) Left(a Account, capacity model.Resources, now time.Time) CoreSeconds {
	left := maxAccountShare * Work(capacity, windowSlots*slotLength)
	if w := b.spent[a]; w != nil {
		left -= w.Sum(now)
	}
	return left
}

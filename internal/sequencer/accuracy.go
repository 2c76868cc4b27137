package sequencer

import "time"

const (
	// toleratedError is the factor by which a run may differ from its estimate. Slower workers and restarts explain about as much.
	toleratedError = 2
	// accuracyMemory is the number of runs after which an old one counts for about a third.
	accuracyMemory = 32
	// maxWrongShare is the share of wrong estimates from which on they are not relied on. Rare runs that take much longer stay below it.
	maxWrongShare = 0.25
	// minOverrun keeps the time between an end and its report from counting as an error of short runs.
	minOverrun = 500 * time.Millisecond
)

// Accuracy tells whether the estimated run times of a group of jobs can be relied on, from their finished runs. The zero value and nil rely
// on them.
type Accuracy struct {
	lowShare  float64 // share of the runs that took longer than estimated by more than the tolerated error
	highShare float64 // share of the runs that took less time than estimated by more than the tolerated error
}

// Observe counts a finished run.
func (a *Accuracy) Observe(estimate, took time.Duration) {
	low, high := 0.0, 0.0
	switch {
	case HasOverrun(estimate, took):
		low = 1
	case estimate > toleratedError*took+minOverrun:
		high = 1
	}
	a.lowShare += (low - a.lowShare) / accuracyMemory
	a.highShare += (high - a.highShare) / accuracyMemory
}

// IsReliable reports whether few of the last estimates were wrong.
func (a *Accuracy) IsReliable() bool { return a == nil || a.lowShare+a.highShare < maxWrongShare }

// IsTooLow reports whether estimates are unreliable because many were too low. Target durations that follow from them are then too short.
func (a *Accuracy) IsTooLow() bool { return !a.IsReliable() && a.lowShare >= a.highShare }

// HasOverrun reports whether a run has taken so long that its estimate was too low.
func HasOverrun(estimate, took time.Duration) bool { return took > toleratedError*estimate+minOverrun }

// AreTooLow reports whether so many of some runs have overrun their estimates that the estimates of all are too low.
func AreTooLow(overrun, runs int) bool { return float64(overrun) > maxWrongShare*float64(runs) }

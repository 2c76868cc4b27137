package preemptor

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// lateWorth is the value of a result that comes right after its target, as a share of one within it. It falls to 0 until the result is of no use.
const lateWorth = 0.25

// Deadline tells what the result of a job is worth by the time that passes until its end. The zero value is that of work without a target.
type Deadline struct {
	isSet     bool
	targetIn  time.Duration // the result is worth 1 until then
	uselessIn time.Duration // the result is worth nothing from then on
}

// NewDeadline returns the deadline of a job that has arrived the given time ago. Its target and the time from which on its result is of no
// use count from its arrival.
func NewDeadline(ago, target, uselessAfter time.Duration) Deadline {
	return Deadline{isSet: true, targetIn: target - ago, uselessIn: uselessAfter - ago}
}

// worth returns the value of a result that comes in the given time, as a share of its value within the target.
func (d *Deadline) worth(endsIn time.Duration) float64 {
	switch {
	case d.allows(endsIn):
		return 1
	case endsIn >= d.uselessIn:
		return 0
	}
	return lateWorth * float64(d.uselessIn-endsIn) / float64(d.uselessIn-d.targetIn)
}

// allows reports whether an end in the given time is within the target.
func (d *Deadline) allows(endsIn time.Duration) bool { return !d.isSet || endsIn <= d.targetIn }

// maxPath limits the result of PathFrom, so that sums of a few of them fit into a time.Duration.
const maxPath = 10 * 365 * 24 * time.Hour

// PathFrom returns the estimated run time of the longest chain of dependent steps that begins with the given one, at most 10 years.
func PathFrom(steps []model.Step, from int) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := from; i < len(steps); i++ {
		start := time.Duration(-1)
		if i == from {
			start = 0
		}
		for _, dep := range steps[i].DependsOn {
			if dep >= from && dep < i && ends[dep] > 0 {
				start = max(start, ends[dep])
			}
		}
		if start >= 0 {
			estimate := time.Duration(min(max(steps[i].EstimatedRunMS, 1), model.Millis(maxPath/time.Millisecond))) * time.Millisecond
			ends[i] = min(start+estimate, maxPath)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

package scheduler

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// AttainedHalfLife is how long it takes for attained service to count half.
// Half an hour lets a workspace that ran alone overnight recover its place in
// the morning, and still outweighs bursts of short jobs.
const AttainedHalfLife = 30 * time.Minute

const (
	// commitment is the service charged at once for what runs, so that one
	// workspace does not take all room of a single pass.
	commitment = time.Minute
	// coresPerUnit is how many cores of a task without accelerators count as one accelerator.
	coresPerUnit = 16
)

// service returns the accelerators that a gang counts for in the order of workspaces and callers.
func service(s *model.Shape) float64 {
	if s.Accelerators > 0 {
		return float64(s.Total())
	}
	return float64(s.Workers) * float64(max(s.Cores, 1)) / coresPerUnit
}

// account holds the decayed service of a workspace or caller, in accelerator-seconds.
type account struct {
	weight   float64
	attained float64
	rate     float64 // service of the gangs that hold workers
	at       time.Time
	waiting  int
	// starts is a decayed count of jobs that left the queue, for the drain rate.
	starts float64
}

func (a *account) update(now time.Time) {
	dt := now.Sub(a.at)
	if dt <= 0 {
		return
	}
	if !a.at.IsZero() {
		d := math.Exp2(-dt.Seconds() / AttainedHalfLife.Seconds())
		a.attained = a.attained*d + a.rate*AttainedHalfLife.Seconds()/math.Ln2*(1-d)
		a.starts *= math.Exp2(-dt.Seconds() / drainHalfLife.Seconds())
	}
	a.at = now
}

// key orders accounts, least weighted service first.
func (a *account) key(now time.Time) float64 {
	a.update(now)
	return (a.attained + a.rate*commitment.Seconds()) / max(a.weight, 1)
}

func (a *account) run(rate float64, now time.Time) {
	a.update(now)
	a.rate = max(0, a.rate+rate)
}

func (a *account) idle(now time.Time) bool {
	a.update(now)
	return a.waiting == 0 && a.rate < 1e-6 && a.attained < 1 && a.starts < 0.01
}

// drainPerSecond returns the rate at which jobs left the queue of late.
func (a *account) drainPerSecond(now time.Time) float64 {
	a.update(now)
	return a.starts * math.Ln2 / drainHalfLife.Seconds()
}

package estimator

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// speedWeight is the weight of the newest run in the moving average of the speed of a worker.
	speedWeight = 0.1
	// maxSpeedStep limits in octaves what one run says about its worker, so that a task that runs unusually long says little.
	maxSpeedStep = 1.0
	// minSpeedRuns is the number of runs from which the speed of a worker is used.
	minSpeedRuns = 5
	// maxWorkers limits the number of workers whose speed is known.
	maxWorkers = 20_000
)

// speed is what is known of the speed of a worker.
type speed struct {
	octaves  float64 // moving average of how much longer than the usual time its runs take
	runs     int
	slowness float64 // at the last Update; 0 means unknown
}

// recordSpeed compares a run with the median of the narrowest kind. A run without a worker, such as that of a gang, tells no speed.
func (e *Estimator) recordSpeed(r *Run, total time.Duration) {
	if r.Worker == "" {
		return
	}
	f := e.Forecast(r.Key, r.Estimate)
	if f.Scope != ScopeWorkspace && f.Scope != ScopeShape || f.sketch.spread > maxSpeedStep {
		return
	}
	s := e.speeds[r.Worker]
	if s == nil {
		if e.speeds == nil || len(e.speeds) >= maxWorkers {
			e.speeds = map[model.HostID]*speed{}
		}
		s = &speed{}
		e.speeds[r.Worker] = s
	}
	median := f.Quantile(0.5, 0)
	octaves := math.Log2(max(millis(total), 1) / max(millis(median), 1))
	octaves = min(max(octaves, -maxSpeedStep), maxSpeedStep)
	s.runs++
	s.octaves += max(speedWeight, 1/float64(s.runs+1)) * (octaves - s.octaves)
}

// Slowness returns the run times on a worker as a multiple of the usual ones; 1 if it is not known.
func (e *Estimator) Slowness(w model.HostID) float64 {
	if s := e.speeds[w]; s != nil && s.slowness > 0 {
		return s.slowness
	}
	return 1
}

// updateSpeeds derives the slowness of each worker, relative to the mean of all. Otherwise a change of the run times could be taken for a
// change of all workers.
func (e *Estimator) updateSpeeds() {
	sum, n := 0.0, 0
	for _, s := range e.speeds {
		if s.runs >= minSpeedRuns {
			sum += s.octaves
			n++
		}
	}
	usual := sum / float64(max(n, 1))
	for _, s := range e.speeds {
		if s.runs >= minSpeedRuns {
			s.slowness = math.Exp2(s.octaves - usual)
		}
	}
}

// ForgetWorker drops what is known of a worker.
func (e *Estimator) ForgetWorker(w model.HostID) { delete(e.speeds, w) }

// onUsualWorker converts a time on a worker to that on a worker of usual speed.
func (e *Estimator) onUsualWorker(d time.Duration, w model.HostID) time.Duration {
	return time.Duration(float64(d) / e.Slowness(w))
}

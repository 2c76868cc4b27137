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
	// noiseWeight is the weight of the newest run in the moving average of the noise.
	noiseWeight = 0.005
	// initialNoise is the noise, in squared octaves, before runs have shown it.
	initialNoise = 1.0
	// biasWeight is the weight of the newest run in the moving average of the bias of a kind.
	biasWeight = 0.02
	// spreadSignificance is the number of standard errors from which the spread of all speeds counts as more than noise.
	spreadSignificance = 3.0
	// workerSignificance is the same for the difference of a single worker to the others. With three, one in a hundred equally fast workers counts
	// as different where some tasks run seven times as long.
	workerSignificance = 4.0
	// minSpeedDifference is the difference in octaves below which workers count as equally fast, 1%.
	minSpeedDifference = 0.015
	// maxWorkers limits the number of workers whose speed is known.
	maxWorkers = 20_000
)

// speed is what is known of the speed of a worker.
type speed struct {
	octaves  float64 // moving average of how much longer than the usual time its runs take
	variance float64 // of octaves, as a multiple of the noise
	runs     int
	slowness float64 // at the last Update; 0 means unknown
}

// noise is how much single runs differ from the usual time of their kind on their worker.
type noise struct {
	variance float64 // moving average, in squared octaves
	runs     int
}

func (n *noise) add(octaves float64) {
	if n.runs == 0 {
		n.variance = initialNoise
	}
	n.runs++
	n.variance += max(noiseWeight, 1/float64(n.runs+1)) * (octaves*octaves - n.variance)
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
	octaves -= f.sketch.bias
	difference := octaves - s.octaves
	f.sketch.bias += biasWeight * difference
	if s.runs > 0 {
		e.noise.add(difference)
	}
	s.runs++
	weight := max(speedWeight, 1/float64(s.runs+1))
	s.octaves += weight * difference
	s.variance = (1-weight)*(1-weight)*s.variance + weight*weight
}

// Slowness returns the run times on a worker as a multiple of the usual ones; 1 if it is not known.
func (e *Estimator) Slowness(w model.HostID) float64 {
	if s := e.speeds[w]; s != nil && s.slowness > 0 {
		return s.slowness
	}
	return 1
}

// SlownessRange returns the slowness of the fastest and of the slowest worker; 1 if none is known.
func (e *Estimator) SlownessRange() (fastest, slowest float64) {
	fastest, slowest = 1, 1
	for _, s := range e.speeds {
		if s.slowness > 0 {
			fastest, slowest = min(fastest, s.slowness), max(slowest, s.slowness)
		}
	}
	return fastest, slowest
}

// updateSpeeds derives the slowness of each worker, relative to the mean of all. Otherwise a change of the run times could be taken for a
// change of all workers.
func (e *Estimator) updateSpeeds() {
	sum, squares, variance, n := 0.0, 0.0, 0.0, 0.0
	for _, s := range e.speeds {
		if s.runs >= minSpeedRuns {
			sum += s.octaves
			squares += s.octaves * s.octaves
			variance += s.variance * e.noise.variance
			n++
		}
	}
	if n == 0 {
		return
	}
	usual := sum / n
	spread := squares/n - usual*usual
	variance /= n
	if spread < variance*(1+spreadSignificance*math.Sqrt(2/n)) {
		spread = 0
	} else {
		spread -= variance
	}
	for _, s := range e.speeds {
		if s.runs >= minSpeedRuns {
			s.slowness = slowness(s.octaves-usual, s.variance*e.noise.variance, spread)
		}
	}
}

// slowness returns the slowness of a worker from its difference to others in octaves, the variance of that, and the variance of the speeds of
// all workers. What noise may explain is left out in proportion: differences by noise alone would spread the work over more workers.
func slowness(octaves, variance, spread float64) float64 {
	excess := max(0, math.Abs(octaves)-workerSignificance*math.Sqrt(variance))
	if spread = max(spread, excess*excess); spread > 0 {
		octaves *= spread / (spread + variance)
	} else {
		octaves = 0
	}
	if math.Abs(octaves) < minSpeedDifference {
		return 1
	}
	return math.Exp2(octaves)
}

// ForgetWorker drops what is known of a worker.
func (e *Estimator) ForgetWorker(w model.HostID) { delete(e.speeds, w) }

// onUsualWorker converts a time on a worker to that on a worker of usual speed.
func (e *Estimator) onUsualWorker(d time.Duration, w model.HostID) time.Duration {
	return time.Duration(float64(d) / e.Slowness(w))
}

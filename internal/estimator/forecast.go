package estimator

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxRunTime limits what is expected, so that sums of a few run times fit into a time.Duration.
const maxRunTime = 10 * 365 * 24 * time.Hour

// Forecast is what is expected of the run times of tasks with the same key and estimate. It is valid until the next Update. The zero
// value expects nothing.
type Forecast struct {
	Scope    Scope
	Runs     int  // number of runs from which it was learned; 0 if it is the caller's estimate as it is
	Relative bool // the runs say how wrong the caller's estimates are, rather than how long the tasks run

	estimate time.Duration
	sketch   *sketch
	unit     time.Duration // value of bucket 0 of the sketch
}

// Forecast returns what is expected of the tasks with a key and an estimate of the caller, which is 0 if there is none. It goes by the
// narrowest kind of which enough runs are known. Of their durations and of the caller's error, what varies less counts; of runs of other
// shapes in the queue only the latter if there is an estimate.
func (e *Estimator) Forecast(key Key, estimate time.Duration) Forecast {
	for _, sk := range key.scopes() {
		k := e.kinds[sk]
		if k == nil || k.timesKnown < minRuns {
			continue
		}
		relative := estimate > 0 && k.ratiosKnown >= minRuns && k.ratios.spread < k.times.spread
		if estimate > 0 && (sk.Scope == ScopeQueue || sk.Scope == ScopeAll) {
			// Runs of other shapes tell how wrong their callers are, not how long this task runs.
			if relative = sk.Scope == ScopeQueue && k.ratiosKnown >= minRuns && k.ratios.spread <= maxWideSpread; !relative {
				continue
			}
		}
		if relative {
			unit := time.Duration(float64(estimate) / float64(powers[unitRatioBucket]))
			return Forecast{Scope: sk.Scope, Runs: k.ratiosKnown, Relative: true, estimate: estimate, sketch: &k.ratios, unit: max(unit, 1)}
		}
		return Forecast{Scope: sk.Scope, Runs: k.timesKnown, estimate: estimate, sketch: &k.times, unit: time.Millisecond}
	}
	return Forecast{Scope: ScopeNone, estimate: estimate}
}

// Total returns the mean run time of a task on a worker of usual speed. For a task that has run for some time, it is that of those tasks
// that run for longer; it is more than elapsed.
func (f Forecast) Total(elapsed time.Duration) time.Duration {
	if f.sketch == nil {
		return max(f.estimate, time.Duration(overdueFactor*float64(elapsed)))
	}
	return max(f.value(f.sketch.expected[f.bucket(elapsed)]), elapsed)
}

// Remaining returns the mean time that a task needs after it has run for the given time on a worker whose run times are slowness times
// the usual ones.
func (f Forecast) Remaining(elapsed time.Duration, slowness float64) time.Duration {
	usual := time.Duration(float64(elapsed) / slowness)
	return time.Duration(float64(f.Total(usual)-usual) * slowness)
}

// Quantile returns the run time that the share q of those tasks does not exceed that run for longer than elapsed.
func (f Forecast) Quantile(q float64, elapsed time.Duration) time.Duration {
	if f.sketch == nil {
		return f.Total(elapsed)
	}
	return max(f.value(powers[f.sketch.quantileBucket(q, f.bucket(elapsed))]), elapsed)
}

func (f Forecast) bucket(elapsed time.Duration) int {
	return bucketOf(float64(elapsed) / float64(f.unit))
}

// value converts a multiple of the value of bucket 0 to a duration.
func (f Forecast) value(multiple float32) time.Duration {
	return time.Duration(min(float64(multiple)*float64(f.unit), float64(maxRunTime)))
}

// Correction is what was learned of a queue whose tasks run longer than their callers estimate.
type Correction struct {
	Queue   model.QueueID
	Runs    int
	RunTime time.Duration // mean run time
	Factor  float64       // mean run time as a multiple of the caller's estimate, which says more than RunTime; 0 if it says less
}

// minCorrection is the mean run time as a multiple of the callers' estimates from which these count as too short.
const minCorrection = 1.25

// Corrections returns what was learned of the queues whose tasks run longer than their callers estimate, or for which they give no estimate,
// at most limit of them. If some callers give no estimate, one more without a queue has the mean of all runs.
func (e *Estimator) Corrections(limit int) []Correction {
	var out []Correction
	for sk, k := range e.kinds {
		if sk.Scope != ScopeQueue || k.timesKnown < minRuns {
			continue
		}
		c := Correction{Queue: sk.Queue, Runs: k.timesKnown, RunTime: Forecast{sketch: &k.times, unit: time.Millisecond}.Total(0)}
		if k.ratiosKnown >= minRuns {
			factor := float64(k.ratios.expected[0] / powers[unitRatioBucket])
			relative := k.ratios.spread < k.times.spread
			if factor < minCorrection || !relative && k.times.spread > maxWideSpread {
				continue
			}
			if relative {
				c.Factor = factor
			}
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Correction) int { return cmp.Or(cmp.Compare(b.Runs, a.Runs), cmp.Compare(a.Queue, b.Queue)) })
	out = out[:min(len(out), limit)]
	if all := e.kinds[kindKey{Scope: ScopeAll}]; all != nil && all.timesKnown >= minRuns && all.ratiosKnown < all.timesKnown {
		out = append(out, Correction{Runs: all.timesKnown, RunTime: Forecast{sketch: &all.times, unit: time.Millisecond}.Total(0)})
	}
	return out
}

// Summary is what is known of the runs with a key.
type Summary struct {
	Key               Key
	Runs              int // number of runs that have ended done
	Mean, Median, P99 time.Duration
}

// Summaries returns what is known of the keys with the most runs, at most limit of them. It sorts all kinds, so it is not for each pass.
func (e *Estimator) Summaries(limit int) []Summary {
	var out []Summary
	for sk, k := range e.kinds {
		if sk.Scope != ScopeWorkspace || k.timesKnown < minRuns {
			continue
		}
		f := Forecast{Scope: sk.Scope, sketch: &k.times, unit: time.Millisecond}
		out = append(out, Summary{Key: sk.Key, Runs: k.timesKnown, Mean: f.Total(0), Median: f.Quantile(0.5, 0), P99: f.Quantile(0.99, 0)})
	}
	slices.SortFunc(out, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(b.Runs, a.Runs), cmp.Compare(a.Key.Workspace, b.Key.Workspace), cmp.Compare(a.Key.Queue, b.Key.Queue), cmp.Compare(a.Key.Step, b.Key.Step))
	})
	return out[:min(len(out), limit)]
}

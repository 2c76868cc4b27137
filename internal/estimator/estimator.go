package estimator

import (
	"cmp"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// minRuns is the number of ended runs from which a kind is used.
	minRuns = 8
	// maxKinds limits the memory, at 6 KB for each kind.
	maxKinds = 256
	// staleRuns is the number of runs of other kinds after which a kind may be evicted for a new one. Before, kinds with fewer ended runs than
	// minRuns are evicted first, so that a caller who submits each job in another shape does not displace the others.
	staleRuns = 20_000
	// maxWideSpread is the mean distance from the median, in octaves, up to which the errors of callers with tasks of other shapes correct an estimate.
	maxWideSpread = 1.0
)

// Key is what the tasks of a step have in common with others.
type Key struct {
	Workspace model.WorkspaceID
	Queue     model.QueueID
	Step      int // index of the step in the submission
	Need      model.Resources
	Gang      bool
}

// Scope says how much of their keys the runs of a kind share.
type Scope string

// The scopes, from the narrowest to the widest.
const (
	ScopeWorkspace Scope = "workspace" // the whole key
	ScopeShape     Scope = "shape"     // all but the workspace
	ScopeQueue     Scope = "queue"     // only the queue
	ScopeAll       Scope = "all"       // nothing
	ScopeNone      Scope = "none"      // no run; the caller's estimate as it is
)

// kindKey identifies the runs of a kind.
type kindKey struct {
	Scope
	Key
}

// scopes returns the keys of the kinds to which a run belongs, the narrowest first.
func (k Key) scopes() [4]kindKey {
	shape := k
	shape.Workspace = ""
	return [4]kindKey{{ScopeWorkspace, k}, {ScopeShape, shape}, {ScopeQueue, Key{Queue: k.Queue}}, {ScopeAll, Key{}}}
}

// kind holds what is known of the run times of some runs, as durations and as multiples of the caller's estimates.
type kind struct {
	times, ratios           sketch
	timesEnded, ratiosEnded int // number of runs that have ended done, and of those with an estimate
	timesKnown, ratiosKnown int // timesEnded and ratiosEnded at the last Update
	usedAt                  int64
	dirty                   bool
}

// Estimator learns the run times of tasks. The zero value is ready to use. It is not safe for concurrent use.
type Estimator struct {
	kinds   map[kindKey]*kind
	speeds  map[model.HostID]*speed
	noise   noise
	version int64
	runs    int64 // number of runs that have ended done
}

// Run is a run from which the estimator learns.
type Run struct {
	Key      Key
	Estimate time.Duration // estimate of the caller; 0 means none
	Worker   model.HostID  // empty if the run depends on several workers

	timesPassed, ratiosPassed int // number of buckets that are counted as reached
}

// Skip marks the first part of the run as not observed: another run has done it, or it was before the term of this leader.
func (r *Run) Skip(d time.Duration) {
	r.timesPassed = bucketOf(millis(d))
	if r.Estimate > 0 {
		r.ratiosPassed = ratioBucket(d, r.Estimate)
	}
}

// Observe records that the run has not ended by itself after the given time: it still runs, or was stopped.
func (e *Estimator) Observe(r *Run, elapsed time.Duration) {
	e.record(r, e.onUsualWorker(elapsed, r.Worker), false)
}

// RecordDone records that the run has ended done after the given time.
func (e *Estimator) RecordDone(r *Run, total time.Duration) {
	e.runs++
	e.record(r, e.onUsualWorker(total, r.Worker), true)
	e.recordSpeed(r, total)
}

func (e *Estimator) record(r *Run, d time.Duration, done bool) {
	lastTime, lastRatio := bucketOf(millis(d)), 0
	if r.Estimate > 0 {
		lastRatio = ratioBucket(d, r.Estimate)
	}
	if done {
		lastTime, lastRatio = max(lastTime, r.timesPassed), max(lastRatio, r.ratiosPassed)
	} else { // the run may still end in the bucket that it is in
		lastTime, lastRatio = lastTime-1, lastRatio-1
		if lastTime < r.timesPassed && lastRatio < r.ratiosPassed {
			return
		}
	}
	for _, key := range r.Key.scopes() {
		k := e.kind(key)
		k.dirty = true
		k.times.pass(r.timesPassed, lastTime)
		if done {
			k.timesEnded++
			k.times.end(lastTime)
		}
		if r.Estimate <= 0 {
			continue
		}
		k.ratios.pass(r.ratiosPassed, lastRatio)
		if done {
			k.ratiosEnded++
			k.ratios.end(lastRatio)
		}
	}
	r.timesPassed, r.ratiosPassed = max(r.timesPassed, lastTime+1), max(r.ratiosPassed, lastRatio+1)
}

// kind returns the kind with the given key. A new one replaces another if there are maxKinds.
func (e *Estimator) kind(key kindKey) *kind {
	k := e.kinds[key]
	if k == nil {
		if e.kinds == nil {
			e.kinds = map[kindKey]*kind{}
		}
		if len(e.kinds) >= maxKinds {
			e.removeLeastUseful()
		}
		k = &kind{}
		e.kinds[key] = k
	}
	k.usedAt = e.runs
	return k
}

// removeLeastUseful removes the kind that was not used for the longest time, first among those that are not in use for forecasts.
func (e *Estimator) removeLeastUseful() {
	var victim kindKey
	var least *kind
	for key, k := range e.kinds {
		if least == nil || cmp.Or(compareBool(e.isUseful(k), e.isUseful(least)), cmp.Compare(k.usedAt, least.usedAt)) < 0 {
			victim, least = key, k
		}
	}
	delete(e.kinds, victim)
}

func (e *Estimator) isUseful(k *kind) bool {
	return k.timesEnded >= minRuns && e.runs-k.usedAt < staleRuns
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Update makes what was recorded since the last call count in forecasts. It takes a few microseconds for each kind with new runs, so it
// is meant to be called about once a second.
func (e *Estimator) Update() {
	e.version++
	for _, k := range e.kinds {
		if k.dirty {
			k.times.update()
			k.ratios.update()
			k.timesKnown, k.ratiosKnown, k.dirty = k.timesEnded, k.ratiosEnded, false
		}
	}
	e.updateSpeeds()
}

// Version changes with each call of Update. Forecasts stay the same as long as it does.
func (e *Estimator) Version() int64 { return e.version }

// Runs returns the number of runs that have ended done.
func (e *Estimator) Runs() int64 { return e.runs }

// Kinds returns the number of kinds of runs that are told apart.
func (e *Estimator) Kinds() int { return len(e.kinds) }

// ratioBucket returns the bucket of a run time as a multiple of an estimate.
func ratioBucket(d, estimate time.Duration) int {
	return bucketOf(float64(d) / float64(estimate) * float64(powers[unitRatioBucket]))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

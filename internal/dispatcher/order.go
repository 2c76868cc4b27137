package dispatcher

import (
	"cmp"
	"time"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/sequencer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// orderLogInterval is the minimum time between two log lines on work that waits too long to be of full use.
const orderLogInterval = 10 * time.Second

// compareUnits orders the work to schedule by rank, then as the sequencer says, then by due time, then by arrival.
func compareUnits(a, b *placementUnit) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), sequencer.Compare(a.usefulness, b.usefulness), a.due.Compare(b.due), cmp.Compare(a.step.job.arrival, b.step.job.arrival),
		cmp.Compare(a.step.ref.Occurrence, b.step.ref.Occurrence), cmp.Compare(a.step.ref.Step, b.step.ref.Step),
		cmp.Compare(len(a.tasks), len(b.tasks)))
}

// setUsefulness sets the usefulness of the units. Guaranteed work keeps the order of arrival.
func (d *Dispatcher) setUsefulness(units []*placementUnit, now time.Time) {
	for _, u := range units {
		if u.rank > 0 {
			u.usefulness = d.usefulness(u.step, now)
		}
	}
	d.noteOrder(units, now)
}

// usefulness returns the usefulness of the step's job. Each occurrence of a periodic job has its own.
func (d *Dispatcher) usefulness(s *step, now time.Time) sequencer.Usefulness {
	j, n := s.job, len(s.job.submission.Steps)
	steps := j.steps[s.ref.Occurrence*n : (s.ref.Occurrence+1)*n]
	target := j.targetDuration
	accuracy := d.accuracy[j.queueKey()]
	if target <= 0 || j.estimatedPath == 0 || s.spec.LongRunning || accuracy.IsTooLow() || haveOverrun(steps, now) {
		return sequencer.InTime // the target follows from the estimate
	}
	since := latest(j.seenAt, s.dueAt)
	deadlines := sequencer.Deadlines{TargetAt: since.Add(target), ExpiresAt: since.Add(admitter.MaxLatenessFactor * target)}
	remaining := time.Duration(0)
	if accuracy.IsReliable() {
		remaining = remainingPath(steps, now)
	}
	return deadlines.Usefulness(now, remaining)
}

// haveOverrun reports whether the runs of the steps have shown that the estimates of the job are too low.
func haveOverrun(steps []*step, now time.Time) bool {
	overrun, runs := 0, 0
	for _, s := range steps {
		estimate := s.callerEstimate()
		for _, t := range s.tasks {
			r := t.activeRun
			running := r != nil && r.state == runRunning && !r.startConfirmedAt.IsZero()
			if t.done || running {
				runs++
			}
			if running && sequencer.HasOverrun(estimate, now.Sub(r.startConfirmedAt)) {
				overrun++
			}
		}
	}
	return sequencer.AreTooLow(overrun, runs)
}

// remainingPath returns the estimated run time of the longest chain of dependent steps of an occurrence that are not done.
func remainingPath(steps []*step, now time.Time) time.Duration {
	return admitter.LongestChain(steps[0].job.submission.Steps, func(i int) time.Duration {
		return steps[i].remainingTime(now, steps[i].callerEstimate())
	})
}

// remainingTime returns the estimated time until the last task of the step ends if all tasks that wait start now and take the given time.
func (s *step) remainingTime(now time.Time, waiting time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range s.tasks {
		switch r := t.activeRun; {
		case t.done:
		case r != nil && r.state == runRunning:
			longest = max(longest, r.estimateRemaining(now))
		default:
			longest = max(longest, waiting)
		}
	}
	return longest
}

// queueKey identifies the queue of a job.
type queueKey struct {
	workspace model.WorkspaceID
	queue     model.QueueID
}

// queueKey returns the key of the job's queue.
func (j *job) queueKey() queueKey {
	return queueKey{workspace: j.submission.Workspace, queue: j.submission.Queue.ID}
}

// maxAccuracies is the number of queues whose estimates are checked; those of others are relied on.
const maxAccuracies = 10_000

// observeEstimate compares a finished run with its estimate. Runs that resume from a checkpoint, or that a former leader has started, do not
// show how long a task takes.
func (d *Dispatcher) observeEstimate(r *run, now time.Time) {
	if r.task == nil || r.fromCheckpoint || r.adopted || r.startConfirmedAt.IsZero() || r.task.step.spec.LongRunning {
		return
	}
	key := r.task.step.job.queueKey()
	a := d.accuracy[key]
	if a == nil {
		if len(d.accuracy) >= maxAccuracies {
			return
		}
		if d.accuracy == nil {
			d.accuracy = map[queueKey]*sequencer.Accuracy{}
		}
		a = &sequencer.Accuracy{}
		d.accuracy[key] = a
	}
	a.Observe(r.task.step.callerEstimate(), now.Sub(r.startConfirmedAt))
}

// noteOrder publishes how much waiting work can still be in time, and logs it at intervals while some can not.
func (d *Dispatcher) noteOrder(units []*placementUnit, now time.Time) {
	tasks := map[sequencer.Usefulness]int{}
	for _, u := range units {
		if u.rank > 0 {
			tasks[u.usefulness] += len(u.tasks)
		}
	}
	d.Metrics.setWaiting(tasks)
	if tasks[sequencer.Late]+tasks[sequencer.Expired] == 0 || now.Sub(d.orderLoggedAt) < orderLogInterval {
		return
	}
	d.orderLoggedAt = now
	unreliable := 0
	for _, a := range d.accuracy {
		if !a.IsReliable() {
			unreliable++
		}
	}
	d.Logger.Info("work waits beyond its target", "tasks-in-time", tasks[sequencer.InTime], "tasks-late", tasks[sequencer.Late],
		"tasks-expired", tasks[sequencer.Expired], "queues-with-unreliable-estimates", unreliable)
}

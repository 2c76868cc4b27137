package scheduler

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// shareDeviations is how many standard deviations of its service a caller may exceed the mean of its workspace before
// it counts as over its share; alike callers differ by chance.
const shareDeviations = 2.5

// callerMeans holds the mean service of the callers of each workspace that were served of late or wait.
type callerMeans map[model.WorkspaceID]callerMean

type callerMean struct {
	sum float64
	n   int
}

func (m callerMean) mean() float64 { return m.sum / float64(max(m.n, 1)) }

// measureCallers computes the means for a pass.
func (s *Scheduler) measureCallers(now time.Time) {
	if s.pass.means == nil {
		s.pass.means = callerMeans{}
	}
	clear(s.pass.means)
	for k, a := range s.callers {
		service := a.key(now)
		if service < 1 && a.waiting == 0 {
			continue
		}
		m := s.pass.means[k.workspace]
		m.sum += service
		m.n++
		s.pass.means[k.workspace] = m
	}
}

// over reports whether the caller of a job attained more than its share by more than chance explains.
//
// Service is a sum over jobs, so its variance is about its mean times the service of one job.
func (s *Scheduler) over(caller *account, j *job, now time.Time) bool {
	mean := s.pass.means[j.spec.Workspace].mean()
	one := service(&j.spec.Shape) * s.typical(&j.spec).Seconds()
	return caller.key(now) > mean+shareDeviations*math.Sqrt(mean*one)+one
}

// laneKey orders the callers of a workspace: those within their share by the age of their next job, the others after
// them by service. Ordering all by service makes alike callers overtake one another, which lengthens the longest waits.
func (s *Scheduler) laneKey(l *lane, j *job, now time.Time) float64 {
	if s.opts.Baseline || !s.over(l.caller, j, now) {
		return -now.Sub(j.accepted).Seconds() - 1
	}
	return l.caller.key(now)
}

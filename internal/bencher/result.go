package bencher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Result holds the measures of one policy on one input.
type Result struct {
	Policy      string `json:"policy"`
	Submitted   int    `json:"submitted"`
	Refused     int    `json:"refused"`
	Finished    int    `json:"finished"`
	Preempted   int    `json:"preempted"`
	Passes      int    `json:"passes"`
	Reclaimed   int64  `json:"reclaimed"`
	MaxPassUS   int64  `json:"max-pass-us"`
	MeanPassUS  int64  `json:"mean-pass-us"`
	totalPass   time.Duration
	fragSum     float64
	fragSamples int

	// Fragmentation is the mean over the samples in which jobs waited.
	Fragmentation float64                     `json:"fragmentation"`
	Wait          map[string]recorder.Summary `json:"wait"`       // per workspace and class
	Completion    map[string]recorder.Summary `json:"completion"` // per workspace and class
	Groups        map[string]recorder.Summary `json:"groups"`     // all, gangs, urgent-guaranteed, caller sizes
	// Done is the work that each workspace finished before the end of the arrivals, in accelerator hours.
	Done map[model.WorkspaceID]float64 `json:"done-hours"`

	wait, completion, groups recorder.Histograms
}

// The groups over workspaces and classes.
const (
	groupCompletion      = "completion/all"
	groupGangCompletion  = "completion/gangs"
	groupUrgentStart     = "wait/urgent-guaranteed"
	groupSmallCallerWait = "wait/small-callers"
	groupLargeCallerWait = "wait/large-caller"
)

// largeCaller marks the caller that asks for far more than the others.
const largeCaller model.CallerID = "large"

func (r *Result) refused(*job) { r.Refused++ }

func (r *Result) pass(d time.Duration) {
	r.Passes++
	r.totalPass += d
	r.MaxPassUS = max(r.MaxPassUS, d.Microseconds())
}

func (r *Result) sample(s scheduler.Stats) {
	r.Reclaimed = max(r.Reclaimed, s.Reclaims)
	if s.Waiting == 0 || s.Free == 0 {
		return
	}
	r.fragSum += s.Fragmentation
	r.fragSamples++
}

// started records the wait until the first start of a job.
func (r *Result) started(g *run, now time.Time) {
	s := g.state
	if s.started {
		return
	}
	spec := s.job.spec
	wait := now.Sub(s.job.at)
	r.wait.Record(recorder.Labels(spec.Workspace, spec.Class), wait)
	if spec.Class == classUrgent && g.entitled {
		r.groups.Record(groupUrgentStart, wait)
	}
	group := groupSmallCallerWait
	if spec.Caller == largeCaller {
		group = groupLargeCallerWait
	}
	r.groups.Record(group, wait)
}

func (r *Result) finished(s *state, now, end time.Time) {
	r.Finished++
	spec := s.job.spec
	took := now.Sub(s.job.at)
	r.completion.Record(recorder.Labels(spec.Workspace, spec.Class), took)
	r.groups.Record(groupCompletion, took)
	if spec.Shape.Workers > 1 {
		r.groups.Record(groupGangCompletion, took)
	}
	if !now.After(end) {
		r.Done[spec.Workspace] += s.job.run.Hours() * float64(spec.Shape.Total())
	}
}

// close computes the summaries.
func (r *Result) close() {
	if r.fragSamples > 0 {
		r.Fragmentation = r.fragSum / float64(r.fragSamples)
	}
	if r.Passes > 0 {
		r.MeanPassUS = (r.totalPass / time.Duration(r.Passes)).Microseconds()
	}
	r.Wait, r.Completion, r.Groups = r.wait.Summaries(), r.completion.Summaries(), r.groups.Summaries()
}

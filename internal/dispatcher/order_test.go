package dispatcher

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/sequencer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// addUnit adds a job of one task that fills a worker, has waited for the given time and has a target of 30 s after its arrival.
func (d *Dispatcher) addUnit(id string, p model.Priority, waited time.Duration, now time.Time) *step {
	s := d.addStep(id, p, model.Step{Count: 1, Need: model.Resources{Accelerators: 8}}, now)
	s.job.submission.Queue.TargetStretch, s.job.submission.Queue.TargetOffsetMS = 3, 0
	s.job.setTarget()
	s.job.seenAt, s.job.arrival = now.Add(-waited), now.Add(-waited).UnixNano()
	return s
}

// order returns the jobs of the units in the order of the next pass.
func (d *Dispatcher) order(now time.Time) string {
	var out []string
	for _, u := range d.placementUnits(d.jobRanks(), now) {
		out = append(out, string(u.step.ref.Job))
	}
	return strings.Join(out, " ")
}

// Guards against late work ahead of work that can be in time, guaranteed work that loses its order, and ranks that are mixed.
func TestOrderWithinRank(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	d.entitlements.Guaranteed = map[model.WorkspaceID]model.Accelerators{"guaranteed": 16}
	now := time.Now()
	d.addUnit("expired", 1, 85*time.Second, now)
	d.addUnit("late", 1, 25*time.Second, now)
	d.addUnit("in-time", 1, 15*time.Second, now)
	d.addUnit("less-urgent", 2, 0, now)
	for id, waited := range map[string]time.Duration{"guaranteed-late": 25 * time.Second, "guaranteed-expired": 95 * time.Second} {
		d.addUnit(id, 0, waited, now).job.submission.Workspace = "guaranteed"
	}
	is.Equal(d.order(now), "guaranteed-expired guaranteed-late in-time late expired less-urgent")
	is.Equal(d.Metrics.Waiting.String(), `{"expired": 1, "in-time": 2, "late": 1}`)
}

// Guards against expired work that does not run although there is room.
func TestExpiredWorkRunsOnceThereIsRoom(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	now := time.Now()
	busy := d.fill("busy", 1, model.Resources{Accelerators: 8}, 0, 8, now)
	expired, fresh := d.addUnit("expired", 1, time.Hour, now), d.addUnit("fresh", 1, 0, now)
	d.schedule(now)
	is.True(expired.isIdle() && fresh.isIdle())
	for i, want := range []bool{false, true} {
		d.releaseRun(busy.tasks[i].activeRun)
		busy.tasks[i].activeRun, busy.tasks[i].done = nil, true
		busy.tasksLeft--
		now = now.Add(time.Second)
		d.schedule(now)
		is.True(!fresh.isIdle())
		is.Equal(!expired.isIdle(), want)
	}
}

// Guards against jobs that are pushed behind by estimates which are wrong by ten times, absent, or of another queue.
func TestUnreliableEstimatesPushNothingBehind(t *testing.T) {
	for name, test := range map[string]struct {
		took time.Duration // run time of former jobs of the queue
		want string
	}{
		"true":           {10 * time.Second, "new old"},
		"ten times less": {time.Second, "old new"},
		"ten times more": {100 * time.Second, "old new"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFleet(t, 1)
			now := time.Now()
			for range 20 {
				r := &run{task: d.addStep("former", 1, model.Step{Count: 1}, now).tasks[0], startConfirmedAt: now.Add(-test.took), workerSeenAt: now}
				d.observeEstimate(r, now)
			}
			delete(d.jobs, "former")
			d.addUnit("old", 1, 25*time.Second, now) // late by its estimate
			d.addUnit("new", 1, 0, now)
			is.Equal(d.order(now), test.want)
			for _, j := range d.jobs {
				j.submission.Queue.ID = "other"
			}
			is.Equal(d.order(now), "new old")
			d.jobs["old"].submission.Steps[0].EstimatedRunMS = 0
			d.jobs["old"].setTarget()
			is.Equal(d.order(now), "old new")
		})
	}
}

// Guards against a job that counts as late because of steps that are done.
func TestDoneStepsShortenTheRest(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	now := time.Now()
	sub := newSubmission("job", 1, 1)
	sub.Steps = []model.Step{{Count: 1, EstimatedRunMS: 10_000}, {Count: 2, EstimatedRunMS: 10_000, DependsOn: []int{0}}}
	sub.Queue.TargetStretch, sub.Queue.TargetOffsetMS = 2, 0
	j := d.addJob(journaler.Job{Submission: sub}, now)
	now = now.Add(25 * time.Second)
	is.Equal(d.usefulness(j.steps[1], now), sequencer.Late)
	j.steps[0].tasks[0].markDone()
	is.Equal(d.usefulness(j.steps[1], now), sequencer.InTime)
	d.startRun(j.steps[1].tasks[0], d.workers["w000"], 1, now)
	r := j.steps[1].tasks[0].activeRun
	r.state, r.startConfirmedAt = runRunning, now.Add(-8*time.Second)
	j.steps[1].tasks[1].markDone()
	is.Equal(d.usefulness(j.steps[1], now.Add(12*time.Second)), sequencer.InTime) // the run needs no more time by its estimate
}

// Guards against a job that is pushed behind although its own runs have shown that its estimate, and so its target, is too low.
func TestOverrunKeepsJobInTime(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	now := time.Now()
	s := d.addStep("job", 1, model.Step{Count: 8, Need: model.Resources{Accelerators: 1}}, now)
	s.job.submission.Queue.TargetStretch, s.job.submission.Queue.TargetOffsetMS = 3, 0
	s.job.setTarget()
	later := now.Add(29 * time.Second)
	is.Equal(d.usefulness(s, later), sequencer.Late)
	for i := range 2 {
		d.startRun(s.tasks[i], d.workers["w000"], 1, now)
		s.tasks[i].activeRun.state, s.tasks[i].activeRun.startConfirmedAt = runRunning, now
		for _, done := range s.tasks[2:7] {
			done.done = i == 0 // 1 long run of 6, then 2 of 2
		}
		is.Equal(d.usefulness(s, later) == sequencer.InTime, i > 0)
	}
}

// Guards against a log that grows with each pass, and one that says nothing of late work.
func TestLateWorkIsLogged(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	var logs bytes.Buffer
	d.Logger = hclog.New(&hclog.LoggerOptions{Output: &logs})
	now := time.Now()
	d.addUnit("late", 1, 25*time.Second, now)
	for range 150 {
		now = now.Add(100 * time.Millisecond)
		d.order(now)
	}
	is.Equal(strings.Count(logs.String(), "work waits beyond its target"), 2)
	is.True(strings.Contains(logs.String(), "tasks-late=1"))
}

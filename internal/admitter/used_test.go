package admitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

type useOf = map[model.WorkspaceID]model.Accelerators

// Guards against use that is counted twice, not given back, or takes part of the quota without running.
func TestUsedElsewhere(t *testing.T) {
	is := is.New(t)
	a := New("a")
	a.SetConfig(testSet())
	now := time.Unix(1000, 0)
	apply := func(id string, home model.DomainID, state model.JobState) useOf {
		j := model.Job{Spec: job(id, "x", 2), Home: home, State: state, StartedAt: now}
		a.Apply(j, now)
		a.Apply(j, now) // records may come twice
		is.True(a.Changed() || state == model.JobQueued)
		used := a.UsedElsewhere()
		is.True(!a.Changed())
		return used
	}
	a.UsedElsewhere()
	is.Equal(apply("1", "b", model.JobQueued), useOf{})
	is.Equal(apply("1", "b", model.JobRunning), useOf{"w": 16})
	is.Equal(apply("2", "a", model.JobRunning), useOf{"w": 16})
	is.Equal(apply("1", "a", model.JobRunning), useOf{}) // moved
	is.Equal(apply("3", "b", model.JobRunning), useOf{"w": 16})
	is.Equal(apply("3", "b", model.JobFinished), useOf{})
}

// Guards against domains that together use more than the quota, and against domains that all wait for preempted jobs
// of each other: the views of all domains leave exactly the quota when the records add up to more.
func TestViewsAddUpToQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []model.DomainID{"a", "b", "c"}
		quota := testSet().Workspaces["w"].Quota
		now := time.Unix(1000, 0)
		var jobs []model.Job
		var total model.Accelerators
		for i := range rapid.IntRange(0, 20).Draw(t, "jobs") {
			spec := job(fmt.Sprint(i), "x", rapid.IntRange(1, 8).Draw(t, "workers"))
			jobs = append(jobs, model.Job{
				Spec: spec, Home: rapid.SampledFrom(domains).Draw(t, "home"), State: model.JobRunning,
				StartedAt: now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "start")) * time.Second),
			})
			total += spec.Shape.Total()
		}
		var left model.Accelerators
		for _, d := range domains {
			a := New(d)
			a.SetConfig(testSet())
			for _, j := range jobs {
				a.Apply(j, now)
			}
			left += quota - a.UsedElsewhere()["w"]
		}
		// Each domain sees what the records leave of the quota as its own; the rest is divided.
		free := max(0, quota-total)
		if want := quota + 2*free; left != want {
			t.Fatalf("the domains may use %d, want %d", left, want)
		}
	})
}

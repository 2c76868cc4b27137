package process

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// started returns how often the tasks of a job were started, by task.
func (c *cluster) started(id model.JobID) map[string]int {
	c.t.Helper()
	l, err := c.LedgerReport()
	c.is.NoErr(err)
	out := map[string]int{}
	for task, n := range l.StartsByTask {
		_, own, _ := strings.Cut(task, ":") // without the workspace
		if strings.HasPrefix(own, string(id)+"/") {
			out[task] = n
		}
	}
	return out
}

// busy returns a worker that has accelerators in use.
func (c *cluster) busy() string {
	c.t.Helper()
	s, err := c.Client(c.leader(), operator1).Status(short(patience))
	c.is.NoErr(err)
	for _, w := range s.Workers {
		if w.InUse > 0 {
			return string(w.Worker)
		}
	}
	c.t.Fatal("no worker runs a task")
	return ""
}

// Guards against gangs that are not run again, or again too early, after a worker was lost.
func TestWorkerLost(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(*cluster, string) error
	}{
		{"killed", func(c *cluster, w string) error { return c.KillFake(w) }},
		{"frozen", func(c *cluster, w string) error { return c.SetFaults(w, fault.Faults{Frozen: true}) }},
		{"restarted", func(c *cluster, w string) error { return c.RestartFake(w) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
			h := c.Hosts[0]
			c.submit(h, bridal, gang("g", 4, 6*time.Second))
			c.awaitState(patience, h, bridal, "g", model.JobRunning)
			victim := c.busy()
			c.is.NoErr(tc.lose(c, victim))
			c.await(patience, func(context.Context) error {
				for _, n := range c.started("g") {
					if n < 2 {
						return errors.New("a member was not started again")
					}
				}
				return nil
			})
			c.awaitState(patience, h, bridal, "g", model.JobFinished)
			c.is.NoErr(c.SetFaults(victim, fault.Faults{}))
		})
	}
}

// Guards against a worker that fails every task and takes job after job with it, and against jobs that fail
// everywhere and are tried for ever.
func TestFaultyWorkerAndFaultyJob(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
	h := c.Hosts[0]
	all := c.Fakes.Workers
	c.is.NoErr(c.SetFaults(all[0].Name, fault.Faults{FailTasks: true}))
	for i := range 12 {
		c.submit(h, bridal, gang(fmt.Sprintf("j-%d", i), 3, 300*time.Millisecond))
	}
	for i := range 12 {
		c.awaitState(patience, h, bridal, model.JobID(fmt.Sprintf("j-%d", i)), model.JobFinished)
	}
	for _, w := range all {
		c.is.NoErr(c.SetFaults(w.Name, fault.Faults{FailTasks: true}))
	}
	c.submit(h, bridal, gang("hopeless", 1, time.Second))
	j := c.awaitState(patience, h, bridal, "hopeless", model.JobFailed)
	t.Logf("the failing job: %s", j.FailureReason)
	for _, n := range c.started("hopeless") {
		c.is.Equal(n, 3) // the attempts of a task
	}
}

// Guards against cancelled jobs that run on, start later or come back as something else.
func TestCancel(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
	h := c.Hosts[0]
	c.submit(h, bridal, gang("runs", 4, time.Minute))
	c.awaitState(patience, h, bridal, "runs", model.JobRunning)
	c.is.NoErr(c.Client(c.Hosts[1], bridal).Cancel(short(patience), "runs"))
	c.awaitState(patience, h, bridal, "runs", model.JobCancelled)
	c.await(patience, func(ctx context.Context) error {
		s, err := c.Client(c.leader(), operator1).Status(ctx)
		for _, w := range s.Workers {
			if w.InUse > 0 {
				return errors.Newf("worker %s still runs tasks", w.Worker)
			}
		}
		return err
	})
	c.submit(h, bridal, gang("runs", 4, time.Minute)) // a repeat is the same job
	c.awaitState(patience, h, bridal, "runs", model.JobCancelled)
	for _, n := range c.started("runs") {
		c.is.Equal(n, 1)
	}
}

// Guards against submissions that are told not-run and run, or that are lost, while the log fails.
func TestSubmitWhileLogFails(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
	told := map[model.JobID]model.Outcome{}
	n := 0
	for _, f := range []fault.Faults{{Down: true}, {AnswerLost: true}, {SlowMS: 400}, {Refuse: true}, {}} {
		c.is.NoErr(c.SetFaults(platform.LogName, f))
		for range 3 {
			n++
			spec := gang(fmt.Sprintf("s-%d", n), 1, 100*time.Millisecond)
			_, err := c.Client(c.Hosts[n%2], workshop).Submit(short(patience), spec)
			told[spec.ID] = outcomeOf(err)
		}
		c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{}))
		time.Sleep(time.Second)
	}
	t.Logf("told: %v", told)
	for id, o := range told {
		if o == model.OutcomeAnswered {
			c.awaitState(patience, c.Hosts[0], workshop, id, model.JobFinished)
		}
	}
	for id, o := range told {
		if o == model.OutcomeNotRun {
			c.is.Equal(len(c.started(id)), 0)
		}
	}
}

// Guards against steps that start before the steps that they wait for have ended.
func TestStepsInOrder(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
	spec := model.JobSpec{
		ID: "steps", Class: "overnight", Payload: []byte(`{"run-ms":400}`),
		Steps: []model.Step{
			{Count: 3, Need: model.Resources{Accelerators: 1}},
			{Count: 2, Need: model.Resources{Accelerators: 8}, Gang: true, DependsOn: []int{0}},
		},
	}
	c.submit(c.Hosts[0], workshop, spec)
	begun := time.Now()
	c.awaitState(patience, c.Hosts[1], workshop, "steps", model.JobFinished)
	c.is.True(time.Since(begun) >= 700*time.Millisecond)
	c.is.Equal(len(c.started("steps")), 5)
}

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

// alone marks all failure domains but one as lost, so that all jobs have one home.
func (c *cluster) alone(domain model.DomainID) {
	c.t.Helper()
	for id := range c.set.FailureDomains {
		if id != domain {
			fd := c.set.FailureDomains[id]
			fd.State = model.DomainLost
			c.publish(model.KindFailureDomain, string(id), fd)
		}
	}
}

// started returns the workers on which members of the job were started, by task.
func (c *cluster) started(id model.JobID) map[model.TaskID]int {
	c.t.Helper()
	l, err := c.Ledger()
	c.is.NoErr(err)
	out := map[model.TaskID]int{}
	for task, n := range l.Starts {
		_, own, _ := strings.Cut(string(task), ":") // without the workspace
		if strings.HasPrefix(own, string(id)+"/") {
			out[task] = n
		}
	}
	return out
}

// busy returns a worker of the domain on which a task was started.
func (c *cluster) busy(domain model.DomainID) string {
	c.t.Helper()
	for _, e := range c.Ready.Workers {
		if !strings.HasPrefix(e.Name, string(domain)) {
			continue
		}
		s, err := c.Stats(e.Name)
		c.is.NoErr(err)
		if s["starts"] > 0 {
			return e.Name
		}
	}
	c.t.Fatal("no worker has started a task")
	return ""
}

// Guards against gangs of which a part runs on after a worker was lost, and against jobs that are not run again.
func TestWorkerLost(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(*cluster, string) error
	}{
		{"killed", func(c *cluster, w string) error { return c.KillFake(w) }},
		{"frozen", func(c *cluster, w string) error { return c.Fault(w, fault.Faults{Frozen: true}) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := start(t, launcher.Options{Hosts: hosts(domainA)})
			c.alone(domainA)
			h := c.Hosts[0]
			c.submit(h, bridal, gang("g", 4, 6*time.Second))
			c.awaitState(patience, h, bridal, "g", model.JobRunning)
			victim := c.busy(domainA)
			c.is.NoErr(tc.lose(c, victim))
			begun := time.Now()
			c.await(patience, func(context.Context) error {
				if n := len(c.started("g")); n != 8 {
					return errors.Newf("%d members were started", n)
				}
				return nil
			})
			t.Logf("second attempt started %s after the loss of %s", time.Since(begun), victim)
			j := c.awaitState(patience, h, bridal, "g", model.JobFinished)
			c.is.Equal(j.Attempt, 2)
			c.is.NoErr(c.Fault(victim, fault.Faults{}))
		})
	}
}

// Guards against a worker that fails every task and takes job after job with it, and against jobs that fail
// everywhere and are tried for ever.
func TestFaultyWorkerAndFaultyJob(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA)})
	c.alone(domainA)
	h := c.Hosts[0]
	c.is.NoErr(c.Fault("kartli-a-r1-0", fault.Faults{FailTasks: true}))
	c.is.NoErr(c.Fault("kartli-a-r2-0", fault.Faults{FailTasks: true}))
	for i := range 12 {
		c.submit(h, workshop, gang(fmt.Sprintf("good-%d", i), 1, 300*time.Millisecond))
	}
	bad := gang("bad", 1, 0)
	bad.Payload = []byte(`{"run-ms":50,"fail":true}`)
	c.submit(h, upholstery, bad)
	for i := range 12 {
		c.awaitState(patience, h, workshop, model.JobID(fmt.Sprintf("good-%d", i)), model.JobFinished)
	}
	j := c.awaitState(patience, h, upholstery, "bad", model.JobFailed)
	t.Logf("the failing job: attempt %d, %s", j.Attempt, j.Error)
	c.is.True(strings.Contains(j.Error, "the task failed")) // the outcome carries the last error
	c.is.True(len(c.started("bad")) >= 3)                   // three distinct workers were tried
}

// Guards against cancelled jobs that run on, start later or end without an outcome.
func TestCancelWave(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA)})
	c.alone(domainA)
	const n = 30
	id := func(i int) model.JobID { return model.JobID(fmt.Sprintf("wave-%d", i)) }
	for i := range n {
		c.submit(c.Hosts[i%2], workshop, gang(string(id(i)), 2, time.Minute))
	}
	c.awaitState(patience, c.Hosts[0], workshop, id(0), model.JobRunning)
	for i := range n {
		go func() { _ = c.Client(c.Hosts[(i+1)%2], workshop).Cancel(short(patience), id(i)) }()
	}
	for i := range n {
		c.awaitState(patience, c.Hosts[0], workshop, id(i), model.JobCancelled)
	}
	before, err := c.Ledger()
	c.is.NoErr(err)
	c.submit(c.Hosts[0], workshop, gang("after", 8, 100*time.Millisecond))
	c.awaitState(patience, c.Hosts[0], workshop, "after", model.JobFinished) // the accelerators are free again
	after, err := c.Ledger()
	c.is.NoErr(err)
	c.is.Equal(len(after.Starts), len(before.Starts)+8) // no cancelled job started later
}

// Guards against guarantees that cannot be reclaimed, and against preempted work that is lost.
func TestGuaranteeReclaimed(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA)})
	c.alone(domainA)
	h := c.Hosts[0]
	// Lent work fills the domain: 18 workers, of which 12 are within the quota of each workspace without guarantee.
	for i := range 9 {
		c.submit(h, workshop, gang(fmt.Sprintf("lent-a%d", i), 1, 8*time.Second))
		c.submit(h, upholstery, gang(fmt.Sprintf("lent-b%d", i), 1, 8*time.Second))
	}
	for i := range 9 {
		c.awaitState(patience, h, workshop, model.JobID(fmt.Sprintf("lent-a%d", i)), model.JobRunning)
		c.awaitState(patience, h, upholstery, model.JobID(fmt.Sprintf("lent-b%d", i)), model.JobRunning)
	}
	claim := gang("claim", 8, time.Second)
	claim.Class, claim.Shape.Span = "counter", model.SpanRack
	begun := time.Now()
	c.submit(h, bridal, claim)
	c.awaitState(2800*time.Millisecond, h, bridal, "claim", model.JobRunning, model.JobFinished)
	t.Logf("the guaranteed rack was reclaimed and the claim started within %s of the submission", time.Since(begun))
	c.awaitState(patience, h, bridal, "claim", model.JobFinished)
	again := 0
	for i := range 9 {
		a, b := model.JobID(fmt.Sprintf("lent-a%d", i)), model.JobID(fmt.Sprintf("lent-b%d", i))
		c.awaitState(patience, h, workshop, a, model.JobFinished)
		c.awaitState(patience, h, upholstery, b, model.JobFinished)
		again += len(c.started(a)) + len(c.started(b)) - 2
	}
	c.is.Equal(again, 8) // one rack of lent jobs was preempted, and each finished in a second attempt
}

// Guards against submissions that are told not-run and run, or that become two jobs.
func TestLogDownDuringSubmit(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA)})
	c.alone(domainA)
	c.is.NoErr(c.Fault(platform.NameLog, fault.Faults{Down: true}))
	_, err := c.Client(c.Hosts[0], workshop).Submit(short(patience), gang("refused", 1, 100*time.Millisecond))
	t.Logf("log down: told %s: %v", outcomeOf(err), err)
	c.is.Equal(outcomeOf(err), model.OutcomeNotRun)
	c.is.NoErr(c.Fault(platform.NameLog, fault.Faults{AnswerLost: true}))
	_, err = c.Client(c.Hosts[0], workshop).Submit(short(patience), gang("lost", 1, 100*time.Millisecond))
	t.Logf("answers lost: told %s: %v", outcomeOf(err), err)
	c.is.True(outcomeOf(err) != model.OutcomeNotRun)
	c.is.NoErr(c.Fault(platform.NameLog, fault.Faults{}))
	for _, h := range c.Hosts {
		c.submit(h, workshop, gang("lost", 1, 100*time.Millisecond)) // a repeat through each host
	}
	c.awaitState(patience, c.Hosts[1], workshop, "lost", model.JobFinished)
	_, err = c.Client(c.Hosts[1], workshop).Submit(short(patience), gang("lost", 2, time.Second))
	c.is.Equal(kindOf(err), model.KindConflict) // another job with the id
	c.is.Equal(len(c.started("lost")), 1)
	c.is.Equal(len(c.started("refused")), 0)
	_, err = c.Client(c.Hosts[1], workshop).Job(short(patience), "refused", 0)
	c.is.Equal(kindOf(err), model.KindNotFound)
}

// Guards against jobs that are lost when a worker that was out of reach reports, after the next attempt has started,
// that it finished the first one.
func TestLateFinish(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA)})
	c.alone(domainA)
	h := c.Hosts[0]
	c.submit(h, workshop, gang("late", 1, 1200*time.Millisecond))
	c.awaitState(patience, h, workshop, "late", model.JobRunning)
	victim := c.busy(domainA)
	c.is.NoErr(c.Fault(victim, fault.Faults{Frozen: true})) // its task finishes within the lease, unseen
	c.await(patience, func(context.Context) error {
		if n := len(c.started("late")); n != 2 {
			return errors.Newf("%d attempts were started", n)
		}
		return nil
	})
	c.is.NoErr(c.Fault(victim, fault.Faults{}))
	j := c.awaitState(patience, h, workshop, "late", model.JobFinished)
	t.Logf("attempt %d counts, %d attempts were started", j.Attempt, len(c.started("late")))
}

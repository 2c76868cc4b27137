package process

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// takeover bounds the time until work is planned again after the planner was killed (design 7).
const takeover = 2500 * time.Millisecond

// load submits n gangs of three at once, more than fit, and waits until one of them runs.
func (c *cluster) load(h *launcher.Host, n int, run time.Duration) []model.JobID {
	c.t.Helper()
	jobs, errs := make([]model.JobID, n), make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			spec := gang(fmt.Sprintf("job-%d", i), 3, run)
			jobs[i] = spec.ID
			_, errs[i] = c.Client(h, workshop).Submit(short(patience), spec)
		})
	}
	wg.Wait()
	c.is.NoErr(errors.Join(errs...))
	c.await(patience, func(ctx context.Context) error {
		list, err := c.Client(h, workshop).Jobs(ctx)
		if err == nil && !slices.ContainsFunc(list, func(j model.Job) bool { return j.State == model.JobRunning }) {
			err = errors.New("no job runs")
		}
		return err
	})
	return jobs
}

// awaitAll waits until all jobs of load have finished and returns how many members were started again.
func (c *cluster) awaitAll(h *launcher.Host, jobs []model.JobID) int {
	c.t.Helper()
	again := 0
	for _, id := range jobs {
		c.awaitState(2*patience, h, workshop, id, model.JobFinished)
		again += len(c.started(id)) - 3
	}
	return again
}

// Guards against work that is not planned again after the planner was killed, and against gangs that are not adopted.
func TestPlannerKilled(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA)})
	c.alone(domainA)
	first := c.planner(domainA)
	second := c.other(first)
	jobs := c.load(second, 8, 4*time.Second)
	c.is.NoErr(c.Kill(first))
	begun := time.Now()
	// A new job shows that work is planned again; the log accepts it while the jobs before it may still be held.
	c.submit(second, upholstery, gang("fresh", 1, 100*time.Millisecond))
	next := c.planner(domainA)
	t.Logf("next planner after %s", time.Since(begun))
	c.is.True(time.Since(begun) <= takeover+poll)
	c.is.Equal(next, second)
	c.awaitState(takeover+lease+patience, second, upholstery, "fresh", model.JobFinished)
	t.Logf("a job submitted after the kill finished after %s", time.Since(begun))
	c.is.Equal(c.awaitAll(second, jobs), 0) // adopted, not started again
}

// Guards against a paused planner that goes on to start, renew or stop tasks after another host took over.
func TestPlannerPaused(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA)})
	c.alone(domainA)
	first := c.planner(domainA)
	second := c.other(first)
	jobs := c.load(second, 10, 2*time.Second)
	for round := range 2 {
		p := c.planner(domainA)
		o := c.other(p)
		c.is.NoErr(c.Pause(p))
		begun := time.Now()
		c.await(patience, func(ctx context.Context) error {
			s, err := c.Client(o, operator1).Status(ctx)
			if err == nil && s.Role != model.RolePlanner {
				err = errors.Newf("the other host is %s", s.Role)
			}
			return err
		})
		t.Logf("round %d: taken over after %s", round, time.Since(begun))
		time.Sleep(time.Until(begun.Add(lease + time.Second))) // beyond the leases of the paused planner
		c.is.NoErr(c.Resume(p))
		time.Sleep(time.Second) // both hosts now live with their memory of the workers
	}
	again := c.awaitAll(second, jobs)
	t.Logf("%d members started again", again)
}

// Guards against two planners of a failure domain that both start jobs: its entry hosts are cut off from each other,
// so that each of them takes the other for failed, while both reach the log and all workers.
func TestRacingPlanners(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA), Relays: true})
	c.alone(domainA)
	jobs := c.load(c.Hosts[0], 4, time.Second)
	c.is.NoErr(c.Partition(ids(c.Hosts[:1]), ids(c.Hosts[1:]), false))
	for i := range 12 {
		spec := gang(fmt.Sprintf("racing-%d", i), 3, time.Second)
		jobs = append(jobs, c.submit(c.Hosts[i%2], workshop, spec).Spec.ID)
		time.Sleep(300 * time.Millisecond)
	}
	c.is.NoErr(c.Heal())
	again := c.awaitAll(c.Hosts[0], jobs)
	var terms uint64
	for _, h := range c.Hosts {
		s, err := c.Client(h, operator1).Status(short(patience))
		c.is.NoErr(err)
		terms = max(terms, s.Term.Number)
	}
	t.Logf("%d terms, %d members started again", terms, again)
	c.is.True(terms >= 3) // the hosts did race
}

// Guards against a next planner that starts a job again while its earlier attempt still runs on a worker that the
// planner cannot reach.
func TestTakeoverWithWorkerOutOfReach(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA)})
	c.alone(domainA)
	first := c.planner(domainA)
	second := c.other(first)
	c.submit(second, workshop, gang("apart", 1, 5*time.Second))
	c.awaitState(patience, second, workshop, "apart", model.JobRunning)
	victim := c.busy(domainA)
	c.is.NoErr(c.Fault(victim, fault.Faults{Cut: ids(c.Hosts)}))
	c.is.NoErr(c.Kill(first))
	begun := time.Now()
	c.await(patience, func(context.Context) error {
		if n := len(c.started("apart")); n != 2 {
			return errors.Newf("%d attempts were started", n)
		}
		return nil
	})
	t.Logf("the job was started again %s after the kill; the lease is %s", time.Since(begun), lease)
	c.is.NoErr(c.Fault(victim, fault.Faults{}))
	c.awaitState(patience, second, workshop, "apart", model.JobFinished)
}

// Guards against jobs lost or doubled when no entry host of a failure domain is left for a while.
func TestAllEntryHostsKilled(t *testing.T) {
	for _, down := range []time.Duration{0, lease + time.Second} {
		t.Run("down-"+down.String(), func(t *testing.T) {
			c := start(t, launcher.Options{Hosts: hosts(domainA)})
			c.alone(domainA)
			jobs := c.load(c.Hosts[0], 6, 3*time.Second)
			for _, h := range c.Hosts {
				c.is.NoErr(c.Kill(h))
			}
			time.Sleep(down)
			for _, h := range c.Hosts {
				c.is.NoErr(c.StartHost(h))
			}
			begun := time.Now()
			again := c.awaitAll(c.Hosts[0], jobs)
			t.Logf("all jobs finished %s after the restart, %d members started again", time.Since(begun), again)
		})
	}
}

// Guards against attempt numbers used twice and outcomes lost when tasks started and ended while the log was down and
// then no entry host was left until the leases had ended.
func TestAllEntryHostsKilledDuringLogOutage(t *testing.T) {
	c := start(t, launcher.Options{Hosts: hosts(domainA)})
	c.alone(domainA)
	jobs := c.load(c.Hosts[0], 6, 2*time.Second) // the quota lets four of them run at once
	c.is.NoErr(c.Fault(platform.NameLog, fault.Faults{Down: true}))
	c.await(patience, func(context.Context) error {
		for _, id := range jobs {
			if n := len(c.started(id)); n < 3 {
				return errors.Newf("job %s has %d members started", id, n)
			}
		}
		return nil
	})
	for _, h := range c.Hosts {
		c.is.NoErr(c.Kill(h))
	}
	time.Sleep(lease + time.Second)
	c.is.NoErr(c.Fault(platform.NameLog, fault.Faults{}))
	for _, h := range c.Hosts {
		c.is.NoErr(c.StartHost(h))
	}
	again := c.awaitAll(c.Hosts[0], jobs)
	t.Logf("%d members started again", again)
	c.is.True(again <= 6) // the two jobs that ran; the outcomes of the others are kept by the workers
}

// Guards against state that lives in a host or an address: every entry host is replaced while jobs run.
func TestHostsReplaced(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		t.Run(fmt.Sprintf("at-once-%t", atOnce), func(t *testing.T) {
			c := start(t, launcher.Options{Hosts: hosts(domainA)})
			c.alone(domainA)
			old := c.of(domainA)
			jobs := c.load(old[0], 8, 3*time.Second)
			var last *launcher.Host
			for i, h := range old {
				id := model.HostID(fmt.Sprintf("new-%d", i))
				n, err := c.Add(id, h)
				c.is.NoErr(err)
				last = n
				if !atOnce {
					c.awaitReady(n)
					c.is.NoErr(c.Terminate(h))
					c.is.NoErr(c.Unlist(h.Settings.HostID))
				}
			}
			if atOnce {
				for _, h := range old {
					c.is.NoErr(c.Kill(h))
					c.is.NoErr(c.Unlist(h.Settings.HostID))
				}
			}
			again := c.awaitAll(last, jobs)
			t.Logf("%d members started again", again)
			if !atOnce {
				c.is.Equal(again, 0) // a graceful replacement loses no gang
			}
		})
	}
}

// awaitReady waits until the host has a configuration.
func (c *cluster) awaitReady(h *launcher.Host) {
	c.t.Helper()
	c.await(patience, func(ctx context.Context) error {
		s, err := c.Client(h, operator1).Status(ctx)
		if err == nil && !s.Ready {
			err = errors.New(s.NotReady)
		}
		return err
	})
}

package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

func accelerators(n int) model.Resources {
	return model.Resources{Accelerators: model.Accelerators(n)}
}

// runInCluster runs a test in a new cluster on virtual time and fails it if the workers have recorded violations.
func runInCluster(t *testing.T, seed uint64, hosts, racks, perRack int, test func(*cluster, *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, hosts, racks, perRack)
		defer c.close()
		c.awaitLeader()
		test(c, is.New(t))
		c.checkWorkerViolations()
	})
}

// Guards against tasks that start again because the leader reads an earlier record of a job from the log after the job has
// ended.
func TestEndedJobStaysEnded(t *testing.T) {
	runInCluster(t, 1, 2, 1, 4, func(c *cluster, is *is.I) {
		for i := range 20 {
			c.submit(job(fmt.Sprint("j", i), 2, 30*time.Millisecond, model.Step{Count: 3, Need: accelerators(1)}))
		}
		for i := range 20 {
			c.awaitEnd(time.Minute, model.JobID(fmt.Sprint("j", i)))
		}
		time.Sleep(2 * time.Second)
		for task, n := range c.fleet.LedgerReport().StartsByTask {
			if n != 1 {
				t.Errorf("task %s was started %d times", task, n)
			}
		}
	})
}

// Guards against a leader whose term ends because of its own append. The log does not count an append without records, so
// the leader's next append would have an unexpected sequence number.
func TestTermSurvivesEndReportsOfUnknownRuns(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		leader := c.leader()
		c.submit(job("gone", 2, 3*time.Second, model.Step{Count: 4, Need: accelerators(1)}))
		time.Sleep(time.Second)
		c.cancelJob("gone") // the leader no longer knows the job when its runs end
		c.awaitEnd(time.Minute, "gone")
		time.Sleep(5 * time.Second)
		is.Equal(c.leader(), leader)
	})
}

// Guards against tasks of an unresponsive worker that never start elsewhere. This happens if each call that may have reached
// the worker renews its lease.
func TestSilentWorkerLeaseExpires(t *testing.T) {
	runInCluster(t, 1, 2, 1, 3, func(c *cluster, is *is.I) {
		c.submit(job("g", 1, 4*time.Second, model.Step{Count: 2, Need: accelerators(8), Gang: true, MaxPerWorker: 1}))
		time.Sleep(time.Second)
		c.mu.Lock()
		c.workerFaults["w0-0"] = worker.FaultRequestLost
		c.mu.Unlock()
		took := c.awaitEnd(time.Minute, "g")
		is.Equal(c.state("g"), model.JobFinished)
		is.True(took < 3*testLease)
	})
}

// Guards against a completed task that starts again elsewhere because the report of its worker arrives after the end of the lease.
func TestLateReportOfCompletedRun(t *testing.T) {
	for _, silence := range []time.Duration{testLease / 2, testLease - time.Second, testLease, testLease + time.Second, testLease + 3*time.Second} {
		runInCluster(t, 1, 2, 1, 3, func(c *cluster, is *is.I) {
			c.submit(job("j", 1, 3500*time.Millisecond, model.Step{Count: 3, Need: accelerators(8)}))
			time.Sleep(time.Second)
			c.setWorkerFault("w0-0", worker.FaultRequestLost)
			time.Sleep(silence)
			c.setWorkerFault("w0-0", worker.NoFault)
			c.awaitEnd(time.Minute, "j")
			is.Equal(c.fleet.LedgerReport().CompletedTwice, 0)
		})
	}
}

// Guards against tasks that start elsewhere while a renewal of the worker lease is in flight. A worker that responds again
// shortly before its lease expires gets a new lease at once, but its report arrives only after the old lease has expired.
func TestWorkerRespondsBeforeLeaseExpires(t *testing.T) {
	for ms := 5000; ms < 8000; ms += 150 {
		runInCluster(t, 1, 1, 1, 2, func(c *cluster, is *is.I) {
			c.submit(job("j", 1, 20*time.Second, model.Step{Count: 2, Need: accelerators(8)}))
			time.Sleep(2500 * time.Millisecond)
			c.mu.Lock()
			c.workerFaults["w0-0"] = worker.FaultResponseLost
			c.mu.Unlock()
			time.Sleep(time.Duration(ms) * time.Millisecond)
			c.mu.Lock()
			delete(c.workerFaults, "w0-0")
			c.mu.Unlock()
			c.awaitEnd(time.Minute, "j")
		})
	}
}

// Guards against start requests that a worker carries out late, after the task has started elsewhere.
func TestDelayedRequests(t *testing.T) {
	runInCluster(t, 1, 2, 1, 4, func(c *cluster, is *is.I) {
		c.mu.Lock()
		c.workerFaults["w0-0"] = worker.FaultRequestDelayed
		c.mu.Unlock()
		for i := range 6 {
			c.submit(job(fmt.Sprint("j", i), 1, time.Second, model.Step{Count: 2, Need: accelerators(4), Gang: true}))
		}
		time.Sleep(3 * time.Second)
		c.mu.Lock()
		delete(c.workerFaults, "w0-0")
		c.mu.Unlock()
		for i := range 6 {
			c.awaitEnd(time.Minute, model.JobID(fmt.Sprint("j", i)))
		}
	})
}

// Guards against tasks that run twice after the leader has lost its connection to the log. The successor does not know the
// runs that the leader could not record, and they are on a worker that is draining by then and does not respond to it.
func TestSuccessorOfDisconnectedLeader(t *testing.T) {
	runInCluster(t, 1, 3, 1, 3, func(c *cluster, is *is.I) {
		old := c.leader()
		is.True(old != nil)
		for i := range 3 {
			c.submit(job(fmt.Sprint("early", i), 2, time.Second, model.Step{Count: 8, Need: accelerators(1)}))
		}
		c.submit(job("late", 2, 2*time.Second, model.Step{Count: 4, Need: accelerators(8), Gang: true, MaxPerWorker: 2}))
		c.submit(job("next", 2, 2*time.Second, model.Step{Count: 2, Need: accelerators(8), Gang: true, MaxPerWorker: 1}))
		time.Sleep(700 * time.Millisecond)
		old.mu.Lock()
		old.ownLogFault = log.FaultRequestLost
		old.mu.Unlock()
		time.Sleep(900 * time.Millisecond)
		c.mu.Lock()
		c.workers[0].State = model.WorkerDraining
		c.mu.Unlock()
		for _, h := range c.hosts {
			if h != old {
				h.mu.Lock()
				h.ownWorkerFaults["w0-0"] = worker.FaultRequestLost
				h.mu.Unlock()
			}
		}
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		c.workers[0].State = model.WorkerReady
		c.mu.Unlock()
		for _, h := range c.hosts {
			h.mu.Lock()
			clear(h.ownWorkerFaults)
			h.mu.Unlock()
		}
		c.awaitEnd(2*time.Minute, "next", "early0", "early1", "early2")
	})
}

// Guards against jobs that fail because faulty workers, which fail every run, use up their attempts.
func TestFailingWorkersDoNotFailJobs(t *testing.T) {
	runInCluster(t, 1, 1, 2, 4, func(c *cluster, is *is.I) {
		for i := range 12 {
			c.submit(job(fmt.Sprint("before", i), 2, time.Second, model.Step{Count: 4, Need: accelerators(1)}))
		}
		time.Sleep(500 * time.Millisecond)
		for _, id := range []model.HostID{"w0-0", "w1-0"} {
			c.fleet.SetFailRuns(id, true)
		}
		for i := range 40 {
			c.submit(job(fmt.Sprint("j", i), 2, 500*time.Millisecond, model.Step{Count: 4, Need: accelerators(1)}))
			time.Sleep(100 * time.Millisecond)
		}
		failed := 0
		for i := range 40 {
			id := model.JobID(fmt.Sprint("j", i))
			c.awaitEnd(time.Minute, id)
			if c.state(id) == model.JobFailed {
				failed++
			}
		}
		is.Equal(failed, 0)
	})
}

// Guards against a periodic job that starts an occurrence before it is due, or that ends before its last occurrence.
func TestPeriodicJob(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		s := job("r", 1, 500*time.Millisecond, model.Step{Count: 2, Need: accelerators(1)})
		start := time.Now()
		s.ScheduledOccurrences, s.FirstAtMS, s.PeriodMS = 3, start.Add(time.Second).UnixMilli(), 2000
		c.submit(s)
		for k := range 3 {
			due := time.Second + time.Duration(k)*2*time.Second
			time.Sleep(time.Until(start.Add(due - 50*time.Millisecond)))
			is.Equal(len(c.fleet.LedgerReport().StartsByTask), 2*k)
			time.Sleep(400 * time.Millisecond)
			is.Equal(len(c.fleet.LedgerReport().StartsByTask), 2*k+2)
			is.True(!c.state("r").IsFinal())
		}
		c.awaitEnd(5*time.Second, "r")
		is.Equal(c.state("r"), model.JobFinished)
	})
}

// Guards against long-running tasks that are not restarted after they have ended, that use up the attempts of their job, or
// that continue after their job was cancelled.
func TestLongRunningJob(t *testing.T) {
	runInCluster(t, 1, 2, 1, 3, func(c *cluster, is *is.I) {
		c.submit(job("l", 1, time.Hour, model.Step{Count: 2, Need: accelerators(8), LongRunning: true}))
		time.Sleep(time.Second)
		for range 6 { // more failures than the queue allows attempts
			for _, info := range c.workers {
				c.fleet.SetFailRuns(info.ID, true)
				c.fleet.RestartWorker(info.ID, time.Now())
			}
			time.Sleep(time.Second)
			for _, info := range c.workers {
				c.fleet.SetFailRuns(info.ID, false)
			}
			time.Sleep(4 * time.Second)
		}
		is.True(!c.state("l").IsFinal())
		for _, n := range c.fleet.LedgerReport().StartsByTask {
			is.True(n > 6)
		}
		c.cancelJob("l")
		c.awaitEnd(5*time.Second, "l")
		time.Sleep(2 * time.Second)
		before := fmt.Sprint(c.fleet.LedgerReport().StartsByTask)
		time.Sleep(10 * time.Second)
		is.Equal(fmt.Sprint(c.fleet.LedgerReport().StartsByTask), before)
	})
}

// Guards against a gang that waits forever for a single rack because it is larger than any rack.
func TestGangWiderThanRack(t *testing.T) {
	runInCluster(t, 1, 1, 2, 3, func(c *cluster, is *is.I) {
		c.submit(job("wide", 1, time.Second, model.Step{Count: 5, Need: accelerators(8), Gang: true, OneRack: true}))
		is.True(c.awaitEnd(20*time.Second, "wide") < 3*time.Second)
	})
}

// Guards against urgent jobs within their guarantee that wait for less urgent ones, and against preempted jobs that do not
// complete.
func TestUrgentJobPreemptsOthers(t *testing.T) {
	runInCluster(t, 1, 1, 2, 4, func(c *cluster, is *is.I) {
		c.guarantee("w")
		for i := range 20 {
			c.submit(job(fmt.Sprint("batch", i), 2, 8*time.Second, model.Step{Count: 4, Need: accelerators(1), Resumable: true}))
		}
		time.Sleep(2 * time.Second)
		c.submit(job("urgent", 0, time.Second, model.Step{Count: 4, Need: accelerators(8), Gang: true, OneRack: true}))
		took := c.awaitEnd(time.Minute, "urgent")
		is.True(took < 2*time.Second) // covers its run time, the stop of the preempted runs, and the calls
		for i := range 20 {
			c.awaitEnd(5*time.Minute, model.JobID(fmt.Sprint("batch", i)))
		}
	})
}

// Guards against a cluster without a leader for about a second after all hosts have restarted. The former leader knows that
// its term has ended and need not wait for the election timeout.
func TestRestartedLeaderStartsElectionAtOnce(t *testing.T) {
	runInCluster(t, 1, 3, 1, 2, func(c *cluster, is *is.I) {
		for _, h := range c.hosts {
			h.cancel()
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range c.hosts {
			h.start()
		}
		start := time.Now()
		c.awaitLeader()
		is.True(time.Since(start) < 500*time.Millisecond)
	})
}

// Guards against a term that ends because of an outage of the log, and against a cluster that elects no new leader after the
// leader has stopped.
func TestTermSurvivesLogOutage(t *testing.T) {
	runInCluster(t, 1, 3, 1, 2, func(c *cluster, is *is.I) {
		first := c.leader()
		c.mu.Lock()
		c.sharedLogFault = log.FaultRequestLost
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		c.mu.Lock()
		c.sharedLogFault = log.NoFault
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		is.Equal(c.leader(), first)
		first.cancel()
		start := time.Now()
		for c.leader() == first || c.leader() == nil {
			time.Sleep(10 * time.Millisecond)
			is.True(time.Since(start) < 4*time.Second)
		}
	})
}

// Guards against a leader that acknowledges the end of a run before the end is in the log, so that its successor runs the
// task again.
func TestTaskEndsAreDurableBeforeAcknowledgement(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		old := c.leader()
		c.submit(job("j", 2, 2*time.Second, model.Step{Count: 6, Need: accelerators(1)}))
		time.Sleep(1900 * time.Millisecond)
		old.mu.Lock()
		old.ownLogFault = log.FaultUnavailable // the ends of the runs can't be recorded
		old.mu.Unlock()
		time.Sleep(400 * time.Millisecond)
		old.cancel()
		c.awaitEnd(time.Minute, "j")
		for task, n := range c.fleet.LedgerReport().StartsByTask {
			if n != 1 {
				t.Errorf("task %s was started %d times", task, n)
			}
		}
	})
}

// Guards against a host that stops updating its replica after the log has deleted records that the host had not read.
func TestRecordsDeletedBeforeRead(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		follower := c.hosts[0]
		if follower == c.leader() {
			follower = c.hosts[1]
		}
		follower.mu.Lock()
		follower.ownLogFault = log.FaultRequestLost
		follower.mu.Unlock()
		time.Sleep(3 * time.Second)
		c.submit(job("j", 2, time.Second, model.Step{Count: 2, Need: accelerators(1)}))
		c.awaitEnd(time.Minute, "j")
		c.log.Expire("jobs")
		follower.mu.Lock()
		follower.ownLogFault = log.NoFault
		follower.mu.Unlock()
		time.Sleep(4 * time.Second)
		st, _, ok := follower.coordinator.Replica().JobState("j")
		is.True(ok)
		is.Equal(st, model.JobFinished)
	})
}

// Guards against two hosts that win the same election. The log accepts only the first append of a term.
func TestTwoCandidatesForOneTerm(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	appendTerm := func(nonce string, seq int64) error {
		r, err := journaler.NewTermRecord(journaler.Term{Fence: 1, Nonce: nonce, FirstSeq: seq})
		is.NoErr(err)
		_, err = l.Append("jobs", []journaler.Record{r}, journaler.AppendCondition{Writer: &journaler.Writer{Name: "leader", Epoch: 1, Seq: seq}})
		return err
	}
	is.NoErr(appendTerm("a", 1000))
	is.True(appendTerm("b", 5000) != nil)
	is.NoErr(appendTerm("a", 1000)) // a retry after a lost response
	is.Equal(len(l.Records("jobs")), 1)
}

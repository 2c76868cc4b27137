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

// inWorld runs a test on virtual time and checks at its end what the workers saw.
func inWorld(t *testing.T, seed uint64, hosts, racks, perRack int, test func(*world, *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, hosts, racks, perRack)
		defer w.close()
		w.awaitLeader()
		test(w, is.New(t))
		w.check()
	})
}

// Guards against a job that starts again because an earlier record of it is read back from the log after its end.
func TestEndedJobStaysEnded(t *testing.T) {
	inWorld(t, 1, 2, 1, 4, func(w *world, is *is.I) {
		for i := range 20 {
			w.submit(job(fmt.Sprint("j", i), 2, 30*time.Millisecond, model.Step{Count: 3, Need: accelerators(1)}))
		}
		for i := range 20 {
			w.awaitEnd(time.Minute, model.JobID(fmt.Sprint("j", i)))
		}
		time.Sleep(2 * time.Second)
		for task, n := range w.fleet.Report().Starts {
			if n != 1 {
				t.Errorf("task %s was started %d times", task, n)
			}
		}
	})
}

// Guards against a leader that is deposed by its own append: one without records is none in the log's sequence.
func TestLeaderSurvivesEndsOfUnknownRuns(t *testing.T) {
	inWorld(t, 1, 2, 1, 2, func(w *world, is *is.I) {
		first := w.leader()
		w.submit(job("gone", 2, 3*time.Second, model.Step{Count: 4, Need: accelerators(1)}))
		time.Sleep(time.Second)
		w.cancelJob("gone") // its ends come when the job is not known any more
		w.awaitEnd(time.Minute, "gone")
		time.Sleep(5 * time.Second)
		is.Equal(w.leader(), first)
	})
}

// Guards against a worker whose tasks never start elsewhere, because each call that may have reached it renews its lease.
func TestSilentWorkerLapses(t *testing.T) {
	inWorld(t, 1, 2, 1, 3, func(w *world, is *is.I) {
		w.submit(job("g", 1, 4*time.Second, model.Step{Count: 2, Need: accelerators(8), Gang: true, MaxPerWorker: 1}))
		time.Sleep(time.Second)
		w.mu.Lock()
		w.workers["w0-0"] = worker.DirectSilent
		w.mu.Unlock()
		took := w.awaitEnd(time.Minute, "g")
		is.Equal(w.state("g"), model.JobFinished)
		is.True(took < 3*testLease)
	})
}

// Guards against tasks that start elsewhere while the renewal of their lease is on its way: a worker that answers again
// shortly before its lease ends gets a new one at once, and its report comes only after the old one's end.
func TestWorkerAnswersBeforeItsLeaseEnds(t *testing.T) {
	for ms := 5000; ms < 8000; ms += 150 {
		inWorld(t, 1, 1, 1, 2, func(w *world, is *is.I) {
			w.submit(job("j", 1, 20*time.Second, model.Step{Count: 2, Need: accelerators(8)}))
			time.Sleep(2500 * time.Millisecond)
			w.mu.Lock()
			w.workers["w0-0"] = worker.DirectLost
			w.mu.Unlock()
			time.Sleep(time.Duration(ms) * time.Millisecond)
			w.mu.Lock()
			delete(w.workers, "w0-0")
			w.mu.Unlock()
			w.awaitEnd(time.Minute, "j")
		})
	}
}

// Guards against orders that are carried out late, after their task has started elsewhere.
func TestLateOrders(t *testing.T) {
	inWorld(t, 1, 2, 1, 4, func(w *world, is *is.I) {
		w.mu.Lock()
		w.workers["w0-0"] = worker.DirectLate
		w.mu.Unlock()
		for i := range 6 {
			w.submit(job(fmt.Sprint("j", i), 1, time.Second, model.Step{Count: 2, Need: accelerators(4), Gang: true}))
		}
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		delete(w.workers, "w0-0")
		w.mu.Unlock()
		for i := range 6 {
			w.awaitEnd(time.Minute, model.JobID(fmt.Sprint("j", i)))
		}
	})
}

// Guards against a leader cut off from the log whose unrecorded starts its successor does not know, on a worker that is
// leaving by then and does not answer.
func TestSuccessorOfACutOffLeader(t *testing.T) {
	inWorld(t, 1, 3, 1, 3, func(w *world, is *is.I) {
		old := w.leader()
		is.True(old != nil)
		for i := range 3 {
			w.submit(job(fmt.Sprint("early", i), 2, time.Second, model.Step{Count: 8, Need: accelerators(1)}))
		}
		w.submit(job("late", 2, 2*time.Second, model.Step{Count: 4, Need: accelerators(8), Gang: true, MaxPerWorker: 2}))
		w.submit(job("next", 2, 2*time.Second, model.Step{Count: 2, Need: accelerators(8), Gang: true, MaxPerWorker: 1}))
		time.Sleep(700 * time.Millisecond)
		old.mu.Lock()
		old.log = log.DirectSilent
		old.mu.Unlock()
		time.Sleep(900 * time.Millisecond)
		w.mu.Lock()
		w.list[0].State = model.WorkerDraining
		w.mu.Unlock()
		for _, h := range w.hosts {
			if h != old {
				h.mu.Lock()
				h.loose["w0-0"] = worker.DirectSilent
				h.mu.Unlock()
			}
		}
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		w.list[0].State = model.WorkerReady
		w.mu.Unlock()
		for _, h := range w.hosts {
			h.mu.Lock()
			clear(h.loose)
			h.mu.Unlock()
		}
		w.awaitEnd(2*time.Minute, "next", "early0", "early1", "early2")
	})
}

// Guards against workers that fail everything and use up the attempts of job after job.
func TestFailingWorkersDoNotFailJobs(t *testing.T) {
	inWorld(t, 1, 1, 2, 4, func(w *world, is *is.I) {
		for i := range 12 {
			w.submit(job(fmt.Sprint("before", i), 2, time.Second, model.Step{Count: 4, Need: accelerators(1)}))
		}
		time.Sleep(500 * time.Millisecond)
		for _, id := range []model.HostID{"w0-0", "w1-0"} {
			w.fleet.FailAll(id, true)
		}
		for i := range 40 {
			w.submit(job(fmt.Sprint("j", i), 2, 500*time.Millisecond, model.Step{Count: 4, Need: accelerators(1)}))
			time.Sleep(100 * time.Millisecond)
		}
		failed := 0
		for i := range 40 {
			id := model.JobID(fmt.Sprint("j", i))
			w.awaitEnd(time.Minute, id)
			if w.state(id) == model.JobFailed {
				failed++
			}
		}
		is.Equal(failed, 0)
	})
}

// Guards against occurrences of a repeated job that start before they are due, or that end the job too early.
func TestRepeatedJob(t *testing.T) {
	inWorld(t, 1, 2, 1, 2, func(w *world, is *is.I) {
		s := job("r", 1, 500*time.Millisecond, model.Step{Count: 2, Need: accelerators(1)})
		begun := time.Now()
		s.ScheduledOccurrences, s.FirstAtMS, s.PeriodMS = 3, begun.Add(time.Second).UnixMilli(), 2000
		w.submit(s)
		for k := range 3 {
			due := time.Second + time.Duration(k)*2*time.Second
			time.Sleep(time.Until(begun.Add(due - 50*time.Millisecond)))
			is.Equal(len(w.fleet.Report().Starts), 2*k)
			time.Sleep(400 * time.Millisecond)
			is.Equal(len(w.fleet.Report().Starts), 2*k+2)
			is.True(!w.state("r").IsFinal())
		}
		w.awaitEnd(5*time.Second, "r")
		is.Equal(w.state("r"), model.JobFinished)
	})
}

// Guards against long-running tasks that are not started again after an end, use up attempts or outlive their job.
func TestLongRunningJob(t *testing.T) {
	inWorld(t, 1, 2, 1, 3, func(w *world, is *is.I) {
		w.submit(job("l", 1, time.Hour, model.Step{Count: 2, Need: accelerators(8), LongRunning: true}))
		time.Sleep(time.Second)
		for range 6 { // more ends than the attempts of its queue
			for _, info := range w.list {
				w.fleet.FailAll(info.ID, true)
				w.fleet.Restart(info.ID, time.Now())
			}
			time.Sleep(time.Second)
			for _, info := range w.list {
				w.fleet.FailAll(info.ID, false)
			}
			time.Sleep(4 * time.Second)
		}
		is.True(!w.state("l").IsFinal())
		for _, n := range w.fleet.Report().Starts {
			is.True(n > 6)
		}
		w.cancelJob("l")
		w.awaitEnd(5*time.Second, "l")
		time.Sleep(2 * time.Second)
		before := fmt.Sprint(w.fleet.Report().Starts)
		time.Sleep(10 * time.Second)
		is.Equal(fmt.Sprint(w.fleet.Report().Starts), before)
	})
}

// Guards against a gang that waits for ever for one rack because it is wider than any rack.
func TestGangWiderThanARack(t *testing.T) {
	inWorld(t, 1, 1, 2, 3, func(w *world, is *is.I) {
		w.submit(job("wide", 1, time.Second, model.Step{Count: 5, Need: accelerators(8), Gang: true, OneRack: true}))
		is.True(w.awaitEnd(20*time.Second, "wide") < 3*time.Second)
	})
}

// Guards against urgent work within its guarantee that waits for less urgent work, and against the loss of all of that.
func TestUrgentWorkReclaimsRoom(t *testing.T) {
	inWorld(t, 1, 1, 2, 4, func(w *world, is *is.I) {
		for i := range 20 {
			w.submit(job(fmt.Sprint("batch", i), 2, 8*time.Second, model.Step{Count: 4, Need: accelerators(1), Resumable: true}))
		}
		time.Sleep(2 * time.Second)
		w.submit(job("urgent", 0, time.Second, model.Step{Count: 4, Need: accelerators(8), Gang: true, OneRack: true}))
		took := w.awaitEnd(time.Minute, "urgent")
		is.True(took < 2*time.Second) // its run time, the stop of what gave way, and the calls
		for i := range 20 {
			w.awaitEnd(5*time.Minute, model.JobID(fmt.Sprint("batch", i)))
		}
	})
}

// Guards against a second of standstill after the loss of all hosts: the host that led knows that its term is over.
func TestRestartedLeaderStandsAtOnce(t *testing.T) {
	inWorld(t, 1, 3, 1, 2, func(w *world, is *is.I) {
		for _, h := range w.hosts {
			h.cancel()
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.hosts {
			h.start()
		}
		begun := time.Now()
		w.awaitLeader()
		is.True(time.Since(begun) < 500*time.Millisecond)
	})
}

// Guards against a lead that is lost in an outage of the log, and one that nobody takes after the leader has ended.
func TestLeadMovesOnlyWithTheLeader(t *testing.T) {
	inWorld(t, 1, 3, 1, 2, func(w *world, is *is.I) {
		first := w.leader()
		w.mu.Lock()
		w.logAll = log.DirectSilent
		w.mu.Unlock()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		w.logAll = log.DirectOK
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		is.Equal(w.leader(), first)
		first.cancel()
		begun := time.Now()
		for w.leader() == first || w.leader() == nil {
			time.Sleep(10 * time.Millisecond)
			is.True(time.Since(begun) < 4*time.Second)
		}
	})
}

// Guards against ends that are acknowledged before they are in the log: a successor would run their tasks again.
func TestEndsAreDurableBeforeTheyAreForgotten(t *testing.T) {
	inWorld(t, 1, 2, 1, 2, func(w *world, is *is.I) {
		old := w.leader()
		w.submit(job("j", 2, 2*time.Second, model.Step{Count: 6, Need: accelerators(1)}))
		time.Sleep(1900 * time.Millisecond)
		old.mu.Lock()
		old.log = log.DirectDown // the ends of the tasks can't be written
		old.mu.Unlock()
		time.Sleep(400 * time.Millisecond)
		old.cancel()
		w.awaitEnd(time.Minute, "j")
		for task, n := range w.fleet.Report().Starts {
			if n != 1 {
				t.Errorf("task %s was started %d times", task, n)
			}
		}
	})
}

// Guards against a fold that a host can't continue after the log has dropped records that it had not read.
func TestRecordsExpireUnread(t *testing.T) {
	inWorld(t, 1, 2, 1, 2, func(w *world, is *is.I) {
		follower := w.hosts[0]
		if follower == w.leader() {
			follower = w.hosts[1]
		}
		follower.mu.Lock()
		follower.log = log.DirectSilent
		follower.mu.Unlock()
		time.Sleep(3 * time.Second)
		w.submit(job("j", 2, time.Second, model.Step{Count: 2, Need: accelerators(1)}))
		w.awaitEnd(time.Minute, "j")
		w.log.Expire("jobs")
		follower.mu.Lock()
		follower.log = log.DirectOK
		follower.mu.Unlock()
		time.Sleep(4 * time.Second)
		st, _, ok := follower.c.Replica().JobState("j")
		is.True(ok)
		is.Equal(st, model.JobFinished)
	})
}

// Guards against an election that two hosts win: the log takes the first append of a term only.
func TestRivalsForATerm(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	stand := func(nonce string, seq int64) error {
		r, err := journaler.NewTermRecord(journaler.Term{Fence: 1, Nonce: nonce, FirstSeq: seq})
		is.NoErr(err)
		_, err = l.Append("jobs", []journaler.Record{r}, journaler.AppendCondition{Writer: &journaler.Writer{Name: "leader", Epoch: 1, Seq: seq}})
		return err
	}
	is.NoErr(stand("a", 1000))
	is.True(stand("b", 5000) != nil)
	is.NoErr(stand("a", 1000)) // a repeat after a lost answer
	is.Equal(len(l.Records("jobs")), 1)
}

package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// crashingJob returns a job whose task crashes each worker that starts it.
func crashingJob(id string, n int) *model.Submission {
	s := job(id, 1, 2*time.Second, model.Step{Count: 1, Need: accelerators(n)})
	s.Payload = `{"crash":true}`
	return s
}

// Guards against a task that crashes one worker after another.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	runInCluster(t, 1, 2, 2, 6, func(c *cluster, is *is.I) {
		c.submit(crashingJob("deadly", 8))
		c.awaitEnd(time.Minute, "deadly")
		is.Equal(c.state("deadly"), model.JobFailed)
		is.Equal(c.fleet.LedgerReport().StartsByTask["deadly/0/0/0"], 3)
		time.Sleep(time.Minute)
		is.Equal(c.fleet.LedgerReport().StartsByTask["deadly/0/0/0"], 3)
	})
}

// Guards against a crash that is forgotten when another host becomes the leader.
func TestCrashesAreCountedAcrossLeaders(t *testing.T) {
	runInCluster(t, 1, 3, 2, 6, func(c *cluster, is *is.I) {
		c.submit(crashingJob("deadly", 8))
		for range 6 {
			starts := c.fleet.LedgerReport().StartsByTask["deadly/0/0/0"]
			for range 400 {
				if c.fleet.LedgerReport().StartsByTask["deadly/0/0/0"] > starts {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(time.Second)
			if l := c.leader(); l != nil {
				l.cancel()
				l.start()
			}
		}
		c.awaitEnd(time.Minute, "deadly")
		is.Equal(c.state("deadly"), model.JobFailed)
		is.True(c.fleet.LedgerReport().StartsByTask["deadly/0/0/0"] < 6) // three more after the third
	})
}

// Guards against jobs that fail because their tasks shared a worker with one that crashes it.
func TestTasksBesideCrashingOnesDoNotFail(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			runInCluster(t, seed, 2, 2, 6, func(c *cluster, is *is.I) {
				var sound []model.JobID
				for i := range 24 {
					id := fmt.Sprint("sound", i)
					c.submit(job(id, model.Priority(i%3), time.Duration(1000+c.rng.IntN(6000))*time.Millisecond, model.Step{Count: 1 + i%4, Need: accelerators(1)}))
					sound = append(sound, model.JobID(id))
					if i%3 == 0 {
						c.submit(crashingJob(fmt.Sprint("deadly", i), 1))
					}
					time.Sleep(time.Duration(c.rng.IntN(600)) * time.Millisecond)
				}
				c.awaitEnd(5*time.Minute, sound...)
				for _, id := range sound {
					is.Equal(c.state(id), model.JobFinished)
				}
				for i := 0; i < 24; i += 3 {
					id := model.JobID(fmt.Sprint("deadly", i))
					c.awaitEnd(2*time.Minute, id)
					is.Equal(c.state(id), model.JobFailed)
					is.True(c.fleet.LedgerReport().StartsByTask[string(id)+"/0/0/0"] <= 3)
				}
				c.checkWorkerViolations()
			})
		})
	}
}

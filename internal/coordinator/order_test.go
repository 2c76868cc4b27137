package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a job that waits behind later ones of its priority because a new leader takes over the jobs in any order.
func TestTakeoverKeepsOrderOfJobs(t *testing.T) {
	for _, restart := range []bool{false, true} {
		runInCluster(t, 1, 3, 1, 1, func(c *cluster, is *is.I) {
			var submitted, ended []model.JobID
			for i := range 12 {
				id := model.JobID(fmt.Sprint("j", (i*5)%12))
				c.submit(job(string(id), 1, time.Second, model.Step{Count: 1, Need: accelerators(8)}))
				submitted = append(submitted, id)
			}
			time.Sleep(500 * time.Millisecond)
			if restart { // the new leader knows the jobs from a snapshot
				for _, h := range c.hosts {
					h.restartWith(func() {})
				}
			} else {
				c.replaceLeader()
			}
			isEnded := map[model.JobID]bool{}
			for range 1000 {
				for _, id := range submitted {
					if !isEnded[id] && c.state(id).IsFinal() {
						isEnded[id] = true
						ended = append(ended, id)
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(ended, submitted)
		})
	}
}

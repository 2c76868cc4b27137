package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against jobs that burn their attempts on faulty workers of a fleet with room, because sound workers are busy for seconds.
func TestFaultyWorkersFailNoJobsBesideRoom(t *testing.T) {
	t.Parallel()
	const run, faulty = 8 * time.Second, 4
	runInCluster(t, 1, 2, 2, 8, func(c *cluster, is *is.I) {
		for _, w := range c.workers[:faulty] {
			c.fleet.SetFailRuns(w.ID, true)
		}
		var ids []model.JobID
		for k := range 113 {
			s := job(fmt.Sprint("j", k), 1, run, model.Step{Count: 1, Need: accelerators(8)})
			s.Queue.MaxAttempts = 3
			c.submit(s)
			ids = append(ids, s.ID)
			time.Sleep(800 * time.Millisecond)
		}
		c.awaitEnd(5*time.Minute, ids...)
		for _, id := range ids {
			is.Equal(c.state(id), model.JobFinished)
		}
	})
}

package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// speedKinds use 60% of 24 workers: urgent gangs, long tasks and short less urgent ones.
var speedKinds = []workload{
	{"urgent", 0, 2, 2500 * time.Millisecond, 3, []int{2}, true, 1.5, 500 * time.Millisecond},
	{"long", 1, 0.8, 12 * time.Second, 2, []int{2}, false, 3, time.Second},
	{"short", 2, 1.5, 4 * time.Second, 4, []int{2}, false, 3, 3 * time.Second},
}

// offerToUneven offers a load to 3 racks of 8 workers and returns the mean time from arrival to end by kind, as a multiple of the usual run time, without the first 40 s.
func offerToUneven(t *testing.T, learns bool, slowness func(rack, i int) float64) map[model.QueueID]float64 {
	sum, n := map[model.QueueID]float64{}, map[model.QueueID]float64{}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 3, 8)
		defer c.close()
		for i, w := range c.all {
			c.fleet.SetSlowness(w.ID, slowness(i/8, i%8))
		}
		c.hosts[0].cancel()
		c.hosts[0].learns = learns
		c.hosts[0].start()
		c.awaitLeader()
		rng := rand.New(rand.NewPCG(1, 5))
		var load []*offeredJob
		for i := range speedKinds {
			k := &speedKinds[i]
			for at := time.Duration(0); at < 160*time.Second; at += time.Duration(rng.ExpFloat64() / k.jobsPerSecond * float64(time.Second)) {
				s := job(fmt.Sprint(k.name, at), k.priority, k.runTime, model.Step{Count: k.meanTasks, Need: accelerators(2), Gang: k.gang, OneRack: k.gang})
				s.Payload = fmt.Sprintf(`{"run-ms":%d}`, int64(float64(k.runTime.Milliseconds())*(0.8+0.4*rng.Float64())))
				s.Queue.TargetStretch, s.Queue.TargetOffsetMS, s.Queue.ID = k.targetStretch, model.Millis(k.targetOffset.Milliseconds()), model.QueueID(k.name)
				load = append(load, &offeredJob{at: at, next: at, usual: k.runTime, job: s})
			}
		}
		slices.SortFunc(load, func(a, b *offeredJob) int { return int(a.at - b.at) })
		offer(c, load)
		for _, o := range load {
			if o.at >= 40*time.Second && o.status == "ended" {
				sum[o.job.Queue.ID] += float64(o.ended-o.at) / float64(o.usual)
				n[o.job.Queue.ID]++
			}
		}
		c.checkWorkerViolations()
	})
	for k := range n {
		sum[k] /= n[k]
	}
	return sum
}

// Guards against urgent and long work on slow workers while fast ones have room or run short work, and against short work that is late for it.
func TestUrgentAndLongWorkRunsOnFastWorkers(t *testing.T) {
	const fast, slow = 0.9, 1.12
	for name, c := range map[string]struct {
		slowness func(rack, i int) float64
		mean     float64
	}{
		"mixed-racks": {func(_, i int) float64 { return []float64{slow, fast}[i%2] }, (slow + fast) / 2},
		"slow-rack":   {func(rack, _ int) float64 { return []float64{fast, slow, fast}[rack] }, (slow + 2*fast) / 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			without, with := offerToUneven(t, false, c.slowness), offerToUneven(t, true, c.slowness)
			t.Logf("%s: time as a multiple of the usual run time, without %.3v, with %.3v", name, without, with)
			is := is.New(t)
			least := (c.mean - fast) / 4 // a quarter of what work gains that runs on fast workers only, since these are in use at times
			is.True(with["urgent"] < without["urgent"]-least)
			is.True(with["long"] < without["long"]-least)
			is.True(with["short"] < 3) // its target
		})
	}
}

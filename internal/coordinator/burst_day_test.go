package coordinator

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

var burstSeeds = flag.Int("burst-seeds", 1, "number of days of bursts that TestDayOfBursts plays")

const (
	burstDayLength = 50 * time.Second
	maxRetries     = 4 // number of times that a caller comes back after a refusal
)

// burstDay is a day of bursts.
type burstDay struct {
	racks  int
	factor float64 // multiple of its rates at which the large workspace submits in a burst
}

// burstWorkspaces are the workspaces and their shares of the arrivals.
var burstWorkspaces = map[model.WorkspaceID]float64{"large": 0.55, "small-0": 0.15, "small-1": 0.15, "small-2": 0.15}

// inBurst reports whether the large workspace has a burst at a time of the day.
func inBurst(at time.Duration) bool {
	return at%(25*time.Second) >= 10*time.Second && at%(25*time.Second) < 20*time.Second
}

// generateBursts returns the jobs of a day on which a large workspace has bursts and three small ones have not.
func (d burstDay) generate(rng *rand.Rand) []arrival {
	var out []arrival
	for _, ws := range slices.Sorted(maps.Keys(burstWorkspaces)) {
		for _, k := range dayKinds {
			for at := time.Duration(0); at < burstDayLength; {
				rate := k.jobsPerSecond * burstWorkspaces[ws] * float64(d.racks) * dayPerRack / dayFleet
				if ws == "large" && inBurst(at) {
					rate *= d.factor
				}
				at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				st := model.Step{
					Count: min(1+int(rng.ExpFloat64()*float64(k.meanTasks-1)), dayPerRack), Gang: k.gang, Resumable: k.priority > 0 && rng.IntN(2) == 0,
					Need: model.Resources{
						Cores: k.cores, MemoryMB: k.maxMemoryMB/4 + model.Megabytes(rng.Int64N(int64(k.maxMemoryMB*3/4))),
						Accelerators: model.Accelerators(k.accelerators[rng.IntN(len(k.accelerators))]),
					},
				}
				s := job(fmt.Sprintf("%s-%d", k.name, len(out)), k.priority, k.runTime, st)
				s.Workspace, s.Queue.ID, s.Queue.MaxAttempts = ws, model.QueueID(k.name), 0
				s.Queue.TargetStretch, s.Queue.TargetOffsetMS = k.targetStretch, model.Millis(k.targetOffset.Milliseconds())
				out = append(out, arrival{at: at, job: s})
			}
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// burstCaller is a caller of a day of bursts.
type burstCaller struct {
	arrival
	refusals   int
	gaveUp     bool
	acceptedAt time.Duration
	took       time.Duration // from acceptance to the end
}

// worth returns what the result is worth: 1 in time, then a quarter, falling to 0 at three times the target.
func (b *burstCaller) worth() float64 {
	target := targetDuration(b.job)
	switch {
	case b.gaveUp || b.took >= 3*target:
		return 0
	case b.took <= target:
		return 1
	}
	return 0.25 * float64(3*target-b.took) / float64(2*target)
}

// play plays the callers of a day of bursts, who call, come back when they are told to, and wait for their jobs.
func (d burstDay) play(t *testing.T, seed uint64) []*burstCaller {
	t.Helper()
	var out []*burstCaller
	for _, a := range d.generate(rand.New(rand.NewPCG(seed, 11))) {
		out = append(out, &burstCaller{arrival: a})
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, 0, 0, 0)
		defer c.close()
		capacity := model.Resources{Cores: 128_000, MemoryMB: 524_288, Accelerators: 8}
		for i := range d.racks * dayPerRack {
			info := model.Worker{
				ID: model.HostID(fmt.Sprintf("w%03d", i)), Address: "-", Rack: model.RackID(fmt.Sprint("r", i/dayPerRack)), Capacity: capacity, State: model.WorkerReady,
			}
			c.workers = append(c.workers, info)
			c.fleet.AddWorker(info.ID, capacity, time.Now())
		}
		h := &testHost{cluster: c, id: "h0", workers: &worker.DirectClient{Fleet: c.fleet}}
		c.hosts = append(c.hosts, h)
		h.start()
		c.awaitLeader()
		time.Sleep(time.Second)
		start := time.Now()
		calls, running := slices.Clone(out), []*burstCaller(nil) // calls is ordered by the time of the next call, in at
		for (len(calls) > 0 || len(running) > 0) && time.Since(start) < 10*time.Minute {
			now := time.Since(start)
			for len(calls) > 0 && calls[0].at <= now {
				b := calls[0]
				calls = calls[1:]
				term, _ := h.coordinator.Replica().Term()
				decision := admitter.Decide(term.Load, b.job)
				switch {
				case decision.Accepted:
					b.acceptedAt = now
					c.submit(b.job)
					running = append(running, b)
				case b.refusals == maxRetries:
					b.gaveUp = true
				default:
					b.at = now + decision.RetryAfter
					calls = append(calls, b)
					slices.SortStableFunc(calls, func(a, b *burstCaller) int { return cmp.Compare(a.at, b.at) })
				}
				if !decision.Accepted {
					b.refusals++
				}
			}
			running = slices.DeleteFunc(running, func(b *burstCaller) bool {
				st, _, ok := h.coordinator.Replica().JobState(b.job.ID)
				b.took = now - b.acceptedAt
				return ok && st.IsFinal()
			})
			time.Sleep(20 * time.Millisecond)
		}
		is.New(t).Equal(len(running), 0) // what was accepted has run
		c.checkWorkerViolations()
	})
	return out
}

// burstShares returns the mean value of the results of each group, and prints what its callers got.
func burstShares(t *testing.T, callers []*burstCaller, group func(*burstCaller) string) map[string]float64 {
	t.Helper()
	n, worth := map[string]float64{}, map[string]float64{}
	accepted, inTime, refusals, retried := map[string]float64{}, map[string]float64{}, map[string]int{}, map[string]int{}
	for _, b := range callers {
		k := group(b)
		n[k]++
		worth[k] += b.worth()
		refusals[k] += b.refusals
		if !b.gaveUp {
			accepted[k]++
			retried[k] += b.refusals
			if b.worth() == 1 {
				inTime[k]++
			}
		}
	}
	for _, k := range slices.Sorted(maps.Keys(n)) {
		t.Logf("%-16s %4.0f jobs, accepted %.3f, in time %.3f, worth %.3f, %d refusals, %d of jobs accepted later", k, n[k], accepted[k]/n[k], inTime[k]/n[k], worth[k]/n[k],
			refusals[k], retried[k])
		worth[k] /= n[k]
	}
	return worth
}

// playAll plays one day for each seed, side by side.
func (d burstDay) playAll(t *testing.T, seeds int) []*burstCaller {
	t.Helper()
	days := make([][]*burstCaller, seeds)
	t.Run("days", func(t *testing.T) {
		for seed := range days {
			t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
				t.Parallel()
				days[seed] = d.play(t, uint64(seed))
			})
		}
	})
	return slices.Concat(days...)
}

// Guards against accepted work that never runs because other work keeps arriving, and against small workspaces that the bursts of a large one push out.
func TestDayOfBursts(t *testing.T) {
	t.Parallel()
	callers := burstDay{racks: dayRacks, factor: 12}.playAll(t, *burstSeeds)
	burstShares(t, callers, func(b *burstCaller) string { return string(b.job.Queue.ID) })
	burstShares(t, callers, func(b *burstCaller) string { return string(b.job.Workspace)[:5] })
	worth := burstShares(t, callers, func(b *burstCaller) string { return fmt.Sprintf("%s %.5s", b.job.Queue.ID, b.job.Workspace) })
	is := is.New(t)
	for _, k := range dayKinds {
		is.True(worth[k.name+" small"] >= worth[k.name+" large"])
	}
	is.True(worth["urgent small"] >= 0.95) // nearly all that they get without bursts
}

// refusalDays is the number of days for each seed; one has 20 jobs of small workspaces, of which a late one moves the worth by 5 points.
const refusalDays = 6

// Guards against callers of small workspaces that give up because of a burst of a large one beyond all capacity.
func TestDayOfRefusals(t *testing.T) {
	t.Parallel()
	callers := burstDay{racks: 1, factor: 40}.playAll(t, refusalDays**burstSeeds)
	burstShares(t, callers, func(b *burstCaller) string { return fmt.Sprintf("%s %.5s", b.job.Queue.ID, b.job.Workspace) })
	worth := burstShares(t, callers, func(b *burstCaller) string { return string(b.job.Workspace)[:5] })
	is := is.New(t)
	is.True(worth["small"] >= worth["large"])
	small, accepted := 0, 0
	for _, b := range callers {
		if b.job.Workspace != "large" {
			small++
			if !b.gaveUp {
				accepted++
			}
		}
	}
	is.True(float64(accepted) >= 0.95*float64(small)) // nearly all that is accepted without bursts
}

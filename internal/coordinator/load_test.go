package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// kind is a kind of work of the first users, as their sheets describe it.
type kind struct {
	name     string
	priority model.Priority
	perS     float64
	run      time.Duration
	tasks    int // mean of a geometric-like draw
	gpus     []int
	gang     bool
	stretch  float64
	target   time.Duration
}

// kinds are the batch plans, the matches at the counter and the previews, half as often again as on their sheets.
var kinds = []kind{
	{"plan", 1, 0.8, 11 * time.Second, 5, []int{1, 2, 4, 8, 8}, true, 3, 1200 * time.Millisecond},
	{"match", 0, 2.8, 2500 * time.Millisecond, 3, []int{1, 2, 4, 8, 8}, true, 1.5, 500 * time.Millisecond},
	{"preview", 2, 0.7, 9500 * time.Millisecond, 16, []int{1}, false, 3, 3 * time.Second},
}

// arrival is a job of the load and when it comes.
type arrival struct {
	at  time.Duration
	job *model.Submission
}

// draw returns the jobs of a stretch of time; burst multiplies the rate of one kind in its middle third.
func draw(rng *rand.Rand, length time.Duration, burstOf string, burst float64) []arrival {
	var out []arrival
	for _, k := range kinds {
		for at := time.Duration(0); at < length; {
			rate := k.perS
			if k.name == burstOf && at > length/3 && at < 2*length/3 {
				rate *= burst
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			n := 1 + int(rng.ExpFloat64()*float64(k.tasks-1)*0.8)
			if k.gang {
				n = min(n, 8)
			}
			st := model.Step{
				Count: min(n, 64), Need: accelerators(k.gpus[rng.IntN(len(k.gpus))]), Gang: k.gang, OneRack: k.gang && rng.IntN(2) == 0,
				Resumable: k.priority > 0 && rng.IntN(2) == 0,
			}
			s := job(fmt.Sprintf("%s-%d", k.name, len(out)), k.priority, k.run, st)
			s.Queue.TargetStretch, s.Queue.TargetOffsetMS, s.Queue.ID = k.stretch, model.Millis(k.target.Milliseconds()), model.QueueID(k.name)
			out = append(out, arrival{at: at, job: s})
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// objective is the time within which a job is worth its full value.
func objective(s *model.Submission) time.Duration {
	run := time.Duration(s.Steps[0].EstimatedRunMS) * time.Millisecond
	return time.Duration(float64(run)*s.Queue.TargetStretch) + time.Duration(s.Queue.TargetOffsetMS)*time.Millisecond
}

// onTime returns, by kind, the share of jobs that ended within their objective.
func onTime(load []arrival, took map[model.JobID]time.Duration) map[model.QueueID]float64 {
	n, good := map[model.QueueID]float64{}, map[model.QueueID]float64{}
	for _, a := range load {
		n[a.job.Queue.ID]++
		if t, ok := took[a.job.ID]; ok && t <= objective(a.job) {
			good[a.job.Queue.ID]++
		}
	}
	for k := range n {
		good[k] /= n[k]
	}
	return good
}

// firstFit plays the load on a baseline: jobs start in the order of their arrival, on the first workers with room.
func firstFit(load []arrival, racks, perRack int) map[model.JobID]time.Duration {
	capacity := accelerators(8)
	var nodes []*placer.Node
	for r := range racks {
		for i := range perRack {
			nodes = append(nodes, &placer.Node{
				ID: model.HostID(fmt.Sprint(r, "-", i)), Rack: model.RackID(fmt.Sprint(r)), Capacity: capacity, Free: capacity,
			})
		}
	}
	type busy struct {
		until time.Duration
		on    []*placer.Node
		need  model.Resources
	}
	took := map[model.JobID]time.Duration{}
	var running []busy
	var queue []arrival
	next := 0
	for now := time.Duration(0); now < 20*time.Minute && (next < len(load) || len(queue) > 0); now += 20 * time.Millisecond {
		for next < len(load) && load[next].at <= now {
			queue = append(queue, load[next])
			next++
		}
		running = slices.DeleteFunc(running, func(b busy) bool {
			if b.until > now {
				return false
			}
			for _, n := range b.on {
				n.Free = n.Free.Add(b.need)
			}
			return true
		})
		for len(queue) > 0 {
			s := queue[0].job
			st := s.Steps[0]
			places := placer.Place(nodes, &placer.Request{Count: st.Count, Need: st.Need, Gang: true, OneRack: st.OneRack})
			if len(places) < st.Count {
				break
			}
			for _, n := range places {
				placer.Reserve(n, st.Need)
			}
			end := now + time.Duration(st.EstimatedRunMS)*time.Millisecond
			running = append(running, busy{until: end, on: places, need: st.Need})
			took[s.ID] = end - queue[0].at
			queue = queue[1:]
		}
	}
	return took
}

// play plays the load on the real deployment and returns how long each job took.
func play(w *world, load []arrival) map[model.JobID]time.Duration {
	begun := time.Now()
	took := map[model.JobID]time.Duration{}
	open := map[model.JobID]time.Duration{}
	next := 0
	observer := w.hosts[0].c.Replica()
	for time.Since(begun) < 10*time.Minute && (next < len(load) || len(open) > 0) {
		now := time.Since(begun)
		for next < len(load) && load[next].at <= now {
			w.submit(load[next].job)
			open[load[next].job.ID] = load[next].at
			next++
		}
		for id, at := range open {
			if st, _, ok := observer.JobState(id); ok && st.IsFinal() {
				took[id] = now - at
				delete(open, id)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return took
}

// Guards against urgent work that misses its objective, and other work that starves, on a loaded day with a burst of
// each kind of work; the baseline is first come, first served on the first workers with room.
func TestLoadedDay(t *testing.T) {
	for _, burst := range []string{"match", "plan", "preview"} {
		t.Run(burst, func(t *testing.T) {
			load := draw(rand.New(rand.NewPCG(7, 7)), 40*time.Second, burst, 2.5)
			base := onTime(load, firstFit(load, 6, 8))
			var got map[model.QueueID]float64
			inWorld(t, 1, 2, 6, 8, func(w *world, is *is.I) {
				got = onTime(load, play(w, load))
			})
			t.Logf("%d jobs, on time: baseline %v, here %v", len(load), base, got)
			is := is.New(t)
			is.True(got["match"] >= 0.9)
			is.True(got["match"] > base["match"])
			for _, k := range []model.QueueID{"plan", "preview"} {
				is.True(got[k] > 0.5) // no kind of work starves
			}
		})
	}
}

// Guards against a flood of the least urgent work that takes what the others would have completed: they keep 95%.
func TestFloodOfBatchWork(t *testing.T) {
	load := draw(rand.New(rand.NewPCG(9, 9)), 20*time.Second, "", 1)
	var calm, flooded map[model.QueueID]float64
	inWorld(t, 1, 2, 6, 8, func(w *world, _ *is.I) { calm = onTime(load, play(w, load)) })
	var flood []arrival
	flood = append(flood, load...)
	for i := range 60 {
		s := job(fmt.Sprint("flood-", i), 2, 9*time.Second, model.Step{Count: 32, Need: accelerators(1)})
		s.Workspace, s.Queue.ID = "flooder", "flood"
		flood = append(flood, arrival{at: time.Duration(i) * 100 * time.Millisecond, job: s})
	}
	slices.SortFunc(flood, func(a, b arrival) int { return int(a.at - b.at) })
	inWorld(t, 1, 2, 6, 8, func(w *world, _ *is.I) { flooded = onTime(flood, play(w, flood)) })
	t.Logf("on time: calm %v, flooded %v", calm, flooded)
	is := is.New(t)
	for _, k := range []model.QueueID{"match", "plan"} {
		is.True(flooded[k] >= 0.95*calm[k])
	}
}

package admitter_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const quota = 64

// domain is a failure domain with its planner and the view of its entry host.
type domain struct {
	id      model.DomainID
	s       *scheduler.Scheduler
	a       *admitter.Admitter
	running map[model.GangID]model.Job
}

func newDomain(id model.DomainID, set *model.Set, now time.Time) *domain {
	d := &domain{id: id, s: scheduler.New(scheduler.Options{}), a: admitter.New(id), running: map[model.GangID]model.Job{}}
	d.s.SetConfig(set, id)
	d.a.SetConfig(*set)
	for i := range 8 {
		d.s.UpsertWorker(allocator.Worker{
			ID: model.HostID(fmt.Sprint(id, i)), Rack: "r", Index: i, Accelerators: 8, Cores: 32, MemoryMB: 1000,
		}, now)
	}
	return d
}

func newDomains(now time.Time) []*domain {
	rack := model.Rack{Workers: 8, Accelerators: 8, Cores: 32, MemoryMB: 1000}
	set := &model.Set{
		FailureDomains: map[model.DomainID]model.FailureDomain{
			"a": {Racks: map[model.RackID]model.Rack{"r": rack}}, "b": {Racks: map[model.RackID]model.Rack{"r": rack}},
		},
		Workspaces: map[model.WorkspaceID]model.Workspace{"w": {Quota: quota}},
		Classes:    map[model.ClassID]model.Class{"c": {Urgency: model.UrgencyBatch}},
	}
	return []*domain{newDomain("a", set, now), newDomain("b", set, now)}
}

// queued returns the i-th job, whose home is one of two domains in turn.
func queued(i, workers int, now time.Time) model.Job {
	return model.Job{
		Spec: model.JobSpec{
			ID: model.JobID(fmt.Sprint(i)), Workspace: "w", Caller: "x", Class: "c",
			Shape: model.Shape{Workers: workers, Accelerators: 8, Span: model.SpanDomain},
		},
		Home: model.DomainID("ab"[i%2 : i%2+1]), State: model.JobQueued, AcceptedAt: now, Offset: model.Offset(i + 1),
	}
}

// plan starts what the domain's view of the log allows and returns the records of the starts.
func (d *domain) plan(jobs map[model.JobID]model.Job, now time.Time) (log []model.Job) {
	d.s.SetUsedElsewhere(d.a.UsedElsewhere())
	for _, x := range d.s.Pass(now) {
		if st, ok := x.(scheduler.Start); ok {
			j := jobs[st.Job]
			j.State, j.Attempt, j.StartedAt = model.JobRunning, st.Attempt, now
			d.running[st.Gang] = j
			d.s.Started(st.Gang, now)
			log = append(log, j)
		}
	}
	return log
}

func (d *domain) used() (n model.Accelerators) {
	for _, j := range d.running {
		n += j.Spec.Shape.Total()
	}
	return n
}

// Guards against a workspace that uses its quota once in each failure domain, and against domains that wait for jobs
// of each other which were lost and do not run: after each record is read, the sum stays within the quota, and all
// jobs end.
func TestQuotaHoldsAcrossDomains(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { holdQuota(is.New(t), rand.New(rand.NewPCG(seed, 1))) })
	}
}

func holdQuota(is *is.I, rng *rand.Rand) {
	now := time.Unix(1000, 0)
	domains := newDomains(now)
	jobs := map[model.JobID]model.Job{}
	apply := func(j model.Job) {
		jobs[j.Spec.ID] = j
		for _, d := range domains {
			d.a.Apply(j, now)
		}
	}
	for i := range 60 {
		j := queued(i, 1+rng.IntN(4), now)
		apply(j)
		domains[i%2].s.Submit(j, now)
	}
	most := model.Accelerators(0)
	for step := 0; len(jobs) > 0; step++ {
		is.True(step < 2000) // all jobs end
		now = now.Add(11 * time.Second)
		for _, d := range domains {
			for _, j := range d.plan(jobs, now) {
				apply(j) // read by both before the other one plans
			}
			sum := domains[0].used() + domains[1].used()
			most = max(most, sum)
			is.True(sum <= quota)
		}
		for _, d := range domains {
			for _, id := range slices.Sorted(maps.Keys(d.running)) {
				j := d.running[id]
				switch rng.IntN(4) {
				case 0: // lost; the log does not say so
					d.s.Ended(id, scheduler.End{Reason: scheduler.EndLost}, now)
				case 1:
					d.s.Ended(id, scheduler.End{Reason: scheduler.EndFinished}, now)
					j.State = model.JobFinished
					apply(j)
					delete(jobs, j.Spec.ID)
				default:
					continue
				}
				delete(d.running, id)
			}
		}
	}
	is.True(most > quota/2) // the quota was the limit
}

// Guards against an excess that lasts: both domains start before they read each other's records, and then none starts
// until the sum is within the quota again.
func TestQuotaAfterLag(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	domains := newDomains(now)
	jobs := map[model.JobID]model.Job{}
	for i := range 40 {
		j := queued(i, 1, now)
		jobs[j.Spec.ID] = j
		domains[i%2].s.Submit(j, now)
	}
	var log []model.Job
	for _, d := range domains {
		log = append(log, d.plan(jobs, now)...)
	}
	is.Equal(domains[0].used()+domains[1].used(), model.Accelerators(2*quota)) // the price of the lag
	for _, d := range domains {
		for _, j := range log {
			d.a.Apply(j, now)
		}
	}
	for id := range domains[1].running { // all work of one domain ends; the other one's takes the whole quota
		j := domains[1].running[id]
		j.State = model.JobFinished
		delete(domains[1].running, id)
		domains[1].s.Ended(id, scheduler.End{Reason: scheduler.EndFinished}, now)
		for _, d := range domains {
			d.a.Apply(j, now)
		}
	}
	is.Equal(len(domains[1].plan(jobs, now.Add(time.Minute))), 0)
}

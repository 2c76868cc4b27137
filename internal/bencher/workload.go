package bencher

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Source is a stream of alike jobs with Poisson arrivals.
type Source struct {
	Workspace model.WorkspaceID
	Caller    model.CallerID
	Class     model.ClassID
	Shape     model.Shape
	MeanRun   time.Duration
	Load      float64 // accelerators that it keeps busy on average
	From, To  time.Duration
}

// job is one job of the input; the same for each policy.
type job struct {
	spec           model.JobSpec
	at             time.Time
	run            time.Duration // the real run time
	checkpointable bool
	source         int
}

const (
	// runSigma spreads run times log-normally: p99 is about 6 times the median.
	runSigma = 0.8
	// declaredSigma puts declared run times off by a factor of 3 in either direction for a third of the jobs.
	declaredSigma = 1.1
	// checkpointableShare is the part of the jobs that save their progress when preempted.
	checkpointableShare = 0.9
)

// start is the virtual time at which each run begins.
var start = time.Unix(1_800_000_000, 0)

// generate returns the jobs of all sources in the order of arrival. Each source has a random stream of its own, so
// that adding a source leaves the others' jobs as they are.
func generate(seed uint64, sources []Source) []job {
	var jobs []job
	for i, s := range sources {
		jobs = append(jobs, s.jobs(seed, i)...)
	}
	slices.SortStableFunc(jobs, func(a, b job) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	return jobs
}

func (s Source) jobs(seed uint64, index int) []job {
	rng := rand.New(rand.NewPCG(seed, uint64(index)+1))
	perJob := float64(max(s.Shape.Total(), 1)) * s.MeanRun.Seconds()
	gap := perJob / s.Load // seconds between arrivals
	var jobs []job
	for at := s.From.Seconds() + rng.ExpFloat64()*gap; at < s.To.Seconds(); at += rng.ExpFloat64() * gap {
		// The mean of a log-normal distribution is its median times exp(sigma^2/2).
		run := s.MeanRun.Seconds() * math.Exp(rng.NormFloat64()*runSigma-runSigma*runSigma/2)
		declared := run * math.Exp(rng.NormFloat64()*declaredSigma)
		jobs = append(jobs, job{
			spec: model.JobSpec{
				ID:        model.JobID(fmt.Sprintf("s%02d-%06d", index, len(jobs))),
				Workspace: s.Workspace, Caller: s.Caller, Class: s.Class, Shape: s.Shape,
				RunMS: model.Millis(declared * 1000),
			},
			at:             start.Add(time.Duration(at * float64(time.Second))),
			run:            time.Duration(run * float64(time.Second)),
			checkpointable: rng.Float64() < checkpointableShare,
			source:         index,
		})
	}
	return jobs
}

func gang(workers int, accelerators model.Accelerators, span model.Span) model.Shape {
	return model.Shape{Workers: workers, Accelerators: accelerators, Span: span}
}

// part is one kind of work in a mix, with its share of the load.
type part struct {
	class model.ClassID
	shape model.Shape
	run   time.Duration
	share float64
}

// mix is the usual work: many small jobs and gangs that need adjacent workers for hours.
var mix = []part{
	{classUrgent, gang(1, 1, model.SpanDomain), 3 * time.Minute, 0.03},
	{classUrgent, gang(1, 8, model.SpanDomain), 10 * time.Minute, 0.05},
	{classStandard, gang(1, 2, model.SpanDomain), 30 * time.Minute, 0.12},
	{classStandard, gang(1, 4, model.SpanDomain), time.Hour, 0.15},
	{classStandard, gang(2, 8, model.SpanRack), 90 * time.Minute, 0.20},
	{classBatch, gang(1, 8, model.SpanDomain), 2 * time.Hour, 0.15},
	{classBatch, gang(4, 8, model.SpanRack), 3 * time.Hour, 0.20},
	{classBatch, gang(8, 8, model.SpanRack), 2 * time.Hour, 0.10},
}

// usual returns the sources of the mix at a load, shared by the workspaces according to their weights.
func usual(f Fleet, load float64, length time.Duration) []Source {
	ids := make([]model.WorkspaceID, 0, len(f.Set.Workspaces))
	weights := 0
	for id, ws := range f.Set.Workspaces {
		ids = append(ids, id)
		weights += max(ws.Weight, 1)
	}
	slices.Sort(ids)
	total := load * float64(f.capacity())
	var sources []Source
	for _, id := range ids {
		weight := float64(max(f.Set.Workspaces[id].Weight, 1)) / float64(weights)
		for _, p := range mix {
			sources = append(sources, Source{
				Workspace: id, Caller: model.CallerID(id) + "-caller", Class: p.class, Shape: p.shape,
				MeanRun: p.run, Load: total * weight * p.share, To: length,
			})
		}
	}
	return sources
}

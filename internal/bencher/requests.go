package bencher

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"chestnutmux.example/chestnutmux/internal/queuer"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// requestSlots is an entry host's share of 50 runners with 8 slots among 8 hosts.
	requestSlots = 50
	// requestRun is the mean time of a request on a runner.
	requestRun = 100 * time.Millisecond
	// requestDeadline is given to each request.
	requestDeadline = 5 * time.Second
	// requestLength is the virtual time of a run.
	requestLength = 5 * time.Minute
)

// requestSource is a stream of alike service requests.
type requestSource struct {
	key  queuer.Key
	rate float64 // requests a second
}

type request struct {
	key    queuer.Key
	at     time.Time
	run    time.Duration
	source int
}

// desk is one entry host: a queue before a fixed number of slots.
type desk struct {
	*engine
	queue   *queuer.Queue[*request]
	free    int
	done    map[model.WorkspaceID]int
	refused int
	waits   recorder.Histograms
}

// requestResult are the measures of one run.
type requestResult struct {
	done map[model.WorkspaceID]int
	wait map[string]recorder.Summary
}

// runRequests serves the sources until the end.
func runRequests(seed uint64, sources []requestSource) requestResult {
	d := &desk{
		engine: &engine{end: start.Add(requestLength)}, queue: queuer.New[*request](queuer.Limits{}),
		free: requestSlots, done: map[model.WorkspaceID]int{},
	}
	for i, s := range sources {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		d.next(rng, s, i, start)
	}
	for len(d.events) > 0 {
		ev := heap.Pop(&d.events).(event)
		if ev.at.After(d.end) {
			break
		}
		ev.do(ev.at)
	}
	return requestResult{d.done, d.waits.Summaries()}
}

// next schedules the arrivals of a source.
func (d *desk) next(rng *rand.Rand, s requestSource, i int, now time.Time) {
	at := now.Add(time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second)))
	r := &request{key: s.key, at: at, run: time.Duration(rng.ExpFloat64() * float64(requestRun)), source: i}
	d.at(at, func(now time.Time) {
		if _, _, err := d.queue.Push(r, s.key, now.Add(requestDeadline)); err != nil {
			d.refused++
		}
		d.serve(now)
		d.next(rng, s, i, now)
	})
}

func (d *desk) serve(now time.Time) {
	for {
		if _, ok := d.queue.Expired(now); !ok {
			break
		}
	}
	for d.free > 0 {
		e, ok := d.queue.Pop()
		if !ok {
			return
		}
		d.free--
		r := e.Item
		group := groupSmallCallerWait
		if r.key.Caller == largeCaller {
			group = groupLargeCallerWait
		}
		d.waits.Record(group, now.Sub(r.at))
		d.at(now.Add(r.run), func(now time.Time) {
			d.free++
			d.done[r.key.Workspace]++
			d.serve(now)
		})
	}
}

// requestKinds are the usual requests of a workspace, with their shares of its rate.
var requestKinds = []struct {
	class   model.ClassID
	urgency model.Urgency
	share   float64
}{
	{classUrgent, model.UrgencyUrgent, 0.3},
	{classStandard, model.UrgencyStandard, 0.4},
	{classBatch, model.UrgencyBatch, 0.3},
}

func requests(o Options) Report {
	capacity := requestSlots / requestRun.Seconds()
	var usual []requestSource
	for ws := range 4 {
		for _, k := range requestKinds {
			usual = append(usual, requestSource{queuer.Key{
				Workspace: model.WorkspaceID(fmt.Sprintf("w%d", ws)), Class: k.class, Caller: "usual", Urgency: k.urgency,
			}, capacity * 0.6 / 4 * k.share})
		}
	}
	calm := runRequests(o.Seed, usual)
	var checks []Check
	for _, k := range []struct {
		name    string
		urgency model.Urgency
	}{{"batch", model.UrgencyBatch}, {"urgent", model.UrgencyUrgent}} {
		flood := queuer.Key{Workspace: "w0", Class: model.ClassID(k.name), Caller: "flood", Urgency: k.urgency}
		flooded := runRequests(o.Seed, append(usual[:len(usual):len(usual)], requestSource{flood, capacity * floodFactor}))
		checks = append(checks, atLeast("requests that the others kept in a flood of "+k.name+" requests",
			"95% of what they completed without the flood", keptRequests(calm, flooded), 0.95))
	}
	checks = append(checks, smallCallersCheck(o.Seed, capacity))
	return o.report("requests", nil, checks...)
}

func keptRequests(calm, flooded requestResult) float64 {
	lowest := 1.0
	for ws, n := range calm.done {
		if ws != "w0" {
			lowest = min(lowest, float64(flooded.done[ws])/float64(n))
		}
	}
	return lowest
}

func smallCallersCheck(seed uint64, capacity float64) Check {
	rate := capacity * callersLoad / smallCallers
	var small []requestSource
	for i := range smallCallers {
		small = append(small, requestSource{queuer.Key{
			Workspace: "w0", Class: classStandard, Caller: model.CallerID(fmt.Sprintf("small-%02d", i)), Urgency: model.UrgencyStandard,
		}, rate})
	}
	large := requestSource{queuer.Key{Workspace: "w0", Class: classStandard, Caller: largeCaller, Urgency: model.UrgencyStandard}, rate * largeFactor}
	without := runRequests(seed, small)
	with := runRequests(seed, append(small[:len(small):len(small)], large))
	ratio := float64(with.wait[groupSmallCallerWait].P99) / float64(max(without.wait[groupSmallCallerWait].P99, 1))
	return atMost(fmt.Sprintf("p99 wait of small callers' requests, relative to the large caller absent (%d ms against %d ms)",
		with.wait[groupSmallCallerWait].P99, without.wait[groupSmallCallerWait].P99), "at most 1.5 times", ratio, 1.5)
}

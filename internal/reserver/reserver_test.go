package reserver

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

var wholeWorker = model.Resources{Cores: 1000, Accelerators: 8}

// newPool returns a pool of workers with 8 accelerators, of which those from a range run an urgent task each and those from the next on a
// less urgent one.
func newPool(workers, urgentFrom, urgentTo int) *Pool {
	var p Pool
	for range workers {
		p.AddWorker(model.Resources{Cores: 32_000, Accelerators: 8})
	}
	for i := urgentFrom; i < urgentTo; i++ {
		p.AddRun(0, wholeWorker, i, false)
	}
	for i := urgentTo; i < workers; i++ {
		p.AddRun(2, wholeWorker, i, false)
	}
	return &p
}

// newReserver returns a reserver that has seen an urgent demand of a number of workers for long.
func newReserver(urgent int, now time.Time) *Reserver {
	var p Pool
	p.AddWorker(model.Resources{Cores: 32_000, Accelerators: 8})
	p.AddWaiting(0, wholeWorker, urgent)
	r := &Reserver{}
	r.Observe(&p, now.Add(-time.Minute))
	r.Observe(&p, now)
	return r
}

// Guards against workers that are withheld for urgent work which already runs elsewhere.
func TestRunningUrgentWorkNeedsNoHeadroom(t *testing.T) {
	for _, c := range []struct{ demand, from, to, want int }{
		{6, 10, 10, 6}, // none of it runs
		{6, 4, 10, 0},  // all of it runs on other workers
		{6, 10, 13, 3}, // half of it runs on other workers
		{6, 0, 4, 6},   // four of six run on the withheld workers
		{14, 10, 10, 10},
	} {
		is := is.New(t)
		now := time.Now()
		r := newReserver(c.demand, now)
		got := r.Withheld(newPool(20, c.from, c.to), &Request{Priority: 2, Need: wholeWorker, Tasks: 1, Share: 1})
		is.Equal(got, c.want)
		is.Equal(r.Withheld(newPool(20, c.from, c.to), &Request{Need: wholeWorker, Tasks: 1, Share: 1}), 0) // nothing from the most urgent
	}
}

// Guards against headroom of more than half of the workers, and of more than the urgent demand in whole workers.
func TestHeadroomIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 40).Draw(t, "workers")
		from := rapid.IntRange(0, workers).Draw(t, "from")
		pool := newPool(workers, from, rapid.IntRange(from, workers).Draw(t, "to"))
		demand := rapid.IntRange(0, 60).Draw(t, "demand")
		n := newReserver(demand, time.Now()).Withheld(pool, &Request{Priority: 2, Need: wholeWorker, Tasks: 1, Share: 1})
		if n < 0 || n > workers/2 || n > demand {
			t.Fatalf("%d of %d workers withheld for %d", n, workers, demand)
		}
	})
}

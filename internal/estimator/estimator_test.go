package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

var key = Key{Workspace: "w", Queue: "q", Need: model.Resources{Accelerators: 1}, Gang: true}

// learn records n runs with the run times and estimates that draw returns, each observed once a second as the dispatcher does.
func learn(e *Estimator, n int, k Key, draw func() (run, estimate time.Duration)) {
	for range n {
		run, estimate := draw()
		r := &Run{Key: k, Estimate: estimate, Worker: "h"}
		for at := time.Second; at < run; at += time.Second {
			e.Observe(r, at)
		}
		e.RecordDone(r, run)
	}
	e.Update()
}

// octavesOff returns by how many doublings an estimate is wrong.
func octavesOff(got, want time.Duration) float64 {
	return math.Abs(math.Log2(float64(got) / float64(want)))
}

// Guards against expectations that are worse than the estimates of callers, true or not.
func TestExpectationOfEachKindOfCaller(t *testing.T) {
	const usual = 4 * time.Second
	rng := rand.New(rand.NewPCG(1, 1))
	anySize := func() time.Duration { return time.Duration(float64(usual) * math.Exp2(4*rng.Float64()-2)) }
	heavy := func(d time.Duration) time.Duration {
		if rng.IntN(100) < 3 {
			return 7 * d
		}
		return d
	}
	for name, c := range map[string]struct {
		draw     func() (time.Duration, time.Duration)
		estimate time.Duration // of the task that is asked for, whose true mean is want
		want     time.Duration
		relative bool
	}{
		"true, of any size":    {func() (time.Duration, time.Duration) { d := anySize(); return d, d }, 16 * time.Second, 16 * time.Second, true},
		"absent":               {func() (time.Duration, time.Duration) { return usual, 0 }, 0, usual, false},
		"a tenth":              {func() (time.Duration, time.Duration) { return usual, usual / 10 }, usual / 10, usual, false},
		"ten times":            {func() (time.Duration, time.Duration) { return usual, 10 * usual }, 10 * usual, usual, false},
		"a tenth, of any size": {func() (time.Duration, time.Duration) { d := anySize(); return d, d / 10 }, 200 * time.Millisecond, 2 * time.Second, true},
		"off by up to nine tenth": {func() (time.Duration, time.Duration) {
			return usual, time.Duration((0.1 + 1.8*rng.Float64()) * float64(usual))
		}, usual / 10, usual, false},
		"true beside heavy tails": {func() (time.Duration, time.Duration) { d := anySize(); return heavy(d), d }, usual, usual * 118 / 100, true},
		"absent, heavy tails":     {func() (time.Duration, time.Duration) { return heavy(usual), 0 }, 0, usual * 118 / 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &Estimator{}
			is.Equal(e.Forecast(key, c.estimate).Total(0), c.estimate) // a new leader knows no more than the caller
			learn(e, 400, key, c.draw)
			f := e.Forecast(key, c.estimate)
			t.Logf("expected %v, true %v, caller %v, spread-based choice relative=%t", f.Total(0), c.want, c.estimate, f.Relative)
			is.Equal(f.Relative, c.relative)
			is.Equal(f.Runs, 400)
			is.True(octavesOff(f.Total(0), c.want) < 0.2)
		})
	}
}

// Guards against a run of the heavy tail that counts as about to end, and against a long run that is expected to last for ever.
func TestLongRunsAreExpectedToRunLonger(t *testing.T) {
	is := is.New(t)
	e, n := &Estimator{}, 0
	learn(e, 400, key, func() (time.Duration, time.Duration) {
		if n++; n%33 == 0 {
			return 14 * time.Second, 2 * time.Second
		}
		return 2 * time.Second, 2 * time.Second
	})
	f := e.Forecast(key, 2*time.Second)
	is.True(octavesOff(f.Total(3*time.Second), 14*time.Second) < 0.1)
	is.True(octavesOff(f.Quantile(0.5, 0), 2*time.Second) < 0.1)
	is.True(octavesOff(f.Quantile(0.99, 0), 14*time.Second) < 0.1)
	is.True(f.Remaining(3*time.Second, 2) < 2*time.Second) // on a slow worker it need not be a long run
	is.Equal(f.Total(30*time.Second).Round(5*time.Second), 45*time.Second)
}

// Guards against a leader that learns only from the short runs because these end first, and against one that is misled by what it stops.
func TestRunsThatHaveNotEndedCount(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	for i := range 200 { // half of the runs take 2 s, the others 20 s and are stopped after 5 s or still run
		r := &Run{Key: key, Worker: "h"}
		if i%2 == 0 {
			e.RecordDone(r, 2*time.Second)
		} else {
			e.Observe(r, 5*time.Second)
		}
	}
	e.Update()
	f := e.Forecast(key, 0)
	is.True(f.Total(0) > 4*time.Second) // the mean is 11 s; the ends alone say 2 s
	is.True(f.Quantile(0.6, 0) >= 5*time.Second)
	adopted := &Run{Key: key, Worker: "h"}
	adopted.Skip(10 * time.Second)
	e.RecordDone(adopted, 20*time.Second)
	e.Update()
	is.True(octavesOff(e.Forecast(key, 0).Total(0), 11*time.Second) < 0.2)
}

// Guards against an estimator that holds on to run times that no longer apply.
func TestShiftOfTheMix(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	learn(e, 5000, key, func() (time.Duration, time.Duration) { return 2 * time.Second, time.Second })
	learn(e, 500, key, func() (time.Duration, time.Duration) { return 12 * time.Second, time.Second })
	is.True(octavesOff(e.Forecast(key, time.Second).Total(0), 12*time.Second) < 0.5)
	learn(e, 500, key, func() (time.Duration, time.Duration) { return time.Second, time.Second })
	is.True(octavesOff(e.Forecast(key, time.Second).Total(0), time.Second) < 0.5)
}

// Guards against forecasts from another shape where nothing is known, and against unbounded memory under jobs that all differ.
func TestFallbackAndBound(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	learn(e, 50, key, func() (time.Duration, time.Duration) { return 3 * time.Second, time.Second })
	other := key
	other.Workspace = "other"
	is.Equal(e.Forecast(other, time.Second).Scope, ScopeShape)
	other.Step = 1
	is.Equal(e.Forecast(other, time.Second).Scope, ScopeQueue)
	other.Queue = "new"
	is.Equal(e.Forecast(other, 0).Scope, ScopeAll)
	for i := range 3000 {
		unique := key
		unique.Workspace, unique.Need.Cores = "flood", model.MilliCores(i)
		learn(e, 1, unique, func() (time.Duration, time.Duration) { return time.Minute, time.Second })
	}
	is.True(e.Kinds() <= maxKinds)
	is.Equal(e.Forecast(key, time.Second).Scope, ScopeWorkspace)
	is.True(octavesOff(e.Forecast(key, time.Second).Total(0), 3*time.Second) < 0.1)
}

// Guards against run times that depend on which workers a kind of tasks happened to get.
func TestWorkerSpeedIsNotTakenForRunTime(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	for i := range 600 {
		w := model.HostID(fmt.Sprint("h", i%10))
		d := 2 * time.Second
		if i%10 == 0 {
			d *= 2
		}
		e.RecordDone(&Run{Key: key, Worker: w}, d)
		e.Update()
	}
	is.True(octavesOff(e.Forecast(key, 0).Total(0), 2*time.Second) < 0.1)
	is.True(e.Slowness("h0") > 1.7 && e.Slowness("h1") < 1.1)
	e.ForgetWorker("h0")
	is.Equal(e.Slowness("h0"), 1.0)
}

// Guards against negative remaining times, and against quantiles out of order, after any sequence of runs.
func TestForecastIsSane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &Estimator{}
		for range rapid.IntRange(0, 60).Draw(t, "runs") {
			r := &Run{Key: key, Estimate: time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "estimate")), Worker: "h"}
			r.Skip(time.Duration(rapid.Int64Range(0, 1<<45).Draw(t, "skip")))
			d := time.Duration(rapid.Int64Range(-1, 1<<55).Draw(t, "run"))
			if rapid.Bool().Draw(t, "done") {
				e.RecordDone(r, d)
			} else {
				e.Observe(r, d)
			}
		}
		e.Update()
		f := e.Forecast(key, time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "asked")))
		last := time.Duration(0)
		for elapsed := time.Millisecond; elapsed < 1000*time.Hour; elapsed *= 3 {
			if f.Remaining(elapsed, 1) < 0 || f.Quantile(0.9, elapsed) < f.Quantile(0.5, elapsed) || f.Quantile(0.5, elapsed) < last {
				t.Fatalf("after %v: remaining %v, median %v before %v, q90 %v", elapsed, f.Remaining(elapsed, 1), f.Quantile(0.5, elapsed), last, f.Quantile(0.9, elapsed))
			}
			last = f.Quantile(0.5, elapsed)
		}
	})
}

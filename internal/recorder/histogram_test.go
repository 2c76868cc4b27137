package recorder

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against quantiles that are too imprecise to compare with a target, and against durations outside the range of a
// histogram that are not recorded.
func TestQuantileError(t *testing.T) {
	is := is.New(t)
	r := New()
	for h, maxError := range map[*HistogramSet]float64{{}: 0.01, NewCoarseHistogramSet(): 0.07, r.RequestServiceTime: 0.07} {
		for _, d := range []time.Duration{2800 * time.Millisecond, 37 * time.Second, 5 * time.Hour} {
			label := d.String()
			h.Record(label, d)
			got := float64(h.Summaries()[label].P999)
			is.True(math.Abs(got/float64(d.Milliseconds())-1) <= maxError)
		}
		h.Record("long", 30*24*time.Hour)
		h.Record("long", -time.Second)
		is.Equal(h.Summaries()["long"].Count, int64(2))
	}
}

// Guards against histograms that exhaust the 64 MB that a daemon may use, with a configuration of 120 workspaces and 3 classes
// and with 4 metrics.
func TestMemoryFor120Workspaces(t *testing.T) {
	r := New()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	wait, complete := NewCoarseHistogramSet(), NewCoarseHistogramSet()
	for i := range 120 * 3 {
		for _, h := range []*HistogramSet{wait, complete, r.RequestWaitTime, r.RequestServiceTime} {
			h.Record(fmt.Sprint(i), time.Second)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	heapGrowth := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	runtime.KeepAlive(r)
	runtime.KeepAlive(wait)
	runtime.KeepAlive(complete)
	t.Logf("the histograms take %d bytes", heapGrowth)
	is.New(t).True(heapGrowth < 8<<20)
}

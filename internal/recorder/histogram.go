package recorder

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMillis bounds recorded times; a week covers the longest jobs.
	maxMillis = int64(7 * 24 * time.Hour / time.Millisecond)
	// coarseDigits gives a relative error of 6% and keeps a histogram at 3.5 KB: 120 teams and 3 classes have 360
	// histograms of each metric, which would take 9 MB with one more digit.
	coarseDigits = 1
	// fineDigits gives a relative error of 1% and takes 25 KB; it is for times with a target.
	fineDigits = 2
	// maxSeries bounds the label pairs of one metric, so that a flood of names cannot exhaust memory.
	maxSeries = 1024
)

// Summary holds the quantiles of a histogram, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean-ms"`
	P50   int64   `json:"p50-ms"`
	P99   int64   `json:"p99-ms"`
	P999  int64   `json:"p99.9-ms"`
	Max   int64   `json:"max-ms"`
}

// HistogramSet holds one histogram of times for each pair of labels; its zero value is empty.
type HistogramSet struct {
	coarse bool

	mu     sync.Mutex
	series map[string]*hdrhistogram.Histogram
}

// NewCoarseHistogramSet returns histograms with a relative error of 6% that take little memory, for metrics with many labels.
func NewCoarseHistogramSet() *HistogramSet {
	return &HistogramSet{coarse: true}
}

// Record adds a time to the histogram of the labels, usually a workspace and a class.
func (h *HistogramSet) Record(labels string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.series[labels]
	if !ok {
		if len(h.series) >= maxSeries {
			return
		}
		if h.series == nil {
			h.series = map[string]*hdrhistogram.Histogram{}
		}
		digits := fineDigits
		if h.coarse {
			digits = coarseDigits
		}
		s = hdrhistogram.New(1, maxMillis, digits)
		h.series[labels] = s
	}
	ms := min(max(d.Milliseconds(), 0), maxMillis)
	_ = s.RecordValue(ms) // cannot fail: ms is within the range
}

// Summaries returns the quantiles of each histogram.
func (h *HistogramSet) Summaries() map[string]Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]Summary, len(h.series))
	for labels, s := range h.series {
		out[labels] = Summary{
			Count: s.TotalCount(),
			Mean:  s.Mean(),
			P50:   s.ValueAtQuantile(50),
			P99:   s.ValueAtQuantile(99),
			P999:  s.ValueAtQuantile(99.9),
			Max:   s.Max(),
		}
	}
	return out
}

// String returns the summaries as JSON; it makes Histograms an expvar.Var.
func (h *HistogramSet) String() string {
	b, err := json.Marshal(h.Summaries())
	if err != nil {
		return "{}"
	}
	return string(b)
}

package recorder

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedMillis is the longest duration that a histogram can record, 7 days in milliseconds, which covers the longest
	// jobs. Longer durations are recorded as this value.
	maxRecordedMillis = int64(7 * 24 * time.Hour / time.Millisecond)
	// coarseDigits is the number of significant digits of coarse histograms. It gives a relative error of 6% and a size of
	// 3.5 KB. With one more digit, the 360 histograms that each metric has for 120 workspaces and 3 classes would take 9 MB.
	coarseDigits = 1
	// fineDigits is the number of significant digits of fine histograms. It gives a relative error of 1%, as needed for
	// durations that are compared with a target, and a size of 25 KB.
	fineDigits = 2
	// maxSeries is the maximum number of histograms in a set, so that a flood of distinct keys cannot exhaust the memory.
	maxSeries = 1024
)

// Summary holds the number of durations recorded in a histogram, and their mean, quantiles and maximum in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean-ms"`
	P50   int64   `json:"p50-ms"`
	P99   int64   `json:"p99-ms"`
	P999  int64   `json:"p99.9-ms"`
	Max   int64   `json:"max-ms"`
}

// HistogramSet holds one histogram of durations per key, usually a SeriesKey or a queue. Its zero value is an empty set of fine
// histograms, which are precise.
type HistogramSet struct {
	coarse bool // histograms have coarseDigits instead of fineDigits

	mu     sync.Mutex
	series map[string]*hdrhistogram.Histogram // by key
}

// NewCoarseHistogramSet returns an empty set of coarse histograms, which take little memory at a relative error of 6%. They are
// meant for metrics with many keys.
func NewCoarseHistogramSet() *HistogramSet {
	return &HistogramSet{coarse: true}
}

// Record adds a duration to the histogram of a key. It ignores new keys once the set holds maxSeries histograms.
func (h *HistogramSet) Record(key string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.series[key]
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
		s = hdrhistogram.New(1, maxRecordedMillis, digits)
		h.series[key] = s
	}
	ms := min(max(d.Milliseconds(), 0), maxRecordedMillis)
	_ = s.RecordValue(ms) // can't fail, because ms is within the range of the histogram
}

// Summaries returns the summary of each histogram, by key.
func (h *HistogramSet) Summaries() map[string]Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]Summary, len(h.series))
	for key, s := range h.series {
		out[key] = Summary{
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

// String returns the summaries as JSON. It implements expvar.Var.
func (h *HistogramSet) String() string {
	b, err := json.Marshal(h.Summaries())
	if err != nil {
		return "{}"
	}
	return string(b)
}

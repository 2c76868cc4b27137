package estimator

import (
	"math"
	"sort"
)

const (
	// bucketsPerOctave is the number of buckets by which a value doubles, which gives a relative error of 6%.
	bucketsPerOctave = 6
	// buckets covers 30 octaves: run times from 1 ms to 12 days, or ratios from 1/32,768 to 32,768.
	buckets = 30 * bucketsPerOctave
	// unitRatioBucket is the bucket whose centre is the ratio 1.
	unitRatioBucket = buckets / 2
	// rememberedRuns is the weight of all runs that have reached a bucket. A new one takes the place of an equal share of each former one, so
	// that a change of the mix outweighs what was known before after about as many runs.
	rememberedRuns = 128
	// overdueFactor is the expected run time of a run that has run longer than all before, as a multiple of the time that it has run.
	overdueFactor = 1.5
)

// powers holds 2 to the power of n/bucketsPerOctave.
var powers = func() (out [buckets + 1]float32) {
	for i := range out {
		out[i] = float32(math.Exp2(float64(i) / bucketsPerOctave))
	}
	return out
}()

// sketch is a distribution of positive values in buckets of equal width on a logarithmic scale. For each bucket it counts the runs that
// have reached it, and those of them that have ended in it. A run that was stopped or still runs thus counts as longer than the buckets
// that it has passed. The runs of each bucket together weigh at most rememberedRuns.
type sketch struct {
	reached, ended [buckets]float32

	bias float64 // moving average of how much longer than the median the runs take, in octaves, without the speed of their workers

	// Derived from the counts by update.
	survival [buckets + 1]float32 // probability of reaching each bucket
	expected [buckets + 1]float32 // mean of the values that reach the bucket, as a multiple of the value of bucket 0
	spread   float32              // mean distance from the median, in octaves
}

// bucketOf returns the bucket of a value relative to that of bucket 0.
func bucketOf(v float64) int {
	if v <= 1 {
		return 0
	}
	return min(int(math.Log2(v)*bucketsPerOctave+0.5), buckets-1)
}

// pass counts a run that has reached the buckets from first to last.
func (s *sketch) pass(first, last int) {
	for b := first; b <= last; b++ {
		if s.reached[b] >= rememberedRuns {
			s.reached[b] -= s.reached[b] / rememberedRuns
			s.ended[b] -= s.ended[b] / rememberedRuns
		}
		s.reached[b]++
	}
}

// end counts the end of a run in a bucket that it has reached.
func (s *sketch) end(b int) { s.ended[b] = min(s.ended[b]+1, s.reached[b]) }

// update derives the distribution from the counts.
func (s *sketch) update() {
	last := 0 // the last bucket that a run has reached
	s.survival[0] = 1
	for b := range buckets {
		s.survival[b+1] = s.survival[b] * (1 - s.hazard(b))
		if s.reached[b] > 0 {
			last = b
		}
	}
	for b := buckets; b >= 0; b-- {
		if b > last {
			s.expected[b] = overdueFactor * powers[b]
			continue
		}
		h := s.hazard(b)
		s.expected[b] = h*powers[b] + (1-h)*s.expected[b+1]
	}
	median := s.quantileBucket(0.5, 0)
	s.spread = 0
	for b := range last + 1 {
		s.spread += (s.survival[b] - s.survival[b+1]) * float32(abs(b-median)) / bucketsPerOctave
	}
	s.spread += s.survival[last+1] * float32(abs(last+1-median)) / bucketsPerOctave
}

// hazard returns the share of the runs that end in a bucket among those that reach it.
func (s *sketch) hazard(b int) float32 {
	if s.reached[b] == 0 {
		return 0
	}
	return s.ended[b] / s.reached[b]
}

// quantileBucket returns the bucket below whose end the share q of the values lies that reach the bucket from.
func (s *sketch) quantileBucket(q float64, from int) int {
	limit := s.survival[from] * float32(1-q)
	return from + sort.Search(buckets-1-from, func(i int) bool { return s.survival[from+i+1] <= limit })
}

func abs(n int) int { return max(n, -n) }

package pacer

import "time"

const (
	// minTimeout covers two round trips between regions and a retransmitted packet.
	minTimeout = 800 * time.Millisecond
	// maxTimeout bounds the time until a silent connection is replaced. It is well below the duration of a worker lease.
	maxTimeout = 2500 * time.Millisecond
	// slowResponse is the response time from which a call counts as slow. It is above a round trip between regions with a
	// retransmitted packet.
	slowResponse = 400 * time.Millisecond
	// timeWeight and deviationWeight are the weights of a new response time in the smoothed response time and its deviation, and
	// deviationFactor is the number of deviations by which the timeout exceeds the smoothed response time, as in RFC 6298.
	timeWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
	// lossWeight is the weight of a call in the smoothed share of calls without a response.
	lossWeight = 1.0 / 16
	// maxIsolatedLoss is the share of calls without a response up to which these are put down to the workers, and not to the
	// link or the processor of this host.
	maxIsolatedLoss = 0.5
)

// timeoutEstimator derives a timeout from the response times of calls to all workers, which share the link of this host.
type timeoutEstimator struct {
	mean      time.Duration // smoothed response time
	deviation time.Duration // smoothed deviation from mean
	loss      float64       // smoothed share of calls without a response
}

// observe records a call and reports whether it was slow or had no response.
func (e *timeoutEstimator) observe(took time.Duration, responded bool) bool {
	lost := 0.0
	if !responded {
		lost = 1
	}
	e.loss += lossWeight * (lost - e.loss)
	if responded || e.loss > maxIsolatedLoss {
		e.add(took)
	}
	return !responded || took > slowResponse
}

// add includes a response time in the smoothed values.
func (e *timeoutEstimator) add(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = took, took/2
		return
	}
	difference := took - e.mean
	e.mean += time.Duration(timeWeight * float64(difference))
	e.deviation += time.Duration(deviationWeight * float64(difference.Abs()-e.deviation))
}

// value returns the timeout of the next call.
func (e *timeoutEstimator) value() time.Duration {
	return min(max(e.mean+deviationFactor*e.deviation, minTimeout), maxTimeout)
}

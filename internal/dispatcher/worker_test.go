package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a second start of a task whose run is still active. The clock of an idle worker was read long ago, and a lease that
// is requested until a time on a slow clock then lasts longer than intended.
func TestLeaseEndWithStaleSlowClock(t *testing.T) {
	const leaseDuration = 3 * time.Second
	for _, idle := range []time.Duration{0, 10 * time.Second, time.Minute, time.Hour} {
		is := is.New(t)
		read := time.Now()
		now := read.Add(idle)
		w := &worker{clock: 5000, clockAt: read, session: &session{}}
		until := w.leaseUntil(now, leaseDuration)
		w.recordStartLease(now, leaseDuration)
		ends := read.Add(time.Duration(float64(until-w.clock) * float64(time.Millisecond) * 1.02))
		is.True(!w.leaseExpired(ends)) // the run may continue until then
	}
}

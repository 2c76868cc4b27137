package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_800_000_000, 0)

// Guards against retries that multiply the load of a failing service, and against a service with few requests that gets no
// retries.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var b RetryBudget
	take := func(n int, now time.Time) (got int) {
		for range n {
			if ok := b.Available(now); ok != b.Take(now) {
				t.Fatal("Available and Take disagree")
			} else if ok {
				got++
			}
		}
		return got
	}
	is.Equal(take(10, epoch), minRetryBurst)
	for range 205 {
		b.RecordRequest()
	}
	is.Equal(take(100, epoch), 20)                           // 10% of 205 requests
	is.Equal(take(100, epoch.Add(time.Second)), 1)           // the minimum rate per second
	is.Equal(take(100, epoch.Add(time.Hour)), minRetryBurst) // idle time earns at most one burst
	for range 10_000 {
		b.RecordRequest()
	}
	is.Equal(take(1000, epoch.Add(time.Hour)), maxEarned)
}

// Guards against large transfers that are not fully charged, and against a budget that stays blocked although its balance is
// positive again.
func TestByteBudgetDebt(t *testing.T) {
	is := is.New(t)
	b := NewByteBudget(1000)
	is.True(b.Ready(epoch))
	b.Charge(epoch, 2200) // exceeds the burst of 200 bytes by 2000
	is.True(!b.Ready(epoch))
	is.True(!b.Ready(epoch.Add(1900 * time.Millisecond)))
	at := b.ReadyAt(epoch)
	is.True(b.Ready(at))
	is.True(at.Before(epoch.Add(2100 * time.Millisecond)))
	b.SetRate(epoch, 500) // the debt stays and takes twice as long to pay off
	is.True(!b.Ready(epoch.Add(3900 * time.Millisecond)))
	is.True(b.Ready(epoch.Add(4100 * time.Millisecond)))
}

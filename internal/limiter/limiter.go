package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Bounds of the retry budget.
const (
	retryRatio = 0.10 // retries per request, see design 3.10
	// maxEarned bounds the retries that can be saved up, to those earned by 1,000 requests.
	maxEarned = 100
	// minRetryRate and minRetryBurst allow some retries to a service with too few requests to earn any, so that it can
	// survive the loss of one runner: its 8 slots are shared by all entry hosts, so each loses only a few requests.
	minRetryRate  = rate.Limit(1) // per second
	minRetryBurst = 3
)

// RetryBudget allows retries for up to 10% of the requests, plus a small minimum. The zero value is ready for use.
type RetryBudget struct {
	earned  float64
	minimum *rate.Limiter
}

// RecordRequest adds the retries that one request earns.
func (b *RetryBudget) RecordRequest() { b.earned = min(b.earned+retryRatio, maxEarned) }

// Available reports whether a retry is allowed now, without taking it.
func (b *RetryBudget) Available(now time.Time) bool {
	return b.earned >= 1 || b.minimum == nil || b.minimum.TokensAt(now) >= 1
}

// Take takes one retry from the budget and reports whether it was allowed.
func (b *RetryBudget) Take(now time.Time) bool {
	if b.earned >= 1 {
		b.earned--
		return true
	}
	if b.minimum == nil {
		b.minimum = rate.NewLimiter(minRetryRate, minRetryBurst)
	}
	return b.minimum.AllowN(now, 1)
}

// linkBurstTime is the amount of idle link time that can be used in one burst. It is short, because the link is shared with
// the log and the peers, whose messages would be delayed by a longer burst.
const linkBurstTime = 200 * time.Millisecond

// ByteBudget limits the bytes sent over a shared link. A transfer is charged when its size is known, so the balance may
// become negative; no new transfer may start until it is positive again.
type ByteBudget struct {
	limiter *rate.Limiter
}

// NewByteBudget returns a budget of bytesPerSecond with a full burst available.
func NewByteBudget(bytesPerSecond model.Bytes) *ByteBudget {
	return &ByteBudget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes(bytesPerSecond))}
}

// SetRate changes the rate, for example when the number of hosts that share the link changes.
func (b *ByteBudget) SetRate(now time.Time, bytesPerSecond model.Bytes) {
	b.limiter.SetLimitAt(now, rate.Limit(bytesPerSecond))
	b.limiter.SetBurstAt(now, burstBytes(bytesPerSecond))
}

// Ready reports whether a transfer may start now.
func (b *ByteBudget) Ready(now time.Time) bool { return b.limiter.TokensAt(now) > 0 }

// ReadyAt returns the time when the next transfer may start at the current rate.
func (b *ByteBudget) ReadyAt(now time.Time) time.Time {
	missing := -b.limiter.TokensAt(now)
	if missing < 0 || b.limiter.Limit() <= 0 {
		return now
	}
	return now.Add(time.Duration((missing+1)/float64(b.limiter.Limit())*float64(time.Second)) + time.Millisecond)
}

// Charge takes n bytes from the budget.
func (b *ByteBudget) Charge(now time.Time, n model.Bytes) {
	// ReserveN grants at most one burst, so larger transfers are charged in parts.
	for part := model.Bytes(max(b.limiter.Burst(), 1)); n > 0; n -= part {
		b.limiter.ReserveN(now, int(min(n, part)))
	}
}

func burstBytes(bytesPerSecond model.Bytes) int {
	return max(int(float64(bytesPerSecond)*linkBurstTime.Seconds()), 1)
}

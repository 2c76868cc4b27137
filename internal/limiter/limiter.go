package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Bounds of the retry budget.
const (
	// retryRatio is the number of retries that one request earns. It bounds the extra load that retries cause during an
	// outage to 10%.
	retryRatio = 0.10
	// maxEarned bounds the retries that can be saved up to those earned by 1,000 requests.
	maxEarned = 100
	// minRetryRate and minRetryBurst allow some retries to a service with too few requests to earn any, so that all requests
	// that were running on a lost runner can be retried. All entry hosts share the 8 slots of a runner, so each of them
	// loses only a few requests.
	minRetryRate  = rate.Limit(1) // per second
	minRetryBurst = 3
)

// RetryBudget allows retries for up to 10% of the requests, plus a small minimum rate. The zero value is ready for use.
type RetryBudget struct {
	earned  float64       // number of retries that requests have earned and that have not been taken
	minimum *rate.Limiter // allows the minimum rate of retries; nil until it is first needed
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

// linkBurstTime is the size of a burst after an idle time, expressed as time at the full rate. It is short, because a longer
// burst would delay the messages to the log and the peers, which share the link.
const linkBurstTime = 200 * time.Millisecond

// ByteBudget limits the rate of bytes sent over a shared link. A transfer is charged when its size is known, so the balance
// may become negative. No new transfer may start until it is positive again.
type ByteBudget struct {
	limiter *rate.Limiter
}

// NewByteBudget returns a budget with the given rate of which a full burst is available.
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

// ReadyAt returns the time when the next transfer may start if nothing else is charged and the rate does not change.
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

package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Constants of the retry budget.
const (
	retryShare = 0.10 // of requests, design 3.10
	// retryCap bounds what quiet times save up: the retries of 1,000 requests.
	retryCap = 100
	// minRetryRate and minRetryBurst let a service with too few requests to earn retries survive the
	// loss of one runner: 8 slots are in progress there over all entry hosts, at most a few from each.
	minRetryRate  = rate.Limit(1) // a second
	minRetryBurst = 3
)

// RetryBudget allows retries up to 10% of requests, plus a small minimum; the zero value is ready.
type RetryBudget struct {
	earned float64
	min    *rate.Limiter
}

// Request earns the share of one request.
func (b *RetryBudget) Request() { b.earned = min(b.earned+retryShare, retryCap) }

// Available reports whether a retry is allowed now.
func (b *RetryBudget) Available(now time.Time) bool {
	return b.earned >= 1 || b.min == nil || b.min.TokensAt(now) >= 1
}

// Take spends one retry and reports whether it was allowed.
func (b *RetryBudget) Take(now time.Time) bool {
	if b.earned >= 1 {
		b.earned--
		return true
	}
	if b.min == nil {
		b.min = rate.NewLimiter(minRetryRate, minRetryBurst)
	}
	return b.min.AllowN(now, 1)
}

// linkBurst is how long the link may be used at once after it was idle. It is short, because the link
// is shared with the log and the peers, whose messages would wait behind a longer burst.
const linkBurst = 200 * time.Millisecond

// ByteBudget is a share of a link, paid by volume. A transfer is charged with its size once that is
// known, so that the balance may become negative; nothing new is sent until it is positive again.
type ByteBudget struct {
	limiter *rate.Limiter
}

// NewByteBudget returns a full budget of bytes a second.
func NewByteBudget(perSecond model.Bytes) *ByteBudget {
	return &ByteBudget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
}

// SetRate changes the bytes a second, as when the number of hosts that share the link changes.
func (b *ByteBudget) SetRate(now time.Time, perSecond model.Bytes) {
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burst(perSecond))
}

// Ready reports whether a transfer may start.
func (b *ByteBudget) Ready(now time.Time) bool { return b.limiter.TokensAt(now) > 0 }

// ReadyAt returns when the next transfer may start, at the present rate.
func (b *ByteBudget) ReadyAt(now time.Time) time.Time {
	missing := -b.limiter.TokensAt(now)
	if missing < 0 || b.limiter.Limit() <= 0 {
		return now
	}
	return now.Add(time.Duration((missing+1)/float64(b.limiter.Limit())*float64(time.Second)) + time.Millisecond)
}

// Charge pays for n bytes.
func (b *ByteBudget) Charge(now time.Time, n model.Bytes) {
	// The limiter grants no more than its burst at once, so larger transfers are paid in parts.
	for part := model.Bytes(max(b.limiter.Burst(), 1)); n > 0; n -= part {
		b.limiter.ReserveN(now, int(min(n, part)))
	}
}

func burst(perSecond model.Bytes) int {
	return max(int(float64(perSecond)*linkBurst.Seconds()), 1)
}

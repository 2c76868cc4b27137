package router

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/limiter"
	"chestnutmux.example/chestnutmux/internal/runnerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// tier is the distance to a runner; nearer tiers are preferred.
type tier int

const (
	tierDomain tier = iota // same failure domain
	tierRegion             // same region, other failure domain
	tierOther              // other region
	tierCount
)

const (
	// backoffBase is the first backoff delay. It is short, because runners also refuse requests while entry hosts disagree
	// on their slot shares, until the membership converges within about 1 s.
	backoffBase = 100 * time.Millisecond
	// backoffMax bounds how long a recovered runner stays unused.
	backoffMax = 30 * time.Second
	// refusalBackoffMax bounds the backoff after refusals; a full runner has free slots again within about one request.
	refusalBackoffMax = time.Second
	// slownessWeight is the weight of the newest sample in the moving averages; about the last ten responses count.
	slownessWeight = 0.2
	// slownessHalfLife decays the slowness of a runner that gets few requests, so that it is tried again.
	slownessHalfLife = 10 * time.Second
	// overdueFactor is the multiple of the usual service time beyond which a missed deadline counts as a runner failure.
	overdueFactor = 3
)

// runner is an entry of the runner table.
type runner struct {
	host          hostclient.Host
	sender        Sender
	tier          tier
	slots         int // slots of the runner for all hosts
	ownSlots      int // this host's share of the slots
	spareSlots    int // requests of this host that the runner had room for at its latest status
	inFlight      int
	otherHostsUse int // slots used by other hosts at its latest status
	leaving       bool
	leavingSince  time.Time // when this host learned that the runner is leaving
	removed       bool      // no longer in the runner table
	// slowness is the moving average of the ratio of the service time to the usual one of the class.
	slowness            float64
	slownessAt          time.Time
	consecutiveFailures int
	failedAt            time.Time
	retryAt             time.Time
	retryBudget         limiter.RetryBudget
}

// shareOf returns this host's share of n slots. The shares of all ranks add up to n; the remainder rotates by runner.
func shareOf(id model.HostID, n, rank, hostCount int) int {
	if hostCount <= 0 || rank < 0 || rank >= hostCount || n <= 0 {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	rotatedRank := (rank + int(h.Sum32()%uint32(hostCount))) % hostCount
	share := n / hostCount
	if rotatedRank < n%hostCount {
		share++
	}
	return share
}

// freeSlots returns the number of additional requests that this host may send to the runner now.
func (r *runner) freeSlots(now time.Time) int {
	switch {
	case r.leaving || r.removed || now.Before(r.retryAt):
		return 0
	case r.consecutiveFailures > 0:
		return max(min(r.ownSlots, 1)-r.inFlight, 0) // a failing runner gets one trial request at a time
	case r.tier != tierDomain:
		// Only the hosts of the runner's own domain have shares of its slots. Other hosts use only slots that the runner
		// reported as spare, or send one probe to learn of them.
		return max(min(r.ownSlots, max(r.spareSlots, 1))-r.inFlight, 0)
	}
	return max(r.ownSlots-r.inFlight, 0)
}

// loadScore ranks candidates, lowest first: the fraction of slots in use, multiplied by the slowness of the runner.
func (r *runner) loadScore(now time.Time) float64 {
	factor := 1.0
	if r.slowness > 1 {
		age := now.Sub(r.slownessAt)
		halfLives := float64(age) / float64(slownessHalfLife)
		factor = 1 + (r.slowness-1)/(1+halfLives*halfLives)
	}
	own := float64(r.inFlight+1) / float64(max(r.ownSlots, 1))
	others := float64(r.otherHostsUse) / float64(max(r.slots, 1))
	return (own + others) * factor
}

// markLeaving records that the runner accepts no new requests.
func (r *runner) markLeaving(now time.Time) {
	if !r.leaving {
		r.leaving, r.leavingSince = true, now
	}
}

// updateStatus applies the status that the runner sent with a response or refusal.
func (r *runner) updateStatus(st runnerclient.Status, now time.Time) {
	if st.Leaving {
		r.markLeaving(now)
	}
	if st.FreeSlots >= 0 {
		// The request of this response is no longer counted, neither in inFlight nor by the runner.
		r.otherHostsUse = max(r.slots-st.FreeSlots-r.inFlight, 0)
		r.spareSlots = r.inFlight + st.FreeSlots - 1 // leaves one slot to the hosts of the runner's domain
	}
}

// recordSuccess resets the backoff, unless the attempt was started before the latest failure.
func (r *runner) recordSuccess(st runnerclient.Status, startedAt, now time.Time) {
	r.updateStatus(st, now)
	if !startedAt.Before(r.failedAt) {
		r.consecutiveFailures, r.retryAt = 0, time.Time{}
	}
}

// recordFailure starts or extends the backoff. Attempts that were in progress at the latest failure don't extend it.
func (r *runner) recordFailure(st runnerclient.Status, refused bool, startedAt, now time.Time, rng *rand.Rand) {
	r.updateStatus(st, now)
	if r.consecutiveFailures > 0 && startedAt.Before(r.failedAt) {
		return
	}
	r.consecutiveFailures++
	maxDelay := backoffMax
	if refused {
		maxDelay = refusalBackoffMax
	}
	delay := min(backoffBase<<min(r.consecutiveFailures-1, 10), maxDelay)
	// Jitter keeps the entry hosts from sending their trial requests at the same time.
	r.failedAt, r.retryAt = now, now.Add(delay/2+time.Duration(rng.Int64N(int64(delay/2)+1)))
}

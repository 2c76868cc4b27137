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

// tier is the distance between this host and a runner; lower tiers are nearer and preferred.
type tier int

const (
	tierDomain tier = iota // same failure domain
	tierRegion             // same region, other failure domain
	tierOther              // other region
	tierCount
)

const (
	// backoffBase is the upper bound of the first backoff delay. It is short, because runners also refuse requests while the
	// entry hosts disagree on their slot shares, which they do for about 1 s after a change of membership.
	backoffBase = 100 * time.Millisecond
	// backoffMax bounds how long a recovered runner stays unused.
	backoffMax = 30 * time.Second
	// refusalBackoffMax bounds the backoff after refusals, because a full runner has free slots again after about the time
	// of one request.
	refusalBackoffMax = time.Second
	// slownessWeight is the weight of the newest sample in the moving averages of the slowness and of the usual service time;
	// about the last ten responses count.
	slownessWeight = 0.2
	// slownessHalfLife is the age at which the slowness of a runner counts half. Slowness decays so that a runner that got few
	// requests because of it is tried again.
	slownessHalfLife = 10 * time.Second
	// overdueFactor is the multiple of the usual service time beyond which a missed deadline counts as a runner failure.
	overdueFactor = 3
)

// runner is a runner of a service with its load and its health as seen by this host.
type runner struct {
	host         hostclient.Host
	sender       Sender
	tier         tier
	slots        int // number of slots of the runner for all hosts
	ownSlots     int // this host's share of the slots
	spareSlots   int // number of requests that this host may have in flight, by the runner's latest status
	inFlight     int // number of requests of this host in progress at the runner
	usedByOthers int // number of slots used by other hosts, by the runner's latest status
	isLeaving    bool
	leavingSince time.Time // when this host learned that the runner is leaving
	isRemoved    bool      // no longer in the runner table
	// slowness is the moving average of the ratio of the service time to the usual one of the class; 1 is normal.
	slowness            float64
	slownessAt          time.Time // time of the latest update of slowness, zero before the first
	consecutiveFailures int
	failedAt            time.Time // time of the latest failure
	retryAt             time.Time // end of the backoff, zero if there is none
	retryBudget         limiter.RetryBudget
}

// shareOf returns the share of a host in n slots or connections of a runner. The shares of all hosts add up to n. Which hosts
// get the remainder of the division depends on the runner, so that it is spread over the hosts.
func shareOf(id model.HostID, n, hostIndex, hostCount int) int {
	if hostCount <= 0 || hostIndex < 0 || hostIndex >= hostCount || n <= 0 {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	rotatedIndex := (hostIndex + int(h.Sum32()%uint32(hostCount))) % hostCount
	share := n / hostCount
	if rotatedIndex < n%hostCount {
		share++
	}
	return share
}

// freeSlots returns the number of additional requests that this host may send to the runner now.
func (r *runner) freeSlots(now time.Time) int {
	switch {
	case r.isLeaving || r.isRemoved || now.Before(r.retryAt):
		return 0
	case r.consecutiveFailures > 0:
		return max(min(r.ownSlots, 1)-r.inFlight, 0) // a failing runner gets one trial request at a time
	case r.tier != tierDomain:
		// Only the hosts of the runner's own domain have shares of its slots. Other hosts use only slots that the runner
		// reported as free, or send a single request to learn how many there are.
		return max(min(r.ownSlots, max(r.spareSlots, 1))-r.inFlight, 0)
	}
	return max(r.ownSlots-r.inFlight, 0)
}

// loadScore returns the load by which candidates are compared: the fraction of slots in use, multiplied by the slowness of
// the runner if it is slower than usual.
func (r *runner) loadScore(now time.Time) float64 {
	factor := 1.0
	if r.slowness > 1 {
		age := now.Sub(r.slownessAt)
		halfLives := float64(age) / float64(slownessHalfLife)
		factor = 1 + (r.slowness-1)/(1+halfLives*halfLives)
	}
	own := float64(r.inFlight+1) / float64(max(r.ownSlots, 1))
	others := float64(r.usedByOthers) / float64(max(r.slots, 1))
	return (own + others) * factor
}

// markLeaving records that the runner accepts no new requests.
func (r *runner) markLeaving(now time.Time) {
	if !r.isLeaving {
		r.isLeaving, r.leavingSince = true, now
	}
}

// updateStatus applies the status that the runner sent with a response or refusal.
func (r *runner) updateStatus(st runnerclient.Status, now time.Time) {
	if st.Leaving {
		r.markLeaving(now)
	}
	if st.FreeSlots >= 0 {
		// Neither inFlight nor the runner's status counts the request to which the runner responded.
		r.usedByOthers = max(r.slots-st.FreeSlots-r.inFlight, 0)
		r.spareSlots = r.inFlight + st.FreeSlots - 1 // leaves one slot for the hosts of the runner's domain
	}
}

// recordSuccess ends the backoff, unless the attempt was started before the latest failure.
func (r *runner) recordSuccess(st runnerclient.Status, startedAt, now time.Time) {
	r.updateStatus(st, now)
	if !startedAt.Before(r.failedAt) {
		r.consecutiveFailures, r.retryAt = 0, time.Time{}
	}
}

// recordFailure starts or extends the backoff with exponentially growing delays. Attempts that were in progress at the latest
// failure don't extend it.
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

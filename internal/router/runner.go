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

// tier is the distance of a runner; nearer ones are used first.
type tier int

const (
	tierDomain tier = iota
	tierRegion
	tierOther
	tierCount
)

const (
	// backoffBase keeps a refusal caused by disagreeing slot shares cheap: membership settles within about 1 s.
	backoffBase = 100 * time.Millisecond
	// backoffMax bounds how long a recovered runner stays unused.
	backoffMax = 30 * time.Second
	// refusalMax bounds the back-off after refusals: a full runner has free slots again within about a request.
	refusalMax = time.Second
	// slownessWeight is the weight of the newest latency, so that about ten answers decide.
	slownessWeight = 0.2
	// slownessHalfLife lets a runner that was slow be tried again once it has got few requests for a while.
	slownessHalfLife = 10 * time.Second
	// overdueFactor is the multiple of the usual service time after which a deadline is the runner's fault.
	overdueFactor = 3
)

// runner is one row of the runner table.
type runner struct {
	host      hostclient.Host
	sender    Sender
	tier      tier
	slots     int // of the runner
	share     int // slots of this host
	spare     int // requests of this host that the runner had room for at the last answer
	inFlight  int
	othersUse int // slots that other hosts used at the last answer
	leaving   bool
	leavingAt time.Time // when this host learned of it
	gone      bool      // no longer in the table
	slowness  float64
	slowAt    time.Time
	failures  int // in a row
	failedAt  time.Time
	retryAt   time.Time
	budget    limiter.RetryBudget
}

// shareOf divides n slots among hosts by rank, rotating by runner, so that over all ranks exactly n are given out.
func shareOf(id model.HostID, n, rank, hosts int) int {
	if hosts <= 0 || rank < 0 || rank >= hosts || n <= 0 {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	turn := (rank + int(h.Sum32()%uint32(hosts))) % hosts
	share := n / hosts
	if turn < n%hosts {
		share++
	}
	return share
}

// free returns how many more requests the runner may get from this host now.
func (r *runner) free(now time.Time) int {
	switch {
	case r.leaving || r.gone || now.Before(r.retryAt):
		return 0
	case r.failures > 0:
		return max(min(r.share, 1)-r.inFlight, 0) // a failing runner gets one trial at a time
	case r.tier != tierDomain:
		// The slots are divided among the hosts of the runner's own domain, so others only use what they saw to be
		// spare, and one request to find out.
		return max(min(r.share, max(r.spare, 1))-r.inFlight, 0)
	}
	return max(r.share-r.inFlight, 0)
}

// load orders candidates: the slots in use relative to the runner's slots, times its slowness.
func (r *runner) load(now time.Time) float64 {
	slow := 1.0
	if r.slowness > 1 {
		age := now.Sub(r.slowAt)
		halves := float64(age) / float64(slownessHalfLife)
		slow = 1 + (r.slowness-1)/(1+halves*halves)
	}
	own := float64(r.inFlight+1) / float64(max(r.share, 1))
	others := float64(r.othersUse) / float64(max(r.slots, 1))
	return (own + others) * slow
}

// leave notes that the runner takes no new work.
func (r *runner) leave(now time.Time) {
	if !r.leaving {
		r.leaving, r.leavingAt = true, now
	}
}

func (r *runner) note(st runnerclient.Status, now time.Time) {
	if st.Leaving {
		r.leave(now)
	}
	if st.FreeSlots >= 0 {
		// inFlight no longer counts the answered request, and neither does the runner.
		r.othersUse = max(r.slots-st.FreeSlots-r.inFlight, 0)
		r.spare = r.inFlight + st.FreeSlots - 1 // one slot stays free for the hosts of the runner's domain
	}
}

func (r *runner) succeeded(st runnerclient.Status, started, now time.Time) {
	r.note(st, now)
	if !started.Before(r.failedAt) {
		r.failures, r.retryAt = 0, time.Time{}
	}
}

// failed backs off; failures of attempts that were already in progress at the latest one count once.
func (r *runner) failed(st runnerclient.Status, refused bool, started, now time.Time, rng *rand.Rand) {
	r.note(st, now)
	if r.failures > 0 && started.Before(r.failedAt) {
		return
	}
	r.failures++
	limit := backoffMax
	if refused {
		limit = refusalMax
	}
	d := min(backoffBase<<min(r.failures-1, 10), limit)
	// Jitter keeps the entry hosts from sending their trials at the same time.
	r.failedAt, r.retryAt = now, now.Add(d/2+time.Duration(rng.Int64N(int64(d/2)+1)))
}

package admitter

import (
	"hash/fnv"
	"strconv"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxSpread bounds the interval over which returns are spread, so that a far too high estimate keeps no caller away for long.
const maxSpread = 30 * time.Second

// retryAfter returns when the caller of a refused job may return: not before the job would be accepted if no other work arrived, spread over the
// interval in which room appears.
//
// Callers are often refused together. If all returned as soon as there is room for one, most would be refused again until they give up,
// or accepted behind work that makes them late. The interval is long enough for as much refused work as is accepted, maxWait, to be done until
// the work ahead is down to the slack within which a job is in time. The place in the interval is a hash of the job and the wait, so that hosts
// need not agree and each return has another place.
func retryAfter(id model.JobID, wait, maxWait, slack time.Duration) time.Duration {
	earliest := min(max(wait-maxWait, minRetryAfter), maxRetryAfter)
	interval := min(max(2*max(maxWait, 0)-slack, minRetryAfter), maxSpread)
	return earliest + time.Duration(position(id, wait)*float64(interval))
}

// position returns a number from 0 to below 1 that differs by job and wait.
func position(id model.JobID, wait time.Duration) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(id) + " " + strconv.FormatInt(int64(wait), 10)))
	x := h.Sum64()
	x ^= x >> 33 // the high bits of the sum differ little between similar ids
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

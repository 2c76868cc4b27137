package spooler

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Action says what happens to a submission.
type Action string

// The actions of a Decision.
const (
	ActionAppend Action = "append" // the log can be reached
	ActionHold   Action = "hold"
	ActionRefuse Action = "refuse"
)

// Reason says why a submission was refused; nothing was sent to the log for it.
type Reason string

// The reasons of refusals.
const (
	ReasonDeadline   Reason = "deadline"    // the caller's time is used
	ReasonIsolated   Reason = "isolated"    // this host reaches neither the log nor most peers, other hosts may
	ReasonLongOutage Reason = "long-outage" // the outage has lasted so long that it will hardly end in the caller's time
	ReasonBudget     Reason = "budget"      // the budget of held submissions is used, by more urgent or older ones
)

const (
	// sendReserve is the time before the end of a call from which nothing is sent for it any more. A later append would hardly be
	// confirmed in time, and its caller would have to be told that the outcome is unknown.
	sendReserve = 50 * time.Millisecond
	// isolationDelay is the age of an outage from which the silence of peers counts. Until then a host that starts, or that changes
	// to the connection through a peer, has not called enough of them.
	isolationDelay = time.Second
	// unreadyDelay is the age of an outage from which an isolated host is not ready. The balancer needs two checks, a second apart,
	// to remove it, so a shorter outage would be over by then.
	unreadyDelay = 1500 * time.Millisecond
	// minEndChance is the chance that an outage ends in the caller's time below which a submission is not held.
	minEndChance = 0.1
	// minRetryAfter and maxRetryAfter bound the Retry-After hint. The unit of the header is a second, and results lose their use while
	// callers stay away.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// retriesPerCaller is how often callers repeat a call, and usualHold how long a repeated call is held.
	retriesPerCaller = 4
	usualHold        = 3 * time.Second
)

// LogView is what a host knows of its ways to the log.
type LogView struct {
	DownSince time.Time // when the log was found to be unreachable, directly and through peers; zero while it can be reached
	Peers     PeerView
}

// PeerView counts the peers that were called lately by whether they responded at all.
type PeerView struct {
	Responding, Silent int
}

// isolated reports whether most of the called peers are silent. A host that hears from most of its peers that they have lost the log
// too is part of an outage of the log; another host would be no better for its callers.
func (v PeerView) isolated() bool { return v.Silent > v.Responding }

// Limits bounds the time for which a submission may be held.
type Limits struct {
	SendUntil time.Time // time from which nothing is sent for the call any more, see NewLimits
}

// NewLimits returns the limits of a submission that arrives now, in a call that ends at a deadline.
//
// The caller's estimate of the run time does not shorten the time: estimates are wrong by up to ten times, and admission control decides
// at the append whether the result can be of use.
func NewLimits(now, deadline time.Time) Limits {
	return Limits{SendUntil: deadline.Add(-min(sendReserve, deadline.Sub(now)/4))}
}

// Decision is what happens to a submission.
type Decision struct {
	Action     Action
	Reason     Reason        // why the submission is refused
	RetryAfter time.Duration // hint to the caller of a refused submission
}

// Decide decides on a submission that arrives or that is held. It answers the load of an outage, in which every caller of every host
// meets it at the same time and has a few retries only: held submissions are accepted when the log is back and use no retry.
func Decide(v LogView, l Limits, held bool, now time.Time) Decision {
	if v.DownSince.IsZero() {
		if now.Before(l.SendUntil) {
			return Decision{Action: ActionAppend}
		}
		return Decision{Action: ActionRefuse, Reason: ReasonDeadline, RetryAfter: minRetryAfter}
	}
	age, remaining := now.Sub(v.DownSince), l.SendUntil.Sub(now)
	switch {
	case remaining <= 0:
		return Decision{Action: ActionRefuse, Reason: ReasonDeadline, RetryAfter: retryAfter(age)}
	case age >= isolationDelay && v.Peers.isolated():
		return Decision{Action: ActionRefuse, Reason: ReasonIsolated, RetryAfter: minRetryAfter}
	case !held && endChance(age, remaining) < minEndChance:
		return Decision{Action: ActionRefuse, Reason: ReasonLongOutage, RetryAfter: retryAfter(age)}
	}
	return Decision{Action: ActionHold}
}

// endChance estimates the chance that an outage of an age ends within a time. Nothing is known about an outage but its age, so its
// whole length is taken as Pareto-distributed: an outage lasts as long again with a chance of one half.
func endChance(age, within time.Duration) float64 {
	return float64(within) / float64(age+within)
}

// retryAfter returns the hint for an outage of an age. The retries of a caller, each of which is held, then cover an outage that lasts
// twice as long again. Within that, a short hint is better, since a caller that stays away misses the end of the outage.
func retryAfter(age time.Duration) time.Duration {
	return min(max(2*age/retriesPerCaller-usualHold, minRetryAfter), maxRetryAfter)
}

// Ready reports whether the balancer should send calls to a host. An isolated host is not ready, since other hosts accept its calls.
// While the log is unreachable for all, every host stays ready: they hold submissions and still know the states of jobs.
func Ready(v LogView, now time.Time) bool {
	return v.DownSince.IsZero() || now.Sub(v.DownSince) < unreadyDelay || !v.Peers.isolated()
}

const (
	// budgetFraction is the part of the memory of the host that submissions may take while they wait. The garbage collector may let
	// the memory of freed submissions grow to twice as much.
	budgetFraction = 1.0 / 16
	// entryOverhead is the memory of a submission in addition to twice its record: its decoded form, the goroutine and the buffers of
	// its connection.
	entryOverhead model.Bytes = 24 << 10
	// defaultMemory is the memory of a host that is not known.
	defaultMemory model.Megabytes = 256
)

// BudgetFor returns the budget of the waiting submissions for the memory of the host; 0 means unknown. The overhead of each
// submission counts, so the budget bounds their number too.
func BudgetFor(memory model.Megabytes) model.Bytes {
	if memory <= 0 {
		memory = defaultMemory
	}
	return model.Bytes(float64(memory<<20) * budgetFraction)
}

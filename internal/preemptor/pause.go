package preemptor

import "time"

// slackShare is the share of its slack for which a job waits before it preempts less urgent runs. Most of these runs end on their own in
// that time, while preempted ones start over and soon compete for the same resources again.
const slackShare = 0.6

// pauseLength is the time for which a preempted step preempts nothing. By then the headroom has followed the rise in demand that the
// step made room for. Before, its new runs would soon be preempted as well, and what was stopped for them would have been stopped in vain.
const pauseLength = 2 * time.Second

// maxPause limits the pauses of a step that is preempted again and again, so that it does not wait for good.
const maxPause = 3 * pauseLength

// Patience returns the part of the slack of a job for which it waits before it preempts less urgent runs.
func Patience(slack time.Duration) time.Duration { return time.Duration(slackShare * float64(slack)) }

// Pause is the time for which a preempted step preempts nothing. The zero value has ended.
type Pause struct {
	lastAt time.Time // time of the last preemption of the step
	since  time.Time // time of the first preemption of those that were each followed by another within pauseLength
}

// Begin begins the pause anew, after a preemption of the step.
func (p *Pause) Begin(now time.Time) {
	if now.Sub(p.lastAt) >= pauseLength {
		p.since = now
	}
	p.lastAt = now
}

// EndsAt returns the end of the pause, which lasts no longer than the given time after the last preemption.
func (p *Pause) EndsAt(longest time.Duration) time.Time {
	end, last := p.lastAt.Add(min(pauseLength, longest)), p.since.Add(maxPause)
	if last.Before(end) {
		return last
	}
	return end
}

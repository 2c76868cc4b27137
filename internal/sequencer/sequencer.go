package sequencer

import (
	"cmp"
	"time"
)

// Usefulness says what the result of a job is still worth to its caller if its waiting work starts at once.
type Usefulness string

// Usefulness of a job, from the most to the least useful.
const (
	InTime  Usefulness = "in-time" // the job can end within its target duration
	Late    Usefulness = "late"    // the job ends after its target duration, but its result is still of some use
	Expired Usefulness = "expired" // the job ends when its result is of no use any more
)

// place returns the place of the usefulness in the order.
func (u Usefulness) place() int {
	switch u {
	case Late:
		return 1
	case Expired:
		return 2
	default:
		return 0
	}
}

// Deadlines holds the times that decide how useful the result of a job is. The zero value stands for a job without a target, whose result
// is always useful.
type Deadlines struct {
	TargetAt  time.Time // end of the target duration; zero means that the job has no target
	ExpiresAt time.Time // time from which on the result is of no use
}

// Usefulness returns the usefulness of a job that still needs the given run time from now on. A job whose run time is not known has a
// run time of 0, so that only time that has passed counts against it.
func (p Deadlines) Usefulness(now time.Time, remaining time.Duration) Usefulness {
	end := now.Add(remaining)
	switch {
	case p.TargetAt.IsZero() || !end.After(p.TargetAt):
		return InTime
	case !end.After(p.ExpiresAt):
		return Late
	}
	return Expired
}

// Compare orders waiting work of the same rank: what can be in time first, then what is still of use, then the rest. The zero value, for
// work that only the order of arrival places, has the place of InTime.
//
// Under a load beyond the capacity of the workers, all work would start after its target in the order of arrival, since work that is already
// late delays work that could still be in time.
func Compare(a, b Usefulness) int { return cmp.Compare(a.place(), b.place()) }

package preemptor

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// startTime is the time from the decision until the tasks for which runs are stopped have begun.
	startTime = 500 * time.Millisecond
	// waitMargin is what remains of the slack when a step stops to wait for room that was to become free by itself, because runs may last
	// longer than expected.
	waitMargin = 300 * time.Millisecond
	// guaranteedWait is the longest time for which a job within a guarantee waits for room that becomes free by itself. A preemption makes
	// room no sooner: the stopped runs need most of that time to end.
	guaranteedWait = time.Second
	// minRetry and maxRetry limit the time until a step that does not preempt is considered again. A decision takes as long as some passes.
	minRetry = 150 * time.Millisecond
	maxRetry = time.Second
	// lateRetry is that time for a step that can no longer end in time.
	lateRetry = 10 * time.Second
)

// Reason says why a step preempts, or why it doesn't.
type Reason string

// The reasons of decisions.
const (
	ReasonGuarantee  Reason = "guarantee"             // the job is within the guarantee of its workspace
	ReasonPays       Reason = "pays"                  // the gain exceeds the cost
	ReasonNoTarget   Reason = "no-target"             // the job has no target by which a gain could be told
	ReasonTooLate    Reason = "too-late"              // the job can't end in time, even if the step preempts
	ReasonRoomSoon   Reason = "room-soon"             // enough room becomes free by itself in time
	ReasonNoRoom     Reason = "no-room-by-preemption" // stopping less urgent work that is not protected would not make enough room
	ReasonStepBudget Reason = "step-budget"           // too much work would be thrown away for the step
	ReasonBudget     Reason = "workspace-budget"      // too much work was thrown away for the workspace in the last seconds
	ReasonCost       Reason = "cost"                  // the cost exceeds the gain
)

// Step is a step that waits for workers.
type Step struct {
	Priority   model.Priority
	Guaranteed bool // its job is within the guarantee of its workspace
	Deadline   Deadline
	PathLeft   time.Duration // run time of the longest chain of steps that begins with this one
	Work       CoreSeconds   // work of the tasks that start by the preemption
	Spent      CoreSeconds   // work thrown away for the step in the window of the budget
	// RoomOverdue says that the room for which the step has waited did not become free in time.
	RoomOverdue bool
}

// Offer is what a step could stop.
type Offer struct {
	Victims []Victim
	RoomIn  time.Duration // time until enough room becomes free by itself; negative if that is not expected
	Left    CoreSeconds   // what the budget of the workspace leaves
}

// Decision says whether a step preempts, and why.
type Decision struct {
	Preempt bool
	Reason  Reason
	Gain    CoreSeconds   // value of the earlier start
	Cost    CoreSeconds   // value of what is lost
	Lost    CoreSeconds   // work thrown away
	Runs    int           // runs stopped
	RoomIn  time.Duration // see Offer
	RetryIn time.Duration // time before which another decision is not expected to differ
}

// Consider returns a decision against a preemption that does not depend on what would be stopped, or nil if there is none.
func (s *Step) Consider() *Decision {
	if !s.Guaranteed && !s.Deadline.allows(startTime+s.PathLeft) {
		return &Decision{Reason: ReasonTooLate, RetryIn: lateRetry}
	}
	return nil
}

// NoRoom returns the decision of a step for which a preemption does not make enough room.
func NoRoom() Decision { return Decision{Reason: ReasonNoRoom, RetryIn: minRetry} }

// Decide weighs what the preemption gains against what it costs.
//
// The budget of a workspace allows a preemption while it is not used up, so that a single one can always be allowed on a small fleet.
func (s *Step) Decide(offer *Offer) Decision {
	out := Decision{RetryIn: maxRetry, RoomIn: offer.RoomIn}
	out.addCosts(offer.Victims)
	out.Gain = s.gain(offer.RoomIn)
	slack := s.Deadline.targetIn - s.PathLeft
	switch {
	case s.Guaranteed && offer.RoomIn >= 0 && offer.RoomIn <= guaranteedWait && !s.RoomOverdue:
		out.Reason, out.RetryIn = ReasonRoomSoon, minRetry
	case s.Guaranteed:
		out.Preempt, out.Reason = true, ReasonGuarantee
	case !s.Deadline.isSet:
		out.Preempt, out.Reason = true, ReasonNoTarget
	case offer.RoomIn >= 0 && offer.RoomIn+waitMargin <= slack && !s.RoomOverdue:
		out.Reason, out.RetryIn = ReasonRoomSoon, min(max((slack-offer.RoomIn)/2, minRetry), maxRetry)
	case s.Spent+out.Lost > s.lossLimit():
		out.Reason = ReasonStepBudget
	case offer.Left <= 0:
		out.Reason = ReasonBudget
	case out.Gain <= out.Cost:
		out.Reason = ReasonCost
	default:
		out.Preempt, out.Reason = true, ReasonPays
	}
	return out
}

// lossLimit returns the work that may be thrown away for the step. Urgent steps are small, and a late result of theirs keeps only lateWorth
// of its worth, so they may cost more work than they do.
func (s *Step) lossLimit() CoreSeconds {
	if s.Priority == 0 {
		return s.Work / lateWorth
	}
	return s.Work
}

// gain returns what the step gains if it starts by a preemption and not once there is room.
func (s *Step) gain(roomIn time.Duration) CoreSeconds {
	worth := s.Deadline.worth(startTime + s.PathLeft)
	if roomIn >= 0 {
		end := roomIn + waitMargin + s.PathLeft
		if s.RoomOverdue {
			end = max(end, s.Deadline.targetIn+1)
		}
		worth = max(worth-s.Deadline.worth(end), 0)
	}
	return weight(s.Priority) * CoreSeconds(worth) * s.Work
}

// addCosts adds what the stop of the victims costs. The worth that a job loses counts once, however many of its tasks are stopped.
func (d *Decision) addCosts(victims []Victim) {
	drops := map[model.JobID]CoreSeconds{}
	for i := range victims {
		j := &victims[i].Job
		for _, r := range victims[i].Runs {
			d.Runs++
			d.Lost += r.LostWork()
			d.Cost += weight(j.Priority) * Work(r.Need, r.LostTime()+restartTime)
			drops[j.ID] = max(drops[j.ID], weight(j.Priority)*CoreSeconds(j.drop(&r))*j.Work)
		}
	}
	for _, drop := range drops {
		d.Cost += drop
	}
}

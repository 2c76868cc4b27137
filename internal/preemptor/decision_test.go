package preemptor

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// newDeadline returns a deadline after which a result is of no use from three times its target on.
func newDeadline(ago, target time.Duration) Deadline { return NewDeadline(ago, target, 3*target) }

// newStep returns an urgent step of 5 tasks with a slack of 2 s, whose runs last 2 s.
func newStep() *Step {
	need := model.Resources{Cores: 16_000, Accelerators: 2}
	return &Step{Deadline: newDeadline(0, 4*time.Second), PathLeft: 2 * time.Second, Work: 5 * Work(need, 2*time.Second)}
}

// newOffer returns an offer to stop a number of runs of different jobs, each of which has run for a time and has 10 s left.
func newOffer(runs int, elapsed time.Duration) *Offer {
	out := &Offer{RoomIn: 10 * time.Second, Left: 1e9}
	for i := range runs {
		r := Run{Need: model.Resources{Cores: 16_000, Accelerators: 2}, Elapsed: elapsed, Remaining: 10 * time.Second}
		j := Job{ID: model.JobID(rune('a' + i)), Priority: 2, Deadline: newDeadline(0, time.Minute), Work: Work(r.Need, time.Minute)}
		out.Victims = append(out.Victims, Victim{Job: j, Runs: []Run{r}})
	}
	return out
}

// Guards against a preemption that buys less than it costs, and against an urgent step that waits although its preemption pays.
func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Step, *Offer)
		want   Reason
	}{
		{"in time only by a preemption", func(*Step, *Offer) {}, ReasonPays},
		{"room soon", func(_ *Step, o *Offer) { o.RoomIn = time.Second }, ReasonRoomSoon},
		{"room after the slack", func(_ *Step, o *Offer) { o.RoomIn = 1900 * time.Millisecond }, ReasonPays},
		{"room is overdue", func(s *Step, o *Offer) { o.RoomIn, s.RoomOverdue = 3*time.Second, true }, ReasonPays},
		{"batch step gains little", func(s *Step, _ *Offer) { s.Priority, s.Work = 2, s.Work/10 }, ReasonStepBudget},
		{"victims can no longer be in time after a stop", func(_ *Step, o *Offer) {
			for i := range o.Victims {
				o.Victims[i].Job.Deadline, o.Victims[i].Job.Work = newDeadline(0, 11*time.Second), 1e6
			}
		}, ReasonCost},
		{"much was thrown away for the step", func(s *Step, _ *Offer) { s.Spent = 4 * s.Work }, ReasonStepBudget},
		{"much was thrown away for the workspace", func(_ *Step, o *Offer) { o.Left = 0 }, ReasonBudget},
		{"guarantee", func(s *Step, o *Offer) { s.Guaranteed, o.Left, o.RoomIn = true, 0, 1100*time.Millisecond }, ReasonGuarantee},
		{"guarantee, room as soon as by a preemption", func(s *Step, o *Offer) { s.Guaranteed, o.RoomIn = true, time.Second }, ReasonRoomSoon},
		{"guarantee, room is overdue", func(s *Step, o *Offer) { s.Guaranteed, o.RoomIn, s.RoomOverdue = true, 0, true }, ReasonGuarantee},
		{"no target", func(s *Step, _ *Offer) { s.Deadline = Deadline{} }, ReasonNoTarget},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, o := newStep(), newOffer(5, 2*time.Second)
			test.change(s, o)
			d := s.Decide(o)
			is.Equal(d.Reason, test.want)
			is.Equal(d.Runs, 5)
		})
	}
}

// Guards against a step that stops others although it can no longer end in time.
func TestLateStepPreemptsNothing(t *testing.T) {
	is := is.New(t)
	s := newStep()
	is.True(s.Consider() == nil)
	s.Deadline = newDeadline(1600*time.Millisecond, 4*time.Second)
	is.Equal(s.Consider().Reason, ReasonTooLate)
	s.Guaranteed = true
	is.True(s.Consider() == nil)
}

// Guards against a task that is stopped twice in a row although it could be in time.
func TestProtection(t *testing.T) {
	is := is.New(t)
	j := Job{Deadline: newDeadline(0, 5*time.Second)}
	is.True(j.IsProtected(&Run{Remaining: 4 * time.Second}, true))
	is.True(!j.IsProtected(&Run{Remaining: 4 * time.Second}, false))
	is.True(!j.IsProtected(&Run{Remaining: 6 * time.Second}, true))
}

// Guards against a window that forgets work too early, keeps it for good, or counts it twice.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		now := time.Unix(1_000_000, 0)
		type entry struct {
			at   time.Time
			lost CoreSeconds
		}
		var all []entry
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 20_000), 1, 40).Draw(t, "pauses") {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			all = append(all, entry{now, 1})
			w.Add(1, now)
			least, most := CoreSeconds(0), CoreSeconds(0)
			for _, e := range all {
				if age := now.Sub(e.at); age < (windowSlots-1)*slotLength {
					least += e.lost
				}
				if age := now.Sub(e.at); age <= windowSlots*slotLength {
					most += e.lost
				}
			}
			if sum := w.Sum(now); sum < least || sum > most {
				t.Fatalf("sum %v is not between %v and %v", sum, least, most)
			}
		}
	})
}

// Guards against the budget of an account that another one uses up, or that is never free again.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var b Budget
	x, y := Account{"w", 0}, Account{"w", 1}
	now := time.Unix(1_000_000, 0)
	capacity := model.Resources{Cores: 1_000_000}
	full := b.Left(x, capacity, now)
	b.Spend(x, full, now)
	is.Equal(b.Left(x, capacity, now), CoreSeconds(0))
	is.Equal(b.Left(y, capacity, now), full)
	b.Spend(y, 1, now.Add(time.Minute))
	is.Equal(b.Left(x, capacity, now.Add(time.Minute)), full)
	is.Equal(len(b.spent), 1)
}

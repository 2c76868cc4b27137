package starttracker

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// MaxDelay is the longest time after which the platform carries out a call that gets no response.
	MaxDelay = 12 * time.Second
	// MaxHold is how long after the trouble of its worker a task waits. Callers may expect work to start beside free workers 7 s after a
	// disruption; the rest is for the start itself.
	MaxHold = 6500 * time.Millisecond
)

// FormerRun is the run number of a request of a former leader, whose real number is not known.
const FormerRun model.RunNumber = 0

// Start is a start request without a response, with a state of the caller.
type Start[S any] struct {
	Worker      model.HostID
	Run         model.RunRef
	Incarnation int64     // process that the request is meant for
	ArrivesBy   time.Time // latest time at which the request may arrive
	StoppedIn   int64     // last process that has confirmed a stop request of the run; 0 before that
	State       S

	settled   bool      // the request has arrived or never will
	troubleAt time.Time // time at which the worker ended or restarted, before a process refuses the request again; else zero
}

// IsPending reports whether the request may still arrive.
func (s *Start[S]) IsPending() bool { return !s.settled }

// heldUntil returns the time until which no other run of the task may be at work; zero if one may be.
func (s *Start[S]) heldUntil() time.Time {
	if s.troubleAt.IsZero() {
		return time.Time{}
	}
	if end := s.troubleAt.Add(MaxHold); end.Before(s.ArrivesBy) {
		return end
	}
	return s.ArrivesBy
}

// Tracker holds the start requests without a response. They outlast their runs and the workers. The zero value is empty.
type Tracker[S any] struct {
	byWorker map[model.HostID]map[model.RunRef]*Start[S]
	byTask   map[model.TaskRef][]*Start[S]
}

// Add adds a start request.
func (t *Tracker[S]) Add(s *Start[S]) {
	if t.byWorker == nil {
		t.byWorker, t.byTask = map[model.HostID]map[model.RunRef]*Start[S]{}, map[model.TaskRef][]*Start[S]{}
	}
	t.Remove(s.Worker, s.Run)
	if t.byWorker[s.Worker] == nil {
		t.byWorker[s.Worker] = map[model.RunRef]*Start[S]{}
	}
	t.byWorker[s.Worker][s.Run] = s
	t.byTask[s.Run.Task] = append(t.byTask[s.Run.Task], s)
}

// Get returns a start request, or nil.
func (t *Tracker[S]) Get(id model.HostID, ref model.RunRef) *Start[S] { return t.byWorker[id][ref] }

// Of returns the start requests to a worker. The map must not be changed.
func (t *Tracker[S]) Of(id model.HostID) map[model.RunRef]*Start[S] { return t.byWorker[id] }

// Remove removes a start request that has arrived or never will.
func (t *Tracker[S]) Remove(id model.HostID, ref model.RunRef) {
	s := t.byWorker[id][ref]
	if s == nil {
		return
	}
	s.settled = true
	delete(t.byWorker[id], ref)
	if len(t.byWorker[id]) == 0 {
		delete(t.byWorker, id)
	}
	t.byTask[ref.Task] = slices.DeleteFunc(t.byTask[ref.Task], func(x *Start[S]) bool { return x == s })
	if len(t.byTask[ref.Task]) == 0 {
		delete(t.byTask, ref.Task)
	}
}

// RemoveOld removes the start requests that can no longer arrive. It returns the workers that have none left.
func (t *Tracker[S]) RemoveOld(now time.Time) []model.HostID {
	var out []model.HostID
	for id, starts := range t.byWorker {
		for ref, s := range starts {
			if now.After(s.ArrivesBy) {
				t.Remove(id, ref)
			}
		}
		if t.byWorker[id] == nil {
			out = append(out, id)
		}
	}
	return out
}

// ConfirmStop notes that the present process of a worker refuses the request of a run.
func (t *Tracker[S]) ConfirmStop(id model.HostID, ref model.RunRef, incarnation int64) {
	if s := t.byWorker[id][ref]; s != nil {
		s.StoppedIn, s.troubleAt = incarnation, time.Time{}
	}
}

// ConfirmFence notes that the present process of a worker refuses the requests of former leaders.
func (t *Tracker[S]) ConfirmFence(id model.HostID) {
	for ref, s := range t.byWorker[id] {
		if ref.Number == FormerRun {
			s.troubleAt = time.Time{}
		}
	}
}

// NoteTrouble notes that the process of a worker has ended, whose successor may not refuse the requests.
func (t *Tracker[S]) NoteTrouble(id model.HostID, at time.Time) {
	for _, s := range t.byWorker[id] {
		if s.troubleAt.IsZero() {
			s.troubleAt = at
		}
	}
}

// IsHeld reports whether no run of the task may be at work, except on the given worker.
func (t *Tracker[S]) IsHeld(task model.TaskRef, except model.HostID, now time.Time) bool {
	return slices.ContainsFunc(t.byTask[task], func(s *Start[S]) bool { return s.Worker != except && now.Before(s.heldUntil()) })
}

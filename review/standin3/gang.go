package main

import "time"

// gangWait is how long a member of a gang waits for the others (gang_wait_ms).
const gangWait = 3 * time.Second

// waits says that a member of a gang waits for the others.
const waits = "waits"

// gangRun identifies a run of the gang of a job.
type gangRun struct {
	job    string
	number int64
}

// gang is what all runners know of a run of a gang.
type gang struct {
	present int
	wholeAt time.Time // when all members were present; zero before that
	ended   string    // how the first member has ended
}

// isGang reports whether a task belongs to a gang.
func (s *site) isGang(task string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gangs[jobOf(task)] > 0
}

// joinGang notes a member that a runner has started. The caller holds s.mu.
func (s *site) joinGang(x *run) {
	size := s.gangs[jobOf(x.task)]
	if size == 0 {
		return
	}
	id := gangRun{jobOf(x.task), x.number}
	g := s.gangRuns[id]
	if g == nil {
		g = &gang{}
		s.gangRuns[id] = g
	}
	if g.present++; g.present == size && g.ended == "" {
		g.wholeAt = time.Now()
	}
}

// leaveGang notes how a member has ended. The caller holds s.mu.
func (s *site) leaveGang(x *run, how string) {
	if g := s.gangRuns[gangRun{jobOf(x.task), x.number}]; g != nil {
		g.present--
		if g.ended == "" {
			g.ended = how
		}
	}
}

// gangOf returns how a run has to end because of its gang, waits while it waits for other members, or nothing if it works; since is when the
// gang was whole.
func (s *site) gangOf(x *run, now time.Time) (how string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangRuns[gangRun{jobOf(x.task), x.number}]
	switch {
	case g == nil:
		return "", time.Time{}
	case g.ended == "done":
		return "done", time.Time{}
	case g.ended != "":
		return "broken", time.Time{}
	case !g.wholeAt.IsZero():
		return "", g.wholeAt
	case now.Sub(x.startedAt) >= gangWait:
		return "alone", time.Time{}
	}
	return waits, time.Time{}
}

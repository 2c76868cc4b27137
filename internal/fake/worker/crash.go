package worker

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// crashDownTime is how long a worker is down after it has crashed.
const crashDownTime = 3 * time.Second

// errCrashed is returned for a call to a worker that has crashed.
var errCrashed = errors.Wrap(io.EOF, "worker: crashed")

// crashesWorker reports whether the task of a start request crashes each worker that starts it.
func (f *Fleet) crashesWorker(req dispatcher.StartRequest) bool {
	var payload struct {
		Crash bool `json:"crash"`
	}
	return json.Unmarshal([]byte(req.Payload), &payload) == nil && payload.Crash
}

// crash ends the process of a worker. It is back after crashDownTime. The caller holds f.mu.
func (f *Fleet) crash(s *workerState, now time.Time) {
	f.loseRuns(s, now)
	s.reset(now)
	s.downUntil = now.Add(crashDownTime)
}

// loseRuns ends all runs on a worker with its process. The caller holds f.mu.
func (f *Fleet) loseRuns(s *workerState, now time.Time) {
	for _, r := range s.runs {
		f.ledger.lostRuns[r.ref.Task]++
	}
	for _, r := range s.runs {
		f.removeRun(s, r)
		f.endOtherGangMembers(r, model.EndGangMemberEnded, now)
	}
}

// IsDown reports whether a worker has crashed and is not back yet.
func (f *Fleet) IsDown(id model.HostID, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.workers[id].downUntil)
}

// StopWorker ends the process of a worker, with all its runs. It refuses connections until RestartWorker.
func (f *Fleet) StopWorker(id model.HostID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueEnds(now)
	f.nextEndTime = time.Time{}
	f.crash(f.workers[id], now)
	f.workers[id].downUntil = now.Add(24 * time.Hour)
}

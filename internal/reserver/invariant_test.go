package reserver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/workerclient"
)

// Guards against a part of a gang that runs on unnoticed because its worker keeps neither leases nor stops, and
// against an alarm within the bound.
func TestPartialGangIsReported(t *testing.T) {
	is := is.New(t)
	s, p := running(t, 3, 1)
	s.impossible, s.workers[0].stuck = true, true
	s.workers[1].boots++ // the other members are lost with restarts
	s.workers[1].tasks = nil
	s.run(22 * time.Second)
	is.Equal(s.counts["GangPartial"], 0)
	s.run(30 * time.Second)
	is.Equal(s.counts["GangPartial"], 1) // once
	is.Equal(p.Status().Role, RolePlanner)
}

// Guards against a worker that holds more than it has without anybody noticing: it grants every reservation.
func TestOverCommittedWorkerIsReported(t *testing.T) {
	is := is.New(t)
	s, p := running(t, 3, 1) // 4 of 8 accelerators of each worker
	s.impossible = true
	w := s.workers[0]
	extra := *w.tasks[0]
	extra.ID, extra.Accelerators, extra.lease = "j000/2/0", 5, s.now.Add(time.Hour)
	extra.Gang, extra.Job, extra.Members = "j000/2", "j000", 1
	w.tasks = append(w.tasks, &extra)
	w.stuck = true
	w.set(&extra, workerclient.TaskRunning)
	s.run(20 * time.Second)
	is.Equal(s.counts["WorkerOver"], 1) // once
	is.Equal(p.Status().Role, RolePlanner)
}

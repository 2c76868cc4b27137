package worker

import (
	"strings"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// task is one task of a table; zero times mean that the event is not expected.
type task struct {
	report    workerclient.Task
	version   uint64
	lease     time.Time
	startedAt time.Time
	endedAt   time.Time

	run      time.Duration // work to do, in time at full speed
	failure  string        // why the task fails at its end, empty if it finishes
	progress time.Duration // work done until since
	since    time.Time
	percent  int // share of the full speed

	saveAt  time.Time // end of the checkpoint
	bound   time.Time // latest end of the checkpoint
	usageAt time.Time // when the reported usage changes
}

// runs reports whether the task was started and has not ended.
func (x *task) runs() bool {
	return x.report.State == workerclient.TaskRunning || x.report.State == workerclient.TaskCheckpointing
}

// advance accounts for the work done until now.
func (x *task) advance(now time.Time) {
	if x.report.State == workerclient.TaskRunning {
		x.progress += now.Sub(x.since) * time.Duration(x.percent) / 100
	}
	x.since = now
}

// finishAt returns when the work is done, the zero time if never at this speed.
func (x *task) finishAt() time.Time {
	if x.percent == 0 {
		return time.Time{}
	}
	return x.since.Add(max(0, x.run-x.progress) * 100 / time.Duration(x.percent))
}

// next returns the time of the task's next event.
func (x *task) next() (time.Time, bool) {
	if !x.report.State.Holds() {
		return time.Time{}, false
	}
	at := x.lease
	consider := func(t time.Time) {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	consider(x.usageAt)
	switch x.report.State {
	case workerclient.TaskRunning:
		consider(x.finishAt())
	case workerclient.TaskCheckpointing:
		consider(x.saveAt)
		consider(x.bound)
	}
	return at, true
}

func (x *task) snapshot(now time.Time) workerclient.Task {
	r := x.report
	switch {
	case x.startedAt.IsZero():
	case x.endedAt.IsZero():
		r.RunMS = model.Millis(now.Sub(x.startedAt).Milliseconds())
	default:
		r.RunMS = model.Millis(x.endedAt.Sub(x.startedAt).Milliseconds())
	}
	return r
}

func due(at, now time.Time) bool {
	return !at.IsZero() && !at.After(now)
}

// Checkpoints stores the progress of gang members, as a shared file system does; the zero value is ready.
type Checkpoints struct {
	mu    sync.Mutex
	saved map[string]time.Duration
}

// memberKey names a member of a job across its attempts.
func memberKey(r workerclient.Task) string {
	id := string(r.ID)
	return string(r.Job) + "/" + id[strings.LastIndexByte(id, '/')+1:]
}

func (c *Checkpoints) save(r workerclient.Task, progress time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.saved == nil {
		c.saved = map[string]time.Duration{}
	}
	c.saved[memberKey(r)] = progress
}

func (c *Checkpoints) load(r workerclient.Task) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.saved[memberKey(r)]
}

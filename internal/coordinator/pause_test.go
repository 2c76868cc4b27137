package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// pausingLogger pauses the host for a time when a message is logged at level info for the first time. It implements hclog.Logger.
type pausingLogger struct {
	hclog.Logger
	host    *testHost
	message string
	length  time.Duration
}

// With implements hclog.Logger.
func (l *pausingLogger) With(args ...any) hclog.Logger {
	return &pausingLogger{Logger: l.Logger.With(args...), host: l.host, message: l.message, length: l.length}
}

// Info implements hclog.Logger.
func (l *pausingLogger) Info(msg string, args ...any) {
	l.Logger.Info(msg, args...)
	if msg == l.message {
		l.host.pause(l.length)
	}
}

// pause stops the calling goroutine and the calls that the host is about to send, unless the host was paused before.
func (h *testHost) pause(length time.Duration) {
	h.mu.Lock()
	first := h.pausedUntil.IsZero()
	if first {
		h.pausedUntil = time.Now().Add(length)
	}
	h.mu.Unlock()
	if first {
		h.awaitPauseEnd()
	}
}

// awaitPauseEnd waits while the host is paused.
func (h *testHost) awaitPauseEnd() {
	h.mu.Lock()
	d := time.Until(h.pausedUntil)
	h.mu.Unlock()
	time.Sleep(d)
}

// pauseEnd returns when the pause of the host ends, or the zero time before it begins.
func (h *testHost) pauseEnd() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pausedUntil
}

// Guards against a leader that was paused between a decision and its orders, and sends them beside its successor.
func TestPausedLeaderSendsNoOrdersTwice(t *testing.T) {
	t.Parallel()
	for _, message := range []string{"term started", "runs of former leaders known, scheduling their jobs", "step started", "preempting runs", "job ended"} {
		for _, length := range []time.Duration{2 * time.Second, 5 * time.Second, 15 * time.Second} {
			t.Run(fmt.Sprint(message, "/", length), func(t *testing.T) {
				t.Parallel()
				runInCluster(t, 1, 3, 2, 3, func(c *cluster, is *is.I) { testPausedLeader(c, is, message, length) })
			})
		}
	}
}

func testPausedLeader(c *cluster, is *is.I, message string, length time.Duration) {
	c.guarantee("w")
	paused := c.awaitLeader()
	paused.restartWith(func() { paused.pauseAt, paused.pauseLength = message, length })
	var jobs []model.JobID
	submit := func(s *model.Submission) {
		c.submit(s)
		jobs = append(jobs, s.ID)
	}
	for i, last := 0, 60; i < last; i++ {
		submit(job(fmt.Sprint("gang-", i), 1, 2*time.Second, model.Step{Count: 3, Need: accelerators(8), Gang: true}))
		submit(job(fmt.Sprint("tasks-", i), 2, 3*time.Second, model.Step{Count: 6, Need: accelerators(4), Resumable: true}))
		time.Sleep(700 * time.Millisecond)
		submit(job(fmt.Sprint("urgent-", i), 0, time.Second, model.Step{Count: 2, Need: accelerators(8), Gang: true}))
		for _, h := range c.hosts {
			if h != paused && h.coordinator.IsLeader() && i%6 == 5 && paused.pauseEnd().IsZero() {
				h.restartWith(func() {}) // until the host that is to be paused leads
			}
		}
		if !paused.pauseEnd().IsZero() {
			last = min(last, i+4)
		}
	}
	is.True(!paused.pauseEnd().IsZero())
	c.awaitEnd(5*time.Minute, jobs...)
	time.Sleep(time.Until(paused.pauseEnd()) + testLease) // what the host sends late arrives
	for _, id := range jobs {
		is.Equal(c.state(id), model.JobFinished)
	}
	is.Equal(c.fleet.LedgerReport().CompletedTwice, 0)
}

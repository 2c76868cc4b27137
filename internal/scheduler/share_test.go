package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// TestReclaimShare guards against a flood that keeps what it took while the others were idle, and against preemption
// of work within its share.
func TestReclaimShare(t *testing.T) {
	is := is.New(t)
	s := New(Options{ShareGrace: time.Minute})
	s.SetConfig(config(1, 8, 0), domain)
	addWorkers(s, 1)
	for i := range 8 {
		s.Submit(work(fmt.Sprint("flood", i), "b", "urgent", 1, 8), start)
	}
	for _, d := range starts(s.Pass(start)) {
		s.Started(d.Gang, start)
	}
	for i := range 5 {
		s.Submit(work(fmt.Sprint("late", i), "a", "batch", 1, 8), start)
	}
	is.Equal(len(preempts(s.Pass(start.Add(59*time.Second)))), 0) // the grace
	at := start.Add(61 * time.Second)
	s.dirty = true
	gone := preempts(s.Pass(at))
	is.Equal(len(gone), 4) // half of the domain is the share of each workspace
	for _, d := range gone {
		s.Preempted(d.Gang, at)
	}
	is.Equal(len(starts(s.Pass(at))), 4)
	s.dirty = true
	is.Equal(len(preempts(s.Pass(at.Add(time.Hour)))), 0)
}

// TestCallersWithinShare guards against a backlog of one caller that is served by age before the work of callers who
// ask for little, however old its jobs are.
func TestCallersWithinShare(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	s.SetConfig(config(1, 8, 0), domain)
	addWorkers(s, 1)
	submit := func(id string, caller model.CallerID, at time.Time) {
		j := work(id, "b", "standard", 1, 8)
		j.Spec.Caller = caller
		j.AcceptedAt = at
		s.Submit(j, at)
	}
	for i := range 40 {
		submit(fmt.Sprint("large", i), "large", start)
	}
	for _, d := range starts(s.Pass(start)) {
		s.Started(d.Gang, start)
	}
	at := start.Add(2 * time.Hour) // all waiting jobs of the large caller are beyond the aging limit
	for i := range 6 {
		submit(fmt.Sprint("small", i), model.CallerID(fmt.Sprint("small", i)), at)
	}
	s.Ended("large0/1", End{Reason: EndFinished}, at)
	ds := starts(s.Pass(at))
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Job, model.JobID("small0"))
}

// TestAgedGangReclaims guards against a wide gang that waits for as long as narrower lent work keeps arriving.
func TestAgedGangReclaims(t *testing.T) {
	is := is.New(t)
	s := New(Options{AgingAfter: 10 * time.Minute})
	s.SetConfig(config(1, 8, 0), domain)
	addWorkers(s, 1)
	for i := range 8 {
		s.Submit(work(fmt.Sprint("narrow", i), "b", "batch", 1, 8), start)
	}
	for _, d := range starts(s.Pass(start)) {
		s.Started(d.Gang, start)
	}
	s.Submit(work("wide", "b", "batch", 8, 8), start)
	is.Equal(len(preempts(s.Pass(start.Add(9*time.Minute)))), 0)
	at := start.Add(10 * time.Minute)
	s.dirty = true
	gone := preempts(s.Pass(at))
	is.Equal(len(gone), 8)
	for _, d := range gone {
		s.Preempted(d.Gang, at)
	}
	ds := starts(s.Pass(at))
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Job, model.JobID("wide"))
}

// TestShareClaimStaysWithinQuota guards against a claim that takes more of its workspace's quota than the gangs that
// leave for it: more urgent work of the workspace would wait for a round of preemption more.
func TestShareClaimStaysWithinQuota(t *testing.T) {
	is := is.New(t)
	s := New(Options{ShareGrace: time.Second})
	set := config(1, 8, 0)
	set.Workspaces["b"] = model.Workspace{Quota: 60}
	s.SetConfig(set, domain)
	addWorkers(s, 1)
	submit := func(id string, caller model.CallerID, acc model.Accelerators) {
		j := work(id, "b", "standard", 1, acc)
		j.Spec.Caller = caller
		s.Submit(j, start)
	}
	for i := range 15 {
		submit(fmt.Sprint("large", i), "large", 4) // all of the quota; one worker has 4 accelerators left
	}
	for _, d := range starts(s.Pass(start)) {
		s.Started(d.Gang, start)
	}
	for i := range 9 {
		submit(fmt.Sprint("small", i), model.CallerID(fmt.Sprint("small", i)), 8)
	}
	for i := range 5 {
		s.dirty = true
		s.Pass(start.Add(time.Duration(i+1) * time.Hour))
		left := s.quotaLeft("b")
		for _, g := range s.doomed {
			left += g.Shape.Total()
		}
		is.True(left >= 0)
	}
}

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/asserter"
)

// full returns a domain of one rack full of lent work, with a guarantee of four workers for workspace a.
func full(a *asserter.Asserter) *Scheduler {
	s := New(Options{Violated: a.Violated})
	s.SetConfig(config(1, 32, 1), domain)
	addWorkers(s, 1)
	for i := range 8 {
		s.Submit(work(fmt.Sprint("lent", i), "b", "batch", 1, 8), start)
	}
	for _, d := range starts(s.Pass(start)) {
		s.Started(d.Gang, start)
	}
	return s
}

// Guards against guaranteed work that is refused its cells unnoticed, and against one alarm per pass.
func TestRefusedCellIsReported(t *testing.T) {
	is := is.New(t)
	var a asserter.Asserter
	s := full(&a)
	for _, g := range s.gangs {
		g.Guaranteed = true // impossible: without cells; lent work could not be preempted
		s.alloc.Expect(&g.Gang, start)
	}
	s.Submit(work("urgent", "a", "urgent", 4, 8), start)
	for i := range 3 {
		s.dirty = true
		s.Pass(start.Add(time.Duration(i) * time.Second))
	}
	is.Equal(a.Counts(), map[string]int64{"guarantee-refused": 1})
	is.Equal(int(s.Stats(start).Shortage), 0)
}

// Guards against a lack of healthy workers that is reported as a fault of the software, or not at all.
func TestShortageIsNoViolation(t *testing.T) {
	is := is.New(t)
	var a asserter.Asserter
	s := full(&a)
	for w := range 8 {
		if w%2 == 0 { // no block of four workers is left
			s.RemoveWorker(workerID(0, w), start)
		}
	}
	s.Submit(work("urgent", "a", "urgent", 4, 8), start)
	s.Pass(start)
	is.Equal(a.Counts(), map[string]int64{})
	is.Equal(int(s.Stats(start).Shortage), 32)
	addWorkers(s, 1)
	s.Pass(start)
	is.Equal(int(s.Stats(start).Shortage), 0)
}

// Guards against claims that wait beyond the bound unnoticed, and against alarms for the time of a pause of the
// process or for gangs that cannot end while a worker is down.
func TestLateClaimIsReported(t *testing.T) {
	for _, down := range []bool{false, true} {
		is := is.New(t)
		var a asserter.Asserter
		s := full(&a)
		s.Submit(work("urgent", "a", "urgent", 4, 8), start)
		is.Equal(len(preempts(s.Pass(start))), 4)
		if down {
			v := s.doomed[0]
			v.Members = append(v.Members, "elsewhere") // a member on a worker that is not known
			s.alloc.Free(&v.Gang)
			s.alloc.Charge(&v.Gang)
		}
		at := start.Add(time.Hour) // the process was paused
		s.Pass(at)
		for range 5 {
			at = at.Add(time.Second)
			s.Pass(at)
		}
		is.Equal(a.Counts(), map[string]int64{})
		for range 5 {
			at = at.Add(time.Second)
			s.Pass(at)
		}
		if down {
			is.Equal(a.Counts(), map[string]int64{})
			is.Equal(int(s.Stats(at).Shortage), 32)
		} else {
			is.Equal(a.Counts(), map[string]int64{"guarantee-refused": 1})
		}
	}
}

// Guards against a start or a claim on workers without room that nobody notices.
func TestOverCommittedStartIsReported(t *testing.T) {
	is := is.New(t)
	var a asserter.Asserter
	s := full(&a)
	for _, decide := range []func(*gang){s.start, s.claim} {
		j := &job{spec: work("extra", "b", "batch", 1, 8).Spec}
		g := s.newGang(j)
		g.Members = append(g.Members, workerID(0, 0)) // impossible: the worker is full
		s.alloc.Charge(&g.Gang)
		decide(g)
		s.alloc.Free(&g.Gang)
	}
	is.Equal(a.Counts(), map[string]int64{"over-committed": 2})
}

// Guards against figures of workers that leave out what runs on them.
func TestUsages(t *testing.T) {
	is := is.New(t)
	s := full(&asserter.Asserter{})
	all := s.Usages()
	is.Equal(len(all), 8)
	is.Equal(all[0], allocator.Usage{ID: workerID(0, 0), Health: allocator.Usable, Accelerators: 8, InUse: 8})
}

// Guards against a wait that is never noticed because the claim is given up and made again time after time.
func TestLateClaimIsReportedOverReplacedClaims(t *testing.T) {
	is := is.New(t)
	var a asserter.Asserter
	s := full(&a)
	s.Submit(work("urgent", "a", "urgent", 4, 8), start)
	at := start
	for range 12 {
		at = at.Add(time.Second)
		s.Pass(at)
		s.releaseClaims() // as for a new configuration
		s.dirty = true
		s.Pass(at)
		is.Equal(len(s.claims), 1)
	}
	is.Equal(a.Counts(), map[string]int64{"guarantee-refused": 1})
}

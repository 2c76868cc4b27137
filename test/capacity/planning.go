package main

import (
	"fmt"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	designPoll  = 30 * time.Second
	designLease = 90 * time.Second
	tasksPer    = 24
	gangSize    = 21
)

// fleet drives a reserver against lease tables without sockets, on a virtual clock.
type fleet struct {
	r      *reserver.Reserver
	tables map[model.HostID]*worker.Table
	now    time.Time
	spent  time.Duration // in the reserver
	sends  int
}

func (f *fleet) handle(ev reserver.Event) {
	queue := []reserver.Event{ev}
	for len(queue) > 0 {
		ev, queue = queue[0], queue[1:]
		start := time.Now()
		f.r.Handle(f.now, ev)
		sends, _ := f.r.Drain()
		f.spent += time.Since(start)
		for _, s := range sends {
			f.sends++
			queue = append(queue, reserver.Replied{Worker: s.Worker, Seq: s.Seq, Reply: f.tables[s.Worker].Apply(f.now, s.Batch)})
		}
	}
}

// run lets time pass in the steps that the reserver asks for.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		f.now = f.now.Add(max(time.Millisecond, f.r.Next().Sub(f.now)))
		f.handle(reserver.Tick{})
	}
}

// reserverMinute measures one minute of polls of n workers that run 24 tasks each.
func reserverMinute(n int) point {
	f := &fleet{tables: map[model.HostID]*worker.Table{}, now: time.Unix(1_764_800_000, 0)}
	p := took("reserver, a minute of polls", n, func() {
		f.r = reserver.New(reserver.Config{Host: "kartli-a-e1", Domain: measured, Poll: designPoll, TaskLease: designLease})
		var hosts []hostclient.Host
		var inv reserver.Inventory
		for i := range n {
			h := hostclient.Host{
				ID: workerID(i), Role: hostclient.RoleWorker, Addr: "127.0.0.1:1", Domain: measured,
				Rack: rackID(i), Index: i % rackWorkers, State: hostclient.StateLive,
			}
			hosts = append(hosts, h)
			inv.Positions = append(inv.Positions, reserver.Position{Rack: h.Rack, Index: h.Index})
		}
		f.handle(inv)
		f.handle(reserver.TakeOver{})
		f.now = f.now.Add(time.Millisecond)
		for _, h := range hosts {
			f.tables[h.ID] = worker.NewTable(worker.Config{Worker: h.ID, Accelerators: 8, Cores: cores, MemoryMB: memoryMB, RunTime: 24 * time.Hour}, "boot")
		}
		f.handle(reserver.Hosts{Hosts: hosts, ReadAt: f.now})
		f.run(time.Second)
		for i := range n * tasksPer / gangSize {
			s := reserver.StartGang{
				Gang: model.GangID(fmt.Sprintf("%s/1", spec(i).ID)), Job: spec(i).ID, Workspace: spec(i).Workspace,
				AcceptedAt: f.now.Add(time.Hour), Cores: 1, MemoryMB: 1024, Spec: []byte("{}"),
			}
			for k := range gangSize {
				s.Workers = append(s.Workers, workerID((i*gangSize+k)%n))
			}
			f.handle(s)
		}
		f.run(2 * designLease)
	})
	running := 0
	for _, t := range f.tables {
		running += len(t.Tasks())
	}
	f.spent, f.sends = 0, 0
	const minutes = 10
	f.run(minutes * time.Minute)
	p.Millis = float64(f.spent.Microseconds()) / 1e3 / minutes
	p.HeapKB, p.PeakKB = 0, 0 // the tables of the workers are in it
	p.Comment = fmt.Sprintf("%d tasks, %d batches a minute", running, f.sends/minutes)
	return p
}

func rackID(i int) model.RackID { return model.RackID(fmt.Sprintf("r%04d", i/rackWorkers)) }
func workerID(i int) model.HostID {
	return model.HostID(fmt.Sprintf("w%04d-%d", i/rackWorkers, i%rackWorkers))
}

// planningPass measures passes over n workers with 24 tasks each while 1,000 jobs wait, and passes without a change.
func planningPass(n int) []point {
	now := time.Unix(1_764_800_000, 0)
	set := configuration(arguments{Workers: n})
	s := scheduler.New(scheduler.Options{})
	fill := took("scheduler state", n, func() {
		s.SetConfig(&set, measured)
		for i := range n {
			s.UpsertWorker(worker8(i), now)
		}
		for i := range n * tasksPer / gangSize {
			g := scheduler.Running{
				Job: spec(i).ID, Attempt: 1, Gang: model.GangID(fmt.Sprintf("%s/1", spec(i).ID)), Workspace: spec(i).Workspace,
				Class: "batch", Shape: model.Shape{Workers: gangSize, Cores: 1, MemoryMB: 1024}, StartedAt: now,
			}
			for k := range gangSize {
				g.Members = append(g.Members, workerID((i*gangSize+k)%n))
			}
			s.Adopt(g, now)
		}
		for i := range 1_000 {
			j := spec(1_000_000 + i)
			j.Shape = model.Shape{Workers: 1 + i%4, Accelerators: 8, Cores: cores, Span: model.SpanDomain}
			s.Submit(model.Job{Spec: j, Home: measured, State: model.JobQueued, AcceptedAt: now}, now)
		}
	})
	fill.Millis, fill.PeakKB = 0, 0
	s.Pass(now)
	const passes = 50
	changed := took("planning pass, one worker changed", n, func() {
		for i := range passes {
			now = now.Add(time.Second)
			w := worker8(i % n)
			w.Health = allocator.Gone
			s.UpsertWorker(w, now)
			w.Health = allocator.Usable
			s.UpsertWorker(w, now)
			s.Pass(now)
		}
	})
	idle := took("planning pass, no change", n, func() {
		for range passes {
			s.Pass(now)
		}
	})
	for _, p := range []*point{&changed, &idle} {
		p.Millis, p.PeakKB, p.HeapKB = p.Millis/passes, p.PeakKB/passes, 0
	}
	st := s.Stats(now)
	fill.Comment = fmt.Sprintf("%d gangs run, %d jobs wait", st.RunningGangs, st.Waiting)
	return []point{fill, changed, idle}
}

func worker8(i int) allocator.Worker {
	return allocator.Worker{ID: workerID(i), Rack: rackID(i), Index: i % rackWorkers, Accelerators: accelerators, Cores: cores, MemoryMB: memoryMB}
}

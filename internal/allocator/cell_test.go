package allocator

import (
	"fmt"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

// inventory declares racks of up to 8 workers of 4 or 8 accelerators and seats all workers.
func inventory(t *rapid.T) (model.FailureDomain, []Worker) {
	d := model.FailureDomain{Racks: map[model.RackID]model.Rack{}}
	var ws []Worker
	for r := range rapid.IntRange(1, 4).Draw(t, "racks") {
		id := model.RackID(fmt.Sprint("r", r))
		k := model.Rack{Workers: rapid.IntRange(1, 8).Draw(t, "workers"), Accelerators: rapid.SampledFrom([]model.Accelerators{4, 8, 8}).Draw(t, "acc")}
		d.Racks[id] = k
		for i := range k.Workers {
			ws = append(ws, Worker{ID: model.HostID(fmt.Sprint(id, "w", i)), Rack: id, Index: i, Accelerators: k.Accelerators})
		}
	}
	return d, ws
}

func guarantees(t *rapid.T, d model.FailureDomain) map[model.GuaranteeID]model.Guarantee {
	gs := map[model.GuaranteeID]model.Guarantee{}
	for i := range rapid.IntRange(1, 5).Draw(t, "guarantees") {
		gs[model.GuaranteeID(fmt.Sprint("g", i))] = model.Guarantee{
			Workspace: model.WorkspaceID(fmt.Sprint("w", i)),
			Cell:      1 << rapid.IntRange(0, 6).Draw(t, "cell"), Count: rapid.IntRange(1, 5).Draw(t, "count"),
		}
	}
	for _, id := range Feasible(d, gs) {
		delete(gs, id)
	}
	return gs
}

// TestCellsAlwaysObtainable guards against a history of starts, ends, lent
// work, failures and recoveries after which a feasible cell cannot be had.
func TestCellsAlwaysObtainable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, ws := inventory(t)
		gs := guarantees(t, d)
		s := New(Gradient)
		for _, w := range ws {
			s.Upsert(w)
		}
		s.SetCells(d, gs)
		ids := bySize(gs)
		held := map[model.GuaranteeID][]*Gang{}
		var lent []*Gang
		next, failed := 0, false
		gang := func(ws model.WorkspaceID, sh model.Shape) *Gang {
			next++
			return &Gang{ID: model.GangID(fmt.Sprint(next)), Workspace: ws, Shape: sh, StartedAt: now.Add(time.Duration(-next) * time.Second)}
		}
		purge := func() { // gangs that were displaced or doomed leave
			for id, l := range held {
				var keep []*Gang
				for _, g := range l {
					if g.Guaranteed && s.Usable(g) {
						keep = append(keep, g)
					} else {
						s.Free(g)
					}
				}
				held[id] = keep
			}
			var keep []*Gang
			for _, g := range lent {
				if g.Doomed || !s.Usable(g) {
					s.Free(g)
				} else {
					keep = append(keep, g)
				}
			}
			lent = keep
		}
		// t.Skip of rapid leaves out an action that does not apply to the state and tries another one; no test is skipped.
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i := range s.workers {
					if w := &s.workers[i]; w.bound < 0 || w.bound > w.cap.acc || w.free.acc < 0 {
						t.Fatalf("worker %s has %d bound and %d free of %d", w.id, w.bound, w.free.acc, w.cap.acc)
					}
				}
			},
			"cell": func(t *rapid.T) {
				if len(ids) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(ids).Draw(t, "guarantee")
				c := gs[id]
				if len(held[id]) >= c.Count {
					t.Skip()
				}
				sh := model.Shape{Workers: 1, Accelerators: min(c.Cell, s.share.acc), Span: model.SpanRack}
				if c.Cell > s.maxAcc {
					sh.Workers = int(c.Cell / s.maxAcc)
				}
				g := gang(c.Workspace, sh)
				healthy, demand := s.healthy(), histogram{}
				for _, x := range gs {
					demand[log2(x.Cell)] += x.Count
				}
				_, ok := s.PlaceGuaranteed(g, now)
				if !ok && healthy.packs(&demand) {
					t.Fatalf("cell %d of %d accelerators of %s cannot be had", len(held[id]), c.Cell, id)
				}
				for id, l := range held {
					for _, h := range l {
						if !h.Guaranteed && !failed {
							t.Fatalf("a cell of %s was displaced although no worker failed", id)
						}
					}
				}
				if ok {
					held[id] = append(held[id], g)
					purge()
				}
			},
			"lent": func(t *rapid.T) {
				sh := model.Shape{Workers: rapid.IntRange(1, 3).Draw(t, "members"), Accelerators: model.Accelerators(rapid.IntRange(1, 8).Draw(t, "need"))}
				g := gang("other", sh)
				if m, ok := s.Place(&sh, Limits{End: now}); ok {
					g.Members = m
					s.Charge(g)
					lent = append(lent, g)
				}
			},
			"end": func(t *rapid.T) {
				if len(ids) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(ids).Draw(t, "guarantee")
				if l := held[id]; len(l) > 0 {
					k := rapid.IntRange(0, len(l)-1).Draw(t, "which")
					s.Free(l[k])
					held[id] = append(l[:k:k], l[k+1:]...)
				}
			},
			"fail": func(t *rapid.T) {
				failed = failed || rapid.IntRange(0, 3).Draw(t, "rare") == 0
				if !failed {
					t.Skip()
				}
				s.SetHealth(rapid.SampledFrom(ws).Draw(t, "worker").ID, Gone)
				purge()
			},
			"replace": func(t *rapid.T) {
				if !failed {
					t.Skip()
				}
				w := rapid.SampledFrom(ws).Draw(t, "worker")
				s.Remove(w.ID)
				purge()
				w.ID += "x"
				s.Upsert(w)
				s.Remove(w.ID)
				purge()
			},
			"recover": func(t *rapid.T) {
				s.Upsert(rapid.SampledFrom(ws).Draw(t, "worker"))
				purge()
			},
			"republish": func(t *rapid.T) { s.SetCells(d, gs); purge() },
		})
	})
}

// TestFeasible guards against guarantees accepted beyond the inventory.
func TestFeasible(t *testing.T) {
	is := is.New(t)
	d := model.FailureDomain{Racks: map[model.RackID]model.Rack{"r": {Workers: 6, Accelerators: 8}, "odd": {Workers: 1, Accelerators: 6}}}
	gs := map[model.GuaranteeID]model.Guarantee{
		"half":  {Cell: 32, Count: 1},
		"pair":  {Cell: 16, Count: 1},
		"wide":  {Cell: 64, Count: 1}, // 6 workers hold no aligned block of 8
		"small": {Cell: 2, Count: 3},  // the worker with 6
		"odd":   {Cell: 3, Count: 1},
	}
	is.Equal(Feasible(d, gs), []model.GuaranteeID{"wide", "odd"})
}

// TestReclaimCost guards against preempting more or older work than needed.
func TestReclaimCost(t *testing.T) {
	is := is.New(t)
	d := model.FailureDomain{Racks: map[model.RackID]model.Rack{"r": {Workers: 4, Accelerators: 8}}}
	s := New(BestFit)
	for i := range 4 {
		s.Upsert(Worker{ID: model.HostID(fmt.Sprint("w", i)), Rack: "r", Index: i, Accelerators: 8})
		s.Charge(&Gang{
			ID: model.GangID(fmt.Sprint(i)), Shape: model.Shape{Workers: 1, Accelerators: 8},
			Members: []model.HostID{model.HostID(fmt.Sprint("w", i))}, StartedAt: now.Add(time.Duration(i-9) * time.Hour),
		})
	}
	s.SetCells(d, map[model.GuaranteeID]model.Guarantee{"g": {Workspace: "a", Cell: 16, Count: 1}})
	g := &Gang{ID: "x", Workspace: "a", Shape: model.Shape{Workers: 1, Accelerators: 8}}
	victims, ok := s.PlaceGuaranteed(g, now)
	is.True(ok)
	is.Equal(len(victims), 1)
	is.Equal(victims[0].ID, model.GangID("3")) // started last
	is.True(!s.Fits(g))
	s.Free(victims[0])
	is.True(s.Fits(g))
}

// TestBlocksStayWhole guards against small work spread over racks so that a gang finds no rack.
func TestBlocksStayWhole(t *testing.T) {
	for _, p := range []Policy{BestFit, Gradient} {
		is := is.New(t)
		s := New(p)
		for r := range 2 {
			for i := range 4 {
				s.Upsert(Worker{ID: model.HostID(fmt.Sprint(r, i)), Rack: model.RackID(fmt.Sprint(r)), Index: i, Accelerators: 8})
			}
		}
		wide := model.Shape{Workers: 4, Accelerators: 8, Span: model.SpanRack}
		s.SetMix([]Demand{{wide, 1}})
		for i := range 8 {
			sh := model.Shape{Workers: 1, Accelerators: 4}
			m, ok := s.Place(&sh, Limits{End: now})
			is.True(ok)
			s.Charge(&Gang{ID: model.GangID(fmt.Sprint(i)), Shape: sh, Members: m})
		}
		is.Equal(s.Stranded(), 0.0) // the second rack is whole
		_, ok := s.Place(&wide, Limits{End: now})
		is.True(ok)
	}
}

func BenchmarkPlaceGang256(b *testing.B) {
	for _, p := range []Policy{FirstFit, BestFit, Gradient} {
		b.Run(string(p), func(b *testing.B) {
			s := New(p)
			for i := range 8800 {
				s.Upsert(Worker{ID: model.HostID(fmt.Sprint("w", i)), Rack: model.RackID(fmt.Sprint(i / 8)), Index: i % 8, Accelerators: 8, Cores: 32, MemoryMB: 1 << 17})
			}
			var ds []Demand
			for k := range maxMix {
				ds = append(ds, Demand{model.Shape{Workers: 1 + k, Accelerators: 4, Span: model.SpanRack}, 10})
			}
			s.SetMix(ds)
			sh := model.Shape{Workers: 256, Accelerators: 8}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.Place(&sh, Limits{End: now}); !ok {
					b.Fatal("no room")
				}
			}
		})
	}
}

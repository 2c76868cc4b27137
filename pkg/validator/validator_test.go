package validator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func valid() model.Set {
	return model.Set{
		FailureDomains: map[model.DomainID]model.FailureDomain{"kartli-a": {
			Region: "kartli",
			Racks:  map[model.RackID]model.Rack{"r-1": {Workers: 8, Accelerators: 8, Cores: 32, MemoryMB: 1 << 17}},
		}},
		Workspaces: map[model.WorkspaceID]model.Workspace{"match": {Quota: 64}},
		Classes:    map[model.ClassID]model.Class{"now": {Urgency: model.UrgencyUrgent}},
		Guarantees: map[model.GuaranteeID]model.Guarantee{
			"g": {Workspace: "match", FailureDomain: "kartli-a", Cell: 16, Count: 4},
		},
		Services: map[model.ServiceID]model.Service{"s": {
			Workspaces: []model.WorkspaceID{"match"}, Classes: []model.ClassID{"now"}, Slots: 8, Connections: 64,
		}},
		Callers:   map[model.CallerID]model.Caller{"c": {Workspace: "match", TokenSHA256: strings.Repeat("0a", 32)}},
		Operators: map[model.OperatorID]model.Operator{"o": {TokenSHA256: strings.Repeat("0b", 32)}},
	}
}

func guarantee(w model.WorkspaceID, d model.DomainID, cell model.Accelerators, count int) model.Guarantee {
	return model.Guarantee{Workspace: w, FailureDomain: d, Cell: cell, Count: count}
}

// A fault that is missed takes effect on every host; each case breaks one rule of a valid set.
func TestCheckFindsEachFault(t *testing.T) {
	is.New(t).Equal(Check(valid()), nil)
	is.New(t).Equal(Check(model.Set{}), nil) // the first publish may declare anything
	cases := map[string]func(*model.Set){
		"failure-domain/Kartli/name":                    func(s *model.Set) { s.FailureDomains["Kartli"] = s.FailureDomains["kartli-a"] },
		"failure-domain/x/racks":                        func(s *model.Set) { s.FailureDomains["x"] = model.FailureDomain{Region: "r"} },
		"failure-domain/kartli-a/racks.e.workers":       func(s *model.Set) { s.FailureDomains["kartli-a"].Racks["e"] = model.Rack{Cores: 1, MemoryMB: 1} },
		"workspace/match/quota":                         func(s *model.Set) { s.Workspaces["match"] = model.Workspace{Quota: 63} },
		"workspace/match/weight":                        func(s *model.Set) { s.Workspaces["match"] = model.Workspace{Quota: 64, Weight: -1} },
		"class/now/urgency":                             func(s *model.Set) { s.Classes["now"] = model.Class{} },
		"guarantee/h/workspace":                         func(s *model.Set) { s.Guarantees["h"] = guarantee("w", "x", 1, 1) },
		"guarantee/h/failure-domain":                    func(s *model.Set) { s.Guarantees["h"] = guarantee("w", "x", 1, 1) },
		"guarantee/g/cell":                              func(s *model.Set) { s.Guarantees["g"] = guarantee("match", "kartli-a", 12, 1) },
		"guarantee/h/count":                             func(s *model.Set) { s.Guarantees["h"] = guarantee("match", "kartli-a", 1, 1) },
		"service/s/classes":                             func(s *model.Set) { delete(s.Classes, "now") },
		"service/t/classes":                             func(s *model.Set) { s.Services["t"] = model.Service{} },
		"caller/c/workspace":                            func(s *model.Set) { delete(s.Workspaces, "match") },
		"caller/d/token-sha256":                         func(s *model.Set) { s.Callers["d"] = model.Caller{Workspace: "match", TokenSHA256: "0A"} },
		"caller/e/token-sha256":                         func(s *model.Set) { s.Callers["e"] = s.Callers["c"] },
		"operator/" + strings.Repeat("a", 64) + "/name": func(s *model.Set) { s.Operators[model.OperatorID(strings.Repeat("a", 64))] = model.Operator{} },
	}
	for want, change := range cases {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			s := valid()
			change(&s)
			faults := Check(s)
			is.Equal(faults, Check(s)) // the verdict is the same on all hosts
			found := false
			for _, f := range faults {
				is.True(f.Remedy != "" && f.Message != "")
				found = found || fmt.Sprintf("%s/%s/%s", f.Kind, f.Name, f.Field) == want
			}
			is.True(found)
		})
	}
}

// fits searches all placements of cells in free aligned blocks, both given by size.
func fits(free, cells []int, known map[string]bool) (ok bool) {
	if len(cells) == 0 {
		return true
	}
	slices.Sort(free)
	key := fmt.Sprint(free, len(cells))
	if ok, found := known[key]; found {
		return ok
	}
	defer func() { known[key] = ok }()
	for i, f := range free {
		if f < cells[0] || slices.Contains(free[:i], f) {
			continue
		}
		rest := slices.Delete(slices.Clone(free), i, i+1)
		for ; f > cells[0]; f /= 2 {
			rest = append(rest, f/2)
		}
		if fits(rest, cells[1:], known) {
			return true
		}
	}
	return false
}

// A feasibility check that is too strict refuses valid guarantees; one that is too lax accepts guarantees that
// cannot be reclaimed. It is compared with a search of all placements in an order drawn at random.
func TestPackMatchesSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := model.FailureDomain{Racks: map[model.RackID]model.Rack{}}
		for i := range rapid.IntRange(1, 2).Draw(t, "racks") {
			d.Racks[model.RackID(fmt.Sprint(i))] = model.Rack{
				Workers:      rapid.IntRange(0, 5).Draw(t, "workers"),
				Accelerators: model.Accelerators(rapid.IntRange(0, 4).Draw(t, "accelerators")),
			}
		}
		want := demand{}
		var cells, free []int
		for _, c := range rapid.SliceOfN(rapid.SampledFrom([]int{1, 1, 1, 2, 2, 4, 8}), 0, 16).Draw(t, "cells") {
			want[model.Accelerators(c)]++
			cells = append(cells, c)
		}
		b := blocks(d)
		for _, size := range slices.Sorted(maps.Keys(b)) {
			free = append(free, slices.Repeat([]int{int(size)}, b[size])...)
		}
		if got := len(pack(d, want)) == 0; got != fits(free, cells, map[string]bool{}) {
			t.Fatalf("pack says %v for cells %v in blocks %v", got, cells, free)
		}
	})
}

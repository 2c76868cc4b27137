package validator

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed of the property tests, so that failures are reproducible. Command-line flags override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10000")
}

// validSet returns a valid configuration with one object of each kind.
func validSet() model.ConfigSet {
	return model.ConfigSet{
		FailureDomains: map[model.DomainID]model.FailureDomain{"kartli-a": {
			Region: "kartli",
			Racks:  map[model.RackID]model.Rack{"r-1": {Workers: 8, Accelerators: 8, Cores: 32, MemoryMB: 1 << 17}},
		}},
		Workspaces: map[model.WorkspaceID]model.Workspace{"match": {Quota: 64}},
		Classes:    map[model.ClassID]model.Class{"now": {Urgency: model.UrgencyUrgent}},
		Guarantees: map[model.GuaranteeID]model.Guarantee{
			"g": {Workspace: "match", FailureDomain: "kartli-a", CellSize: 16, CellCount: 4},
		},
		Services: map[model.ServiceID]model.Service{"s": {
			Workspaces: []model.WorkspaceID{"match"}, Classes: []model.ClassID{"now"}, SlotsPerRunner: 8, ConnectionsPerRunner: 64,
		}},
		Callers:   map[model.CallerID]model.Caller{"c": {Workspace: "match", TokenSHA256: strings.Repeat("0a", 32)}},
		Operators: map[model.OperatorID]model.Operator{"o": {TokenSHA256: strings.Repeat("0b", 32)}},
	}
}

func newGuarantee(w model.WorkspaceID, d model.DomainID, cell model.Accelerators, count int) model.Guarantee {
	return model.Guarantee{Workspace: w, FailureDomain: d, CellSize: cell, CellCount: count}
}

// Guards against accepting an invalid configuration, which would take effect on all hosts. Each case is named after the fault
// that it must cause, as KIND/NAME/FIELD.
func TestValidateFindsEachFault(t *testing.T) {
	is.New(t).Equal(Validate(validSet()), nil)
	is.New(t).Equal(Validate(model.ConfigSet{}), nil) // an empty configuration is valid, so the first publish may declare any objects
	cases := map[string]func(*model.ConfigSet){
		"failure-domain/Kartli/name":                    func(s *model.ConfigSet) { s.FailureDomains["Kartli"] = s.FailureDomains["kartli-a"] },
		"failure-domain/x/racks":                        func(s *model.ConfigSet) { s.FailureDomains["x"] = model.FailureDomain{Region: "r"} },
		"failure-domain/kartli-a/racks.e.workers":       func(s *model.ConfigSet) { s.FailureDomains["kartli-a"].Racks["e"] = model.Rack{Cores: 1, MemoryMB: 1} },
		"workspace/match/quota":                         func(s *model.ConfigSet) { s.Workspaces["match"] = model.Workspace{Quota: 63} },
		"workspace/match/weight":                        func(s *model.ConfigSet) { s.Workspaces["match"] = model.Workspace{Quota: 64, Weight: -1} },
		"class/now/urgency":                             func(s *model.ConfigSet) { s.Classes["now"] = model.Class{} },
		"guarantee/h/workspace":                         func(s *model.ConfigSet) { s.Guarantees["h"] = newGuarantee("w", "x", 1, 1) },
		"guarantee/h/failure-domain":                    func(s *model.ConfigSet) { s.Guarantees["h"] = newGuarantee("w", "x", 1, 1) },
		"guarantee/g/cell":                              func(s *model.ConfigSet) { s.Guarantees["g"] = newGuarantee("match", "kartli-a", 12, 1) },
		"guarantee/h/count":                             func(s *model.ConfigSet) { s.Guarantees["h"] = newGuarantee("match", "kartli-a", 1, 1) },
		"service/s/classes":                             func(s *model.ConfigSet) { delete(s.Classes, "now") },
		"service/t/classes":                             func(s *model.ConfigSet) { s.Services["t"] = model.Service{} },
		"caller/c/workspace":                            func(s *model.ConfigSet) { delete(s.Workspaces, "match") },
		"caller/d/token-sha256":                         func(s *model.ConfigSet) { s.Callers["d"] = model.Caller{Workspace: "match", TokenSHA256: "0A"} },
		"caller/e/token-sha256":                         func(s *model.ConfigSet) { s.Callers["e"] = s.Callers["c"] },
		"operator/" + strings.Repeat("a", 64) + "/name": func(s *model.ConfigSet) { s.Operators[model.OperatorID(strings.Repeat("a", 64))] = model.Operator{} },
	}
	for want, breakRule := range cases {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			s := validSet()
			breakRule(&s)
			faults := Validate(s)
			is.Equal(faults, Validate(s)) // the order of the faults is stable
			found := false
			for _, f := range faults {
				is.True(f.Remedy != "" && f.Message != "")
				found = found || fmt.Sprintf("%s/%s/%s", f.Kind, f.Name, f.Field) == want
			}
			is.True(found)
		})
	}
}

// packingExists searches all placements of cells in free aligned blocks, both given by size, for one that fits all cells.
func packingExists(free, cells []int, memo map[string]bool) (ok bool) {
	if len(cells) == 0 {
		return true
	}
	slices.Sort(free)
	key := fmt.Sprint(free, len(cells))
	if ok, found := memo[key]; found {
		return ok
	}
	defer func() { memo[key] = ok }()
	for i, f := range free {
		if f < cells[0] || slices.Contains(free[:i], f) {
			continue
		}
		rest := slices.Delete(slices.Clone(free), i, i+1)
		for ; f > cells[0]; f /= 2 {
			rest = append(rest, f/2)
		}
		if packingExists(rest, cells[1:], memo) {
			return true
		}
	}
	return false
}

// Guards against a packing that is too strict, which refuses feasible guarantees, or too lax, which accepts guarantees that
// the racks cannot hold. The result is compared with an exhaustive search that places the cells in random order.
func TestPackCellsMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := model.FailureDomain{Racks: map[model.RackID]model.Rack{}}
		for i := range rapid.IntRange(1, 2).Draw(t, "racks") {
			d.Racks[model.RackID(fmt.Sprint(i))] = model.Rack{
				Workers:      rapid.IntRange(0, 5).Draw(t, "workers"),
				Accelerators: model.Accelerators(rapid.IntRange(0, 4).Draw(t, "accelerators")),
			}
		}
		// Most cells are parts of the blocks, so that many cases fill the blocks completely; a few others are random.
		cells := rapid.SliceOfN(rapid.SampledFrom([]int{1, 2, 4, 8}), 0, 2).Draw(t, "others")
		var free []int
		var splitBlock func(size int)
		splitBlock = func(size int) {
			switch rapid.IntRange(0, 5).Draw(t, "piece") {
			case 0: // stays free
			case 1, 2:
				cells = append(cells, size)
			default:
				if size == 1 {
					cells = append(cells, size)
					return
				}
				splitBlock(size / 2)
				splitBlock(size / 2)
			}
		}
		blocks := countBlocks(d)
		for _, size := range slices.Sorted(maps.Keys(blocks)) {
			for range blocks[size] {
				free = append(free, int(size))
				splitBlock(int(size))
			}
		}
		demand := cellDemand{}
		for _, c := range cells {
			demand[model.Accelerators(c)]++
		}
		if got := len(packCells(d, demand)) == 0; got != packingExists(free, cells, map[string]bool{}) {
			t.Fatalf("packCells fits all cells: %v; the exhaustive search disagrees; cells %v, blocks %v", got, cells, free)
		}
	})
}

// Guards against losing the unused part of an opened block: a worker of 8 accelerators fits a cell of 2 and six of 1, not seven.
func TestPackCellsReusesOpenedBlocks(t *testing.T) {
	is := is.New(t)
	d := model.FailureDomain{Racks: map[model.RackID]model.Rack{"r": {Workers: 1, Accelerators: 8}}}
	is.Equal(packCells(d, cellDemand{2: 1, 1: 6}), nil)
	is.Equal(packCells(d, cellDemand{2: 1, 1: 7}), []shortage{{cellSize: 1, requested: 7, missing: 1}})
	d.Racks["r"] = model.Rack{Workers: 2, Accelerators: 6} // each worker is split into 4 + 2, so no block of 8 exists
	is.Equal(packCells(d, cellDemand{4: 2, 2: 2}), nil)
	is.Equal(packCells(d, cellDemand{8: 1}), []shortage{{cellSize: 8, requested: 1, missing: 1}})
}

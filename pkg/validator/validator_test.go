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

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "10000")
}

func valid() model.ConfigSet {
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

func guarantee(w model.WorkspaceID, d model.DomainID, cell model.Accelerators, count int) model.Guarantee {
	return model.Guarantee{Workspace: w, FailureDomain: d, CellSize: cell, CellCount: count}
}

// A fault that is missed takes effect on every host; each case breaks one rule of a valid set.
func TestCheckFindsEachFault(t *testing.T) {
	is.New(t).Equal(Validate(valid()), nil)
	is.New(t).Equal(Validate(model.ConfigSet{}), nil) // the first publish may declare anything
	cases := map[string]func(*model.ConfigSet){
		"failure-domain/Kartli/name":                    func(s *model.ConfigSet) { s.FailureDomains["Kartli"] = s.FailureDomains["kartli-a"] },
		"failure-domain/x/racks":                        func(s *model.ConfigSet) { s.FailureDomains["x"] = model.FailureDomain{Region: "r"} },
		"failure-domain/kartli-a/racks.e.workers":       func(s *model.ConfigSet) { s.FailureDomains["kartli-a"].Racks["e"] = model.Rack{Cores: 1, MemoryMB: 1} },
		"workspace/match/quota":                         func(s *model.ConfigSet) { s.Workspaces["match"] = model.Workspace{Quota: 63} },
		"workspace/match/weight":                        func(s *model.ConfigSet) { s.Workspaces["match"] = model.Workspace{Quota: 64, Weight: -1} },
		"class/now/urgency":                             func(s *model.ConfigSet) { s.Classes["now"] = model.Class{} },
		"guarantee/h/workspace":                         func(s *model.ConfigSet) { s.Guarantees["h"] = guarantee("w", "x", 1, 1) },
		"guarantee/h/failure-domain":                    func(s *model.ConfigSet) { s.Guarantees["h"] = guarantee("w", "x", 1, 1) },
		"guarantee/g/cell":                              func(s *model.ConfigSet) { s.Guarantees["g"] = guarantee("match", "kartli-a", 12, 1) },
		"guarantee/h/count":                             func(s *model.ConfigSet) { s.Guarantees["h"] = guarantee("match", "kartli-a", 1, 1) },
		"service/s/classes":                             func(s *model.ConfigSet) { delete(s.Classes, "now") },
		"service/t/classes":                             func(s *model.ConfigSet) { s.Services["t"] = model.Service{} },
		"caller/c/workspace":                            func(s *model.ConfigSet) { delete(s.Workspaces, "match") },
		"caller/d/token-sha256":                         func(s *model.ConfigSet) { s.Callers["d"] = model.Caller{Workspace: "match", TokenSHA256: "0A"} },
		"caller/e/token-sha256":                         func(s *model.ConfigSet) { s.Callers["e"] = s.Callers["c"] },
		"operator/" + strings.Repeat("a", 64) + "/name": func(s *model.ConfigSet) { s.Operators[model.OperatorID(strings.Repeat("a", 64))] = model.Operator{} },
	}
	for want, change := range cases {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			s := valid()
			change(&s)
			faults := Validate(s)
			is.Equal(faults, Validate(s)) // the verdict is the same on all hosts
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
		// The cells are pieces of the blocks and a few others, so that many draws fill the blocks to the last piece.
		cells := rapid.SliceOfN(rapid.SampledFrom([]int{1, 2, 4, 8}), 0, 2).Draw(t, "others")
		var free []int
		var split func(size int)
		split = func(size int) {
			switch rapid.IntRange(0, 5).Draw(t, "piece") {
			case 0: // left free
			case 1, 2:
				cells = append(cells, size)
			default:
				if size == 1 {
					cells = append(cells, size)
					return
				}
				split(size / 2)
				split(size / 2)
			}
		}
		b := blocks(d)
		for _, size := range slices.Sorted(maps.Keys(b)) {
			for range b[size] {
				free = append(free, int(size))
				split(int(size))
			}
		}
		want := demand{}
		for _, c := range cells {
			want[model.Accelerators(c)]++
		}
		if got := len(pack(d, want)) == 0; got != fits(free, cells, map[string]bool{}) {
			t.Fatalf("pack says %v for cells %v in blocks %v", got, cells, free)
		}
	})
}

// The rest of an opened block must stay whole: a worker of 8 takes a cell of 2 and six of 1, and no seventh.
func TestPackFillsBlocks(t *testing.T) {
	is := is.New(t)
	d := model.FailureDomain{Racks: map[model.RackID]model.Rack{"r": {Workers: 1, Accelerators: 8}}}
	is.Equal(pack(d, demand{2: 1, 1: 6}), nil)
	is.Equal(pack(d, demand{2: 1, 1: 7}), []shortage{{cell: 1, wanted: 7, missing: 1}})
	d.Racks["r"] = model.Rack{Workers: 2, Accelerators: 6} // 4 + 2 a worker; cells of 8 would need a whole power of two
	is.Equal(pack(d, demand{4: 2, 2: 2}), nil)
	is.Equal(pack(d, demand{8: 1}), []shortage{{cell: 8, wanted: 1, missing: 1}})
}

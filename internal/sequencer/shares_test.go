package sequencer

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a burst that keeps the work of other workspaces waiting, and against guarantees that don't count.
func TestInterleave(t *testing.T) {
	claims := []Claim{{"large", 0.1}, {"large", 0.1}, {"large", 0.1}, {"small", 0.1}, {"small", 0.1}}
	for name, test := range map[string]struct {
		used, guaranteed map[model.WorkspaceID]float64
		want             []int
	}{
		"nothing in use":    {nil, nil, []int{0, 3, 1, 4, 2}},
		"burst in use":      {map[model.WorkspaceID]float64{"large": 0.6}, nil, []int{3, 4, 0, 1, 2}},
		"within guarantee":  {map[model.WorkspaceID]float64{"large": 0.6}, map[model.WorkspaceID]float64{"large": 1}, []int{3, 4, 0, 1, 2}},
		"beyond guarantee":  {map[model.WorkspaceID]float64{"large": 0.6, "small": 0.45}, map[model.WorkspaceID]float64{"large": 0.9}, []int{0, 1, 2, 3, 4}},
		"absurd guarantee":  {map[model.WorkspaceID]float64{"small": 0.3}, map[model.WorkspaceID]float64{"large": 1e6}, []int{0, 1, 2, 3, 4}},
		"small use of each": {map[model.WorkspaceID]float64{"large": 0.2, "small": 0.1}, nil, []int{3, 0, 4, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewShares(2)
			for ws, n := range test.used {
				s.Used[ws] = n
			}
			s.Guaranteed = test.guaranteed
			is.New(t).Equal(s.Interleave(claims), test.want)
		})
	}
}

// Guards against work that is lost or served twice, and against a workspace whose own work loses its order.
func TestInterleaveKeepsAllWorkInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
			return Claim{rapid.SampledFrom([]model.WorkspaceID{"", "a", "b", "c"}).Draw(t, "workspace"), rapid.Float64Range(0, 2).Draw(t, "need")}
		}), 0, 20).Draw(t, "claims")
		got := NewShares(rapid.IntRange(0, 4).Draw(t, "workspaces")).Interleave(claims)
		last := map[model.WorkspaceID]int{}
		for _, i := range got {
			ws := claims[i].Workspace
			if at, seen := last[ws]; seen && at >= i {
				t.Fatal("out of order")
			}
			last[ws] = i
		}
		slices.Sort(got)
		for i := range claims {
			if len(got) != len(claims) || got[i] != i {
				t.Fatal("not a permutation")
			}
		}
	})
}

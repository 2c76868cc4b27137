package bencher

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// firstWorkspace returns the workspace that floods and that holds the callers.
func firstWorkspace(f Fleet) model.WorkspaceID {
	var first model.WorkspaceID
	for id := range f.Set.Workspaces {
		if first == "" || id < first {
			first = id
		}
	}
	return first
}

// sortSources orders sources that were collected from maps, so that runs are repeatable.
func sortSources(sources []Source) []Source {
	slices.SortStableFunc(sources, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Shape.Workers, b.Shape.Workers), cmp.Compare(a.Shape.Accelerators, b.Shape.Accelerators))
	})
	return sources
}

// Write prints the report as text.
func (r Report) Write(out io.Writer, detail bool) {
	fmt.Fprintf(out, "%s on %s, seed %d, %.1f h\n", r.Scenario, r.Fleet, r.Seed, r.Hours)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	for _, res := range r.Results {
		fmt.Fprintf(w, "  %s\tsubmitted %d\trefused %d\tfinished %d\tpreempted %d\tfragmentation %.3f\tpass mean %d us max %d us\n",
			res.Policy, res.Submitted, res.Refused, res.Finished, res.Preempted, res.Fragmentation, res.MeanPassUS, res.MaxPassUS)
	}
	_ = w.Flush()
	for _, res := range r.Results {
		writeSummaries(out, res.Policy, res.Groups)
		if detail {
			writeSummaries(out, res.Policy+" wait", res.Wait)
			writeSummaries(out, res.Policy+" completion", res.Completion)
		}
	}
	for _, c := range r.Checks {
		verdict := "MET   "
		if !c.Met {
			verdict = "MISSED"
		}
		fmt.Fprintf(out, "  %s %s: %.3f (limit %.3f; %s)\n", verdict, c.Name, c.Measured, c.Limit, c.Target)
	}
}

func writeSummaries(out io.Writer, title string, s map[string]recorder.Summary) {
	names := make([]string, 0, len(s))
	for name := range s {
		names = append(names, name)
	}
	slices.Sort(names)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	for _, name := range names {
		x := s[name]
		fmt.Fprintf(w, "  %s\t%s\tn %d\tmean %.1f s\tp50 %.1f s\tp99 %.1f s\tp99.9 %.1f s\tmax %.1f s\t\n", title, name, x.Count,
			x.Mean/1000, float64(x.P50)/1000, float64(x.P99)/1000, float64(x.P999)/1000, float64(x.Max)/1000)
	}
	_ = w.Flush()
}

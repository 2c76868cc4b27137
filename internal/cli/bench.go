package cli

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/bencher"
)

type benchCommand struct {
	Scenario string        `arg:"" optional:"" help:"Scenario, or all." default:"all"`
	Fleet    string        `help:"Deployment to measure: kartli, pnw or design." enum:"kartli,pnw,design" default:"kartli"`
	Domains  int           `help:"Failure domains of the design fleet that are measured, 1 to 9." default:"1"`
	Seed     uint64        `help:"Seed of the input." default:"1"`
	Length   time.Duration `help:"Virtual time in which jobs arrive." default:"48h"`
	Detail   bool          `help:"Print the histograms per workspace and class."`
	JSON     bool          `help:"Print JSON, one line per scenario."`
	Strict   bool          `help:"Exit with 1 when a target is missed."`
}

// Help shows examples.
func (benchCommand) Help() string {
	return examples("chestnutmux bench", "chestnutmux bench urgent --fleet design --domains 1 --length 6h --json")
}

// Run measures the policy.
func (c *benchCommand) Run(e *env) error {
	missed, known := 0, false
	for _, s := range bencher.Scenarios() {
		if c.Scenario != "all" && c.Scenario != s.Name {
			continue
		}
		known = true
		e.progress("measuring %s on %s", s.Name, c.Fleet)
		r := s.Run(bencher.Options{Fleet: c.fleet(), Seed: c.Seed, Length: c.Length})
		for _, check := range r.Checks {
			if !check.Met {
				missed++
			}
		}
		if !c.JSON {
			r.Write(e.out, c.Detail)
			continue
		}
		if err := e.printJSON(r); err != nil {
			return err
		}
	}
	if !known {
		return usageError{errors.Newf("unknown scenario %q; use all or one of %s", c.Scenario, strings.Join(names(), ", "))}
	}
	if c.Strict && missed > 0 {
		return errors.Newf("%d targets missed", missed)
	}
	return nil
}

func (c *benchCommand) fleet() bencher.Fleet {
	switch c.Fleet {
	case "pnw":
		return bencher.PNW()
	case "design":
		return bencher.Design(min(max(c.Domains, 1), 9))
	}
	return bencher.Kartli()
}

func names() []string {
	var out []string
	for _, s := range bencher.Scenarios() {
		out = append(out, s.Name)
	}
	return out
}

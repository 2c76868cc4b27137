package cli

import (
	"fmt"
	"text/tabwriter"

	"chestnutmux.example/chestnutmux/pkg/model"
)

type statusCommand struct {
	remote
	Jobs bool   `help:"List the jobs of the token's workspace instead."`
	Job  string `help:"Show one job."`
}

// Help shows examples.
func (statusCommand) Help() string {
	return "chestnutmux status --token $OPERATOR\nchestnutmux status --jobs --token $CALLER"
}

// Run prints the state of the host, of all jobs or of one job.
func (c *statusCommand) Run(e *env) error {
	switch {
	case c.Job != "":
		job, err := c.client().Job(e.ctx, model.JobID(c.Job), 0)
		if err != nil {
			return err
		}
		return printJob(e, c.JSON, job)
	case c.Jobs:
		return c.jobs(e)
	}
	s, err := c.client().Status(e.ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(s)
	}
	printStatus(e, s)
	return nil
}

func (c *statusCommand) jobs(e *env) error {
	jobs, err := c.client().Jobs(e.ctx)
	if err != nil {
		return err
	}
	for _, j := range jobs {
		if err := printJob(e, c.JSON, j); err != nil {
			return err
		}
	}
	return nil
}

func printStatus(e *env, s model.Status) {
	e.printf("host %s in %s (%s), configuration %d, %s", s.Host, s.FailureDomain, s.Region, s.ConfigVersion, s.Role)
	if s.Planner != "" {
		e.printf(", planner %s term %d", s.Planner, s.Term.Number)
	}
	e.printf("\n")
	if !s.Ready {
		e.printf("not ready: %s\n", s.NotReady)
	}
	if !s.LogDownSince.IsZero() {
		e.printf("log unreachable since %s\n", s.LogDownSince.UTC().Format("2006-01-02T15:04:05Z"))
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	if len(s.Workspaces) > 0 {
		fmt.Fprintln(w, "WORKSPACE\tQUEUED\tRUNNING\tIN USE\tQUOTA")
	}
	for _, ws := range s.Workspaces {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", ws.Workspace, ws.Queued, ws.Running, ws.InUse, ws.Quota)
	}
	if len(s.Workers) > 0 {
		fmt.Fprintln(w, "WORKER\tRACK\tHEALTH\tIN USE\tACCELERATORS")
	}
	for _, wk := range s.Workers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", wk.Worker, wk.Rack, wk.Health, wk.InUse, wk.Accelerators)
	}
	if len(s.Runners) > 0 {
		fmt.Fprintln(w, "RUNNER\tLEAVING\tIN FLIGHT\tSLOTS")
	}
	for _, r := range s.Runners {
		fmt.Fprintf(w, "%s\t%t\t%d\t%d\n", r.Runner, r.Leaving, r.InFlight, r.Slots)
	}
	if len(s.Peers) > 0 {
		fmt.Fprintln(w, "ENTRY HOST\tFAILURE DOMAIN\tLIVE\tCONFIGURATION")
	}
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\n", p.Host, p.FailureDomain, p.Live, p.ConfigVersion)
	}
	_ = w.Flush()
}

type drainCommand struct {
	remote
}

// Run asks the entry host to shut down gracefully.
func (c *drainCommand) Run(e *env) error {
	return c.client().Drain(e.ctx)
}

type logLevelCommand struct {
	remote
	Level string `arg:"" enum:"trace,debug,info,warn,error" help:"trace, debug, info, warn or error."`
}

// Run changes the log level of the entry host.
func (c *logLevelCommand) Run(e *env) error {
	return c.client().SetLogLevel(e.ctx, c.Level)
}

// version is set by the linker at release.
var version = "0.1.0-dev"

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(e *env) error {
	e.printf("%s\n", version)
	return nil
}

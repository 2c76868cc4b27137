package cli

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

type statusCommand struct {
	remote
	Jobs      bool              `help:"List the jobs of the token's workspace." xor:"view"`
	Job       model.JobID       `help:"Show one job of the token's workspace." xor:"view"`
	Workspace model.WorkspaceID `help:"Show one workspace." xor:"view"`
	Worker    model.HostID      `help:"Show one worker; only the leader knows it." xor:"view"`
	Host      model.HostID      `help:"Show one entry host as the asked one sees it." xor:"view"`
}

// Help shows examples.
func (statusCommand) Help() string {
	return examples("chestnutmux status --token $OPERATOR", "chestnutmux status --worker kartli-a-r1-0 --token $OPERATOR",
		"chestnutmux status --jobs --token $CALLER", "chestnutmux status --job night-1 --json --token $CALLER",
	) + "\n\n--jobs and --job take a caller's token, all else an operator's."
}

// Run prints the state of the host, or the part that was asked for.
func (c *statusCommand) Run(e *env) error {
	ctx, stop := e.short()
	defer stop()
	switch {
	case c.Job != "":
		job, err := c.client().Job(ctx, c.Job, 0)
		if err != nil {
			return err
		}
		return printJobs(e, c.JSON, []model.Job{job})
	case c.Jobs:
		jobs, err := c.client().Jobs(ctx)
		if err != nil {
			return err
		}
		if len(jobs) == 0 {
			e.progress("no jobs in the workspace")
		}
		return printJobs(e, c.JSON, jobs)
	}
	s, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	switch {
	case c.Workspace != "":
		return one(e, c.JSON, s.Workspaces, printWorkspaces, func(w model.WorkspaceStatus) bool { return w.Workspace == c.Workspace },
			fmt.Sprintf("no workspace %s in version %d; check its name", c.Workspace, s.ConfigVersion))
	case c.Worker != "":
		return one(e, c.JSON, s.Workers, printWorkers, func(w model.WorkerStatus) bool { return w.Worker == c.Worker },
			fmt.Sprintf("entry host %s does not know worker %s; ask the leader (%s)", s.Host, c.Worker, s.Leader))
	case c.Host != "" && c.Host != s.Host:
		return one(e, c.JSON, s.Peers, printPeers, func(p model.PeerStatus) bool { return p.Host == c.Host },
			fmt.Sprintf("entry host %s does not list host %s; check its id in the platform's host list", s.Host, c.Host))
	case c.JSON:
		return e.printJSON(s)
	}
	printStatus(e, s)
	return nil
}

// one prints the element that matches, or fails with the text.
func one[T any](e *env, asJSON bool, all []T, show func(*env, []T), match func(T) bool, missing string) error {
	for _, x := range all {
		if !match(x) {
			continue
		}
		if asJSON {
			return e.printJSON(x)
		}
		show(e, []T{x})
		return nil
	}
	return errors.New(missing)
}

func printStatus(e *env, s model.HostStatus) {
	e.printf("host %s in %s (%s), configuration %d, role %s", s.Host, s.FailureDomain, s.Region, s.ConfigVersion, s.Role)
	if s.Leader != "" {
		e.printf(", leader %s fence %d", s.Leader, s.Fence)
	}
	e.printf("\n")
	if !s.Ready {
		e.printf("not ready: %s\n", s.NotReadyReason)
	}
	if !s.LogReachable {
		e.printf("the log can't be reached\n")
	}
	for inv, n := range s.InvariantViolations {
		e.printf("invariant %s violated %d times; see docs/OPERATIONS.md\n", inv, n)
	}
	printWorkspaces(e, s.Workspaces)
	printWorkers(e, s.Workers)
	printRunners(e, s.Runners)
	printPeers(e, s.Peers)
}

func printWorkspaces(e *env, all []model.WorkspaceStatus) {
	rows := make([][]any, 0, len(all))
	for _, w := range all {
		rows = append(rows, []any{w.Workspace, w.Queued, w.Running, w.InUse, w.Quota})
	}
	e.table("WORKSPACE\tQUEUED\tRUNNING\tIN USE\tQUOTA", rows)
}

func printWorkers(e *env, all []model.WorkerStatus) {
	rows := make([][]any, 0, len(all))
	for _, w := range all {
		rows = append(rows, []any{w.Worker, w.Rack, w.Health, w.InUse, w.Accelerators})
	}
	e.table("WORKER\tRACK\tHEALTH\tIN USE\tACCELERATORS", rows)
}

func printRunners(e *env, all []model.RunnerStatus) {
	rows := make([][]any, 0, len(all))
	for _, r := range all {
		rows = append(rows, []any{r.Runner, r.Leaving, r.InFlight, r.Slots})
	}
	e.table("RUNNER\tLEAVING\tIN FLIGHT\tSLOTS", rows)
}

func printPeers(e *env, all []model.PeerStatus) {
	rows := make([][]any, 0, len(all))
	for _, p := range all {
		rows = append(rows, []any{p.Host, p.FailureDomain, p.Live})
	}
	e.table("ENTRY HOST\tFAILURE DOMAIN\tLIVE", rows)
}

type drainCommand struct {
	remote
}

// Help shows examples.
func (drainCommand) Help() string {
	return examples("chestnutmux drain --server http://10.0.0.1:7001 --token $OPERATOR") +
		"\n\nGive the address of the entry host itself, not of the balancer."
}

// Run asks the entry host to shut down gracefully.
func (c *drainCommand) Run(e *env) error {
	ctx, stop := e.short()
	defer stop()
	if err := c.client().Drain(ctx); err != nil {
		return err
	}
	return c.done(e, "drain", "drain accepted; the entry host ends when its requests have ended")
}

// done reports an accepted command.
func (r *remote) done(e *env, what, text string) error {
	if r.JSON {
		return e.printJSON(map[string]string{"accepted": what})
	}
	e.printf("%s\n", text)
	return nil
}

type logLevelCommand struct {
	remote
	Level string `arg:"" enum:"trace,debug,info,warn,error" help:"trace, debug, info, warn or error."`
}

// Help shows examples.
func (logLevelCommand) Help() string {
	return examples("chestnutmux log-level debug --server http://10.0.0.1:7001 --token $OPERATOR")
}

// Run changes the log level of the entry host.
func (c *logLevelCommand) Run(e *env) error {
	ctx, stop := e.short()
	defer stop()
	if err := c.client().SetLogLevel(ctx, c.Level); err != nil {
		return err
	}
	return c.done(e, "log-level", "log level "+c.Level)
}

// version is set by the linker at release.
var version = "0.1.0-dev"

type versionCommand struct {
	JSON bool `help:"Print JSON instead of text."`
}

// Help shows examples.
func (versionCommand) Help() string { return examples("chestnutmux version") }

// Run prints the version.
func (c versionCommand) Run(e *env) error {
	if c.JSON {
		return e.printJSON(map[string]string{"version": version})
	}
	e.printf("%s\n", version)
	return nil
}

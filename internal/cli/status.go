package cli

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// statusCommand shows the status of an entry host, of one object that it knows, or of jobs.
type statusCommand struct {
	serverFlags
	Jobs      bool              `help:"List the jobs of the token's workspace." xor:"view"`
	Job       model.JobID       `help:"Show one job of the token's workspace." xor:"view"`
	Workspace model.WorkspaceID `help:"Show one workspace." xor:"view"`
	Worker    model.HostID      `help:"Show one worker; only the leader knows it." xor:"view"`
	Host      model.HostID      `help:"Show one entry host as the asked one sees it." xor:"view"`
}

// Help implements kong.HelpProvider.
func (statusCommand) Help() string {
	return formatExamples("chestnutmux status --token $OPERATOR", "chestnutmux status --worker kartli-a-r1-0 --token $OPERATOR",
		"chestnutmux status --jobs --token $CALLER", "chestnutmux status --job night-1 --json --token $CALLER",
	) + "\n\n--jobs and --job take a caller's token, all else an operator's."
}

// Run prints the view that the flags select, or the status of the whole host.
func (c *statusCommand) Run(e *env) error {
	ctx, cancel := e.withRequestTimeout()
	defer cancel()
	switch {
	case c.Job != "":
		job, err := c.newClient().Job(ctx, c.Job, 0)
		if err != nil {
			return err
		}
		return printJobs(e, c.JSON, []model.Job{job})
	case c.Jobs:
		jobs, err := c.newClient().Jobs(ctx)
		if err != nil {
			return err
		}
		if len(jobs) == 0 {
			e.printProgress("no jobs in the workspace")
		}
		return printJobs(e, c.JSON, jobs)
	}
	s, err := c.newClient().Status(ctx)
	if err != nil {
		return err
	}
	switch {
	case c.Workspace != "":
		return printMatch(e, c.JSON, s.Workspaces, printWorkspaces, func(w model.WorkspaceStatus) bool { return w.Workspace == c.Workspace },
			fmt.Sprintf("no workspace %s in version %d; check its name", c.Workspace, s.ConfigVersion))
	case c.Worker != "":
		return printMatch(e, c.JSON, s.Workers, printWorkers, func(w model.WorkerStatus) bool { return w.Worker == c.Worker },
			fmt.Sprintf("entry host %s does not know worker %s; ask the leader (%s)", s.Host, c.Worker, s.Leader))
	case c.Host != "" && c.Host != s.Host:
		return printMatch(e, c.JSON, s.Peers, printPeers, func(p model.PeerStatus) bool { return p.Host == c.Host },
			fmt.Sprintf("entry host %s does not list host %s; check its id in the platform's host list", s.Host, c.Host))
	case c.JSON:
		return e.printJSON(s)
	}
	printStatus(e, s)
	return nil
}

// printMatch prints the first item that matches. If none does, it returns an error with notFoundMessage.
func printMatch[T any](e *env, asJSON bool, items []T, printItems func(*env, []T), match func(T) bool, notFoundMessage string) error {
	for _, item := range items {
		if !match(item) {
			continue
		}
		if asJSON {
			return e.printJSON(item)
		}
		printItems(e, []T{item})
		return nil
	}
	return errors.New(notFoundMessage)
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
	for _, domain := range s.EvacuatedDomains {
		e.printf("failure domain %s is evacuated\n", domain)
	}
	for invariant, count := range s.InvariantViolations {
		e.printf("invariant %s violated %d times; see docs/OPERATIONS.md\n", invariant, count)
	}
	printWorkspaces(e, s.Workspaces)
	printRunTimes(e, s.RunTimes)
	printWorkers(e, s.Workers)
	printRunners(e, s.Runners)
	printPeers(e, s.Peers)
}

func printWorkspaces(e *env, workspaces []model.WorkspaceStatus) {
	rows := make([][]any, 0, len(workspaces))
	for _, w := range workspaces {
		rows = append(rows, []any{w.Workspace, w.Queued, w.Running, w.InUse, w.Quota})
	}
	e.printTable("WORKSPACE\tQUEUED\tRUNNING\tIN USE\tQUOTA", rows)
}

func printWorkers(e *env, workers []model.WorkerStatus) {
	rows := make([][]any, 0, len(workers))
	for _, w := range workers {
		rows = append(rows, []any{w.Worker, w.Rack, w.Health, w.InUse, w.Accelerators})
	}
	e.printTable("WORKER\tRACK\tHEALTH\tIN USE\tACCELERATORS", rows)
}

func printRunTimes(e *env, kinds []model.RunTimeStatus) {
	rows := make([][]any, 0, len(kinds))
	for _, k := range kinds {
		rows = append(rows, []any{k.Workspace, k.Queue, k.Step, k.Need.Accelerators, k.Gang, k.Runs, k.MeanMS, k.MedianMS, k.P99MS})
	}
	e.printTable("WORKSPACE\tQUEUE\tSTEP\tACCELERATORS\tGANG\tRUNS\tMEAN MS\tP50 MS\tP99 MS", rows)
}

func printRunners(e *env, runners []model.RunnerStatus) {
	rows := make([][]any, 0, len(runners))
	for _, r := range runners {
		rows = append(rows, []any{r.Runner, r.Leaving, r.InFlight, r.Slots})
	}
	e.printTable("RUNNER\tLEAVING\tIN FLIGHT\tSLOTS", rows)
}

func printPeers(e *env, peers []model.PeerStatus) {
	rows := make([][]any, 0, len(peers))
	for _, p := range peers {
		rows = append(rows, []any{p.Host, p.FailureDomain, p.Live})
	}
	e.printTable("ENTRY HOST\tFAILURE DOMAIN\tLIVE", rows)
}

// drainCommand shuts an entry host down.
type drainCommand struct {
	serverFlags
}

// Help implements kong.HelpProvider.
func (drainCommand) Help() string {
	return formatExamples("chestnutmux drain --server http://10.0.0.1:7001 --token $OPERATOR") +
		"\n\nGive the address of the entry host itself, not of the balancer."
}

// Run requests a graceful shutdown of the entry host.
func (c *drainCommand) Run(e *env) error {
	ctx, cancel := e.withRequestTimeout()
	defer cancel()
	if err := c.newClient().Drain(ctx); err != nil {
		return err
	}
	return c.printAccepted(e, "drain", "drain accepted; the entry host ends when its requests have ended")
}

// printAccepted prints that the entry host accepted the command, either as JSON with the name of the command or as text.
func (f *serverFlags) printAccepted(e *env, command, text string) error {
	if f.JSON {
		return e.printJSON(map[string]string{"accepted": command})
	}
	e.printf("%s\n", text)
	return nil
}

// logLevelCommand changes the log level of an entry host.
type logLevelCommand struct {
	serverFlags
	Level string `arg:"" enum:"trace,debug,info,warn,error" help:"trace, debug, info, warn or error."`
}

// Help implements kong.HelpProvider.
func (logLevelCommand) Help() string {
	return formatExamples("chestnutmux log-level debug --server http://10.0.0.1:7001 --token $OPERATOR")
}

// Run changes the log level of the entry host.
func (c *logLevelCommand) Run(e *env) error {
	ctx, cancel := e.withRequestTimeout()
	defer cancel()
	if err := c.newClient().SetLogLevel(ctx, c.Level); err != nil {
		return err
	}
	return c.printAccepted(e, "log-level", "log level "+c.Level)
}

// version is the version of the binary. The linker overwrites it in a release build.
var version = "0.1.0-dev"

// versionCommand prints the version of the binary.
type versionCommand struct {
	JSON bool `help:"Print JSON instead of text."`
}

// Help implements kong.HelpProvider.
func (versionCommand) Help() string { return formatExamples("chestnutmux version") }

// Run prints the version.
func (c versionCommand) Run(e *env) error {
	if c.JSON {
		return e.printJSON(map[string]string{"version": version})
	}
	e.printf("%s\n", version)
	return nil
}

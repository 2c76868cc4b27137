package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Exit codes of the commands, for scripts; the man page lists them.
const (
	ExitOK       = 0
	ExitFailure  = 1 // any other failure; also a job that did not finish
	ExitUsage    = 2 // wrong flag or file
	ExitNotRun   = 3 // the request was certainly not run
	ExitUnknown  = 4 // the outcome is unknown; repeat with the same id
	ExitConflict = 5 // another operator published first
)

// remote holds the flags of commands that talk to an entry host.
type remote struct {
	Server string `help:"URL of an entry host or of the balancer." default:"http://127.0.0.1:7001" env:"CHESTNUTMUX_SERVER"`
	Token  string `help:"Bearer token of the caller or operator." env:"CHESTNUTMUX_TOKEN"`
	JSON   bool   `help:"Print JSON instead of text."`
}

func (r *remote) client() *client.Client {
	return &client.Client{Base: r.Server, Token: r.Token}
}

// env is handed to each command.
type env struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

// printJSON writes v as one line.
func (e *env) printJSON(v any) error {
	return json.NewEncoder(e.out).Encode(v)
}

func (e *env) printf(format string, args ...any) {
	fmt.Fprintf(e.out, format, args...)
}

type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry host."`
	Check    checkCommand    `cmd:"" help:"Check a configuration or settings file."`
	Publish  publishCommand  `cmd:"" help:"Publish a configuration file."`
	Diff     diffCommand     `cmd:"" help:"Show what a publish of the file would change."`
	Submit   submitCommand   `cmd:"" help:"Submit a job."`
	Cancel   cancelCommand   `cmd:"" help:"Cancel jobs."`
	Call     callCommand     `cmd:"" help:"Send a service request and print the answer."`
	Status   statusCommand   `cmd:"" help:"Show an entry host, or the jobs of a workspace."`
	Explain  explainCommand  `cmd:"" help:"Tell why a job waits and what would let it start."`
	LogLevel logLevelCommand `cmd:"" help:"Change the log level of an entry host until it restarts."`
	Drain    drainCommand    `cmd:"" help:"Shut an entry host down gracefully."`
	Bench    benchCommand    `cmd:"" help:"Measure the scheduling policy against baselines on a virtual clock."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// exit carries the code of kong's own exits (help, usage) through a panic-free path.
type exit struct {
	code *int
}

// Run parses args, runs one command and returns the exit code.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(&env{ctx: ctx, out: os.Stdout, err: os.Stderr}, args)
}

func run(e *env, args []string) int {
	var cmds commands
	var exited exit
	parser, err := kong.New(&cmds,
		kong.Name("chestnutmux"),
		kong.Description("Scheduler for multi-accelerator jobs and service requests under workspace guarantees."),
		kong.UsageOnError(),
		kong.Writers(e.out, e.err),
		kong.Exit(func(code int) { exited.code = &code }),
	)
	if err != nil {
		fmt.Fprintln(e.err, "chestnutmux:", err)
		return ExitFailure
	}
	kctx, err := parser.Parse(args)
	if exited.code != nil {
		return *exited.code
	}
	if err != nil {
		fmt.Fprintf(e.err, "chestnutmux: %v; see chestnutmux --help\n", err)
		return ExitUsage
	}
	if err := kctx.Run(e); err != nil {
		fmt.Fprintln(e.err, "chestnutmux:", err)
		return exitCode(err)
	}
	return ExitOK
}

// usageError marks a wrong flag or file.
type usageError struct{ error }

// Unwrap returns the cause.
func (u usageError) Unwrap() error { return u.error }

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var e *model.Error
	if !errors.As(err, &e) {
		return ExitFailure
	}
	switch {
	case e.Kind == model.KindConflict:
		return ExitConflict
	case e.Outcome == model.OutcomeNotRun:
		return ExitNotRun
	case e.Outcome == model.OutcomeUnknown:
		return ExitUnknown
	}
	return ExitFailure
}

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Exit codes of the commands, for scripts; the man page lists them.
const (
	ExitOK       = 0
	ExitFailure  = 1 // any other failure; also a job that did not finish
	ExitUsage    = 2 // wrong flag, file or request
	ExitNotRun   = 3 // the request was certainly not run
	ExitUnknown  = 4 // the outcome is unknown; repeat with the same id
	ExitConflict = 5 // another operator published first, or the id belongs to other work
)

// requestTimeout bounds one exchange with an entry host, long poll included.
const requestTimeout = 30 * time.Second

// remote holds the flags of commands that talk to an entry host.
type remote struct {
	Server string `help:"URL of an entry host or of the balancer." default:"http://127.0.0.1:7001" env:"CHESTNUTMUX_SERVER"`
	Token  string `help:"Bearer token of the caller or operator." env:"CHESTNUTMUX_TOKEN"`
	JSON   bool   `help:"Print JSON instead of text."`
}

// AfterApply checks the flags before the command runs.
func (r *remote) AfterApply() error {
	u, err := url.Parse(r.Server)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Newf("--server %q is no URL; write it like http://10.0.0.1:7001", r.Server)
	}
	if r.Token == "" {
		return errors.New("no token; give --token or set CHESTNUTMUX_TOKEN")
	}
	return nil
}

func (r *remote) client() *client.Client {
	return &client.Client{BaseURL: r.Server, Token: r.Token}
}

// env is handed to each command.
type env struct {
	ctx context.Context
	in  io.Reader
	out io.Writer
	err io.Writer
}

// short returns a context for one exchange with an entry host.
func (e *env) short() (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.ctx, requestTimeout)
}

// printJSON writes v as one line.
func (e *env) printJSON(v any) error {
	return json.NewEncoder(e.out).Encode(v)
}

func (e *env) printf(format string, args ...any) {
	fmt.Fprintf(e.out, format, args...)
}

// progress writes a line for a person who waits; it is no part of the result.
func (e *env) progress(format string, args ...any) {
	fmt.Fprintf(e.err, format+"\n", args...)
}

// table writes rows in aligned columns below their headings.
func (e *env) table(heading string, rows [][]any) {
	if len(rows) == 0 {
		return
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, heading)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(w, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	}
	_ = w.Flush()
}

type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry host."`
	Entry    entryCommand    `cmd:"" help:"Run an entry host on the users' platform."`
	Check    checkCommand    `cmd:"" help:"Check a configuration or settings file."`
	Publish  publishCommand  `cmd:"" help:"Publish a configuration file."`
	Diff     diffCommand     `cmd:"" help:"Show what a publish of the file would change."`
	Submit   submitCommand   `cmd:"" help:"Submit a job, or all jobs of a file."`
	Cancel   cancelCommand   `cmd:"" help:"Cancel jobs."`
	Call     callCommand     `cmd:"" help:"Send a service request and print the answer."`
	Status   statusCommand   `cmd:"" help:"Show an entry host and what it knows, or jobs."`
	Explain  explainCommand  `cmd:"" help:"Tell why a job waits and what would let it start."`
	LogLevel logLevelCommand `cmd:"" help:"Change the log level of an entry host until it restarts."`
	Drain    drainCommand    `cmd:"" help:"Shut an entry host down gracefully."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// examples formats example commands for the help text, which keeps indented lines as they are.
func examples(lines ...string) string {
	return "Examples:\n\n  " + strings.Join(lines, "\n  ")
}

// Run parses args, runs one command and returns the exit code.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(&env{ctx: ctx, in: os.Stdin, out: os.Stdout, err: os.Stderr}, args)
}

// newParser returns the parser of the command line; exit is called instead of os.Exit.
func newParser(e *env, exit func(int)) (*kong.Kong, error) {
	return kong.New(&commands{},
		kong.Name("chestnutmux"),
		kong.Description("Scheduler for multi-accelerator jobs and service requests under workspace guarantees.\n\n"+
			"Exit codes: 0 done, 1 failed, 2 wrong flag or file, 3 not run, 4 outcome unknown, 5 conflict."),
		kong.Writers(e.out, e.err),
		kong.Exit(exit),
	)
}

func run(e *env, args []string) int {
	exited := -1
	parser, err := newParser(e, func(code int) {
		if exited < 0 {
			exited = code
		}
	})
	if err != nil {
		fmt.Fprintln(e.err, "chestnutmux:", err)
		return ExitFailure
	}
	kctx, err := parser.Parse(args)
	if exited >= 0 { // after --help
		return exited
	}
	if err != nil {
		fmt.Fprintf(e.err, "chestnutmux: %v; see chestnutmux %s--help\n", err, commandOf(err))
		return ExitUsage
	}
	if err := kctx.Run(e); err != nil {
		fmt.Fprintln(e.err, "chestnutmux:", err)
		return exitCode(err)
	}
	return ExitOK
}

// commandOf names the command that the flags of a failed parse belong to, for a hint to its help.
func commandOf(err error) string {
	var failed *kong.ParseError
	if !errors.As(err, &failed) || failed.Context == nil {
		return ""
	}
	if name := failed.Context.Command(); name != "" {
		return strings.Fields(name)[0] + " "
	}
	return ""
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
	case e.Outcome == model.OutcomeUnknown:
		return ExitUnknown
	case e.Kind == model.ErrorKindConflict:
		return ExitConflict
	case e.Kind == model.ErrorKindInvalid:
		return ExitUsage
	case e.Outcome == model.OutcomeNotRun:
		return ExitNotRun
	}
	return ExitFailure
}

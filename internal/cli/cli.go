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

// Exit codes of the commands. Scripts depend on them, and the man page documents them.
const (
	ExitOK       = 0
	ExitFailure  = 1 // any other failure, including a job that did not finish successfully
	ExitUsage    = 2 // invalid flag, file or request
	ExitNotRun   = 3 // the request is known not to have run
	ExitUnknown  = 4 // the outcome is unknown; retry with the same id
	ExitConflict = 5 // another operator published first, or the id belongs to a different request or job
)

// requestTimeout limits one request to an entry host. It must be longer than longPollWait, so that long polls do not fail.
const requestTimeout = 30 * time.Second

// serverFlags holds the flags of all commands that send requests to an entry host.
type serverFlags struct {
	Server string `help:"URL of an entry host or of the balancer." default:"http://127.0.0.1:7001" env:"CHESTNUTMUX_SERVER"`
	Token  string `help:"Bearer token of the caller or operator." env:"CHESTNUTMUX_TOKEN"`
	JSON   bool   `help:"Print JSON instead of text."`
}

// AfterApply validates the flags. Kong calls it after parsing, before the command runs.
func (f *serverFlags) AfterApply() error {
	u, err := url.Parse(f.Server)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Newf("--server %q is no URL; write it like http://10.0.0.1:7001", f.Server)
	}
	if f.Token == "" {
		return errors.New("no token; give --token or set CHESTNUTMUX_TOKEN")
	}
	return nil
}

func (f *serverFlags) newClient() *client.Client {
	return &client.Client{BaseURL: f.Server, Token: f.Token}
}

// env holds the context and the standard streams of a command.
type env struct {
	ctx    context.Context // ends when the command is interrupted
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// withRequestTimeout returns the context for one request to an entry host.
func (e *env) withRequestTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.ctx, requestTimeout)
}

// printJSON writes v to standard output as one line of JSON.
func (e *env) printJSON(v any) error {
	return json.NewEncoder(e.stdout).Encode(v)
}

// printf writes to standard output.
func (e *env) printf(format string, args ...any) {
	fmt.Fprintf(e.stdout, format, args...)
}

// printProgress writes a line to standard error, so that standard output contains only the result.
func (e *env) printProgress(format string, args ...any) {
	fmt.Fprintf(e.stderr, format+"\n", args...)
}

// printTable writes a header and rows in aligned columns. It writes nothing if there are no rows.
func (e *env) printTable(header string, rows [][]any) {
	if len(rows) == 0 {
		return
	}
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(w, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	}
	_ = w.Flush()
}

// commands defines the commands of the binary. Kong derives their names from the names of the fields.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry host."`
	Entry    entryCommand    `cmd:"" help:"Run an entry host on the users' platform."`
	Check    checkCommand    `cmd:"" help:"Check a configuration or settings file."`
	Publish  publishCommand  `cmd:"" help:"Publish a configuration file."`
	Diff     diffCommand     `cmd:"" help:"Show what a publish of the file would change."`
	Evacuate evacuateCommand `cmd:"" help:"Start nothing more in a failure domain, or take that back."`
	Submit   submitCommand   `cmd:"" help:"Submit a job, or all jobs of a file."`
	Cancel   cancelCommand   `cmd:"" help:"Cancel jobs."`
	Call     callCommand     `cmd:"" help:"Send a service request and print the answer."`
	Status   statusCommand   `cmd:"" help:"Show an entry host and what it knows, or jobs."`
	Explain  explainCommand  `cmd:"" help:"Tell why a job waits and what would let it start."`
	LogLevel logLevelCommand `cmd:"" help:"Change the log level of an entry host until it restarts."`
	Drain    drainCommand    `cmd:"" help:"Shut an entry host down gracefully."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// formatExamples returns example commands for a help text. They are indented, because kong does not wrap indented lines.
func formatExamples(commandLines ...string) string {
	return "Examples:\n\n  " + strings.Join(commandLines, "\n  ")
}

// Run parses args, runs one command with the standard streams of the process and returns the exit code. SIGINT and SIGTERM
// end the context of the command.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(&env{ctx: ctx, stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr}, args)
}

// newParser returns the parser of the command line. Where kong would end the process, for example after --help, the parser
// calls exit.
func newParser(e *env, exit func(int)) (*kong.Kong, error) {
	return kong.New(&commands{},
		kong.Name("chestnutmux"),
		kong.Description("Scheduler for multi-accelerator jobs and service requests under workspace guarantees.\n\n"+
			"Exit codes: 0 done, 1 failed, 2 wrong flag or file, 3 not run, 4 outcome unknown, 5 conflict."),
		kong.Writers(e.stdout, e.stderr),
		kong.Exit(exit),
	)
}

// run parses args, runs one command in e and returns the exit code.
func run(e *env, args []string) int {
	parserExitCode := -1
	parser, err := newParser(e, func(code int) {
		if parserExitCode < 0 {
			parserExitCode = code
		}
	})
	if err != nil {
		fmt.Fprintln(e.stderr, "chestnutmux:", err)
		return ExitFailure
	}
	kctx, err := parser.Parse(args)
	if parserExitCode >= 0 { // the parser has handled --help
		return parserExitCode
	}
	if err != nil {
		fmt.Fprintf(e.stderr, "chestnutmux: %v; see chestnutmux %s--help\n", err, commandPrefix(err))
		return ExitUsage
	}
	if err := kctx.Run(e); err != nil {
		fmt.Fprintln(e.stderr, "chestnutmux:", err)
		return exitCode(err)
	}
	return ExitOK
}

// commandPrefix returns the name of the command whose flags could not be parsed, followed by a space, or "" if no command was
// recognized. It is part of the help command that the error message names.
func commandPrefix(err error) string {
	var parseErr *kong.ParseError
	if !errors.As(err, &parseErr) || parseErr.Context == nil {
		return ""
	}
	if name := parseErr.Context.Command(); name != "" {
		return strings.Fields(name)[0] + " "
	}
	return ""
}

// usageError marks an error that is caused by an invalid flag or file; its exit code is ExitUsage.
type usageError struct{ error }

// Unwrap returns the underlying error, for errors.Is and errors.As.
func (u usageError) Unwrap() error { return u.error }

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var usageErr usageError
	if errors.As(err, &usageErr) {
		return ExitUsage
	}
	var apiErr *model.Error
	if !errors.As(err, &apiErr) {
		return ExitFailure
	}
	switch {
	case apiErr.Outcome == model.OutcomeUnknown:
		return ExitUnknown
	case apiErr.Kind == model.ErrorKindConflict:
		return ExitConflict
	case apiErr.Kind == model.ErrorKindInvalid:
		return ExitUsage
	case apiErr.Outcome == model.OutcomeNotRun:
		return ExitNotRun
	}
	return ExitFailure
}

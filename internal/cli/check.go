package cli

import (
	"strconv"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/bodyreader"
	"chestnutmux.example/chestnutmux/internal/checker"
	"chestnutmux.example/chestnutmux/internal/protector"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/differ"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// inForce is the value of --against that stands for the configuration in force.
const inForce = "in-force"

// checkCommand checks a configuration or settings file.
type checkCommand struct {
	File         string       `arg:"" help:"Configuration file of either format, JSON; the project's own format may have comments."`
	Settings     bool         `help:"The file holds the settings of an entry host."`
	Format       configFormat `help:"Format of the file: own, platform, or auto to detect it." default:"auto" enum:"auto,own,platform"`
	Against      string       `help:"Show what differs from another file, or from the configuration in force, by object and field." placeholder:"FILE|in-force"`
	Strict       bool         `help:"Treat warnings as errors."`
	Accelerators int64        `help:"Accelerators of the fleet, which all guarantees together must not exceed." placeholder:"N"`
	MemoryMB     int64        `name:"memory-mb" help:"Memory limit of an entry host in MiB." placeholder:"N"`
	Server       string       `help:"URL of an entry host or of the balancer, for --against in-force." default:"http://127.0.0.1:7001" env:"CHESTNUTMUX_SERVER"`
	Token        string       `help:"Bearer token of the operator, for --against in-force." env:"CHESTNUTMUX_TOKEN"`
	JSON         bool         `help:"Print JSON instead of text."`
}

// Help implements kong.HelpProvider.
func (checkCommand) Help() string {
	return formatExamples("chestnutmux check config.hujson", "chestnutmux check --settings entry.hujson",
		"chestnutmux check --against in-force --memory-mb 256 config.hujson",
		"chestnutmux check --format platform --accelerators 2800 --strict --against before.json after.json") +
		"\n\nErrors are what would be refused, or have another effect than the file states; warnings are probable mistakes. The exit code is 0 " +
		"without errors, 1 with errors, 2 for a file that can't be read or parsed. Keys are never printed, only the beginnings of their digests."
}

// checkResult is the output of the command as JSON.
type checkResult struct {
	Faults      []model.ConfigFault  `json:"faults"` // the errors among the findings
	Findings    []checker.Finding    `json:"findings,omitempty"`
	Against     string               `json:"against,omitempty"` // what the file was compared with; empty if it was not
	Differences []differ.FieldChange `json:"differences,omitempty"`
}

// Run checks the file. It sends no request to an entry host, except for the configuration in force.
func (c *checkCommand) Run(e *env) error {
	if err := c.validate(); err != nil {
		return usageError{err}
	}
	if c.Settings {
		if _, err := settings.Load(c.File); err != nil {
			return usageError{err}
		}
		return c.print(e, checkResult{})
	}
	file, err := readConfigFile(e, c.File, c.Format)
	if err != nil {
		return c.printUnparsed(e, err)
	}
	var result checkResult
	options := c.options()
	againstErr := c.compare(e, file, &result, &options)
	result.Findings = file.check(options)
	if c.Strict {
		result.Findings = checker.Strict(result.Findings)
	}
	if err := c.print(e, result); againstErr == nil || errors.As(err, new(outputError)) {
		return err
	}
	return againstErr
}

// validate checks the flags.
func (c *checkCommand) validate() error {
	switch {
	case c.Settings && (c.Against != "" || c.Format != formatAuto || c.Accelerators != 0 || c.MemoryMB != 0):
		return errors.New("--settings has nothing to do with --against, --format, --accelerators and --memory-mb; leave them out")
	case c.File == "-" && c.Against == "-":
		return errors.New("standard input can't be compared with itself; give a file")
	case c.Accelerators < 0:
		return errors.Newf("--accelerators %d is out of bounds; give a number of at least 1", c.Accelerators)
	case c.MemoryMB < 0 || c.MemoryMB > maxMemoryMB:
		return errors.Newf("--memory-mb %d is out of bounds; give a number from 1 to %d", c.MemoryMB, maxMemoryMB)
	}
	return nil
}

// maxMemoryMB is far above the memory of any host, and has a number of bytes without overflow.
const maxMemoryMB = 1 << 30

// options returns what the configuration is judged by.
func (c *checkCommand) options() checker.Options {
	o := checker.Options{Accelerators: c.Accelerators}
	if memory := c.MemoryMB << 20; memory > 0 {
		limits := protector.Limits{MemoryBytes: memory, SoftMemoryBytes: memory}
		o.LargestBody = bodyreader.LargestBody(limits.BodyBudget(protector.Usage{}))
		o.LargestSureBody = bodyreader.LargestBody(limits.BodyBudget(protector.Usage{HeldBytes: memory}))
	}
	return o
}

// compare adds the differences from what --against names to the result, and its version to the options.
func (c *checkCommand) compare(e *env, file *configFile, result *checkResult, options *checker.Options) error {
	if c.Against == "" {
		return nil
	}
	other, err := c.readOther(e, file.format)
	if err != nil {
		return err
	}
	if file.format != other.format {
		return usageError{errors.Newf("%s has the format %s and %s the format %s; compare files of one format", c.File, file.format, c.Against, other.format)}
	}
	result.Differences, err = file.diffFrom(other)
	if err != nil {
		return usageError{err}
	}
	result.Against = c.Against
	if other.isInForce {
		result.Against = "version " + strconv.FormatInt(other.version, 10)
	}
	options.CompareVersion, options.VersionInForce = file.format == formatPlatform, other.version
	return nil
}

// readOther reads the configuration that --against names.
func (c *checkCommand) readOther(e *env, format configFormat) (*configFile, error) {
	if c.Against != inForce {
		return readConfigFile(e, c.Against, c.Format)
	}
	if format != formatOwn {
		return nil, usageError{errors.New("--against in-force reads our own protocol; give a file for a configuration of the platform")}
	}
	flags := serverFlags{Server: c.Server, Token: c.Token}
	if err := flags.AfterApply(); err != nil {
		return nil, usageError{err}
	}
	ctx, cancel := e.withRequestTimeout()
	defer cancel()
	current, err := flags.newClient().Config(ctx)
	if err != nil {
		return nil, err
	}
	return &configFile{format: formatOwn, set: current.Config, version: int64(current.Version), isInForce: true}, nil
}

// printUnparsed prints the error of a file that can't be read or parsed as JSON, if that is asked for, and returns the error.
func (c *checkCommand) printUnparsed(e *env, err error) error {
	if finding, ok := findingOf(err); ok && c.JSON {
		return errors.CombineErrors(err, e.printJSON(checkResult{Faults: []model.ConfigFault{finding.Fault()}, Findings: []checker.Finding{finding}}))
	}
	return err
}

// outputError marks an error of writing the result.
type outputError struct{ error }

// print prints the result and returns an error if there are errors among the findings.
func (c *checkCommand) print(e *env, r checkResult) error {
	r.Faults = []model.ConfigFault{}
	for _, f := range r.Findings {
		if f.Severity == checker.SeverityError {
			r.Faults = append(r.Faults, f.Fault())
		}
	}
	errorCount, warningCount := len(r.Faults), len(r.Findings)-len(r.Faults)
	if c.JSON {
		if err := e.printJSON(r); err != nil {
			return outputError{err}
		}
	} else {
		c.printText(e, r, errorCount, warningCount)
	}
	if errorCount > 0 {
		return errors.Newf("%s: %s, %s", c.File, formatCount(errorCount, "error"), formatCount(warningCount, "warning"))
	}
	return nil
}

// printText prints the result as text, one finding or difference a line.
func (c *checkCommand) printText(e *env, r checkResult, errorCount, warningCount int) {
	for _, f := range r.Findings {
		e.printf("%s: %s\n", c.File, printable(f.String()))
	}
	if r.Against != "" {
		e.printf("against %s: %s\n", r.Against, formatCount(len(r.Differences), "difference"))
	}
	for _, d := range r.Differences {
		e.printf("%s\n", printable(d.String()))
	}
	switch {
	case errorCount > 0:
	case warningCount > 0:
		e.printf("%s: no errors, %s\n", c.File, formatCount(warningCount, "warning"))
	default:
		e.printf("%s: no faults\n", c.File)
	}
}

// printable replaces what is not printable, since a name can have control characters that a terminal carries out.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}

// formatCount returns a number with its noun.
func formatCount(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return strconv.Itoa(n) + " " + noun
}

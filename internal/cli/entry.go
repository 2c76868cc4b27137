package cli

import (
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/logwriter"
	"chestnutmux.example/chestnutmux/platform"
)

// entryCommand runs an entry host on the users' platform.
type entryCommand struct {
	Metrics  string `help:"IP:port at which counters and histograms are served as JSON."`
	LogLevel string `help:"Least level of log lines." default:"info" enum:"trace,debug,info,warn,error"`
}

// Help implements kong.HelpProvider.
func (entryCommand) Help() string {
	return formatExamples("chestnutmux entry", "chestnutmux entry --metrics 10.0.0.1:9100 --log-level debug") +
		"\n\nThe platform names the settings file in the environment. Logs are JSON lines on standard output."
}

// Run runs the entry host until SIGTERM or SIGINT, then shuts it down gracefully.
func (c *entryCommand) Run(e *env) error {
	logOutput := logwriter.New(e.stdout)
	defer logOutput.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "chestnutmux", Level: hclog.LevelFromString(c.LogLevel), Output: logOutput, JSONFormat: true,
	})
	return platform.Run(e.ctx, c.Metrics, logger)
}

package cli

import (
	"os"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/daemon"
	"chestnutmux.example/chestnutmux/internal/settings"
)

// serveCommand runs an entry host with a settings file.
type serveCommand struct {
	Settings string `help:"Settings file, JSON with comments." required:"" type:"path"`
}

// Help implements kong.HelpProvider.
func (serveCommand) Help() string {
	return formatExamples("chestnutmux check --settings entry.hujson", "chestnutmux serve --settings entry.hujson") +
		"\n\nLogs are JSON lines on standard error. SIGTERM shuts down gracefully."
}

// Run runs the entry host until SIGTERM or SIGINT, then shuts it down gracefully.
func (c *serveCommand) Run(e *env) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "chestnutmux",
		Level:      hclog.LevelFromString(s.LogLevel),
		Output:     os.Stderr,
		JSONFormat: true,
	}).With("host", string(s.HostID))
	debug.SetMemoryLimit(daemon.SoftMemoryBytes(s))
	return daemon.Run(e.ctx, s, logger)
}

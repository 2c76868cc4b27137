package cli

import (
	"os"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/daemon"
	"chestnutmux.example/chestnutmux/internal/settings"
)

type serveCommand struct {
	Settings string `help:"Settings file, JSON with comments." required:"" type:"path"`
}

// Help shows examples.
func (serveCommand) Help() string {
	return examples("chestnutmux check --settings entry.hujson", "chestnutmux serve --settings entry.hujson") +
		"\n\nLogs are JSON lines on standard error. SIGTERM shuts down gracefully."
}

// Run serves until SIGTERM, then shuts down gracefully.
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
	return daemon.Run(e.ctx, s, logger)
}

package cli

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/differ"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/parser"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

type checkCommand struct {
	File     string `arg:"" help:"Configuration file, JSON with comments."`
	Settings bool   `help:"The file holds the settings of an entry host."`
}

// Help shows examples.
func (checkCommand) Help() string {
	return "chestnutmux check config.hujson\nchestnutmux check --settings entry.hujson"
}

// Run checks the file without an entry host.
func (c *checkCommand) Run(e *env) error {
	if c.Settings {
		if _, err := settings.Load(c.File); err != nil {
			return usageError{err}
		}
		e.printf("%s: no faults\n", c.File)
		return nil
	}
	set, err := readSet(c.File)
	if err != nil {
		return err
	}
	if faults := validator.Check(set); len(faults) > 0 {
		return usageError{faultsError(c.File, faults)}
	}
	e.printf("%s: no faults\n", c.File)
	return nil
}

func readSet(path string) (model.Set, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return model.Set{}, usageError{errors.Wrap(err, "cannot read the configuration; check the path")}
	}
	set, err := parser.Parse(data)
	if err != nil {
		return model.Set{}, usageError{errors.Wrap(err, path)}
	}
	return set, nil
}

func faultsError(path string, faults []model.Fault) error {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, path+": "+faultText(f))
	}
	return errors.Newf("%d faults\n%s", len(faults), strings.Join(lines, "\n"))
}

func faultText(f model.Fault) string {
	return string(f.Kind) + " " + f.Name + ": " + f.Field + ": " + f.Message + "; " + f.Remedy
}

type publishCommand struct {
	remote
	File string        `arg:"" help:"Configuration file, JSON with comments; objects that it leaves out are deleted."`
	Base model.Version `help:"Version that the file was based on; default is the version in force. Objects changed since then conflict." default:"-1"`
}

// Help shows examples.
func (publishCommand) Help() string {
	return "chestnutmux publish config.hujson\nchestnutmux publish --base 41 config.hujson"
}

// Run publishes what differs from the configuration in force.
func (c *publishCommand) Run(e *env) error {
	changes, current, err := c.changes(e)
	if err != nil {
		return err
	}
	base := c.Base
	if base < 0 {
		base = current
	}
	if len(changes) == 0 {
		return c.print(e, current, 0)
	}
	version, err := c.client().Publish(e.ctx, model.Publish{Base: base, Schema: validator.Schema, Changes: changes})
	if err != nil {
		return withFaults(c.File, err)
	}
	return c.print(e, version, len(changes))
}

func (c *publishCommand) changes(e *env) ([]model.Change, model.Version, error) {
	set, err := readSet(c.File)
	if err != nil {
		return nil, 0, err
	}
	current, err := c.client().Config(e.ctx)
	if err != nil {
		return nil, 0, err
	}
	changes, err := differ.Diff(current.Set, set)
	return changes, current.Version, err
}

func (c *publishCommand) print(e *env, version model.Version, changed int) error {
	if c.JSON {
		return e.printJSON(map[string]any{"version": version, "changed": changed})
	}
	e.printf("version %d in force, %d objects changed\n", version, changed)
	return nil
}

// withFaults adds the faults of a refused publish to its message.
func withFaults(path string, err error) error {
	var refused *model.Error
	if !errors.As(err, &refused) || len(refused.Faults) == 0 {
		return err
	}
	return errors.WithSecondaryError(errors.Wrap(err, faultsError(path, refused.Faults).Error()), err)
}

type diffCommand struct {
	publishCommand
}

// Run prints the changes without publishing them.
func (c *diffCommand) Run(e *env) error {
	changes, version, err := c.changes(e)
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(map[string]any{"version": version, "changes": changes})
	}
	e.printf("against version %d\n", version)
	for _, ch := range changes {
		if ch.Spec == nil {
			e.printf("- %s %s\n", ch.Kind, ch.Name)
			continue
		}
		e.printf("+ %s %s %s\n", ch.Kind, ch.Name, ch.Spec)
	}
	return nil
}

package cli

import (
	"strings"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/differ"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/parser"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// readConfig reads and parses a configuration file. It does not validate the configuration.
func readConfig(e *env, path string) (model.ConfigSet, error) {
	data, err := e.readFile(path)
	if err != nil {
		return model.ConfigSet{}, err
	}
	config, err := parser.ParseConfig(data)
	if err != nil {
		return model.ConfigSet{}, usageError{errors.Wrap(err, path)}
	}
	return config, nil
}

// newFaultsError returns an error that lists the faults of a configuration file, one per line.
func newFaultsError(path string, faults []model.ConfigFault) error {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, path+": "+formatFault(f))
	}
	return errors.Newf("%d faults\n%s", len(faults), strings.Join(lines, "\n"))
}

func formatFault(f model.ConfigFault) string {
	return string(f.Kind) + " " + f.Name + ": " + f.Field + ": " + f.Message + "; " + f.Remedy
}

// publishCommand publishes a configuration file.
type publishCommand struct {
	serverFlags
	File string              `arg:"" help:"Configuration file, JSON with comments; objects that it leaves out are deleted."`
	Base model.ConfigVersion `help:"Version that the file was based on; default is the version in force. Objects changed since then conflict." default:"-1"`
}

// Help implements kong.HelpProvider.
func (publishCommand) Help() string {
	return formatExamples("chestnutmux publish config.hujson", "chestnutmux publish --base 41 config.hujson") +
		"\n\nThe file is the whole configuration: publishing an earlier file rolls back. With --base the publish is " +
		"refused when an object that it changes was changed after that version. Evacuations stay as they are unless the file has the section " +
		"evacuations, which may be empty."
}

// Run publishes the differences between the configuration in force and the file.
func (c *publishCommand) Run(e *env) error {
	changes, versionInForce, err := diffWithCurrent(e, &c.serverFlags, c.File)
	if err != nil {
		return err
	}
	base := c.Base
	if base < 0 {
		base = versionInForce
	}
	if len(changes) == 0 {
		return c.print(e, versionInForce, 0)
	}
	e.printProgress("publishing %d changes based on version %d", len(changes), base)
	ctx, cancel := e.withRequestTimeout()
	defer cancel()
	version, err := c.newClient().Publish(ctx, model.PublishRequest{BaseVersion: base, SchemaVersion: validator.SchemaVersion, Changes: changes})
	if err != nil {
		return expandFaults(c.File, err)
	}
	return c.print(e, version, len(changes))
}

// diffWithCurrent returns the changes that turn the configuration in force into the one in the file, and the version in force.
func diffWithCurrent(e *env, flags *serverFlags, path string) ([]model.ConfigChange, model.ConfigVersion, error) {
	config, err := readConfig(e, path)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := e.withRequestTimeout()
	defer cancel()
	current, err := flags.newClient().Config(ctx)
	if err != nil {
		return nil, 0, err
	}
	if config.Evacuations == nil {
		config.Evacuations = current.Config.Evacuations // a rollback of the configuration puts no domain back in use
	}
	changes, err := differ.Diff(current.Config, config)
	return changes, current.Version, err
}

// print prints the version in force after the publish and the number of objects that were changed.
func (c *publishCommand) print(e *env, version model.ConfigVersion, changedObjects int) error {
	if c.JSON {
		return e.printJSON(map[string]any{"version": version, "changed": changedObjects})
	}
	e.printf("version %d in force, %d objects changed\n", version, changedObjects)
	return nil
}

// expandFaults returns an error that lists the faults of a refused publish instead of their summary. Errors without a list of
// faults are returned unchanged.
func expandFaults(path string, err error) error {
	var apiErr *model.Error
	if !errors.As(err, &apiErr) || len(apiErr.Faults) == 0 {
		return err
	}
	return usageError{newFaultsError(path, apiErr.Faults)}
}

// diffCommand shows the changes that a publish of a file would make.
type diffCommand struct {
	serverFlags
	File string `arg:"" help:"Configuration file, JSON with comments."`
}

// Help implements kong.HelpProvider.
func (diffCommand) Help() string {
	return formatExamples("chestnutmux diff config.hujson", "chestnutmux diff --json config.hujson")
}

// Run prints the changes without publishing them.
func (c *diffCommand) Run(e *env) error {
	changes, version, err := diffWithCurrent(e, &c.serverFlags, c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(map[string]any{"version": version, "changes": changes})
	}
	e.printf("against version %d\n", version)
	for _, change := range changes {
		if change.Spec == nil {
			e.printf("- %s %s\n", change.Kind, change.Name)
			continue
		}
		e.printf("+ %s %s %s\n", change.Kind, change.Name, change.Spec)
	}
	return nil
}

package cli

import (
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
	JSON     bool   `help:"Print JSON instead of text."`
}

// Help shows examples.
func (checkCommand) Help() string {
	return examples("chestnutmux check config.hujson", "chestnutmux check --settings entry.hujson")
}

// Run checks the file without an entry host.
func (c *checkCommand) Run(e *env) error {
	if c.Settings {
		if _, err := settings.Load(c.File); err != nil {
			return usageError{err}
		}
		return c.done(e)
	}
	set, err := readSet(e, c.File)
	if err != nil {
		return err
	}
	if faults := validator.Validate(set); len(faults) > 0 {
		if c.JSON {
			return errors.CombineErrors(usageError{errors.Newf("%d faults", len(faults))}, e.printJSON(map[string]any{"faults": faults}))
		}
		return usageError{faultsError(c.File, faults)}
	}
	return c.done(e)
}

func (c *checkCommand) done(e *env) error {
	if c.JSON {
		return e.printJSON(map[string]any{"faults": []model.ConfigFault{}})
	}
	e.printf("%s: no faults\n", c.File)
	return nil
}

func readSet(e *env, path string) (model.ConfigSet, error) {
	data, err := e.readFile(path)
	if err != nil {
		return model.ConfigSet{}, err
	}
	set, err := parser.ParseConfig(data)
	if err != nil {
		return model.ConfigSet{}, usageError{errors.Wrap(err, path)}
	}
	return set, nil
}

func faultsError(path string, faults []model.ConfigFault) error {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, path+": "+faultText(f))
	}
	return errors.Newf("%d faults\n%s", len(faults), strings.Join(lines, "\n"))
}

func faultText(f model.ConfigFault) string {
	return string(f.Kind) + " " + f.Name + ": " + f.Field + ": " + f.Message + "; " + f.Remedy
}

type publishCommand struct {
	remote
	File string              `arg:"" help:"Configuration file, JSON with comments; objects that it leaves out are deleted."`
	Base model.ConfigVersion `help:"Version that the file was based on; default is the version in force. Objects changed since then conflict." default:"-1"`
}

// Help shows examples.
func (publishCommand) Help() string {
	return examples("chestnutmux publish config.hujson", "chestnutmux publish --base 41 config.hujson") +
		"\n\nThe file is the whole configuration: publishing an earlier file rolls back. With --base the publish is " +
		"refused when an object that it changes was changed after that version."
}

// Run publishes what differs from the configuration in force.
func (c *publishCommand) Run(e *env) error {
	changed, current, err := changes(e, &c.remote, c.File)
	if err != nil {
		return err
	}
	base := c.Base
	if base < 0 {
		base = current
	}
	if len(changed) == 0 {
		return c.print(e, current, 0)
	}
	e.progress("publishing %d changes based on version %d", len(changed), base)
	ctx, stop := e.short()
	defer stop()
	version, err := c.client().Publish(ctx, model.PublishRequest{BaseVersion: base, SchemaVersion: validator.SchemaVersion, Changes: changed})
	if err != nil {
		return withFaults(c.File, err)
	}
	return c.print(e, version, len(changed))
}

// changes returns what turns the configuration in force into that of the file.
func changes(e *env, r *remote, path string) ([]model.ConfigChange, model.ConfigVersion, error) {
	set, err := readSet(e, path)
	if err != nil {
		return nil, 0, err
	}
	ctx, stop := e.short()
	defer stop()
	current, err := r.client().Config(ctx)
	if err != nil {
		return nil, 0, err
	}
	diff, err := differ.Diff(current.Config, set)
	return diff, current.Version, err
}

func (c *publishCommand) print(e *env, version model.ConfigVersion, changed int) error {
	if c.JSON {
		return e.printJSON(map[string]any{"version": version, "changed": changed})
	}
	e.printf("version %d in force, %d objects changed\n", version, changed)
	return nil
}

// withFaults replaces the summary of a refused publish by its faults.
func withFaults(path string, err error) error {
	var refused *model.Error
	if !errors.As(err, &refused) || len(refused.Faults) == 0 {
		return err
	}
	return usageError{faultsError(path, refused.Faults)}
}

type diffCommand struct {
	remote
	File string `arg:"" help:"Configuration file, JSON with comments."`
}

// Help shows examples.
func (diffCommand) Help() string {
	return examples("chestnutmux diff config.hujson", "chestnutmux diff --json config.hujson")
}

// Run prints the changes without publishing them.
func (c *diffCommand) Run(e *env) error {
	changed, version, err := changes(e, &c.remote, c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(map[string]any{"version": version, "changes": changed})
	}
	e.printf("against version %d\n", version)
	for _, ch := range changed {
		if ch.Spec == nil {
			e.printf("- %s %s\n", ch.Kind, ch.Name)
			continue
		}
		e.printf("+ %s %s %s\n", ch.Kind, ch.Name, ch.Spec)
	}
	return nil
}

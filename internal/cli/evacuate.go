package cli

import (
	"encoding/json"

	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// evacuateCommand requests that nothing more be started in a failure domain, or takes the request back.
type evacuateCommand struct {
	serverFlags
	Domain model.DomainID `arg:"" help:"Failure domain."`
	Back   bool           `help:"Take the request back."`
}

// Help implements kong.HelpProvider.
func (evacuateCommand) Help() string {
	return formatExamples("chestnutmux evacuate kartli-a", "chestnutmux evacuate --back kartli-a") +
		"\n\nWhat runs in the failure domain goes on. The domain is empty when the metric evacuated of the leader shows 0 runs." +
		" Status lists the evacuated domains; on the leader, also their workers and the accelerators in use."
}

// Run publishes the request or its removal, unless the configuration in force is already so.
func (c *evacuateCommand) Run(e *env) error {
	ctx, cancel := e.withRequestTimeout()
	defer cancel()
	current, err := c.newClient().Config(ctx)
	if err != nil {
		return err
	}
	version := current.Version
	if _, evacuated := current.Config.Evacuations[c.Domain]; evacuated == c.Back {
		change := model.ConfigChange{Kind: model.ObjectKindEvacuation, Name: string(c.Domain)}
		if !c.Back {
			change.Spec = json.RawMessage("{}")
		}
		version, err = c.newClient().Publish(ctx, model.PublishRequest{
			BaseVersion: current.Version, SchemaVersion: validator.SchemaVersion, Changes: []model.ConfigChange{change},
		})
		if err != nil {
			return expandFaults("evacuate", err)
		}
	}
	if c.JSON {
		return e.printJSON(map[string]any{"version": version, "failure-domain": c.Domain, "evacuated": !c.Back})
	}
	state := "evacuated"
	if c.Back {
		state = "back in use"
	}
	e.printf("version %d in force, failure domain %s %s\n", version, c.Domain, state)
	return nil
}

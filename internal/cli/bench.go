package cli

import "github.com/cockroachdb/errors"

type benchCommand struct{}

// Run measures the policy.
func (benchCommand) Run(*env) error {
	return errors.New("bench is not built yet")
}

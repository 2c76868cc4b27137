package cli

import (
	"bytes"
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// callCommand sends one service request.
type callCommand struct {
	serverFlags
	Service    string        `arg:"" help:"Name of the service."`
	Body       string        `arg:"" optional:"" help:"Request body; - reads it from standard input." default:"{}"`
	RequestID  string        `name:"request-id" help:"Id of the request, the same in each repeat. Default is a new UUIDv7."`
	Class      model.ClassID `help:"Class; default is the service's first."`
	Idempotent bool          `help:"The request may safely run more than once."`
	Repeat     bool          `help:"An earlier call with the same id may have been sent." name:"repeat"`
	Retry      bool          `help:"Repeat a request that was not run, until the timeout."`
	Timeout    time.Duration `help:"Longest wait for the answer." default:"30s"`
}

// Help implements kong.HelpProvider.
func (callCommand) Help() string {
	return formatExamples("chestnutmux call --idempotent --retry buttons '{\"image\":1}'",
		"chestnutmux call --request-id \"$ID\" buttons '{\"plan\":7}'",
		"chestnutmux call --request-id \"$ID\" --repeat buttons '{\"plan\":7}'",
	) + "\n\nAfter an unknown outcome, repeat with the same id and --repeat: the request runs at most once, " +
		"and the answer of the first call is returned when it is still known."
}

// Run sends the request and prints the body of the response.
func (c *callCommand) Run(e *env) error {
	body := []byte(c.Body)
	if c.Body == "-" {
		data, err := e.readFile("-")
		if err != nil {
			return err
		}
		body = data
	}
	call := client.CallRequest{
		Service: model.ServiceID(c.Service), RequestID: model.RequestID(c.RequestID), Class: c.Class,
		Idempotent: c.Idempotent, IsRetry: c.Repeat, Deadline: time.Now().Add(c.Timeout), Body: body,
	}
	if call.RequestID == "" {
		call.RequestID = model.RequestID(newID())
	}
	retryPolicy := client.RetryPolicy{OnRetry: newRetryReporter(e, "request "+string(call.RequestID))}
	if c.Retry {
		retryPolicy.Deadline = call.Deadline
	}
	// The entry host responds by the deadline. The extra second allows for the time until its response arrives.
	ctx, cancel := e.withDeadline(call.Deadline.Add(time.Second))
	defer cancel()
	response, err := c.newClient().CallWithRetry(ctx, call, retryPolicy)
	if err != nil {
		return errors.Wrapf(err, "request %s", call.RequestID)
	}
	if c.JSON {
		return e.printJSON(map[string]any{
			"request-id": call.RequestID, "outcome": model.OutcomeAnswered, "runner": response.Runner, "body": string(response.Body),
		})
	}
	e.printf("%s\n", bytes.TrimSuffix(response.Body, []byte("\n")))
	return nil
}

// withDeadline returns a context that ends at the deadline or when the command is interrupted.
func (e *env) withDeadline(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(e.ctx, deadline)
}

// sleep waits for d or until the command is interrupted.
func (e *env) sleep(d time.Duration) {
	select {
	case <-e.ctx.Done():
	case <-time.After(d):
	}
}

// readFile returns the content of a file, or of standard input if path is "-".
func (e *env) readFile(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(e.stdin)
		if err != nil {
			return nil, usageError{errors.Wrap(err, "cannot read standard input")}
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{errors.Wrap(err, "cannot read the file; check its path")}
	}
	return data, nil
}

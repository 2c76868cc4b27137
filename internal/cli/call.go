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

type callCommand struct {
	remote
	Service    string        `arg:"" help:"Name of the service."`
	Body       string        `arg:"" optional:"" help:"Request body; - reads it from standard input." default:"{}"`
	RequestID  string        `name:"request-id" help:"Id of the request, the same in each repeat. Default is a new UUIDv7."`
	Class      model.ClassID `help:"Class; default is the service's first."`
	Idempotent bool          `help:"The request may safely run more than once."`
	Repeat     bool          `help:"An earlier call with the same id may have been sent." name:"repeat"`
	Retry      bool          `help:"Repeat a request that was not run, until the timeout."`
	Timeout    time.Duration `help:"Longest wait for the answer." default:"30s"`
}

// Help shows examples.
func (callCommand) Help() string {
	return examples("chestnutmux call --idempotent --retry buttons '{\"image\":1}'",
		"chestnutmux call --request-id \"$ID\" buttons '{\"plan\":7}'",
		"chestnutmux call --request-id \"$ID\" --repeat buttons '{\"plan\":7}'",
	) + "\n\nAfter an unknown outcome, repeat with the same id and --repeat: the request runs at most once, " +
		"and the answer of the first call is returned when it is still known."
}

// Run sends the request.
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
	retry := client.RetryPolicy{OnRetry: notify(e, "request "+string(call.RequestID))}
	if c.Retry {
		retry.Deadline = call.Deadline
	}
	// The entry host answers at the deadline at the latest; the rest is for the way back.
	ctx, cancel := e.until(call.Deadline.Add(time.Second))
	defer cancel()
	answer, err := c.client().CallWithRetry(ctx, call, retry)
	if err != nil {
		return errors.Wrapf(err, "request %s", call.RequestID)
	}
	if c.JSON {
		return e.printJSON(map[string]any{
			"request-id": call.RequestID, "outcome": model.OutcomeAnswered, "runner": answer.Runner, "body": string(answer.Body),
		})
	}
	e.printf("%s\n", bytes.TrimSuffix(answer.Body, []byte("\n")))
	return nil
}

// until returns a context that ends at the time.
func (e *env) until(t time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(e.ctx, t)
}

// sleep waits unless the command is interrupted.
func (e *env) sleep(d time.Duration) {
	select {
	case <-e.ctx.Done():
	case <-time.After(d):
	}
}

// readFile reads a file, or standard input for "-".
func (e *env) readFile(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(e.in)
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

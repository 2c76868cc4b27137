package cli

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// pollWait is how long one request waits for the end of a job.
const pollWait = 20 * time.Second

type submitCommand struct {
	remote
	ID           string             `help:"Id of the job; a repeat with the same id is the same job. Default is a new one."`
	Class        model.ClassID      `help:"Job class." required:""`
	Workers      int                `help:"Members of the gang, one a worker." default:"1"`
	Accelerators model.Accelerators `help:"Accelerators per member." default:"1"`
	Cores        model.Cores        `help:"Processor cores per member."`
	MemoryMB     model.Megabytes    `name:"memory-mb" help:"Memory per member in MiB."`
	Span         string             `help:"How far apart members may be: rack or domain." enum:"rack,domain" default:"domain"`
	RunMS        model.Millis       `name:"run-ms" help:"Declared run time in milliseconds."`
	Payload      string             `help:"JSON handed to the workers." default:"{}"`
	Wait         bool               `help:"Follow the job to its outcome."`
}

// Help shows examples.
func (submitCommand) Help() string {
	return "chestnutmux submit --class batch --workers 4 --accelerators 8 --span rack --wait"
}

// Run submits the job.
func (c *submitCommand) Run(e *env) error {
	if !json.Valid([]byte(c.Payload)) {
		return usageError{errors.New("--payload is no JSON; quote it for the shell")}
	}
	spec := model.JobSpec{
		ID: model.JobID(c.ID), Class: c.Class, RunMS: c.RunMS, Payload: json.RawMessage(c.Payload),
		Shape: model.Shape{
			Workers: c.Workers, Accelerators: c.Accelerators, Cores: c.Cores, MemoryMB: c.MemoryMB, Span: model.Span(c.Span),
		},
	}
	if spec.ID == "" {
		spec.ID = model.JobID(newID())
	}
	job, err := c.client().Submit(e.ctx, spec)
	if err != nil {
		return errors.Wrapf(err, "job %s", spec.ID)
	}
	if c.Wait {
		return follow(e, &c.remote, job)
	}
	return printJob(e, c.JSON, job)
}

// newID returns a UUIDv7, which sorts by time and dates a non-idempotent request.
func newID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// follow prints each state of a job until it ends.
func follow(e *env, r *remote, job model.Job) error {
	last := job.State
	if err := printJob(e, r.JSON, job); err != nil {
		return err
	}
	for !job.State.Final() {
		next, err := r.client().Job(e.ctx, job.Spec.ID, pollWait)
		if err != nil {
			return err
		}
		job = next
		if job.State == last {
			continue
		}
		last = job.State
		if err := printJob(e, r.JSON, job); err != nil {
			return err
		}
	}
	if job.State != model.JobFinished {
		return errors.Newf("job %s: %s: %s", job.Spec.ID, job.State, job.Error)
	}
	return nil
}

func printJob(e *env, asJSON bool, job model.Job) error {
	if asJSON {
		return e.printJSON(job)
	}
	e.printf("%s  %-9s  %s  attempt %d  %dx%d  %s\n", job.Spec.ID, job.State, job.Home, job.Attempt,
		job.Spec.Shape.Workers, job.Spec.Shape.Accelerators, job.Error)
	return nil
}

type cancelCommand struct {
	remote
	IDs []string `arg:"" name:"id" help:"Ids of the jobs."`
}

// Run cancels each job and reports the first failure.
func (c *cancelCommand) Run(e *env) error {
	var first error
	for _, id := range c.IDs {
		if err := c.client().Cancel(e.ctx, model.JobID(id)); err != nil {
			first = errors.CombineErrors(first, errors.Wrapf(err, "job %s", id))
			continue
		}
		e.printf("%s  cancel accepted\n", id)
	}
	return first
}

type explainCommand struct {
	remote
	ID string `arg:"" help:"Id of the job."`
}

// Run prints why the job waits.
func (c *explainCommand) Run(e *env) error {
	x, err := c.client().Explain(e.ctx, model.JobID(c.ID))
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(x)
	}
	e.printf("%s  %s in %s (planner %s)\n%s\n%s\n", x.Job, x.State, x.Home, x.Planner, x.Reason, x.Remedy)
	return nil
}

type callCommand struct {
	remote
	Service    string        `arg:"" help:"Name of the service."`
	Body       string        `arg:"" optional:"" help:"Request body; - reads it from standard input." default:"{}"`
	RequestID  string        `name:"request-id" help:"Id of the request, the same in each repeat. Default is a new UUIDv7."`
	Class      model.ClassID `help:"Class; default is the service's first."`
	Idempotent bool          `help:"The request may safely run more than once."`
	Repeat     bool          `help:"An earlier call with the same id may have been sent."`
	Timeout    time.Duration `help:"Longest wait for the answer." default:"30s"`
}

// Help shows examples.
func (callCommand) Help() string {
	return "chestnutmux call --idempotent match '{\"image\":1}'\nchestnutmux call --request-id $ID cut '{\"plan\":7}'"
}

// Run sends the request.
func (c *callCommand) Run(e *env) error {
	body := []byte(c.Body)
	if c.Body == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return errors.Wrap(err, "cannot read standard input")
		}
		body = data
	}
	call := client.Call{
		Service: model.ServiceID(c.Service), RequestID: model.RequestID(c.RequestID), Class: c.Class,
		Idempotent: c.Idempotent, Repeat: c.Repeat, Deadline: time.Now().Add(c.Timeout), Body: body,
	}
	if call.RequestID == "" {
		call.RequestID = model.RequestID(newID())
	}
	answer, err := c.client().Call(e.ctx, call)
	if err != nil {
		return errors.Wrapf(err, "request %s", call.RequestID)
	}
	if c.JSON {
		return e.printJSON(map[string]any{
			"request-id": call.RequestID, "outcome": model.OutcomeAnswered, "runner": answer.Runner, "body": string(answer.Body),
		})
	}
	e.printf("%s\n", answer.Body)
	return nil
}

package cli

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/parser"
)

const (
	// pollWait is how long one request waits for the end of a job.
	pollWait = 20 * time.Second
	// lostBound is how long a job is followed without an answer from any entry host.
	lostBound = 2 * time.Minute
	// lostPause lies between the tries to reach an entry host again.
	lostPause = time.Second
	// submitGrace lets the answer to the last submission arrive: an entry host waits for the log for up to 5 s, and
	// without its answer the outcome would be unknown.
	submitGrace = 10 * time.Second
	// progressEvery is the number of jobs between two lines of progress.
	progressEvery = 50
)

type submitCommand struct {
	remote
	ID           string             `help:"Id of the job; a repeat with the same id is the same job. Default is a new one."`
	Class        model.ClassID      `help:"Job class; required without --file."`
	Workers      int                `help:"Members of the gang, one a worker." default:"1"`
	Accelerators model.Accelerators `help:"Accelerators per member." default:"1"`
	Cores        model.Cores        `help:"Processor cores per member."`
	MemoryMB     model.Megabytes    `name:"memory-mb" help:"Memory per member in MiB."`
	Span         string             `help:"How far apart members may be: rack or domain." enum:"rack,domain" default:"domain"`
	RunMS        model.Millis       `name:"run-ms" help:"Declared run time in milliseconds."`
	Payload      string             `help:"JSON handed to the workers." default:"{}"`
	File         string             `help:"JSON file with a list of jobs to submit instead; - reads standard input."`
	Repeat       bool               `help:"The jobs may have been submitted before; a refusal is then unknown instead of not run."`
	Wait         bool               `help:"Follow the jobs to their outcomes."`
	Retry        bool               `help:"Repeat a submission that was not run, until the timeout."`
	Timeout      time.Duration      `help:"Time after which no submission is repeated." default:"30s"`
}

// Help shows examples.
func (submitCommand) Help() string {
	return examples("chestnutmux submit --class overnight --workers 4 --accelerators 8 --span rack --wait",
		"chestnutmux submit --file jobs.json --retry --timeout 5m",
	) + "\n\nA file holds a list of jobs:\n\n  [{\"id\": \"night-1\", \"class\": \"overnight\", \"shape\": {\"workers\": 4, \"accelerators\": 8}}]\n\n" +
		"Give ids, so that the file can be submitted again: jobs that were accepted before are not run twice."
}

// Run submits the jobs; the first failure decides the exit code.
func (c *submitCommand) Run(e *env) error {
	specs, err := c.specs(e)
	if err != nil {
		return err
	}
	var first error
	jobs := make([]model.Job, 0, len(specs))
	deadline := time.Now().Add(c.Timeout)
	for i, spec := range specs {
		if i > 0 && i%progressEvery == 0 {
			e.progress("%d of %d jobs submitted", i, len(specs))
		}
		job, err := c.submit(e, spec, deadline)
		if err != nil {
			err = errors.Wrapf(err, "job %s", spec.ID)
			if first != nil {
				e.progress("chestnutmux: %v", err)
				continue
			}
			first = err
			continue
		}
		jobs = append(jobs, job)
		if c.Wait {
			e.progress("job %s: %s", job.Spec.ID, job.State)
		}
	}
	for i := range jobs {
		if c.Wait {
			if jobs[i], err = follow(e, &c.remote, jobs[i]); err != nil {
				return err
			}
		}
		if s := jobs[i].State; first == nil && c.Wait && s != model.JobFinished {
			first = errors.Newf("job %s: %s: %s", jobs[i].Spec.ID, s, jobs[i].FailureReason)
		}
	}
	if err := printJobs(e, c.JSON, jobs); err != nil {
		return err
	}
	return first
}

func (c *submitCommand) submit(e *env, spec model.JobSpec, deadline time.Time) (model.Job, error) {
	retry := client.RetryPolicy{SentBefore: c.Repeat, OnRetry: notify(e, "job "+string(spec.ID))}
	if c.Retry {
		retry.Deadline = deadline
	}
	ctx, cancel := e.until(deadline.Add(submitGrace))
	defer cancel()
	return c.client().SubmitWithRetry(ctx, spec, retry)
}

// notify reports the repeats of a submission or request.
func notify(e *env, id string) func(*model.Error, time.Duration) {
	return func(err *model.Error, pause time.Duration) {
		e.progress("%s: %v; next try in %s", id, err, pause.Round(time.Millisecond))
	}
}

// specs returns the jobs of the flags or of the file, each with an id.
func (c *submitCommand) specs(e *env) ([]model.JobSpec, error) {
	specs, err := c.read(e)
	for i := range specs {
		if specs[i].ID == "" {
			specs[i].ID = model.JobID(newID())
		}
	}
	return specs, err
}

func (c *submitCommand) read(e *env) ([]model.JobSpec, error) {
	if c.File != "" {
		data, err := e.readFile(c.File)
		if err != nil {
			return nil, err
		}
		specs, err := parser.ParseJobs(data)
		if err != nil {
			return nil, usageError{errors.Wrap(err, c.File)}
		}
		return specs, nil
	}
	if c.Class == "" {
		return nil, usageError{errors.New("no class; give --class, or --file with jobs")}
	}
	if !json.Valid([]byte(c.Payload)) {
		return nil, usageError{errors.New("--payload is no JSON; quote it for the shell")}
	}
	return []model.JobSpec{{
		ID: model.JobID(c.ID), Class: c.Class, EstimatedRunMS: c.RunMS, Payload: json.RawMessage(c.Payload),
		Shape: model.Shape{
			Workers: c.Workers, Accelerators: c.Accelerators, Cores: c.Cores, MemoryMB: c.MemoryMB, Span: model.Span(c.Span),
		},
	}}, nil
}

// newID returns a UUIDv7, which sorts by time and dates a non-idempotent request.
func newID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// follow waits for the end of a job and reports its states; another entry host may answer after a failure.
func follow(e *env, r *remote, job model.Job) (model.Job, error) {
	lost := time.Time{}
	for !job.State.IsFinal() {
		ctx, cancel := e.short()
		next, err := r.client().Job(ctx, job.Spec.ID, pollWait)
		cancel()
		var refused *model.Error
		switch {
		case err == nil:
		case e.ctx.Err() != nil:
			return job, errors.Wrapf(err, "job %s goes on; see chestnutmux status --job %s", job.Spec.ID, job.Spec.ID)
		case errors.As(err, &refused) && refused.Outcome == "" || !lost.IsZero() && time.Since(lost) > lostBound:
			return job, err
		default:
			if lost.IsZero() {
				lost = time.Now()
			}
			e.progress("job %s: %v; asking again", job.Spec.ID, err)
			e.sleep(lostPause)
			continue
		}
		lost = time.Time{}
		if next.State != job.State {
			e.progress("job %s: %s", next.Spec.ID, next.State)
		}
		job = next
	}
	return job, nil
}

// tasks returns the number of tasks of all steps.
func tasks(j model.Job) int {
	n := 0
	for _, s := range j.Spec.Steps {
		n += s.Count
	}
	return n
}

// accelerators returns the accelerators of the widest step.
func accelerators(j model.Job) model.Accelerators {
	most := model.Accelerators(0)
	for _, s := range j.Spec.Steps {
		most = max(most, s.Need.Accelerators*model.Accelerators(s.Count))
	}
	return most
}

func printJobs(e *env, asJSON bool, jobs []model.Job) error {
	if !asJSON {
		rows := make([][]any, 0, len(jobs))
		for _, j := range jobs {
			rows = append(rows, []any{
				j.Spec.ID, j.State, j.Spec.Class, tasks(j), accelerators(j), j.FailureReason,
			})
		}
		e.table("JOB\tSTATE\tCLASS\tTASKS\tACCELERATORS\tERROR", rows)
		return nil
	}
	for _, j := range jobs {
		if err := e.printJSON(j); err != nil {
			return err
		}
	}
	return nil
}

type cancelCommand struct {
	remote
	IDs []string `arg:"" optional:"" name:"id" help:"Ids of the jobs."`
	All bool     `help:"Cancel all jobs of the token's workspace that have not ended."`
}

// Help shows examples.
func (cancelCommand) Help() string {
	return examples("chestnutmux cancel night-1 night-2", "chestnutmux cancel --all")
}

// Run cancels each job and reports the first failure.
func (c *cancelCommand) Run(e *env) error {
	ids, err := c.ids(e)
	if err != nil {
		return err
	}
	var first error
	cancelled := []string{}
	for i, id := range ids {
		if i > 0 && i%progressEvery == 0 {
			e.progress("%d of %d jobs cancelled", i, len(ids))
		}
		ctx, stop := e.short()
		err := c.client().Cancel(ctx, model.JobID(id))
		stop()
		if err != nil {
			first = errors.CombineErrors(first, errors.Wrapf(err, "job %s", id))
			continue
		}
		cancelled = append(cancelled, id)
		if !c.JSON {
			e.printf("%s  cancel accepted\n", id)
		}
	}
	if c.JSON {
		return errors.CombineErrors(first, e.printJSON(map[string]any{"cancelled": cancelled}))
	}
	return first
}

func (c *cancelCommand) ids(e *env) ([]string, error) {
	if c.All == (len(c.IDs) > 0) {
		return nil, usageError{errors.New("give either the ids of jobs or --all")}
	}
	if !c.All {
		return c.IDs, nil
	}
	ctx, stop := e.short()
	defer stop()
	jobs, err := c.client().Jobs(ctx)
	var ids []string
	for _, j := range jobs {
		if !j.State.IsFinal() {
			ids = append(ids, string(j.Spec.ID))
		}
	}
	return ids, err
}

type explainCommand struct {
	remote
	ID string `arg:"" help:"Id of the job."`
}

// Help shows examples.
func (explainCommand) Help() string {
	return examples("chestnutmux explain night-1") + "\n\nAny entry host answers from the log."
}

// Run prints why the job waits.
func (c *explainCommand) Run(e *env) error {
	ctx, stop := e.short()
	defer stop()
	x, err := c.client().Explain(ctx, model.JobID(c.ID))
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(x)
	}
	e.printf("%s  %s (leader %s)\n%s\n", x.Job, x.State, x.Leader, x.Reason)
	if x.Remedy != "" {
		e.printf("%s\n", x.Remedy)
	}
	return nil
}

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
	// longPollWait is the time after which an entry host responds to a poll although the job has not ended.
	longPollWait = 20 * time.Second
	// unreachableTimeout is the time after which submit --wait gives up if all polls fail.
	unreachableTimeout = 2 * time.Minute
	// unreachableRetryDelay is the delay before a failed poll is retried.
	unreachableRetryDelay = time.Second
	// submitResponseGrace is the time after the deadline in which the response to the last submission may arrive. An entry
	// host waits for the log for up to 5 s; if the command did not wait longer than that, the outcome would be unknown.
	submitResponseGrace = 10 * time.Second
	// jobsPerProgressLine is the number of submitted or cancelled jobs after which a line of progress is printed.
	jobsPerProgressLine = 50
)

// submitCommand submits one job from flags or several from a file.
type submitCommand struct {
	serverFlags
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

// Help implements kong.HelpProvider.
func (submitCommand) Help() string {
	return formatExamples("chestnutmux submit --class overnight --workers 4 --accelerators 8 --span rack --wait",
		"chestnutmux submit --file jobs.json --retry --timeout 5m",
	) + "\n\nA file holds a list of jobs:\n\n  [{\"id\": \"night-1\", \"class\": \"overnight\", \"shape\": {\"workers\": 4, \"accelerators\": 8}}]\n\n" +
		"Give ids, so that the file can be submitted again: jobs that were accepted before are not run twice."
}

// Run submits the jobs and prints them; with --wait, it first waits until they have ended. The first failure determines the
// exit code.
func (c *submitCommand) Run(e *env) error {
	specs, err := c.jobSpecs(e)
	if err != nil {
		return err
	}
	var firstErr error
	jobs := make([]model.Job, 0, len(specs))
	deadline := time.Now().Add(c.Timeout)
	for i, spec := range specs {
		if i > 0 && i%jobsPerProgressLine == 0 {
			e.printProgress("%d of %d jobs submitted", i, len(specs))
		}
		job, err := c.submit(e, spec, deadline)
		if err != nil {
			err = errors.Wrapf(err, "job %s", spec.ID)
			if firstErr != nil {
				e.printProgress("chestnutmux: %v", err)
				continue
			}
			firstErr = err
			continue
		}
		jobs = append(jobs, job)
		if c.Wait {
			e.printProgress("job %s: %s", job.Spec.ID, job.State)
		}
	}
	for i := range jobs {
		if c.Wait {
			if jobs[i], err = awaitJob(e, &c.serverFlags, jobs[i]); err != nil {
				return err
			}
		}
		if s := jobs[i].State; firstErr == nil && c.Wait && s != model.JobFinished {
			firstErr = errors.Newf("job %s: %s: %s", jobs[i].Spec.ID, s, jobs[i].FailureReason)
		}
	}
	if err := printJobs(e, c.JSON, jobs); err != nil {
		return err
	}
	return firstErr
}

// submit submits one job. With --retry, it retries a submission that was not run until the deadline.
func (c *submitCommand) submit(e *env, spec model.JobSpec, deadline time.Time) (model.Job, error) {
	retryPolicy := client.RetryPolicy{SentBefore: c.Repeat, OnRetry: newRetryReporter(e, "job "+string(spec.ID))}
	if c.Retry {
		retryPolicy.Deadline = deadline
	}
	ctx, cancel := e.withDeadline(deadline.Add(submitResponseGrace))
	defer cancel()
	return c.newClient().SubmitWithRetry(ctx, spec, retryPolicy)
}

// newRetryReporter returns a function for client.RetryPolicy.OnRetry that prints each retry. The subject names the request or
// the job.
func newRetryReporter(e *env, subject string) func(*model.Error, time.Duration) {
	return func(err *model.Error, delay time.Duration) {
		e.printProgress("%s: %v; next try in %s", subject, err, delay.Round(time.Millisecond))
	}
}

// jobSpecs returns the jobs to submit and generates missing ids.
func (c *submitCommand) jobSpecs(e *env) ([]model.JobSpec, error) {
	specs, err := c.readJobSpecs(e)
	for i := range specs {
		if specs[i].ID == "" {
			specs[i].ID = model.JobID(newID())
		}
	}
	return specs, err
}

// readJobSpecs returns the jobs of the file if --file is given, and otherwise the job that the flags describe.
func (c *submitCommand) readJobSpecs(e *env) ([]model.JobSpec, error) {
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

// newID returns a UUIDv7. It contains the time of its creation, so ids sort by time and entry hosts can determine the age of
// the id of a non-idempotent request.
func newID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// awaitJob polls a job until it has ended and prints each change of its state. Failed polls are retried, because a load
// balancer may send the next one to another entry host.
func awaitJob(e *env, flags *serverFlags, job model.Job) (model.Job, error) {
	unreachableSince := time.Time{}
	for !job.State.IsFinal() {
		ctx, cancel := e.withRequestTimeout()
		next, err := flags.newClient().Job(ctx, job.Spec.ID, longPollWait)
		cancel()
		var apiErr *model.Error
		switch {
		case err == nil:
		case e.ctx.Err() != nil:
			return job, errors.Wrapf(err, "job %s goes on; see chestnutmux status --job %s", job.Spec.ID, job.Spec.ID)
		case errors.As(err, &apiErr) && apiErr.Outcome == "" || !unreachableSince.IsZero() && time.Since(unreachableSince) > unreachableTimeout:
			return job, err
		default:
			if unreachableSince.IsZero() {
				unreachableSince = time.Now()
			}
			e.printProgress("job %s: %v; asking again", job.Spec.ID, err)
			e.sleep(unreachableRetryDelay)
			continue
		}
		unreachableSince = time.Time{}
		if next.State != job.State {
			e.printProgress("job %s: %s", next.Spec.ID, next.State)
		}
		job = next
	}
	return job, nil
}

// countTasks returns the number of tasks in all steps of a job.
func countTasks(j model.Job) int {
	n := 0
	for _, s := range j.Spec.Steps {
		n += s.Count
	}
	return n
}

// maxStepAccelerators returns the number of accelerators that all tasks of a step need, for the largest step of a job.
func maxStepAccelerators(j model.Job) model.Accelerators {
	maximum := model.Accelerators(0)
	for _, s := range j.Spec.Steps {
		maximum = max(maximum, s.Need.Accelerators*model.Accelerators(s.Count))
	}
	return maximum
}

// printJobs prints jobs as a table, or as one line of JSON per job.
func printJobs(e *env, asJSON bool, jobs []model.Job) error {
	if !asJSON {
		rows := make([][]any, 0, len(jobs))
		for _, j := range jobs {
			rows = append(rows, []any{
				j.Spec.ID, j.State, j.Spec.Class, countTasks(j), maxStepAccelerators(j), j.FailureReason,
			})
		}
		e.printTable("JOB\tSTATE\tCLASS\tTASKS\tACCELERATORS\tERROR", rows)
		return nil
	}
	for _, j := range jobs {
		if err := e.printJSON(j); err != nil {
			return err
		}
	}
	return nil
}

// cancelCommand cancels jobs.
type cancelCommand struct {
	serverFlags
	IDs []string `arg:"" optional:"" name:"id" help:"Ids of the jobs."`
	All bool     `help:"Cancel all jobs of the token's workspace that have not ended."`
}

// Help implements kong.HelpProvider.
func (cancelCommand) Help() string {
	return formatExamples("chestnutmux cancel night-1 night-2", "chestnutmux cancel --all")
}

// Run requests the cancellation of each job. It continues after a failure and returns all errors combined.
func (c *cancelCommand) Run(e *env) error {
	ids, err := c.jobIDs(e)
	if err != nil {
		return err
	}
	var errs error
	cancelled := []string{}
	for i, id := range ids {
		if i > 0 && i%jobsPerProgressLine == 0 {
			e.printProgress("%d of %d jobs cancelled", i, len(ids))
		}
		ctx, cancel := e.withRequestTimeout()
		err := c.newClient().Cancel(ctx, model.JobID(id))
		cancel()
		if err != nil {
			errs = errors.CombineErrors(errs, errors.Wrapf(err, "job %s", id))
			continue
		}
		cancelled = append(cancelled, id)
		if !c.JSON {
			e.printf("%s  cancel accepted\n", id)
		}
	}
	if c.JSON {
		return errors.CombineErrors(errs, e.printJSON(map[string]any{"cancelled": cancelled}))
	}
	return errs
}

// jobIDs returns the ids from the arguments or, with --all, those of all jobs of the workspace that have not ended.
func (c *cancelCommand) jobIDs(e *env) ([]string, error) {
	if c.All == (len(c.IDs) > 0) {
		return nil, usageError{errors.New("give either the ids of jobs or --all")}
	}
	if !c.All {
		return c.IDs, nil
	}
	ctx, cancel := e.withRequestTimeout()
	defer cancel()
	jobs, err := c.newClient().Jobs(ctx)
	var ids []string
	for _, j := range jobs {
		if !j.State.IsFinal() {
			ids = append(ids, string(j.Spec.ID))
		}
	}
	return ids, err
}

// explainCommand shows the state of a job and the reason for it.
type explainCommand struct {
	serverFlags
	ID string `arg:"" help:"Id of the job."`
}

// Help implements kong.HelpProvider.
func (explainCommand) Help() string {
	return formatExamples("chestnutmux explain night-1") + "\n\nAny entry host answers from the log. The leader adds how long the job is expected to run."
}

// Run prints the state of the job, the reason for the state and the remedy, if there is one.
func (c *explainCommand) Run(e *env) error {
	ctx, cancel := e.withRequestTimeout()
	defer cancel()
	explanation, err := c.newClient().Explain(ctx, model.JobID(c.ID))
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(explanation)
	}
	e.printf("%s  %s (leader %s)\n%s\n", explanation.Job, explanation.State, explanation.Leader, explanation.Reason)
	if explanation.Remedy != "" {
		e.printf("%s\n", explanation.Remedy)
	}
	if f := explanation.Forecast; f != nil {
		e.printf("expected to run %s, %s of it left, from %d runs\n", time.Duration(f.RunMS)*time.Millisecond, time.Duration(f.RemainingMS)*time.Millisecond, f.Runs)
	}
	return nil
}

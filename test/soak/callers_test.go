package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// callTimeout limits the duration of one call.
const callTimeout = 8 * time.Second

// callerTokens are the tokens of callers in the example configuration, one per workspace.
var callerTokens = []string{"demo-atelier", "demo-tailor-1", "demo-upholsterer", "demo-presses"}

// jobClient submits, reads and cancels jobs concurrently and records the results that callers get.
type jobClient struct {
	mu           sync.Mutex
	outcomes     map[model.JobID][]model.Outcome // outcomes of all attempts to submit a job
	tokens       map[model.JobID]string          // token of the caller that submitted the job
	finalStates  map[model.JobID]model.JobState  // last final state read from any host
	cancelled    map[model.JobID]bool            // jobs for which a cancellation was sent
	stateErrors  []string                        // descriptions of changed final states
	pendingCalls sync.WaitGroup
}

func newJobClient() *jobClient {
	return &jobClient{
		outcomes: map[model.JobID][]model.Outcome{}, tokens: map[model.JobID]string{}, finalStates: map[model.JobID]model.JobState{},
		cancelled: map[model.JobID]bool{},
	}
}

// randomJob returns a job of random class, size and run time. About a third of the jobs have several steps.
func randomJob(rng *rand.Rand, n int) model.JobSpec {
	classes := []model.ClassID{"counter", "cutting", "overnight"}
	spec := model.JobSpec{
		ID: model.JobID(fmt.Sprint("s-", n)), Class: classes[rng.IntN(len(classes))],
		Shape:   model.Shape{Workers: 1 + rng.IntN(4), Accelerators: model.Accelerators(1 << rng.IntN(4))},
		Payload: fmt.Appendf(nil, `{"run-ms":%d}`, 100+rng.IntN(3000)),
	}
	if rng.IntN(3) == 0 {
		spec.Shape = model.Shape{}
		spec.Steps = []model.Step{
			{Count: 1 + rng.IntN(5), Need: model.Resources{Accelerators: 1}, Resumable: true},
			{Count: 2, Need: model.Resources{Accelerators: 2}, Gang: true, DependsOn: []int{0}},
		}
	}
	return spec
}

// submit submits a job to the first host, and retries on the next host while the outcome is unknown.
func (jc *jobClient) submit(c *launcher.Cluster, hosts []*launcher.Host, token string, spec model.JobSpec) {
	jc.mu.Lock()
	jc.tokens[spec.ID] = token
	jc.mu.Unlock()
	jc.pendingCalls.Go(func() {
		for _, h := range hosts {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			_, err := c.Client(h, token).Submit(ctx, spec)
			cancel()
			outcome := outcomeOf(err)
			jc.mu.Lock()
			jc.outcomes[spec.ID] = append(jc.outcomes[spec.ID], outcome)
			jc.mu.Unlock()
			if outcome != model.OutcomeUnknown {
				return
			}
		}
	})
}

// readState reads the state of a job from a host and checks that a final state does not change to another one.
func (jc *jobClient) readState(c *launcher.Cluster, h *launcher.Host, id model.JobID) {
	jc.mu.Lock()
	token := jc.tokens[id]
	jc.mu.Unlock()
	jc.pendingCalls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		j, err := c.Client(h, token).Job(ctx, id, 0)
		if err != nil {
			return
		}
		jc.mu.Lock()
		defer jc.mu.Unlock()
		if previous := jc.finalStates[id]; previous.IsFinal() && j.State.IsFinal() && j.State != previous {
			jc.stateErrors = append(jc.stateErrors, fmt.Sprintf("job %s was %s and is %s on %s", id, previous, j.State, h.Settings.HostID))
		}
		if j.State.IsFinal() {
			jc.finalStates[id] = j.State
		}
	})
}

// cancel records and sends a cancellation of a job.
func (jc *jobClient) cancel(c *launcher.Cluster, h *launcher.Host, id model.JobID) {
	jc.mu.Lock()
	token := jc.tokens[id]
	jc.cancelled[id] = true
	jc.mu.Unlock()
	jc.pendingCalls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_ = c.Client(h, token).Cancel(ctx, id) // any error is ignored: checkResults waits for the job's final state
	})
}

// submissionResults returns the jobs accepted by at least one attempt, and those refused as not-run by every attempt.
func (jc *jobClient) submissionResults() (accepted, refused []model.JobID) {
	jc.mu.Lock()
	defer jc.mu.Unlock()
	for id, outcomes := range jc.outcomes {
		answered, notRun := 0, 0
		for _, o := range outcomes {
			switch o {
			case model.OutcomeAnswered:
				answered++
			case model.OutcomeNotRun:
				notRun++
			}
		}
		if answered > 0 {
			accepted = append(accepted, id)
		}
		if notRun == len(outcomes) {
			refused = append(refused, id)
		}
	}
	return accepted, refused
}

// outcomeOf returns the outcome that err reports to a caller, or unknown if it reports none. Calls without an error are
// answered.
func outcomeOf(err error) model.Outcome {
	var e *model.Error
	switch {
	case err == nil:
		return model.OutcomeAnswered
	case errors.As(err, &e) && e.Outcome != "":
		return e.Outcome
	}
	return model.OutcomeUnknown
}

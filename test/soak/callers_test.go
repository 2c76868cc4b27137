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

// callTime bounds one call.
const callTime = 8 * time.Second

// tokens are those of callers of the example configuration.
var tokens = []string{"demo-atelier", "demo-tailor-1", "demo-upholsterer", "demo-presses"}

// callers submit, read and cancel jobs and keep what they were told.
type callers struct {
	mu        sync.Mutex
	told      map[model.JobID][]model.Outcome
	token     map[model.JobID]string
	last      map[model.JobID]model.JobState
	cancelled map[model.JobID]bool
	wrong     []string
	wg        sync.WaitGroup
}

func newCallers() *callers {
	return &callers{
		told: map[model.JobID][]model.Outcome{}, token: map[model.JobID]string{}, last: map[model.JobID]model.JobState{},
		cancelled: map[model.JobID]bool{},
	}
}

// drawJob returns a job of random shape.
func drawJob(rng *rand.Rand, n int) model.JobSpec {
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

// submit sends a job, and again while its outcome is unknown.
func (x *callers) submit(c *launcher.Cluster, hosts []*launcher.Host, token string, spec model.JobSpec) {
	x.mu.Lock()
	x.token[spec.ID] = token
	x.mu.Unlock()
	x.wg.Go(func() {
		for _, h := range hosts {
			ctx, cancel := context.WithTimeout(context.Background(), callTime)
			_, err := c.Client(h, token).Submit(ctx, spec)
			cancel()
			o := outcomeOf(err)
			x.mu.Lock()
			x.told[spec.ID] = append(x.told[spec.ID], o)
			x.mu.Unlock()
			if o != model.OutcomeUnknown {
				return
			}
		}
	})
}

// read asks a host for the state of a job and checks that it does not go back.
func (x *callers) read(c *launcher.Cluster, h *launcher.Host, id model.JobID) {
	x.mu.Lock()
	token := x.token[id]
	x.mu.Unlock()
	x.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		j, err := c.Client(h, token).Job(ctx, id, 0)
		if err != nil {
			return
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		if before := x.last[id]; before.IsFinal() && j.State.IsFinal() && j.State != before {
			x.wrong = append(x.wrong, fmt.Sprintf("job %s was %s and is %s on %s", id, before, j.State, h.Settings.HostID))
		}
		if j.State.IsFinal() {
			x.last[id] = j.State
		}
	})
}

func (x *callers) cancel(c *launcher.Cluster, h *launcher.Host, id model.JobID) {
	x.mu.Lock()
	token := x.token[id]
	x.cancelled[id] = true
	x.mu.Unlock()
	x.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		_ = c.Client(h, token).Cancel(ctx, id) // the job's end is checked, whatever the answer
	})
}

// accepted returns the jobs that were told as accepted, and those that were refused in every try.
func (x *callers) accepted() (accepted, refused []model.JobID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, told := range x.told {
		answered, notRun := 0, 0
		for _, o := range told {
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
		if notRun == len(told) {
			refused = append(refused, id)
		}
	}
	return accepted, refused
}

// outcomeOf returns the outcome that a caller was told.
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

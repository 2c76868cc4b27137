package dispatcher

import (
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against older jobs that queue behind newer ones under a new leader.
func TestTakeoverKeepsOrderOfAcceptance(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(t)
	job := func(id string, offset model.Offset, acceptedAtMS int64) journaler.Job {
		s := newSubmission(id, 1, 1)
		s.AcceptedAtMS = acceptedAtMS
		return journaler.Job{Submission: s, AcceptedOffset: offset}
	}
	d.takeOver([]journaler.Job{
		job("fourth", 20, 100), job("second", 0, 200), job("third", 10, 300), job("first", 0, 100),
	}, nil, nil)
	for i, id := range []model.JobID{"first", "second", "third", "fourth"} {
		is.Equal(d.jobs[id].arrival, int64(i+1))
	}
}

package claimer

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// forgetful is a fold in which each claim wins, as if the rule of the first claim were off.
type forgetful struct{ *host }

func (f forgetful) Winner(model.WorkspaceID, model.RequestID) (Won, bool) {
	if len(f.w.log) == 0 || f.applied < len(f.w.log) {
		return Won{}, false
	}
	s := f.w.log[len(f.w.log)-1]
	f.applied-- // the next call claims again
	return Won{Host: s.Host, Ref: s.ref}, true
}

// Guards against a repeated send that is not noticed, or not prevented, when claims and results fail to do so.
func TestRepeatedSendIsRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	h := w.hosts["h0"]
	var a asserter.Asserter
	h.c.opts.OnViolation, h.c.opts.Index = a.RecordViolation, forgetful{h}
	runs := 0
	send := func() Result {
		return h.c.Do(context.Background(), Request{ID: newID(epoch, 1)}, func(context.Context) Result {
			runs++
			return Result{}
		})
	}
	is.Equal(send().Error, nil)
	clear(h.c.store.records) // as if the result had been dropped
	is.Equal(send().Error.Outcome, model.OutcomeUnknown)
	is.Equal(runs, 1)
	is.Equal(a.ViolationCounts(), map[string]int64{"repeated-send": 1})
}

// Guards against a memory of sent requests that grows without a bound.
func TestSentIsBounded(t *testing.T) {
	is := is.New(t)
	s := sent{limit: 2}
	for _, id := range []model.RequestID{"1", "2", "3"} {
		is.True(s.add(key{request: id}))
	}
	is.Equal(len(s.seen), 2)
	is.True(!s.add(key{request: "3"}))
}

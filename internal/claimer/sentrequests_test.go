package claimer

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// lastClaimWins is a ClaimIndex in which the last claim wins instead of the first one, so that a request can win twice.
type lastClaimWins struct{ *testHost }

func (i lastClaimWins) Winner(model.WorkspaceID, model.RequestID) (WinningClaim, bool) {
	if len(i.cluster.log) == 0 || i.applied < len(i.cluster.log) {
		return WinningClaim{}, false
	}
	c := i.cluster.log[len(i.cluster.log)-1]
	i.applied-- // the next call claims again
	return WinningClaim{Host: c.Host, ClaimID: c.claimID}, true
}

// Guards against a repeated send that is neither reported nor prevented after claims and stored results have failed to
// prevent it.
func TestRepeatedSendIsRefused(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(1)
	h := tc.hosts["h0"]
	var a asserter.Asserter
	h.claimer.opts.OnViolation, h.claimer.opts.Index = a.RecordViolation, lastClaimWins{h}
	runs := 0
	send := func() Result {
		return h.claimer.Do(context.Background(), Request{ID: newID(epoch, 1)}, func(context.Context) Result {
			runs++
			return Result{}
		})
	}
	is.Equal(send().Error, nil)
	clear(h.claimer.results.entries) // simulates a dropped result
	is.Equal(send().Error.Outcome, model.OutcomeUnknown)
	is.Equal(runs, 1)
	is.Equal(a.ViolationCounts(), map[string]int64{"repeated-send": 1})
}

// Guards against unbounded growth of the set of sent requests.
func TestSentRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	s := sentRequests{limit: 2}
	for _, id := range []model.RequestID{"1", "2", "3"} {
		is.True(s.add(requestKey{request: id}))
	}
	is.Equal(len(s.seen), 2)
	is.True(!s.add(requestKey{request: "3"}))
}

package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/appender"
	"chestnutmux.example/chestnutmux/internal/claimer"
	"chestnutmux.example/chestnutmux/internal/follower"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/internal/monitor"
	"chestnutmux.example/chestnutmux/internal/peerclient"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// claimsTask follows the claims stream; it connects the claimer with the log.
type claimsTask struct {
	fold     reducer.Claims
	follower *follower.Follower
	appender *appender.Appender
	awaiter  awaiter
}

func newClaimsTask(log *logclient.Client, app *appender.Appender) *claimsTask {
	t := &claimsTask{appender: app}
	t.follower = follower.New(follower.Config{
		Log: log, Stream: logclient.StreamClaims, Fold: &t.fold,
		Read: func(s follower.Status) { t.awaiter.advance(s.Next) },
	})
	return t
}

// Append writes a claim to the log.
func (t *claimsTask) Append(ctx context.Context, c claimer.Claim) (claimer.Receipt, error) {
	entry, err := reducer.Encode(reducer.ClaimEntry{
		Claim: &reducer.Claim{Workspace: c.Workspace, Request: c.Request, Host: c.Host},
	})
	if err != nil {
		return claimer.Receipt{}, errors.Mark(errors.Wrap(err, "daemon: cannot encode the claim"), claimer.ErrNotSent)
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	res, err := t.appender.Append(ctx, entry)
	return claimer.Receipt{Offset: res.Offset, Ref: claimer.Ref{Record: res.RecordID, Index: res.Index}}, err
}

// WaitApplied returns nil once the record at the offset is in the fold.
func (t *claimsTask) WaitApplied(ctx context.Context, offset model.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	return t.awaiter.wait(ctx, offset)
}

// Winner returns the first claim of a request; nothing is found once the follower has stopped.
func (t *claimsTask) Winner(ws model.WorkspaceID, id model.RequestID) (won claimer.Won, ok bool) {
	_ = t.follower.Do(context.Background(), func() {
		var w reducer.WonClaim
		if w, ok = t.fold.Winner(ws, id); ok {
			won = claimer.Won{Host: w.Host, Ref: claimer.Ref{Record: w.RecordID, Index: w.Index}}
		}
	})
	return won, ok
}

// ViewStart returns the time since when all claims are known.
func (t *claimsTask) ViewStart() (at time.Time) {
	_ = t.follower.Do(context.Background(), func() { at = t.fold.CompleteSince() })
	return at
}

// peerAnswers asks the entry host that won a claim for the answer.
type peerAnswers struct {
	client  *peerclient.Client
	monitor *monitor.Driver
}

// Answer waits for the result of a request that the host has claimed.
func (p peerAnswers) Answer(ctx context.Context, host model.HostID, ws model.WorkspaceID, id model.RequestID) (claimer.Result, error) {
	for _, m := range p.monitor.View().Members {
		if m.Host.ID != host {
			continue
		}
		r, err := p.client.Answer(ctx, m.Host.PeerAddr, peerclient.AnswerParams{Workspace: ws, Request: id})
		if err != nil {
			return claimer.Result{}, err
		}
		if r.Outcome == model.OutcomeUnknown && r.Error == nil {
			return claimer.Result{}, errors.New("it does not know the request")
		}
		return claimer.Result{Digest: r.Digest, Body: r.Body, ContentType: r.ContentType, Runner: r.Runner, Error: r.Error}, nil
	}
	return claimer.Result{}, errors.Newf("it is not in the host list")
}

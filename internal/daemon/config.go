package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/appender"
	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/follower"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/internal/server"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// appendWait bounds how long a caller waits for its record to be durable and applied.
const appendWait = 5 * time.Second

// configView is the configuration in force, with the identities of its tokens; it is never changed.
type configView struct {
	version model.Version
	set     model.Set
	tokens  map[string]server.Identity // by SHA-256 digest
}

// configTask follows the config stream and shares the configuration in force.
type configTask struct {
	fold     reducer.Config
	follower *follower.Follower
	appender *appender.Appender
	awaiter  awaiter
	view     atomic.Pointer[configView]
	settled  bool // the fold has been as new as the log or a peer; used on the follower's goroutine only
	asserter *asserter.Asserter
	logger   hclog.Logger
	changed  func(*configView) // called on the follower's goroutine
}

func newConfigTask(log *logclient.Client, app *appender.Appender, a *asserter.Asserter, logger hclog.Logger, changed func(*configView)) *configTask {
	t := &configTask{appender: app, asserter: a, logger: logger, changed: changed}
	t.view.Store(&configView{})
	t.follower = follower.New(follower.Config{Log: log, Stream: logclient.StreamConfig, Fold: &t.fold, Read: t.read})
	return t
}

// read runs on the follower's goroutine after records were applied or a peer's snapshot was restored.
//
// A host that starts reads the whole retention; the versions on the way are old and must not come into force.
func (t *configTask) read(s follower.Status) {
	defer t.awaiter.advance(s.Next) // who waits for a record finds its version in force
	if t.settled = t.settled || s.CaughtUp; !t.settled {
		return
	}
	old := t.view.Load()
	v := t.fold.Version()
	t.asserter.Check(v >= old.version, asserter.ConfigReverted, "in-force", int64(old.version), "offered", int64(v))
	if v > old.version {
		next := newConfigView(v, t.fold.Set())
		t.view.Store(next)
		t.logger.Info("configuration in force", "version", int64(v))
		t.changed(next)
	}
}

// restore takes over the state of a peer, which is as new as anything that can be had while the log is unreachable.
func (t *configTask) restore(ctx context.Context, s reducer.ConfigSnapshot) error {
	return t.follower.Do(ctx, func() {
		t.settled = t.fold.Restore(s) || t.fold.Version() >= s.Version || t.settled
	})
}

func newConfigView(v model.Version, set model.Set) *configView {
	view := &configView{version: v, set: set, tokens: map[string]server.Identity{}}
	for id, c := range set.Callers {
		view.tokens[c.TokenSHA256] = server.Identity{Workspace: c.Workspace, Caller: id}
	}
	for id, o := range set.Operators {
		view.tokens[o.TokenSHA256] = server.Identity{Operator: id}
	}
	return view
}

// bootstrapOperator may publish as long as no operator is configured.
const bootstrapOperator model.OperatorID = "bootstrap"

// authenticate finds the owner of a token; the digest of the settings counts until an operator is published.
func (v *configView) authenticate(token, bootstrapDigest string) (server.Identity, bool) {
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	if id, ok := v.tokens[digest]; ok {
		return id, true
	}
	if len(v.set.Operators) == 0 && bootstrapDigest != "" && digest == bootstrapDigest {
		return server.Identity{Operator: bootstrapOperator}, true
	}
	return server.Identity{}, false
}

// publish appends the changes and returns the verdict of the fold.
func (t *configTask) publish(ctx context.Context, p model.Publish) (model.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	record := reducer.Publish{ID: uuid.NewString(), Publish: p}
	var early reducer.Verdict
	if err := t.follower.Do(ctx, func() { early = t.fold.Judge(record) }); err != nil {
		return 0, notReady(err)
	}
	if early.State != reducer.VerdictAccepted {
		return 0, verdictError(early, p.Base)
	}
	entry, err := reducer.Encode(reducer.ConfigEntry{Publish: &record})
	if err != nil {
		return 0, errors.Wrap(err, "daemon: cannot encode the publish")
	}
	res, err := t.appender.Append(ctx, entry)
	if err != nil {
		return 0, err
	}
	if err := t.awaiter.wait(ctx, res.Offset); err != nil {
		return 0, unread("publish", err)
	}
	var verdict reducer.Verdict
	var ok bool
	if err := t.follower.Do(ctx, func() { verdict, ok = t.fold.Verdict(record.ID) }); err != nil {
		return 0, unread("publish", err)
	}
	if !ok {
		return 0, unread("publish", errors.New("its verdict is not known"))
	}
	if verdict.State != reducer.VerdictAccepted {
		return 0, verdictError(verdict, p.Base)
	}
	return verdict.Version, nil
}

func verdictError(v reducer.Verdict, base model.Version) error {
	if v.State == reducer.VerdictInvalid {
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindInvalid,
			Message: fmt.Sprintf("the configuration has %d faults", len(v.Faults)),
			Remedy:  "correct them and publish again", Faults: v.Faults,
		}
	}
	e := &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.KindConflict,
		Message: fmt.Sprintf("another publish came after base version %d", base),
		Remedy:  fmt.Sprintf("read version %d, apply the change again and publish", v.Version),
	}
	if c := v.Conflict; c != nil {
		e.Message = fmt.Sprintf("%s %s was changed by %s in version %d, after base version %d", c.Kind, c.Name, c.Author, c.Version, base)
	}
	return e
}

// unread says that a record is or may be in the log, but its effect is not known here.
func unread(what string, err error) error {
	return &model.Error{
		Outcome: model.OutcomeUnknown, Kind: model.KindLogUnavailable,
		Message: "the " + what + " may be in force, but the log could not be read: " + err.Error(),
		Remedy:  "read the state again before repeating",
	}
}

func notReady(err error) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.KindNotReady,
		Message: "the state is not available: " + err.Error(), Remedy: "try again or use another entry host",
		RetryAfterMS: retryNotReady,
	}
}

// retryNotReady is the advice to callers of a host that starts or stops.
const retryNotReady model.Millis = 1000

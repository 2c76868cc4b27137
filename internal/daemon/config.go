package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/publisher"
	"chestnutmux.example/chestnutmux/internal/server"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// configView is the configuration in force, with the identities of its tokens; it is never changed.
type configView struct {
	version model.ConfigVersion
	set     model.ConfigSet
	tokens  map[string]server.Identity // by SHA-256 digest
}

// configChanged puts a new version in force.
func (d *Daemon) configChanged(s *publisher.Snapshot) {
	old := d.view.Load()
	d.asserter.Assert(s.Version >= old.version, asserter.ConfigReverted, "in-force", old.version, "offered", s.Version)
	v := &configView{version: s.Version, set: s.Set, tokens: map[string]server.Identity{}}
	for id, c := range s.Set.Callers {
		v.tokens[c.TokenSHA256] = server.Identity{Workspace: c.Workspace, Caller: id}
	}
	for id, o := range s.Set.Operators {
		v.tokens[o.TokenSHA256] = server.Identity{Operator: id}
	}
	d.view.Store(v)
	d.router.SetConfig(&v.set)
	d.coordinator.ApplyLimits()
}

// bootstrapOperator may publish as long as no operator is configured.
const bootstrapOperator model.OperatorID = "bootstrap"

// Authenticate finds the owner of a token; the digest of the settings counts until an operator is published.
func (d *Daemon) Authenticate(token string) (server.Identity, bool) {
	v := d.view.Load()
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	if id, ok := v.tokens[digest]; ok {
		return id, true
	}
	if len(v.set.Operators) == 0 && d.settings.OperatorTokenSHA256 != "" && digest == d.settings.OperatorTokenSHA256 {
		return server.Identity{Operator: bootstrapOperator}, true
	}
	return server.Identity{}, false
}

// limits returns what the configuration guarantees to each workspace and allows it.
func (d *Daemon) limits() dispatcher.Limits {
	set := d.view.Load().set
	l := dispatcher.Limits{
		Guaranteed: map[model.WorkspaceID]model.Accelerators{}, Quota: map[model.WorkspaceID]model.Accelerators{},
	}
	for _, g := range set.Guarantees {
		l.Guaranteed[g.Workspace] += g.CellSize * model.Accelerators(g.CellCount)
	}
	for id, w := range set.Workspaces {
		l.Quota[id] = w.Quota
	}
	return l
}

// priorities orders the urgencies of classes.
var priorities = map[model.Urgency]model.Priority{model.UrgencyUrgent: 0, model.UrgencyStandard: 1, model.UrgencyBatch: 2}

const (
	// maxAttempts is how often a task may fail before its job fails.
	maxAttempts = 3
	// stretch is the objective of a job as a multiple of its longest chain of work.
	stretch = 3
	// targetMS is added to the objective.
	targetMS model.Millis = 60_000
)

// queueOf returns the queue of a class.
func queueOf(id model.ClassID, c model.Class) model.Queue {
	return model.Queue{
		ID: model.QueueID(id), Priority: priorities[c.Urgency], MaxAttempts: maxAttempts, TargetStretch: stretch, TargetOffsetMS: targetMS,
	}
}

// Config returns the configuration in force.
func (d *Daemon) Config(context.Context) (model.ConfigResponse, error) {
	v := d.view.Load()
	return model.ConfigResponse{Version: v.version, Config: v.set}, nil
}

// Publish changes the configuration.
func (d *Daemon) Publish(ctx context.Context, p model.PublishRequest) (model.ConfigVersion, error) {
	if d.draining.Load() {
		return 0, drainingError()
	}
	return d.publisher.Publish(ctx, p)
}

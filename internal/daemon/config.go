package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/evacuator"
	"chestnutmux.example/chestnutmux/internal/publisher"
	"chestnutmux.example/chestnutmux/internal/server"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// activeConfig is the configuration in force, with the callers and operators that its tokens identify. It is immutable.
type activeConfig struct {
	version    model.ConfigVersion
	set        model.ConfigSet
	identities map[string]server.Identity // callers and operators by the hex SHA-256 digest of their token
}

// applyConfig replaces the configuration in force with a newer version.
func (d *Daemon) applyConfig(s *publisher.StoredConfig) {
	oldConfig := d.config.Load()
	d.asserter.Assert(s.Version >= oldConfig.version, asserter.ConfigReverted, "in-force", oldConfig.version, "offered", s.Version)
	newConfig := &activeConfig{version: s.Version, set: s.Set, identities: map[string]server.Identity{}}
	for id, c := range s.Set.Callers {
		newConfig.identities[c.TokenSHA256] = server.Identity{Workspace: c.Workspace, Caller: id}
	}
	for id, o := range s.Set.Operators {
		newConfig.identities[o.TokenSHA256] = server.Identity{Operator: id}
	}
	d.config.Store(newConfig)
	d.router.SetConfig(&newConfig.set)
	d.coordinator.ApplyEntitlements()
	d.applyEvacuations(newConfig)
}

// applyEvacuations hands the evacuated failure domains of a configuration to the evacuator, as a snapshot whose offsets are versions.
func (d *Daemon) applyEvacuations(c *activeConfig) {
	offset := model.Offset(c.version)
	var requests []evacuator.Request
	for domain := range c.set.Evacuations {
		requests = append(requests, evacuator.Request{Domain: domain, Offset: offset})
	}
	if d.evacuator.ApplySnapshot(requests, offset+1) {
		d.coordinator.UpdateEvacuations()
	}
}

// confirmEvacuations records that a version was the newest configuration at a time.
func (d *Daemon) confirmEvacuations(v model.ConfigVersion, at time.Time) {
	d.evacuator.Confirm(model.Offset(v)+1, at)
}

// bootstrapOperator is the name of the operator who may publish while the configuration declares no operators.
const bootstrapOperator model.OperatorID = "bootstrap"

// Authenticate returns the owner of a bearer token, and whether there is one. The operator token of the settings is valid until
// the configuration declares an operator.
func (d *Daemon) Authenticate(token string) (server.Identity, bool) {
	config := d.config.Load()
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	if id, ok := config.identities[digest]; ok {
		return id, true
	}
	if len(config.set.Operators) == 0 && d.settings.OperatorTokenSHA256 != "" && digest == d.settings.OperatorTokenSHA256 {
		return server.Identity{Operator: bootstrapOperator}, true
	}
	return server.Identity{}, false
}

// entitlements returns the guaranteed accelerators and the quota of each workspace.
func (d *Daemon) entitlements() dispatcher.Entitlements {
	set := d.config.Load().set
	entitlements := dispatcher.Entitlements{
		Guaranteed: map[model.WorkspaceID]model.Accelerators{}, Quota: map[model.WorkspaceID]model.Accelerators{},
	}
	for _, g := range set.Guarantees {
		entitlements.Guaranteed[g.Workspace] += g.CellSize * model.Accelerators(g.CellCount)
	}
	for id, w := range set.Workspaces {
		entitlements.Quota[id] = w.Quota
	}
	return entitlements
}

// priorityByUrgency maps the urgency of a class to the priority of its queue.
var priorityByUrgency = map[model.Urgency]model.Priority{model.UrgencyUrgent: 0, model.UrgencyStandard: 1, model.UrgencyBatch: 2}

const (
	// maxTaskAttempts is the number of failed runs of a task, or of its gang, after which the job fails.
	maxTaskAttempts = 3
	// targetStretch is the target duration of a job as a multiple of its critical path, the longest chain of dependent steps.
	targetStretch = 3
	// targetOffsetMS is added to the target duration of a job.
	targetOffsetMS model.Millis = 60_000
)

// queueForClass returns the queue for the jobs of a class; each class has a queue of its own.
func queueForClass(id model.ClassID, c model.Class) model.Queue {
	return model.Queue{
		ID: model.QueueID(id), Priority: priorityByUrgency[c.Urgency], MaxAttempts: maxTaskAttempts,
		TargetStretch: targetStretch, TargetOffsetMS: targetOffsetMS,
	}
}

// Config returns the configuration in force.
func (d *Daemon) Config(context.Context) (model.ConfigResponse, error) {
	config := d.config.Load()
	return model.ConfigResponse{Version: config.version, Config: config.set}, nil
}

// Publish changes the configuration and returns the new version.
func (d *Daemon) Publish(ctx context.Context, p model.PublishRequest) (model.ConfigVersion, error) {
	if d.draining.Load() {
		return 0, drainingError()
	}
	return d.publisher.Publish(ctx, p)
}

package peerclient

import (
	"context"
	"encoding/json"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// The methods between entry hosts; hello comes first on a connection.
const (
	methodHello       = "hello"
	methodHeartbeat   = "heartbeat"
	methodConfigSince = "config-since"
	methodAnswer      = "answer"
	methodJobsSince   = "jobs-since"
	methodExplain     = "explain"
)

// Heartbeat is the state of an entry host, as parameters and as the result of a heartbeat.
type Heartbeat struct {
	Host     model.HostID   `json:"host"`
	Domain   model.DomainID `json:"domain"`
	Version  model.Version  `json:"version"` // configuration in force
	Term     model.Term     `json:"term"`    // highest term seen in its domain
	Planner  bool           `json:"planner,omitempty"`
	Load     int            `json:"load"` // service requests in flight and waiting
	Draining bool           `json:"draining,omitempty"`
}

// ConfigSinceParams asks for the configuration when it is newer than the version.
type ConfigSinceParams struct {
	Version model.Version `json:"version"`
}

// ConfigSinceResult holds the configuration; Data is empty when there is no newer one.
type ConfigSinceResult struct {
	Version model.Version   `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// AnswerParams asks the winner of a claim for the answer to a request.
type AnswerParams struct {
	Workspace model.WorkspaceID `json:"workspace"`
	Request   model.RequestID   `json:"request"`
}

// AnswerResult holds the answer to a request; Outcome is unknown when the peer has none.
type AnswerResult struct {
	Outcome     model.Outcome `json:"outcome"`
	Digest      string        `json:"digest,omitempty"` // of the request that was run
	Runner      model.HostID  `json:"runner,omitempty"`
	ContentType string        `json:"content-type,omitempty"`
	Body        []byte        `json:"body,omitempty"`
	Error       *model.Error  `json:"error,omitempty"`
}

// JobsSinceParams asks for the job records from an offset of the jobs stream on.
type JobsSinceParams struct {
	Offset model.Offset `json:"offset"`
}

// JobsSinceResult holds job records as the peer's fold knows them, and the offset to ask from next.
type JobsSinceResult struct {
	Next model.Offset    `json:"next"`
	Data json.RawMessage `json:"data,omitempty"`
}

// ExplainParams asks the planner of a job's home why the job waits; the asking host has checked the workspace.
type ExplainParams struct {
	Job model.JobID `json:"job"`
}

// ExplainResult holds what the peer knows; Planned is false when the peer does not plan its failure domain.
type ExplainResult struct {
	Planned  bool   `json:"planned"`
	Position int    `json:"position,omitempty"` // in the order of the planner, 1 is next
	Reason   string `json:"reason,omitempty"`
	Remedy   string `json:"remedy,omitempty"`
}

// Handler answers the calls of peers; it is called from several goroutines.
type Handler interface {
	Heartbeat(context.Context, Heartbeat) (Heartbeat, error)
	ConfigSince(context.Context, ConfigSinceParams) (ConfigSinceResult, error)
	Answer(context.Context, AnswerParams) (AnswerResult, error)
	JobsSince(context.Context, JobsSinceParams) (JobsSinceResult, error)
	// ExplainJob answers from this host's own planner and never asks a further host.
	ExplainJob(context.Context, ExplainParams) (ExplainResult, error)
}

// hello is the first call on a connection.
type hello struct {
	Host   model.HostID `json:"host"`
	Secret string       `json:"secret,omitempty"`
}

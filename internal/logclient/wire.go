package logclient

import (
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The streams of a deployment.
const (
	StreamConfig = "config"
	StreamJobs   = "jobs"
	StreamClaims = "claims"
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records []journaler.Record `json:"records"`
	journaler.AppendCondition
}

// AppendReply is the answer to an append.
type AppendReply struct {
	Offset model.Offset `json:"offset"` // of the first record
}

// Refusal is the reason why the log did not append.
type Refusal string

// The refusals of the log.
const (
	RefusedOffsetMismatch Refusal = "moved"    // the log ends elsewhere
	RefusedFenced         Refusal = "fenced"   // a writer with a higher epoch has written
	RefusedSequence       Refusal = "sequence" // the append is not the writer's next
	RefusedTrimmed        Refusal = "trimmed"  // records were deleted before they were read
)

// RefusalReply is the body of an answer with status 409 or 410.
type RefusalReply struct {
	Refusal     Refusal      `json:"refusal"`
	EndOffset   model.Offset `json:"end"`
	FirstOffset model.Offset `json:"first"`
	ExpectedSeq int64        `json:"expected"`
}

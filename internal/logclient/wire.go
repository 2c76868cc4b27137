package logclient

import (
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Names of the log streams of a deployment.
const (
	StreamConfig = "config"
	StreamJobs   = "jobs"
	StreamClaims = "claims"
)

// AppendRequest is the request body of an append.
type AppendRequest struct {
	Records []journaler.Record `json:"records"`
	journaler.AppendCondition
}

// AppendResponse is the response body of a successful append.
type AppendResponse struct {
	Offset model.Offset `json:"offset"` // offset of the first appended record
}

// Refusal is the reason why the log refused an append or a read.
type Refusal string

// Reasons for which the log refuses a call.
const (
	RefusedOffsetMismatch Refusal = "moved"    // the log does not end at the expected offset
	RefusedFenced         Refusal = "fenced"   // a leader with a higher fencing token has written
	RefusedSequence       Refusal = "sequence" // the append does not have the leader's next sequence number
	RefusedTrimmed        Refusal = "trimmed"  // the read starts at records that the log has deleted
)

// RefusalResponse is the response body of a refused call, which has the status 409 or 410.
type RefusalResponse struct {
	Refusal     Refusal      `json:"refusal"`
	EndOffset   model.Offset `json:"end"`      // end of the log, with RefusedOffsetMismatch
	FirstOffset model.Offset `json:"first"`    // offset of the first remaining record, with RefusedTrimmed
	ExpectedSeq int64        `json:"expected"` // next sequence number of the leader, with RefusedSequence
}

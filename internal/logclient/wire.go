package logclient

import (
	"encoding/json"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Stream names a stream of the log service.
type Stream string

// The streams that chestnutmux keeps.
const (
	StreamConfig Stream = "config"
	StreamJobs   Stream = "jobs"
	StreamClaims Stream = "claims"
)

// AppendRequest is the body of an append; the writer chooses the id, so that readers can drop repeats.
type AppendRequest struct {
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

// AppendReply carries the offset given to the record.
type AppendReply struct {
	Offset model.Offset `json:"offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset model.Offset    `json:"offset"`
	ID     string          `json:"id"`
	AtMS   int64           `json:"at-ms"` // Unix time of the append at the log service
	Data   json.RawMessage `json:"data"`
}

// ReadReply carries records from the requested offset on.
type ReadReply struct {
	First   model.Offset `json:"first"` // oldest offset still kept
	Next    model.Offset `json:"next"`  // offset that the next append will get
	Records []Record     `json:"records"`
}

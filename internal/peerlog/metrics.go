package peerlog

import (
	"expvar"

	"chestnutmux.example/chestnutmux/internal/journaler"
)

// Metrics counts the reads of this host's logs; the zero value counts nothing.
type Metrics struct {
	Reads     *expvar.Map // number of reads by log, source and outcome
	ReadBytes *expvar.Map // bytes of keys and values in the records read, by log and source
}

// NewMetrics returns metrics without values.
func NewMetrics() *Metrics {
	return &Metrics{Reads: new(expvar.Map).Init(), ReadBytes: new(expvar.Map).Init()}
}

// Vars returns the metrics, keyed by their published names.
func (m *Metrics) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{"log-reads": m.Reads, "log-bytes-read": m.ReadBytes}
}

// source says from where records were read.
type source string

const (
	sourceDirect source = "direct" // the log itself
	sourceRelay  source = "relay"  // the tail of a host of the same group
	sourcePeer   source = "peer"   // a peer, while the direct connection is down
)

// countRead records the outcome of a read.
func (m *Metrics) countRead(log string, s source, b journaler.Batch, err error) {
	if m == nil {
		return
	}
	outcome := "/ok"
	if !isLogResponse(err) {
		outcome = "/failed"
	}
	m.Reads.Add(log+"/"+string(s)+outcome, 1)
	m.ReadBytes.Add(log+"/"+string(s), int64(batchBytes(b)))
}

// batchBytes returns the size of the keys and values of the records in bytes.
func batchBytes(b journaler.Batch) int {
	n := 0
	for _, r := range b.Records {
		n += recordBytes(r)
	}
	return n
}

func recordBytes(r journaler.Record) int { return len(r.Key) + len(r.Value) }

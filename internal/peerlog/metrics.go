package peerlog

import (
	"expvar"
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/recorder"
)

// Metrics counts the reads of this host's logs; the zero value counts nothing.
type Metrics struct {
	Reads       *expvar.Map            // number of reads by log, source and outcome
	ReadBytes   *expvar.Map            // bytes of keys and values in the records read, by log and source
	ReadTime    *recorder.HistogramSet // duration of the reads that transferred records, by log and source
	ServedBytes *expvar.Map            // bytes of keys and values in the records sent to peers, by log
}

// NewMetrics returns metrics without values.
func NewMetrics() *Metrics {
	return &Metrics{
		Reads: new(expvar.Map).Init(), ReadBytes: new(expvar.Map).Init(), ServedBytes: new(expvar.Map).Init(),
		ReadTime: recorder.NewCoarseHistogramSet(),
	}
}

// Vars returns the metrics, keyed by their published names.
func (m *Metrics) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"log-reads": m.Reads, "log-bytes-read": m.ReadBytes, "log-transfer-time": m.ReadTime, "log-bytes-served": m.ServedBytes,
	}
}

// source says from where records were read.
type source string

const (
	sourceDirect       source = "direct"        // the log itself
	sourceRelay        source = "relay"         // the tail of a host of the same group
	sourcePeer         source = "peer"          // a peer, while the direct connection is down
	sourceDirectNewest source = "direct-newest" // a page of the newest records from the log itself
	sourcePeerNewest   source = "peer-newest"   // a page of the newest records through a peer
	// sourceNeighbourNewest is a page of the newest records that a host of the same failure domain keeps.
	sourceNeighbourNewest source = "neighbour-newest"
)

// countRead records the outcome of a read that took a time and returned records.
func (m *Metrics) countRead(log string, s source, records []journaler.Record, took time.Duration, err error) {
	if m == nil {
		return
	}
	outcome := "/ok"
	if !isLogResponse(err) {
		outcome = "/failed"
	}
	m.Reads.Add(log+"/"+string(s)+outcome, 1)
	m.ReadBytes.Add(log+"/"+string(s), int64(totalBytes(records)))
	if len(records) > 0 || err != nil {
		m.ReadTime.Record(log+"/"+string(s), took)
	}
}

// countServed records records that were sent to a peer.
func (m *Metrics) countServed(log string, records []journaler.Record) {
	if m != nil && len(records) > 0 {
		m.ServedBytes.Add(log, int64(totalBytes(records)))
	}
}

// totalBytes returns the size of the keys and values of the records in bytes.
func totalBytes(records []journaler.Record) int {
	n := 0
	for _, r := range records {
		n += recordBytes(r)
	}
	return n
}

func recordBytes(r journaler.Record) int { return len(r.Key) + len(r.Value) }

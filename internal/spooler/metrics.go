package spooler

import "expvar"

// Metrics counts the submissions that wait for the log. The zero value is not ready, see NewMetrics.
type Metrics struct {
	Spool   *expvar.Map // counts by event: held, accepted after holding, and refusals by reason
	Waiting *expvar.Int // submissions that wait now, held or in an append
	Bytes   *expvar.Int // memory of the waiting submissions
}

// NewMetrics returns metrics without values.
func NewMetrics() *Metrics {
	return &Metrics{Spool: new(expvar.Map).Init(), Waiting: new(expvar.Int), Bytes: new(expvar.Int)}
}

// Vars returns the metrics, keyed by their published names.
func (m *Metrics) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{"spool": m.Spool, "spool-waiting": m.Waiting, "spool-bytes": m.Bytes}
}

// count adds one to an event; nil counts nothing.
func (m *Metrics) count(event string) {
	if m != nil {
		m.Spool.Add(event, 1)
	}
}

func (m *Metrics) setWaiting(n, bytes int64) {
	if m != nil {
		m.Waiting.Set(n)
		m.Bytes.Set(bytes)
	}
}

package spooler

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxBatchBytes bounds the total size of the records in one append, unless a single record exceeds it.
const maxBatchBytes model.Bytes = 256 << 10

// Submission is a job that waits for its append.
type Submission struct {
	Record   journaler.Record
	Priority model.Priority
	// Admit decides on the submission right before it is sent for the first time; its error is the result. Nil admits it.
	Admit func() error
	// Known reports whether a job under the ID has been read from the log, and with which error the submission ends then. Nil means that
	// this is not known.
	Known func() (known bool, err error)
}

// isKnown reports whether a job under the ID has been read from the log. That decides on the submission even if its append got no response.
func (s *Submission) isKnown() (known bool, err error) {
	if s.Known == nil {
		return false, nil
	}
	return s.Known()
}

// entry is a submission in the queue or in an append.
type entry struct {
	*Submission
	limits      Limits
	arrivedAt   time.Time
	result      chan error
	finished    bool // whether the result is decided
	admitted    bool
	held        bool // whether it has waited for the log to be reachable
	inFlight    bool // whether an append with its record is in progress
	probe       bool // whether it was sent alone while nothing showed that the log confirms appends
	maybeStored bool // whether the outcome of an earlier append with its record is unknown
}

// size returns the memory that the entry takes.
func (e *entry) size() model.Bytes { return 2*recordSize(e.Record) + entryOverhead }

func recordSize(r journaler.Record) model.Bytes { return model.Bytes(len(r.Key) + len(r.Value)) }

// wasSent reports whether the record may be in the log now or later.
func (e *entry) wasSent() bool { return e.inFlight || e.maybeStored }

// compareEntries orders the most urgent entries first, and the oldest among equally urgent ones.
func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.arrivedAt.Compare(b.arrivedAt))
}

// queue holds entries in the order in which they are appended.
type queue struct{ entries []*entry }

func (q *queue) add(e *entry) {
	i, _ := slices.BinarySearchFunc(q.entries, e, func(a, b *entry) int { return cmp.Or(compareEntries(a, b), -1) })
	q.entries = slices.Insert(q.entries, i, e)
}

func (q *queue) remove(e *entry) {
	if i := slices.Index(q.entries, e); i >= 0 {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
}

// hasMaybeStored reports whether an entry may be in the log already.
func (q *queue) hasMaybeStored() bool {
	return slices.ContainsFunc(q.entries, func(e *entry) bool { return e.maybeStored })
}

// take removes and returns the entries of the next append, as many as fit: those that may be in the log already or those that were not
// sent, and one only for a probe.
func (q *queue) take(maybeStored, probe bool) []*entry {
	var batch, rest []*entry
	size := model.Bytes(0)
	for _, e := range q.entries {
		n := recordSize(e.Record)
		if e.maybeStored != maybeStored || len(batch) > 0 && (probe || size+n > maxBatchBytes) {
			rest = append(rest, e)
			continue
		}
		size += n
		batch = append(batch, e)
	}
	q.entries = rest
	return batch
}

// lessUrgent returns the least urgent and youngest entries that were not sent and are less urgent than e, as many as take the given
// memory, or nil if they take less.
func (q *queue) lessUrgent(e *entry, need model.Bytes) []*entry {
	var out []*entry
	for _, other := range slices.Backward(q.entries) {
		if need <= 0 || other.Priority <= e.Priority {
			break
		}
		if !other.wasSent() {
			out = append(out, other)
			need -= other.size()
		}
	}
	if need > 0 {
		return nil
	}
	return out
}

package journaler

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// MaxOrphans is the number of cancellations of unknown jobs that are kept. A submission that arrives after its cancellation follows it within
// seconds; more cancellations come from clients that name jobs which do not exist.
const MaxOrphans = 10_000

// noteOrphan notes that only the cancellation of a job is known. The caller holds rep.mu.
func (rep *Replica) noteOrphan(id model.JobID) { rep.orphans[id] = struct{}{} }

// OrphanCount returns the number of jobs of which only a cancellation is known.
func (rep *Replica) OrphanCount() int {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return len(rep.orphans)
}

// OldOrphans returns up to n jobs of which only a cancellation is known, and which this host has learned of before a time.
func (rep *Replica) OldOrphans(before time.Time, n int) []model.JobID {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	var out []model.JobID
	for id := range rep.orphans {
		if len(out) >= n {
			break
		}
		isOld := func(c storedCancellation) bool { return c.learnedAt.Before(before) }
		if slices.ContainsFunc(rep.cancellations[id], isOld) {
			out = append(out, id)
		}
	}
	return out
}

// NewOrphanTombstone returns the tombstone that deletes the cancellation of an unknown job.
func NewOrphanTombstone(id model.JobID) Record { return Record{Key: kindCancellation + string(id)} }

package budgeter

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// budgetDivisor divides the memory of a host into the part that accepted jobs may take. The rest is for the state of a leader, bodies,
	// connections and garbage.
	budgetDivisor = 8
	// defaultMemory is the memory of a host that has announced none.
	defaultMemory model.Megabytes = 256
	// smallJob is the memory of an ordinary job, with a payload of 4,000 bytes and some tens of tasks.
	smallJob model.Bytes = 32 << 10
	// reserveDivisor divides the budget into parts, one of which is left for jobs of at most smallJob.
	reserveDivisor = 4
	// minRetryAfter and maxRetryAfter bound the Retry-After hint. Nothing tells when jobs end whose run times are not known.
	minRetryAfter = 2 * time.Second
	maxRetryAfter = 30 * time.Second
)

// MaxMemoryMB is the upper bound of the budget that operators can set, above what any process can use.
const MaxMemoryMB = 1 << 20

// Use is the memory that accepted jobs take, as a host knows it.
type Use struct {
	Total        model.Bytes // of all jobs in the replica of the host
	Workspace    model.Bytes // of those of the workspace that submits
	Pending      model.Bytes // of jobs that the host appends and does not have in its replica yet
	PendingOwn   model.Bytes // of those of the workspace that submits
	PendingLarge model.Bytes // of those larger than smallJob
	Hosts        int         // hosts that accept jobs
}

// For returns the budget for the memory of the smallest host; 0 means unknown.
func For(smallest model.Megabytes) model.Bytes {
	if smallest <= 0 {
		smallest = defaultMemory
	}
	return model.Bytes(smallest) << 20 / budgetDivisor
}

// Admits reports whether a job of the given size may be accepted within a budget. The load that it answers is a crowd whose jobs are larger, or
// more, than the hosts can hold.
//
// A workspace may take as much as it leaves free, so that a crowd of one leaves half of the budget to the others. Large jobs leave a part of
// the budget to ordinary ones.
//
// All hosts accept jobs at the same time, and none sees at once what the others accept. A host with large jobs pending accepts another one
// only if there is room for as many on each host. If none sees what the others accept, they exceed the budget by at most one job each.
func Admits(budget, size model.Bytes, u Use) bool {
	room := roomFor(budget, size) - u.Total
	if size > smallJob && u.PendingLarge > 0 && (u.PendingLarge+size)*model.Bytes(max(u.Hosts, 1)) > room {
		return false
	}
	return u.Workspace+u.PendingOwn+size <= room-u.Pending
}

// roomFor returns the part of a budget that jobs of the given size may take.
func roomFor(budget, size model.Bytes) model.Bytes {
	if size > smallJob {
		return budget - budget/reserveDivisor
	}
	return budget
}

// Fits reports whether a job of the given size is accepted while there are no others.
func Fits(budget, size model.Bytes) bool { return size <= roomFor(budget, size) }

// retryAfter returns when the caller of a refused job may return: when the work ahead is done, whose end leaves room.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
